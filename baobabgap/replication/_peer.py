"""One peer of this host: the link to it, and as leader its log."""

from collections.abc import Callable
from concurrent.futures import Executor
import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.messages import Hello
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._messages import AppendAnswer
from baobabgap.replication._messages import Introduce
from baobabgap.replication._messages import SnapshotAnswer
from baobabgap.replication._messages import VoteAnswer
from baobabgap.replication._outgoing import EntryBatch
from baobabgap.replication._outgoing import Outgoing
from baobabgap.replication._progress import Progress
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import Dialer
from baobabgap.transport import LinkTiming

_IDLE_CHECK_S: Final = 1.0


class Peer:
    """Keeps a link to one peer and sends what the peer lacks.

    One task holds the link and takes answers; a second one sends, so
    that a slow peer delays nobody else.
    """

    def __init__(
        self,
        host: ControlHost,
        state: GroupState,
        storage: Storage,
        limits: LogLimits,
        introduce: Callable[[], Introduce],
        on_vote: Callable[[str, str, VoteAnswer], None],
        on_round: Callable[[], None],
    ) -> None:
        self.host: Final = host
        # What the peer said of itself on the present link, or None.
        self.introduced: Introduce | None = None
        self._state = state
        self._storage = storage
        self._outgoing = Outgoing(state, limits)
        self._introduce = introduce
        self._on_vote = on_vote
        self._on_round = on_round
        self._link: Connection | None = None
        self._wake = threading.Event()
        self._dialer: Dialer | None = None
        self._pool: Executor | None = None
        self._last_error = ''

    def start(self, own: Hello, timing: LinkTiming, pool: Executor) -> None:
        """Begin to dial the peer."""
        self._pool = pool
        self._dialer = Dialer(
            self.host.address,
            own,
            timing,
            pool,
            self._hold_link,
            self._log_error,
        )
        self._dialer.start()

    def stop(self) -> None:
        """Dial no more and close the link."""
        if self._dialer is not None:
            self._dialer.stop()
        self._wake.set()

    @property
    def progress(self) -> Progress:
        """How far the peer has come, as the leader knows it."""
        return self._outgoing.progress

    @property
    def store(self) -> str:
        """The store that answers on the present link, or empty."""
        return self.introduced.store if self.introduced else ''

    @property
    def counts(self) -> bool:
        """Tell whether the store at the other end counts in a quorum."""
        return self._state.membership.counts(self.host.name, self.store)

    def wake(self) -> None:
        """Have the sending task look for something to send."""
        self._wake.set()

    def confirm_round(self, read_round: int) -> None:
        """Have the peer confirm that this host still leads."""
        self._outgoing.read_round = read_round
        self._wake.set()

    def send(self, message: object) -> None:
        """Send a message if there is a link."""
        if self._link is not None:
            self._link.send(message)

    def begin_to_lead(self) -> None:
        """Start anew with this peer, in a new term."""
        next_index = self._state.window.last_index + 1
        self._outgoing.progress = Progress(next_index, time.monotonic())
        self._wake.set()

    def _hold_link(self, connection: Connection) -> None:
        connection.send(self._introduce())
        messages = connection.messages()
        introduced = next(messages)
        if not isinstance(introduced, Introduce):
            raise ProtocolMismatch(
                'the first message must be Introduce',
                step='introduce',
                peer=self.host.name,
            )
        if introduced.name != self.host.name:
            raise ProtocolMismatch(
                f'{introduced.name} answers at {self.host.address}',
                step='introduce',
                peer=self.host.name,
            )
        self._open(connection, introduced)
        try:
            for message in messages:
                self._take(message)
        finally:
            self._close(connection)

    def _open(self, connection: Connection, introduced: Introduce) -> None:
        with self._state.lock:
            if introduced.store != self.store:
                self.progress.durable = 0
            self.introduced = introduced
            self._link = connection
            self.progress.restart_on_new_link(
                self._state.window.last_index + 1
            )
        assert self._pool is not None
        self._pool.submit(self._send_while_open, connection)

    def _close(self, connection: Connection) -> None:
        with self._state.lock:
            self.introduced = None
            self._link = None
        connection.close()
        self._wake.set()

    def _take(self, message: Any) -> None:
        with self._state.lock:
            match message:
                case Introduce():
                    self.introduced = message
                case AppendAnswer():
                    self._take_append_answer(message)
                case SnapshotAnswer():
                    self._take_snapshot_answer(message)
                case VoteAnswer():
                    self._on_vote(self.host.name, self.store, message)

    def _answer_is_current(self, term: int) -> bool:
        self._state.adopt_term(term)
        if not self._state.is_leader or term != self._state.term:
            return False
        self.progress.answered_at = time.monotonic()
        return True

    def _take_append_answer(self, answer: AppendAnswer) -> None:
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
            self._on_round()
        if self._outgoing.has_something():
            self._wake.set()

    def _take_snapshot_answer(self, answer: SnapshotAnswer) -> None:
        if not self._answer_is_current(answer.term):
            return
        progress = self.progress
        progress.awaiting = False
        if answer.installed:
            progress.note_installed(answer.index)
            self._state.commit_by_quorum()
        else:
            progress.snapshot_bytes = answer.received_bytes
        self._wake.set()

    def _send_while_open(self, connection: Connection) -> None:
        try:
            while not connection.is_closed:
                pause_s = self._send_due(connection)
                self._wake.wait(pause_s)
                self._wake.clear()
        except BaobabgapError as error:
            self._log_error(error)
        finally:
            # Whatever ended this task, a new link starts a new one.
            connection.close()

    def _send_due(self, connection: Connection) -> float:
        """Send what is due; return the seconds to wait for more."""
        with self._state.lock:
            needs_snapshot = self._outgoing.needs_snapshot()
        if needs_snapshot:
            self._load_snapshot()
        while True:
            with self._state.lock:
                if not self._state.is_leader or self._link is not connection:
                    return _IDLE_CHECK_S
                message = self._outgoing.next_message()
                if message is None:
                    return self._outgoing.pause_s()
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
            self.progress.snapshot_bytes = 0
            self.progress.awaiting = False
        log_event('snapshot_sent', peer=self.host.name, index=snapshot.index)

    def _log_error(self, error: BaobabgapError) -> None:
        """Log an error unless it only repeats the last one."""
        text = str(error)
        if text == self._last_error:
            return
        self._last_error = text
        log_event(
            'peer_error', step=error.step, peer=self.host.name, error=text
        )
