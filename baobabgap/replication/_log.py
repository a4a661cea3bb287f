"""The replicated log: what the control process builds on."""

from concurrent.futures import Executor
from concurrent.futures import Future
import threading
from typing import Any
from typing import Final

from baobabgap.replication._errors import NotLeader
from baobabgap.replication._machine import StateMachine
from baobabgap.replication._status import GroupRole
from baobabgap.replication._status import LogStatus
from baobabgap.settings import ControlHost
from baobabgap.settings import Settings
from baobabgap.transport import Connection


class ReplicatedLog:
    """A log of commands that a majority of the control hosts keeps.

    Placeholder for a single host, without storage::

        log = ReplicatedLog.from_settings(settings, '1', machine, pool)
        log.start()
        result = log.propose(b'command').result(timeout=5)
    """

    def __init__(
        self, own: ControlHost, machine: StateMachine, pool: Executor
    ) -> None:
        self._own: Final = own
        self._machine = machine
        self._pool = pool
        self._lock = threading.Lock()
        self._applied = 0
        self._running = False

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        incarnation: str,
        machine: StateMachine,
        pool: Executor,
    ) -> 'ReplicatedLog':
        """Open the data folder; raise `DamagedLog`, `DataFolderInUse`."""
        own = next(
            host
            for host in settings.control_hosts
            if host.name == settings.name
        )
        return cls(own, machine, pool)

    def start(self) -> None:
        """Take part in the group."""
        self._running = True

    def stop(self) -> None:
        """Move leadership away, then stop and close the storage."""
        self._running = False

    def propose(self, command: bytes) -> Future[Any]:
        """Have a command committed; the future brings what apply returns.

        Fails with `NotLeader` (certainly unchanged) or `OutcomeUnknown`.
        """
        future: Future[Any] = Future()
        if not self._running:
            future.set_exception(NotLeader('propose', None))
            return future
        self._pool.submit(self._apply, command, future)
        return future

    def read_barrier(self) -> Future[int]:
        """Complete once reads of the machine are linearizable.

        Fails with `NotLeader`.
        """
        future: Future[int] = Future()
        with self._lock:
            future.set_result(self._applied)
        return future

    def serve(self, connection: Connection) -> None:
        """Run the session of a link that a control host has dialled."""
        for _message in connection.messages():
            pass

    @property
    def is_leader(self) -> bool:
        """Tell whether this host leads as far as it knows."""
        return self._running

    @property
    def leader(self) -> ControlHost | None:
        """The leader as far as known here."""
        return self._own if self._running else None

    def status(self) -> LogStatus:
        """Describe this moment."""
        return LogStatus(
            name=self._own.name,
            role=GroupRole.LEADER,
            leader=self._own.name,
            term=1,
            commit=self._applied,
            applied=self._applied,
            first_index=1,
            last_index=self._applied,
            durable=self._applied,
            members=(),
            disk_bytes=0,
            storage_ok=True,
        )

    def transfer_leadership(self) -> bool:
        """Hand leadership to a peer; tell whether one has taken it."""
        return False

    def add_member(self, host: ControlHost) -> Future[None]:
        """Add one host; completes once it counts toward the quorum."""
        raise NotImplementedError

    def remove_member(self, name: str) -> Future[None]:
        """Remove one host; completes once that is committed."""
        raise NotImplementedError

    def _apply(self, command: bytes, future: Future[Any]) -> None:
        with self._lock:
            self._applied += 1
            future.set_result(self._machine.apply(self._applied, command))
