"""The accepting side of a link from another control host."""

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
    """Answers the requests of one peer, as a follower or as a voter."""

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
        self._snapshot_data = bytearray()
        self._snapshot_index = 0

    def run(self) -> None:
        """Answer requests until the link closes."""
        try:
            for message in self._connection.messages():
                self._handle(message)
        finally:
            self._handle_link_end()

    def _handle_link_end(self) -> None:
        state = self._state
        with state.lock:
            if state.leader == self._connection.peer.name and (
                not state.is_leader and not state.stopping
            ):
                state.handle_leader_link_closed()

    def _handle(self, message: Any) -> None:
        match message:
            case Introduce():
                with self._state.lock:
                    self._connection.send(self._introduce())
            case VoteRequest():
                with self._state.lock:
                    if self._is_own_group(message.group):
                        self._election.handle_vote_request(
                            message, self._connection.send
                        )
            case AppendEntries():
                entries = self._decode(message)
                with self._state.lock:
                    if self._accepts_leader(message):
                        self._handle_entries(message, entries)
            case SnapshotPart():
                self._handle_snapshot_part(message)
            case SeekElection():
                with self._state.lock:
                    if message.term == self._state.term:
                        self._election.start_without_pre_vote()

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
        """Follow the sender unless its term is outdated."""
        state = self._state
        if not self._is_own_group(message.group) or state.stopping:
            return False
        if message.term < state.term:
            self._send_append_answer(accepted=False, index=0, read_round=0)
            return False
        state.follow(message.term, message.leader)
        return state.storage_ok

    def _handle_entries(
        self, message: AppendEntries, entries: list[Entry]
    ) -> None:
        possible_match = self._find_possible_match(message)
        if possible_match is not None:
            self._send_append_answer_after_sync(False, possible_match, 0)
            return
        self._append_missing(entries)
        state = self._state
        matching_index = message.previous_index + len(entries)
        state.matching_index = max(state.matching_index, matching_index)
        state.advance_commit(min(message.commit, matching_index))
        if entries:
            self._send_append_answer_after_sync(True, None, 0)
        elif state.durable_term < state.term:
            self._send_append_answer_after_sync(True, None, message.read_round)
        else:
            self._send_append_answer(True, None, message.read_round)

    def _find_possible_match(self, message: AppendEntries) -> int | None:
        """Return None if the logs match, else where they may match."""
        window = self._state.window
        previous = message.previous_index
        if previous > window.last_index:
            return window.last_index
        if previous <= window.compacted_index:
            # Compacted entries are committed, and therefore match.
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

    def _send_append_answer_after_sync(
        self, accepted: bool, index: int | None, read_round: int
    ) -> None:
        self._writer.after_sync(
            f'append {id(self)} {accepted} {read_round}',
            lambda: self._send_append_answer(accepted, index, read_round),
        )

    def _send_append_answer(
        self, accepted: bool, index: int | None, read_round: int
    ) -> None:
        state = self._state
        if index is None:
            index = min(state.durable_index, state.matching_index)
        self._connection.send(
            AppendAnswer(
                term=state.term,
                accepted=accepted,
                index=index,
                read_round=read_round,
            )
        )

    def _handle_snapshot_part(self, part: SnapshotPart) -> None:
        with self._state.lock:
            if not self._accepts_leader(part):
                self._refuse_while_storage_fails()
                return
        if part.offset == 0 or part.index != self._snapshot_index:
            self._snapshot_data = bytearray()
            self._snapshot_index = part.index
        if part.offset == len(self._snapshot_data):
            self._snapshot_data += part.data
        if len(self._snapshot_data) < part.state_bytes:
            self._send_snapshot_answer(part.index, installed=False)
            return
        snapshot = Snapshot(
            part.index,
            part.index_term,
            part.membership,
            bytes(self._snapshot_data),
        )
        self._snapshot_data = bytearray()
        self._install(snapshot)

    def _refuse_while_storage_fails(self) -> None:
        """Close the link, since the leader awaits an answer to each part."""
        if not self._state.storage_ok:
            raise StorageUnavailable(
                'the disk refuses writes',
                step='install snapshot',
                peer=self._connection.peer.name,
            )

    def _install(self, snapshot: Snapshot) -> None:
        """Make the snapshot durable, then apply it."""
        state = self._state
        # If this fails, the error closes the link; the leader sends the
        # snapshot again after it has reconnected.
        self._storage.save_snapshot(snapshot)
        with state.lock:
            if snapshot.index > state.commit_index:
                self._applier.install(snapshot)
                self._writer.request_rewrite()
            state.matching_index = max(state.matching_index, snapshot.index)
            self._writer.after_sync(
                f'snapshot {id(self)}',
                lambda: self._send_snapshot_answer(
                    snapshot.index, installed=True
                ),
                # The leader sends nothing more on this link unanswered.
                on_failure=self._connection.close,
            )

    def _send_snapshot_answer(self, index: int, installed: bool) -> None:
        self._connection.send(
            SnapshotAnswer(
                term=self._state.term,
                index=index,
                received_bytes=len(self._snapshot_data),
                installed=installed,
            )
        )
