"""The answering end of a link that another control host has dialled."""

from collections.abc import Callable
from typing import Any
from typing import Final

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.replication._applier import Applier
from baobabgap.replication._election import Election
from baobabgap.replication._entry import decode_entries
from baobabgap.replication._entry import Entry
from baobabgap.replication._errors import StorageUnavailable
from baobabgap.replication._messages import AppendAnswer
from baobabgap.replication._messages import AppendEntries
from baobabgap.replication._messages import Introduce
from baobabgap.replication._messages import SeekElection
from baobabgap.replication._messages import SnapshotAnswer
from baobabgap.replication._messages import SnapshotPart
from baobabgap.replication._messages import VoteRequest
from baobabgap.replication._snapshot import Snapshot
from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import Storage
from baobabgap.replication._writer import LogWriter
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection


class PeerSession:
    """Answers one peer: as a follower of it, or as a voter."""

    def __init__(
        self,
        connection: Connection,
        state: GroupState,
        writer: LogWriter,
        storage: Storage,
        applier: Applier,
        election: Election,
        introduce: Callable[[], Introduce],
    ) -> None:
        self._connection: Final = connection
        self._state: Final = state
        self._writer: Final = writer
        self._storage: Final = storage
        self._applier: Final = applier
        self._election: Final = election
        self._introduce: Final = introduce
        self._received = bytearray()
        self._receiving_index = 0

    def run(self) -> None:
        """Answer until the link ends."""
        try:
            for message in self._connection.messages():
                self._take(message)
        finally:
            self._note_end()

    def _note_end(self) -> None:
        state = self._state
        with state.lock:
            if state.leader == self._connection.peer.name and (
                not state.is_leader and not state.stopping
            ):
                state.lose_leader()

    def _take(self, message: Any) -> None:
        match message:
            case Introduce():
                with self._state.lock:
                    self._connection.send(self._introduce())
            case VoteRequest():
                with self._state.lock:
                    if self._is_own_group(message.group):
                        self._election.consider(message, self._connection.send)
            case AppendEntries():
                entries = self._decode(message)
                with self._state.lock:
                    if self._accepts_leader(message):
                        self._take_entries(message, entries)
            case SnapshotPart():
                self._take_snapshot_part(message)
            case SeekElection():
                with self._state.lock:
                    if message.term == self._state.term:
                        self._election.seek_at_once()

    def _decode(self, message: AppendEntries) -> list[Entry]:
        try:
            return list(decode_entries(message.entries))
        except ValueError as error:
            raise ProtocolMismatch(
                str(error),
                step='append entries',
                peer=self._connection.peer.name,
            ) from error

    def _is_own_group(self, group: str) -> bool:
        own = self._state.membership.group
        if not own or own == group:
            return True
        log_event(
            'foreign_group', peer=self._connection.peer.name, group=group
        )
        return False

    def _accepts_leader(self, message: AppendEntries | SnapshotPart) -> bool:
        """Follow the sender unless its term is over."""
        state = self._state
        if not self._is_own_group(message.group) or state.stopping:
            return False
        if message.term < state.term:
            self._answer(accepted=False, index=0, read_round=0)
            return False
        state.follow(message.term, message.leader)
        return state.storage_ok

    def _take_entries(
        self, message: AppendEntries, entries: list[Entry]
    ) -> None:
        agreeing_index = self._disagreement(message)
        if agreeing_index is not None:
            self._answer_after_sync(False, agreeing_index, 0)
            return
        self._append_missing(entries)
        state = self._state
        confirmed = message.previous_index + len(entries)
        state.confirmed = max(state.confirmed, confirmed)
        state.advance_commit(min(message.commit, confirmed))
        if entries:
            self._answer_after_sync(True, None, 0)
        elif state.durable_term < state.term:
            self._answer_after_sync(True, None, message.read_round)
        else:
            self._answer(True, None, message.read_round)

    def _disagreement(self, message: AppendEntries) -> int | None:
        """Return where the logs may agree if they don't, else None."""
        window = self._state.window
        previous = message.previous_index
        if previous > window.last_index:
            return window.last_index
        if previous <= window.compacted_index:
            # Compacted entries are committed, and so agree.
            return None
        term = window.term_at(previous)
        if term == message.previous_term:
            return None
        while previous > window.compacted_index:
            if window.term_at(previous) != term:
                break
            previous -= 1
        return previous

    def _append_missing(self, entries: list[Entry]) -> None:
        state = self._state
        window = state.window
        for entry in entries:
            if entry.index <= window.compacted_index:
                continue
            if entry.index <= window.last_index:
                if window.term_at(entry.index) == entry.term:
                    continue
                state.truncate(entry.index)
            state.append(entry)

    def _answer_after_sync(
        self, accepted: bool, index: int | None, read_round: int
    ) -> None:
        self._writer.after_sync(
            f'append {id(self)} {accepted} {read_round}',
            lambda: self._answer(accepted, index, read_round),
        )

    def _answer(
        self, accepted: bool, index: int | None, read_round: int
    ) -> None:
        state = self._state
        if index is None:
            index = min(state.durable, state.confirmed)
        self._connection.send(
            AppendAnswer(
                term=state.term,
                accepted=accepted,
                index=index,
                read_round=read_round,
            )
        )

    def _take_snapshot_part(self, part: SnapshotPart) -> None:
        with self._state.lock:
            if not self._accepts_leader(part):
                self._refuse_while_storage_fails()
                return
        if part.offset == 0 or part.index != self._receiving_index:
            self._received = bytearray()
            self._receiving_index = part.index
        if part.offset == len(self._received):
            self._received += part.data
        if len(self._received) < part.state_bytes:
            self._answer_snapshot(part.index, installed=False)
            return
        snapshot = Snapshot(
            part.index, part.index_term, part.membership, bytes(self._received)
        )
        self._received = bytearray()
        self._install(snapshot)

    def _refuse_while_storage_fails(self) -> None:
        """End the link: the leader waits for an answer to each part."""
        if not self._state.storage_ok:
            raise StorageUnavailable(
                'the disk refuses writes',
                step='install snapshot',
                peer=self._connection.peer.name,
            )

    def _install(self, snapshot: Snapshot) -> None:
        """Make the snapshot durable, then put it in force."""
        state = self._state
        # If the disk refuses, the error ends the link; the leader will
        # begin again after a pause.
        self._storage.save_snapshot(snapshot)
        with state.lock:
            if snapshot.index > state.commit:
                self._applier.install(snapshot)
                self._writer.request_rewrite()
            state.confirmed = max(state.confirmed, snapshot.index)
            self._writer.after_sync(
                f'snapshot {id(self)}',
                lambda: self._answer_snapshot(snapshot.index, installed=True),
            )

    def _answer_snapshot(self, index: int, installed: bool) -> None:
        self._connection.send(
            SnapshotAnswer(
                term=self._state.term,
                index=index,
                received_bytes=len(self._received),
                installed=installed,
            )
        )
