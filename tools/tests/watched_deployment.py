"""Control hosts as processes, with entries, agents and upstreams in this one.

The control hosts have the timing of the platform.
"""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
import tempfile
import threading
from typing import Final
import unittest
import uuid

from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.jobmodel import TaskId
from baobabgap.leaderlink import LeaderCalls
from baobabgap.leaderlink import LeaderLink
from baobabgap.messages import Hello
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunOrder
from baobabgap.settings import Links
from baobabgap.telemetry import Metrics
from baobabgap.transport import LinkTiming
from baobabgap.upstreams import RunAgent
from baobabgap.upstreams import StartOutcome
from tools.job_history._control_group import ControlGroup

_LINKS: Final = Links(heartbeat_s=0.1, silence_s=0.4)
_ELECTION_TIMEOUT_S: Final = 0.25
_AGENTS: Final = 4
_ENTRIES: Final = 2
_CORES: Final = 4
# Duration of each task.
RUN_MS: Final = 500
# Jobs of one task a second that the upstreams can run.
ROOM: Final = _AGENTS * _CORES * 1000 / RUN_MS


class WatchedUpstream(FakeUpstream):
    """Records tasks that start while they run on another upstream."""

    def __init__(self, others: list['WatchedUpstream']) -> None:
        super().__init__(run_ms=RUN_MS)
        self._others = others
        self.doubled: list[TaskId] = []
        # Seconds from the answer to a stop to its effect.
        self.stop_s = 0.0

    def carry_out(
        self, order: RunOrder, fence: int, lease_until_ms: int
    ) -> StartOutcome:
        outcome = super().carry_out(order, fence, lease_until_ms)
        if outcome is StartOutcome.STARTED and any(
            order.task in other.running
            for other in self._others
            if other is not self
        ):
            self.doubled.append(order.task)
        return outcome

    def stop(self, instance: str, task: TaskId, run: int, fence: int) -> bool:
        if not self.stop_s:
            return super().stop(instance, task, run, fence)
        timer = threading.Timer(
            self.stop_s, super().stop, (instance, task, run, fence)
        )
        timer.daemon = True
        timer.start()
        return True


class WatchedDeploymentTest(unittest.TestCase):
    """A test case with a deployment whose upstreams are watched."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.group = self.enterContext(
            ControlGroup(Path(folder.name), 3, _LINKS, _ELECTION_TIMEOUT_S)
        )
        self.pool = ThreadPoolExecutor(1024)
        self.addCleanup(self.pool.shutdown, wait=False, cancel_futures=True)
        self.upstreams: list[WatchedUpstream] = []
        self.upstreams += [
            WatchedUpstream(self.upstreams) for _ in range(_AGENTS)
        ]
        self.entries = [LeaderCalls() for _ in range(_ENTRIES)]
        for number, calls in enumerate(self.entries):
            self._link(f'entry-{number}', ENTRY_ROLE, calls.session)
        self.agent_links: list[LeaderLink] = []
        for number, upstream in enumerate(self.upstreams):
            agent = RunAgent(upstream, LeaseTiming(), self.pool, Metrics())
            agent.announce(describe_upstream(number, 1, _CORES))
            agent.start()
            self.addCleanup(agent.stop)
            self.agent_links.append(
                self._link(f'agent-{number}', AGENT_ROLE, agent.session)
            )
        wait_until(self._is_configured, 'a configuration')
        wait_until(
            lambda: all(calls.is_linked for calls in self.entries), 'links'
        )

    def _link(
        self, name: str, role: str, session: Callable[..., None]
    ) -> LeaderLink:
        hello = Hello(name, role, uuid.uuid4().hex[:16])
        link = LeaderLink(
            lambda: hello,
            LinkTiming(_LINKS.heartbeat_s, _LINKS.silence_s),
            self.pool,
            lambda: self.group.addresses,
            session,
        )
        link.start()
        self.addCleanup(link.stop)
        return link

    def _is_configured(self) -> bool:
        return any(
            process.ask('put', 1)[0] == 'done'
            for process in self.group.processes
        )

    def assert_none_doubled(self) -> None:
        doubled = [task for up in self.upstreams for task in up.doubled]
        self.assertEqual([], doubled)
