"""What callers get while the leader is killed or frozen.

Control hosts are processes with the timing of the platform; entries, agents
and upstreams run here.
"""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
import signal
import tempfile
import threading
import time
from typing import Final
import unittest
import uuid

from baobabgap.accepted import TaskId
from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.leaderlink import LeaderCalls
from baobabgap.leaderlink import LeaderLink
from baobabgap.messages import Hello
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunOrder
from baobabgap.protocol import SubmitJob
from baobabgap.settings import Links
from baobabgap.telemetry import Metrics
from baobabgap.transport import LinkTiming
from baobabgap.upstreams import RunAgent
from baobabgap.upstreams import StartOutcome
from tools.job_history._control_group import ControlGroup
from tools.job_history._control_group import ControlProcess

_LINKS: Final = Links(heartbeat_s=0.1, silence_s=0.4)
_ELECTION_TIMEOUT_S: Final = 0.25
_AGENTS: Final = 4
_ENTRIES: Final = 2
_CORES: Final = 4
# Duration of each task, and the objective of its job.
_RUN_MS: Final = 500
_OBJECTIVE_S: Final = (1.6 * _RUN_MS + 60) / 1000
_DEADLINE_S: Final = 10.0
# Jobs of one task a second that the upstreams can run.
_ROOM: Final = _AGENTS * _CORES * 1000 / _RUN_MS
# When the leader is lost, after the start of the load, and when calls end.
_LOSS_S: Final = 1.5
_END_S: Final = 4.0
_FROZEN_S: Final = 2.0
# Seconds beyond the time until which a job is worth something for its last
# answer: checks at the leader and the way to the caller.
_ANSWER_SLACK_S: Final = 0.3
# What the users ask of the worst two seconds.
_WANTED_SHARE: Final = 0.65


class WatchedUpstream(FakeUpstream):
    """Records tasks that start while they run on another upstream."""

    def __init__(self, others: list['WatchedUpstream']) -> None:
        super().__init__(run_ms=_RUN_MS)
        self._others = others
        self.doubled: list[TaskId] = []

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


@dataclass(frozen=True, slots=True)
class Served:
    """A call and what its caller was told; seconds since the load began."""

    job: str
    sent_s: float
    taken_s: float
    answer: CallAnswer

    @property
    def is_in_time(self) -> bool:
        """Whether the job has ended within its objective."""
        is_completed = self.answer.state == 'completed'
        return is_completed and self.taken_s <= _OBJECTIVE_S


class LeaderLossTest(unittest.TestCase):
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

    def _call(self, number: int, began_at: float) -> Served:
        """Call as an entry does for a client with this deadline."""
        job = f'{number:016x}'
        call = SubmitJob(
            0, QUEUE_HOST, PREFIX + job, '', (step(1, _RUN_MS),), True
        )
        sent_at = time.monotonic()
        answer = self.entries[number % _ENTRIES].forward(
            call, 0.4 * _DEADLINE_S, 0.9 * _DEADLINE_S, lambda: False
        )
        taken_s = time.monotonic() - sent_at
        return Served(job, sent_at - began_at, taken_s, answer)

    def play(
        self,
        lose_leader: Callable[[ControlProcess], object],
        share_before: float,
        share_after: float,
    ) -> list[Served]:
        """Send calls at shares of the room before and after the loss."""
        leader = self.group.find_leader()
        assert leader is not None
        began_at = time.monotonic()
        timer = threading.Timer(_LOSS_S, lose_leader, (leader,))
        timer.start()
        self.addCleanup(timer.join)
        futures: list[Future[Served]] = []
        at_s = 0.0
        while at_s < _END_S:
            time.sleep(max(0.0, began_at + at_s - time.monotonic()))
            futures.append(
                self.pool.submit(self._call, len(futures), began_at)
            )
            share = share_before if at_s < _LOSS_S else share_after
            at_s += 1 / (share * _ROOM)
        served = [future.result(2 * _DEADLINE_S) for future in futures]
        doubled = [task for up in self.upstreams for task in up.doubled]
        self.assertEqual([], doubled)
        return served

    def assert_none_unknown_without_a_start(
        self, served: list[Served]
    ) -> None:
        started = {
            task.job_id for up in self.upstreams for task, _ in up.starts
        }
        unknown = [
            call
            for call in served
            if call.answer.outcome is CallOutcome.UNKNOWN
            and call.job not in started
        ]
        self.assertEqual([], unknown)

    def assert_none_held_beyond_use(self, served: list[Served]) -> None:
        longest_s = 3 * _OBJECTIVE_S + _ANSWER_SLACK_S
        held = [call for call in served if call.taken_s > longest_s]
        self.assertEqual([], held)

    def assert_share_in_time(self, served: list[Served]) -> None:
        """Check the calls of the two seconds after the loss."""
        window = [
            call for call in served if _LOSS_S <= call.sent_s < _LOSS_S + 2
        ]
        share = sum(call.is_in_time for call in window) / len(window)
        self.assertGreaterEqual(share, _WANTED_SHARE)

    def test_killed_at_ordinary_load(self) -> None:
        served = self.play(ControlProcess.kill, 0.7, 0.7)
        self.assert_none_unknown_without_a_start(served)
        self.assert_none_held_beyond_use(served)
        self.assert_share_in_time(served)

    def test_killed_beside_a_surge(self) -> None:
        served = self.play(ControlProcess.kill, 1.6, 0.7)
        self.assert_none_unknown_without_a_start(served)
        self.assert_none_held_beyond_use(served)

    def test_killed_beside_a_surge_with_an_agent_cut_off(self) -> None:
        """Nothing is known of the agent's runs for seconds."""

        def lose(leader: ControlProcess) -> None:
            self.agent_links[0].stop()
            leader.kill()

        served = self.play(lose, 1.6, 0.7)
        self.assert_none_held_beyond_use(served)

    def test_frozen_and_woken_at_ordinary_load(self) -> None:
        def lose(leader: ControlProcess) -> None:
            leader.signal(signal.SIGSTOP)
            time.sleep(_FROZEN_S)
            leader.signal(signal.SIGCONT)

        served = self.play(lose, 0.7, 0.7)
        self.assert_none_unknown_without_a_start(served)
        self.assert_none_held_beyond_use(served)
        self.assert_share_in_time(served)


if __name__ == '__main__':
    unittest.main()
