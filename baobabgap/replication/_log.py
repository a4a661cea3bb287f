"""The replicated log, the public interface of this package."""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import Future
from concurrent.futures import wait
import threading
import time
from typing import Any
from typing import Final

from baobabgap.replication._changes import MembershipChanges
from baobabgap.replication._entry import EntryKind
from baobabgap.replication._errors import OutcomeUnknown
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._folder import DataFolder
from baobabgap.replication._folder import DiskFolder
from baobabgap.replication._leadership_transfer import LeadershipTransfer
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._machine import StateMachine
from baobabgap.replication._parts import LogParts
from baobabgap.replication._session import PeerSession
from baobabgap.replication._state import fail_futures
from baobabgap.replication._status import LogStatus
from baobabgap.replication._status_view import read_status
from baobabgap.settings import ControlHost
from baobabgap.settings import Settings
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection

_TICKS_PER_ELECTION_TIMEOUT: Final = 10
_STOP_TIMEOUT_S: Final = 5.0


class ReplicatedLog:
    """A log of commands that is replicated among the control hosts.

    The process that owns the listener passes links from control hosts to
    `serve`; all other work runs in tasks of the pool::

        log = ReplicatedLog.from_settings(settings, '1', machine, pool)
        log.start()
        result = log.propose(b'command').result(timeout=5)
    """

    def __init__(self, parts: LogParts, pool: Executor) -> None:
        self._pool: Final = pool
        self._storage: Final = parts.storage
        self._state: Final = parts.state
        self._writer: Final = parts.writer
        self._peers: Final = parts.peers
        self._reads: Final = parts.reads
        self._applier: Final = parts.applier
        self._election: Final = parts.election
        self._founding: Final = parts.founding
        self._changes: Final = MembershipChanges(self._state, self._peers)
        self._transfer: Final = LeadershipTransfer(self._state, self._peers)
        self._tasks: list[Future[None]] = []
        self._session_connections: set[Connection] = set()
        self._stopped = threading.Event()
        # Called with the name of a task that has failed and the error. From
        # then on this host doesn't take part in the group.
        self.on_task_failure: Callable[[str, Exception], None] = (
            lambda name, error: None
        )
        self._state.on_step_down = self._fail_pending_requests

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        incarnation: str,
        machine: StateMachine,
        pool: Executor,
    ) -> 'ReplicatedLog':
        """Open the data folder named in the settings.

        Raises `DataFolderInUse`, `DamagedLog` or `StorageUnavailable`.
        """
        folder = DiskFolder(
            settings.control.data_folder,
            settings.control.added_sync_delay_ms / 1000,
        )
        return cls.from_folder(
            settings, incarnation, machine, pool, folder, LogLimits()
        )

    @classmethod
    def from_folder(
        cls,
        settings: Settings,
        incarnation: str,
        machine: StateMachine,
        pool: Executor,
        folder: DataFolder,
        limits: LogLimits,
    ) -> 'ReplicatedLog':
        """Open any `DataFolder`; see `from_settings`."""
        parts = LogParts.build(
            settings, incarnation, machine, pool, folder, limits
        )
        return cls(parts, pool)

    def start(self) -> None:
        """Start the tasks of this host."""
        self._tasks = [
            self._pool.submit(self._run_task, 'writer', self._writer.run),
            self._pool.submit(self._run_task, 'applier', self._applier.run),
            self._pool.submit(
                self._run_task, 'ticks', self._tick_until_stopped
            ),
        ]

    def stop(self) -> None:
        """Transfer leadership, then stop and close the storage."""
        if self._stopped.is_set():
            return
        self.transfer_leadership()
        state = self._state
        with state.lock:
            state.stopping = True
            state.step_down('stopped')
            state.writer_work.notify_all()
            state.applier_work.notify_all()
            self._peers.stop()
            connections = list(self._session_connections)
        for connection in connections:
            connection.close()
        self._stopped.set()
        wait(self._tasks, timeout=_STOP_TIMEOUT_S)
        self._fail_remaining()
        self._close_storage()

    def propose(self, command: bytes) -> Future[Any]:
        """Propose a command; the future returns the result of applying it.

        Fails with `NotLeader`, in which case nothing has changed, or with
        `OutcomeUnknown`.
        """
        future: Future[Any] = Future()
        state = self._state
        with state.lock:
            if state.is_leader and not state.transferring:
                entry = state.append_as_leader(EntryKind.COMMAND, command)
                state.future_by_index[entry.index] = future
                return future
            error = state.not_leader('propose')
        future.set_exception(error)
        return future

    def read_barrier(self) -> Future[int]:
        """Complete once reads of the state machine are linearizable.

        The result is the last index applied at that time. Fails with
        `NotLeader`.
        """
        return self._reads.begin()

    def serve(self, connection: Connection) -> None:
        """Serve a link from another control host until it closes."""
        session = PeerSession(
            connection,
            self._state,
            self._writer,
            self._storage,
            self._applier,
            self._election,
            self._founding.introduce,
        )
        with self._state.lock:
            if self._state.stopping:
                return
            self._session_connections.add(connection)
            peer = self._peers.get(connection.peer.name)
            if peer is not None:
                peer.dial_now()
        try:
            session.run()
        finally:
            with self._state.lock:
                self._session_connections.discard(connection)

    @property
    def is_leader(self) -> bool:
        """Whether this host considers itself the leader."""
        return self._state.is_leader

    @property
    def leading_term(self) -> int | None:
        """The term in which this host accepts proposals, or None."""
        with self._state.lock:
            if not self._state.is_leader or self._state.transferring:
                return None
            return self._state.term

    @property
    def leader(self) -> ControlHost | None:
        """The leader known to this host, or None."""
        with self._state.lock:
            return self._state.leader_host

    @property
    def recent_leader(self) -> ControlHost | None:
        """The leader, if it sent a message within the election timeout."""
        with self._state.lock:
            if not self._state.leader_is_recent():
                return None
            return self._state.leader_host

    @property
    def is_member(self) -> bool:
        """Whether this host's name is in the membership."""
        with self._state.lock:
            name = self._state.own_host.name
            return self._state.membership.member(name) is not None

    @property
    def leader_heard_at(self) -> float:
        """The monotonic time of the last message from another leader."""
        with self._state.lock:
            return self._state.leader_heard_at

    def status(self) -> LogStatus:
        """Return the current status."""
        return read_status(self._state, self._peers, self._storage)

    def silence_s_by_member(self) -> dict[str, float]:
        """Return the seconds since the last answer of each other member."""
        now = time.monotonic()
        with self._state.lock:
            return {
                peer.host.name: now - peer.progress.answered_at
                for peer in self._peers
            }

    def transfer_leadership(self) -> bool:
        """Transfer leadership to the most up-to-date peer.

        Returns whether another host has become the leader.
        """
        return self._transfer.run()

    def add_member(self, host: ControlHost) -> Future[None]:
        """Add one host; completes once it is a voter.

        Fails with `MembershipChangeRefused` or `OutcomeUnknown`, or with
        `MemberRemoved` if the host is removed before. Until then a host that
        was lost while it joined keeps the future pending.
        """
        return self._changes.add(host)

    def remove_member(self, name: str) -> Future[None]:
        """Remove one host; completes once the change is committed.

        Fails with `MembershipChangeRefused` or `OutcomeUnknown`.
        """
        return self._changes.remove(name)

    def _fail_pending_requests(self) -> None:
        self._reads.fail_all()
        self._changes.fail_all()

    def _run_task(self, name: str, run: Callable[[], None]) -> None:
        """Run a task; if it fails, this host stops participating."""
        try:
            run()
        except Exception as error:
            log_event('replication_task_failed', task=name, error=repr(error))
            state = self._state
            with state.lock:
                state.stopping = True
                state.storage_ok = False
                state.step_down(f'{name} failed')
                state.writer_work.notify_all()
                state.applier_work.notify_all()
            self.on_task_failure(name, error)

    def _tick_until_stopped(self) -> None:
        interval_s = (
            self._state.election_timeout_s / _TICKS_PER_ELECTION_TIMEOUT
        )
        while not self._stopped.is_set():
            with self._state.lock:
                if self._state.stopping:
                    return
                self._peers.refresh()
                self._founding.tick()
                self._election.tick()
                self._changes.tick()
                election_due_at = self._election.due_at()
            # Elections start at their random times. Rounded to ticks, those
            # of hosts that tick together would often be the same.
            until_election_s = max(0.0, election_due_at - time.monotonic())
            self._stopped.wait(min(interval_s, until_election_s))

    def _fail_remaining(self) -> None:
        with self._state.lock:
            futures = list(self._state.future_by_index.values())
            self._state.future_by_index = {}
            self._fail_pending_requests()
        error = OutcomeUnknown('this host stopped', step='replicate')
        fail_futures(futures, error)

    def _close_storage(self) -> None:
        try:
            # With an empty record after the last entry, the next startup
            # can tell damage to that entry from a torn write.
            self._storage.append(self._state.term, self._state.vote, ())
        except StorageUnavailable:
            pass
        self._storage.close()
