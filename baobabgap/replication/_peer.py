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
from baobabgap.replication._entry import encode_entries
from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._messages import AppendAnswer
from baobabgap.replication._messages import AppendEntries
from baobabgap.replication._messages import Introduce
from baobabgap.replication._messages import SnapshotAnswer
from baobabgap.replication._messages import SnapshotPart
from baobabgap.replication._messages import VoteAnswer
from baobabgap.replication._progress import Progress
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.settings import ControlHost
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import Dialer
from baobabgap.transport import LinkTiming

_HEARTBEATS_IN_ELECTION_TIMEOUT: Final = 4
_IDLE_CHECK_S: Final = 1.0
_COMMIT_DELAY_S: Final = 0.03


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
        self.progress = Progress(1, 0.0)
        self._state = state
        self._storage = storage
        self._limits = limits
        self._introduce = introduce
        self._on_vote = on_vote
        self._on_round = on_round
        self._link: Connection | None = None
        self._wake = threading.Event()
        self._dialer: Dialer | None = None
        self._pool: Executor | None = None
        self._read_round = 0
        self._last_error = ''
        self._heartbeat_s = (
            state.election_timeout_s / _HEARTBEATS_IN_ELECTION_TIMEOUT
        )

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
        self._read_round = read_round
        self._wake.set()

    def send(self, message: object) -> None:
        """Send a message if there is a link."""
        if self._link is not None:
            self._link.send(message)

    def begin_to_lead(self) -> None:
        """Start anew with this peer, in a new term."""
        next_index = self._state.window.last_index + 1
        self.progress = Progress(next_index, time.monotonic())
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
            connection.close()

    def _send_due(self, connection: Connection) -> float:
        """Send what is due; return the seconds to wait for more."""
        if self._needs_snapshot():
            self._load_snapshot()
        while True:
            with self._state.lock:
                if not self._state.is_leader or self._link is not connection:
                    return _IDLE_CHECK_S
                message = self._next_message()
                if message is None:
                    return self._pause_s()
            if isinstance(message, _Batch):
                message = message.as_message()
            connection.send(message)

    def _pause_s(self) -> float:
        progress = self.progress
        if progress.snapshot is not None and progress.awaiting:
            return _IDLE_CHECK_S
        if progress.sent_commit < self._state.commit:
            due_at = progress.sent_at + _COMMIT_DELAY_S
        else:
            due_at = progress.sent_at + self._heartbeat_s
        return max(0.001, due_at - time.monotonic())

    def _needs_snapshot(self) -> bool:
        with self._state.lock:
            if not self._state.is_leader or self.progress.snapshot:
                return False
            previous = self.progress.next_index - 1
            return previous < self._state.window.compacted_index

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

    def _next_message(self) -> 'object | _Batch | None':
        """Choose, with the lock held, what to send next."""
        progress = self.progress
        window = self._state.window
        if progress.snapshot is not None:
            return self._next_snapshot_part()
        if progress.next_index - 1 < window.compacted_index:
            return None
        progress.next_index = min(progress.next_index, window.last_index + 1)
        if progress.probing:
            return self._probe()
        entries_wait = progress.next_index <= window.last_index
        room = self._limits.unacknowledged_bytes
        if entries_wait and progress.unacknowledged_bytes < room:
            return self._next_batch()
        if self._round_is_due() or self._heartbeat_is_due():
            return self._empty_message(self._read_round)
        return None

    def _probe(self) -> AppendEntries | None:
        if self.progress.awaiting and not self._heartbeat_is_due():
            return None
        self.progress.awaiting = True
        return self._empty_message(0)

    def _round_is_due(self) -> bool:
        progress = self.progress
        if progress.sent_round >= self._read_round:
            return False
        return progress.sent_round == progress.confirmed_round or (
            progress.sent_round == 0
        )

    def _heartbeat_is_due(self) -> bool:
        return self._pause_s() <= 0.001

    def _next_batch(self) -> '_Batch':
        progress = self.progress
        entries = self._state.window.entries_from(
            progress.next_index, self._limits.message_bytes
        )
        batch = _Batch(self._empty_message(0), entries)
        size = sum(entry.encoded_bytes for entry in entries)
        progress.note_sent(entries[-1].index, size)
        return batch

    def _empty_message(self, read_round: int) -> AppendEntries:
        progress = self.progress
        state = self._state
        previous = progress.next_index - 1
        progress.sent_at = time.monotonic()
        progress.sent_commit = state.commit
        if read_round:
            progress.sent_round = read_round
        return AppendEntries(
            group=state.membership.group,
            term=state.term,
            leader=state.own.name,
            previous_index=previous,
            previous_term=state.window.term_at(previous),
            commit=state.commit,
            read_round=read_round,
            entries=b'',
        )

    def _next_snapshot_part(self) -> SnapshotPart | None:
        progress = self.progress
        snapshot = progress.snapshot
        assert snapshot is not None
        if progress.awaiting:
            return None
        progress.awaiting = True
        progress.sent_at = time.monotonic()
        start = progress.snapshot_bytes
        end = start + self._limits.snapshot_part_bytes
        return SnapshotPart(
            group=self._state.membership.group,
            term=self._state.term,
            leader=self._state.own.name,
            index=snapshot.index,
            index_term=snapshot.term,
            membership=snapshot.membership,
            offset=start,
            state_bytes=len(snapshot.state),
            data=snapshot.state[start:end],
        )

    def _log_error(self, error: BaobabgapError) -> None:
        """Log an error unless it only repeats the last one."""
        text = str(error)
        if text == self._last_error:
            return
        self._last_error = text
        log_event(
            'peer_error', step=error.step, peer=self.host.name, error=text
        )


class _Batch:
    """Entries chosen with the lock held, and encoded without it."""

    def __init__(self, head: AppendEntries, entries: list[Entry]) -> None:
        self._head = head
        self._entries = entries

    def as_message(self) -> AppendEntries:
        """Encode the entries into the message."""
        head = self._head
        return AppendEntries(
            group=head.group,
            term=head.term,
            leader=head.leader,
            previous_index=head.previous_index,
            previous_term=head.previous_term,
            commit=head.commit,
            read_round=head.read_round,
            entries=encode_entries(self._entries),
        )
