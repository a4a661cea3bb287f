"""The link to one peer and, on the leader, the replication to it."""

from collections.abc import Callable
from concurrent.futures import Executor
import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._messages import AppendAnswer
from baobabgap.replication._messages import Introduce
from baobabgap.replication._messages import SnapshotAnswer
from baobabgap.replication._messages import VoteAnswer
from baobabgap.replication._outgoing_messages import EntryBatch
from baobabgap.replication._outgoing_messages import OutgoingMessages
from baobabgap.replication._progress import Progress
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import Dialer
from baobabgap.transport import LinkTiming
from baobabgap.wire import Hello

_IDLE_POLL_INTERVAL_S: Final = 1.0


class Peer:
    """Keeps a link to one peer and sends the entries that it lacks.

    One task runs the link and handles answers; a second one sends, so
    that a slow peer does not delay others.
    """

    def __init__(
        self,
        host: ControlHost,
        state: GroupState,
        storage: Storage,
        limits: LogLimits,
        introduce: Callable[[], Introduce],
        on_vote_answer: Callable[[str, str, VoteAnswer], None],
        on_round_confirmed: Callable[[], None],
    ) -> None:
        self.host: Final = host
        # The introduction of the peer on the current link, or None.
        self.introduction: Introduce | None = None
        self._state = state
        self._storage = storage
        self._outgoing = OutgoingMessages(state, limits)
        self._introduce = introduce
        self._on_vote_answer = on_vote_answer
        self._on_round_confirmed = on_round_confirmed
        self._link: Connection | None = None
        self._wake = threading.Event()
        self._dialer: Dialer | None = None
        self._pool: Executor | None = None
        self._last_error = ''

    def start(self, hello: Hello, timing: LinkTiming, pool: Executor) -> None:
        """Start to connect to the peer."""
        self._pool = pool
        self._dialer = Dialer(
            self.host.address,
            hello,
            timing,
            pool,
            self._run_link,
            self._log_error,
        )
        self._dialer.start()

    def stop(self) -> None:
        """Stop connecting and close the link."""
        if self._dialer is not None:
            self._dialer.stop()
        self._wake.set()

    def dial_now(self) -> None:
        """Connect without further delay, as the peer is known to be up."""
        if self._dialer is not None and self._link is None:
            self._dialer.dial_now()

    @property
    def progress(self) -> Progress:
        """The replication progress of the peer, on the leader."""
        return self._outgoing.progress

    @property
    def store(self) -> str:
        """The store of the peer on the current link, or empty."""
        return self.introduction.store if self.introduction else ''

    @property
    def is_voting(self) -> bool:
        """Whether the peer's current store counts toward a quorum."""
        return self._state.membership.is_voting_store(
            self.host.name, self.store
        )

    def wake(self) -> None:
        """Wake the sending task."""
        self._wake.set()

    def request_read_round(self, read_round: int) -> None:
        """Request the peer to confirm that this host is still the leader."""
        self._outgoing.read_round = read_round
        self._wake.set()

    def send(self, message: object) -> None:
        """Send a message if the peer is connected."""
        if self._link is not None:
            self._link.send(message)

    def reset_progress(self) -> None:
        """Reset the progress of the peer for a new term."""
        next_index = self._state.window.last_index + 1
        self._outgoing.progress = Progress(next_index, time.monotonic())
        self._wake.set()

    def _run_link(self, connection: Connection) -> None:
        connection.send(self._introduce())
        messages = connection.messages()
        introduction = next(messages)
        if not isinstance(introduction, Introduce):
            raise ProtocolMismatch(
                'the first message must be Introduce',
                step='introduce',
                peer=self.host.name,
            )
        if introduction.name != self.host.name:
            raise ProtocolMismatch(
                f'unexpected host {introduction.name} at {self.host.address}',
                step='introduce',
                peer=self.host.name,
            )
        self._open_link(connection, introduction)
        try:
            for message in messages:
                self._handle(message)
        finally:
            self._close_link(connection)

    def _open_link(
        self, connection: Connection, introduction: Introduce
    ) -> None:
        with self._state.lock:
            if introduction.store != self.store:
                self.progress.durable_index = 0
            self.introduction = introduction
            self._link = connection
            self.progress.restart_on_new_link(
                self._state.window.last_index + 1
            )
        assert self._pool is not None
        self._pool.submit(self._send_while_open, connection)

    def _close_link(self, connection: Connection) -> None:
        with self._state.lock:
            self.introduction = None
            self._link = None
        connection.close()
        self._wake.set()

    def _handle(self, message: Any) -> None:
        with self._state.lock:
            match message:
                case Introduce():
                    self.introduction = message
                case AppendAnswer():
                    self._handle_append_answer(message)
                case SnapshotAnswer():
                    self._handle_snapshot_answer(message)
                case VoteAnswer():
                    self._on_vote_answer(self.host.name, self.store, message)

    def _answer_is_current(self, term: int) -> bool:
        self._state.adopt_term(term)
        if not self._state.is_leader or term != self._state.term:
            return False
        self.progress.answered_at = time.monotonic()
        return True

    def _handle_append_answer(self, answer: AppendAnswer) -> None:
        if not self._answer_is_current(answer.term):
            return
        progress = self.progress
        if answer.accepted:
            progress.note_accepted(answer.index)
            self._state.commit_by_quorum()
        else:
            progress.note_refused(answer.index)
        if answer.read_round > progress.confirmed_round:
            progress.confirmed_round = answer.read_round
            self._on_round_confirmed()
        if self._outgoing.has_pending():
            self._wake.set()

    def _handle_snapshot_answer(self, answer: SnapshotAnswer) -> None:
        if not self._answer_is_current(answer.term):
            return
        progress = self.progress
        progress.awaiting_answer = False
        if answer.installed:
            progress.note_installed(answer.index)
            self._state.commit_by_quorum()
        else:
            progress.snapshot_received_bytes = answer.received_bytes
        self._wake.set()

    def _send_while_open(self, connection: Connection) -> None:
        try:
            while not connection.is_closed:
                pause_s = self._send_due(connection)
                self._wake.wait(pause_s)
                self._wake.clear()
        except BaobabgapError as error:
            self._log_error(error)
        except Exception as error:
            log_event(
                'peer_sending_failed', peer=self.host.name, error=repr(error)
            )
        finally:
            # Every new link starts a new sending task, also after an error.
            connection.close()

    def _send_due(self, connection: Connection) -> float:
        """Send all due messages; return the seconds until the next one."""
        with self._state.lock:
            needs_snapshot = self._outgoing.needs_snapshot()
        if needs_snapshot:
            self._load_snapshot()
        while True:
            with self._state.lock:
                if not self._state.is_leader or self._link is not connection:
                    return _IDLE_POLL_INTERVAL_S
                message = self._outgoing.next_message()
                if message is None:
                    return self._outgoing.due_in_s()
            if isinstance(message, EntryBatch):
                message = message.as_message()
            connection.send(message)

    def _load_snapshot(self) -> None:
        try:
            snapshot = self._storage.load_snapshot()
        except StorageUnavailable as error:
            self._log_error(error)
            self.progress.sent_at = time.monotonic()
            return
        with self._state.lock:
            self.progress.snapshot = snapshot
            self.progress.snapshot_received_bytes = 0
            self.progress.awaiting_answer = False
        log_event('snapshot_sent', peer=self.host.name, index=snapshot.index)

    def _log_error(self, error: BaobabgapError) -> None:
        """Log an error unless it equals the last one."""
        text = str(error)
        if text == self._last_error:
            return
        self._last_error = text
        log_event(
            'peer_error', step=error.step, peer=self.host.name, error=text
        )
