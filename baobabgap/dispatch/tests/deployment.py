"""A deployment in one process: control nodes, agents and entries."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
import shutil
import socket
import time
import uuid

from baobabgap.dispatch import ControlNode
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.leaderlink import LeaderCalls
from baobabgap.leaderlink import LeaderLink
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CancelPath
from baobabgap.protocol import ControlNodeOptions
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import ReadPath
from baobabgap.protocol import SubmitJob
from baobabgap.protocol import UpstreamState
from baobabgap.queues import JobQueue
from baobabgap.queues import QueueConfiguration
from baobabgap.queues import Service
from baobabgap.replication import NotLeader
from baobabgap.replication import OutcomeUnknown
from baobabgap.settings import ControlHost
from baobabgap.settings import ControlSettings
from baobabgap.settings import Links
from baobabgap.settings import Listen
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.telemetry import Metrics
from baobabgap.transport import LinkTiming
from baobabgap.upstreams import RunAgent
from baobabgap.wire import Hello

HOST = '127.0.0.1'
QUEUE_HOST = 'desk.example'
PREFIX = '/entries/'
SERVICE = 'desk'
ZONE = 'zone'
WAIT_S = 20.0
CORES = 4
ATTEMPTS = 2
LINKS = Links(0.2, 1.0)
TIMING = LinkTiming(LINKS.heartbeat_s, LINKS.silence_s)


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds, for at most `WAIT_S` seconds."""
    give_up_at = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > give_up_at:
            raise AssertionError(f'not within {WAIT_S} s: {what}')
        time.sleep(0.01)


def configuration(
    version: int = 1, prefix: str = PREFIX
) -> QueueConfiguration:
    queue = JobQueue(
        'q', QUEUE_HOST, prefix, SERVICE, 0, ATTEMPTS, 1.6, 60, 1500
    )
    return QueueConfiguration(
        version, b'{}', (queue,), (Service(SERVICE, True),)
    )


def step(tasks: int = 1, estimate_ms: int = 100) -> Step:
    return Step(tasks, Demand(1000, 10, 0), estimate_ms)


