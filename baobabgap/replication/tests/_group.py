"""A group of hosts in one process, with real links over loopback."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
import json
import time
from typing import Any

from baobabgap._exceptions import ConnectionLost
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._log import ReplicatedLog
from baobabgap.replication.tests._faults import FaultyFolder
from baobabgap.settings import ControlHost
from baobabgap.settings import ControlSettings
from baobabgap.settings import Links
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.wire import Hello

ELECTION_TIMEOUT_S = 0.4
WAIT_LIMIT_S = 15.0
LIMITS = LogLimits(
    snapshot_after_bytes=20_000,
    kept_bytes=2_000,
    message_bytes=4_000,
    snapshot_part_bytes=3_000,
)


class ListMachine:
    """A state machine that keeps all commands, to compare hosts."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> Any:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b'\n'.join(self.commands)

    def restore(self, index: int, snapshot: bytes) -> None:
        self.commands = snapshot.split(b'\n') if snapshot else []


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds; fail after `WAIT_LIMIT_S`."""
    deadline = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f'not within {WAIT_LIMIT_S} s: {description}')
        time.sleep(0.005)


class PartitionableConnection:
    """The accepting side of a link that can drop all messages.

    In a silent partition the link stays open, but messages get lost.
    """

    def __init__(
        self, connection: Connection, delivers: Callable[[], bool]
    ) -> None:
        self.peer = connection.peer
        self._connection = connection
        self._delivers = delivers

    def send(self, *messages: object) -> None:
        if self._delivers():
            self._connection.send(*messages)

    def messages(self) -> Iterator[Any]:
        for message in self._connection.messages():
            if self._delivers():
                yield message

    def close(self) -> None:
        self._connection.close()


class Host:
    """One host that can be stopped, killed, isolated and restarted."""

    def __init__(
        self,
        name: str,
        pool: ThreadPoolExecutor,
        are_connected: Callable[[str, str], bool],
    ) -> None:
        self.name = name
        # In force at the next start.
        self.election_timeout_s = ELECTION_TIMEOUT_S
        self.folder = FaultyFolder()
        self.machine = ListMachine()
        self.log: ReplicatedLog | None = None
        self.configured: tuple[ControlHost, ...] = ()
        self._pool = pool
        self._are_connected = are_connected
        self._links: set[Connection] = set()
        self.listener = Listener(
            '127.0.0.1',
            0,
            self._hello,
            LinkTiming(0.1, 0.5),
            pool,
            self._serve,
        )
        self.listener.start()

    @property
    def address(self) -> ControlHost:
        return ControlHost(self.name, '127.0.0.1', self.listener.port)

    @property
    def folder_identity(self) -> str:
        return str(json.loads(self.folder.read('format'))['store'])

    @property
    def running(self) -> ReplicatedLog:
        assert self.log is not None
        return self.log

    def start(self) -> None:
        settings = Settings(
            role=Role.CONTROL,
            name=self.name,
            control_hosts=self.configured,
            links=Links(0.1, 0.5),
            control=ControlSettings(
                election_timeout_s=self.election_timeout_s
            ),
        )
        self.machine = ListMachine()
        self.log = ReplicatedLog.from_folder(
            settings, '1', self.machine, self._pool, self.folder, LIMITS
        )
        self.log.start()

    def kill(self) -> None:
        """Stop without closing; data that was not synced is lost."""
        old = self.folder
        # The old process may still write to the old folder; the new one
        # does not see it.
        self.folder = old.crash()
        old.sync_gate.set()
        log = self.running
        self.log = None
        self.close_links()
        log.transfer_leadership = lambda: False  # type: ignore[method-assign]
        log.stop()

    def lose_disk(self) -> None:
        self.folder = FaultyFolder()

    def close_links(self) -> None:
        for link in list(self._links):
            link.close()

    def _hello(self) -> Hello:
        return Hello(name=self.name, role='control', incarnation='1')

    def _serve(self, connection: Connection) -> None:
        log = self.log
        peer = connection.peer.name
        if log is None or not self._are_connected(peer, self.name):
            raise ConnectionLost('cut', step='test', peer=peer)
        self._links.add(connection)
        try:
            log.serve(
                PartitionableConnection(  # type: ignore[arg-type]
                    connection, lambda: self._are_connected(peer, self.name)
                )
            )
        finally:
            self._links.discard(connection)


class Group:
    """Several hosts and the network partitions between them."""

    def __init__(self, size: int) -> None:
        self.pool = ThreadPoolExecutor(max_workers=400)
        self.partitions: set[frozenset[str]] = set()
        self.hosts = [
            Host(f'host-{number}', self.pool, self._are_connected)
            for number in range(1, size + 1)
        ]
        for host in self.hosts:
            host.configured = tuple(other.address for other in self.hosts)

    def start(self) -> None:
        for host in self.hosts:
            host.start()

    def close(self) -> None:
        for host in self.hosts:
            if host.log is not None:
                host.kill()
            host.listener.stop()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def isolate(self, *hosts: Host, silently: bool = False) -> None:
        """Partition these hosts from all others.

        In a silent partition the links stay open, but drop all messages.
        """
        inside = {host.name for host in hosts}
        for one in inside:
            for other in self.hosts:
                if other.name not in inside:
                    self.partitions.add(frozenset((one, other.name)))
        if not silently:
            self._close_all_links()

    def heal(self) -> None:
        self.partitions = set()
        self._close_all_links()

    def _close_all_links(self) -> None:
        for host in self.hosts:
            host.close_links()

    def leader(self, among: list[Host] | None = None) -> Host:
        """Wait until exactly one host leads, and return it."""
        found: list[Host] = []

        def one_leads() -> bool:
            found[:] = [
                host
                for host in among or self.hosts
                if host.log is not None and host.log.is_leader
            ]
            return len(found) == 1

        wait_until(one_leads, 'one leader')
        return found[0]

    def followers(self) -> list[Host]:
        leader = self.leader()
        return [host for host in self.hosts if host is not leader]

    def propose(self, *commands: bytes) -> None:
        """Propose commands to the leader and wait for the results."""
        log = self.leader().running
        futures = [log.propose(command) for command in commands]
        for future in futures:
            future.result(timeout=WAIT_LIMIT_S)

    def wait_for_commands(self, *hosts: Host) -> None:
        """Wait until hosts have applied the commands of the leader."""
        wanted = list(self.leader().machine.commands)
        for host in hosts or tuple(self.hosts):
            wait_until(
                lambda: host.machine.commands == wanted,  # noqa: B023
                f'{host.name} has applied {len(wanted)} commands',
            )

    def _are_connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.partitions