class Deployment:
    """A deployment whose parts are connected by real links."""

    def __init__(
        self,
        folder: Path,
        controls: int,
        agents: int,
        upstreams: Sequence[FakeUpstream] = (),
        zones: Sequence[str] = (ZONE,),
        entries: int = 1,
    ) -> None:
        # Upstreams are spread over the zones in turn.
        self._zones = tuple(zones)
        self.pool = ThreadPoolExecutor(512)
        self._hosts = tuple(
            ControlHost(f'control-{number}', HOST, free_port())
            for number in range(controls)
        )
        self._folder = folder
        self.nodes = [self._node(host) for host in self._hosts]
        self.upstreams = list(upstreams) or [
            FakeUpstream() for _ in range(agents)
        ]
        self.agents = [
            RunAgent(upstream, LeaseTiming(), self.pool, Metrics())
            for upstream in self.upstreams
        ]
        self.entries = [LeaderCalls() for _ in range(entries)]
        self._entry_links = [
            self._link(f'entry-{number}', ENTRY_ROLE, calls.session)
            for number, calls in enumerate(self.entries, 1)
        ]
        self._agent_links = [
            self._link(f'agent-{number}', AGENT_ROLE, agent.session)
            for number, agent in enumerate(self.agents)
        ]
        for number, agent in enumerate(self.agents):
            agent.announce(self.announced_state(number))

    def start(self) -> None:
        """Start all parts and put a first configuration in force."""
        for node in self.nodes:
            node.start()
        for agent in self.agents:
            agent.start()
        for link in self._links:
            link.start()
        self.configure(1)
        wait_until(
            lambda: all(calls.is_linked for calls in self.entries),
            'links to the leader',
        )

    def close(self) -> None:
        """Stop all parts."""
        for link in self._links:
            link.stop()
        for agent in self.agents:
            agent.stop()
        for node in self.nodes:
            node.stop()
        self.pool.shutdown(wait=False, cancel_futures=True)

    @property
    def calls(self) -> LeaderCalls:
        """The first entry."""
        return self.entries[0]

    @property
    def leader(self) -> ControlNode | None:
        """The node that leads, if one does."""
        for node in self.nodes:
            if node.is_leading:
                return node
        return None

    def replace_agent(self, number: int, silent_s: float) -> None:
        """Stop an agent at once; start another one in its place later."""
        self._agent_links[number].stop()
        self.agents[number].stop()
        time.sleep(silent_s)
        agent = RunAgent(
            self.upstreams[number], LeaseTiming(), self.pool, Metrics()
        )
        self.agents[number] = agent
        self._agent_links[number] = self._link(
            f'agent-{number}', AGENT_ROLE, agent.session
        )
        agent.start()
        self._agent_links[number].start()

    def replace_entry(self, number: int) -> None:
        """Stop an entry and start a new process in its place."""
        link = self._entry_links[number]
        link.stop()
        self.entries[number] = LeaderCalls()
        self._entry_links[number] = self._link(
            f'entry-{number + 1}', ENTRY_ROLE, self.entries[number].session
        )
        self._entry_links[number].start()
        wait_until(lambda: self.entries[number].is_linked, 'a link')

    @property
    def _links(self) -> list[LeaderLink]:
        return [*self._entry_links, *self._agent_links]

    def configure(self, version: int, prefix: str = PREFIX) -> None:
        """Put a configuration in force, as an operator who sends it again."""
        wait_until(
            lambda: self._has_stored(version, prefix), 'a configuration'
        )

    def _has_stored(self, version: int, prefix: str) -> bool:
        leader = self.leader
        if leader is None:
            return False
        stored = leader.put_configuration(configuration(version, prefix))
        try:
            stored.result(WAIT_S)
        except (NotLeader, OutcomeUnknown):
            return False
        return True

    def announced_state(
        self, number: int, *, is_draining: bool = False, cores: int = CORES
    ) -> UpstreamState:
        """Return the state that an upstream announces."""
        state = describe_upstream(
            number, self.upstreams[number].born_ms, cores
        )
        zone = self._zones[number % len(self._zones)]
        return replace(state, is_draining=is_draining, availability_zone=zone)

    def submit(
        self,
        job_id: str,
        *steps: Step,
        volatile: bool,
        patience_s: float = WAIT_S,
        entry: int = 0,
        is_caller_disconnected: Callable[[], bool] = lambda: False,
    ) -> Future[CallAnswer]:
        """Submit a job; the future returns the answer."""
        call = SubmitJob(
            0, QUEUE_HOST, PREFIX + job_id, 'payload', steps, volatile
        )
        return self.pool.submit(
            self.entries[entry].forward,
            call,
            WAIT_S,
            patience_s,
            is_caller_disconnected,
        )

    def read(self, job_id: str) -> CallAnswer:
        """Read a job's state, or the queue's length with an empty id."""
        call = ReadPath(0, QUEUE_HOST, PREFIX + job_id)
        return self.calls.forward(call, WAIT_S, WAIT_S, lambda: False)

    def cancel(self, job_id: str) -> CallAnswer:
        """Cancel a job."""
        call = CancelPath(0, QUEUE_HOST, PREFIX + job_id)
        return self.calls.forward(call, WAIT_S, WAIT_S, lambda: False)

    def replace_node(self, number: int, *, wiped: bool = False) -> None:
        """Stop a control node and start it anew, with its data or without."""
        self.nodes[number].stop()
        host = self._hosts[number]
        if wiped:
            shutil.rmtree(self._folder / host.name)
        self.nodes[number] = self._node(host)
        self.nodes[number].start()

    def _node(self, host: ControlHost) -> ControlNode:
        settings = Settings(
            role=Role.CONTROL,
            name=host.name,
            listen=Listen(HOST, host.port),
            control_hosts=self._hosts,
            links=LINKS,
            control=ControlSettings(
                data_folder=str(self._folder / host.name),
                election_timeout_s=0.4,
            ),
        )
        return ControlNode.from_settings(
            settings,
            ControlNodeOptions(LeaseTiming(), 60_000, 1.5, 3, 5, 4.0),
        )

    def _link(
        self, name: str, role: str, session: Callable[..., None]
    ) -> LeaderLink:
        addresses = tuple(host.address for host in self._hosts)
        return make_link(name, role, session, self.pool, addresses)


def describe_upstream(number: int, born_ms: int, cores: int) -> UpstreamState:
    """Return the state that an upstream announces."""
    return UpstreamState(
        f'upstream-{number}',
        born_ms,
        SERVICE,
        ZONE,
        ('kind', 'rack'),
        Demand(1000 * cores, 1000, 0),
        is_draining=False,
        is_reachable=True,
    )


def make_link(
    name: str,
    role: str,
    session: Callable[..., None],
    pool: ThreadPoolExecutor,
    addresses: tuple[str, ...],
) -> LeaderLink:
    """Return a member's link to the leader, not started yet."""
    hello = Hello(name, role, uuid.uuid4().hex[:16])
    return LeaderLink(lambda: hello, TIMING, pool, lambda: addresses, session)


def free_port() -> int:
    """Return a port that is currently free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])
