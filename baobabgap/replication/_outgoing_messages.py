"""Selects the next message from a leader to one peer."""

import time
from typing import Final

from baobabgap.replication._entry import encode_entries
from baobabgap.replication._entry import Entry
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._messages import AppendEntries
from baobabgap.replication._messages import SnapshotPart
from baobabgap.replication._progress import Progress
from baobabgap.replication._state import GroupState

_HEARTBEATS_PER_ELECTION_TIMEOUT: Final = 4
_IDLE_POLL_INTERVAL_S: Final = 1.0
_COMMIT_UPDATE_DELAY_S: Final = 0.1
_SHORTEST_PAUSE_S: Final = 0.001


class EntryBatch:
    """Entries that are selected under the lock and encoded without it."""

    def __init__(self, header: AppendEntries, entries: list[Entry]) -> None:
        self._header = header
        self._entries = entries

    def as_message(self) -> AppendEntries:
        """Encode the entries and return the complete message."""
        header = self._header
        return AppendEntries(
            group=header.group,
            term=header.term,
            leader=header.leader,
            previous_index=header.previous_index,
            previous_term=header.previous_term,
            commit=header.commit,
            read_round=header.read_round,
            entries=encode_entries(self._entries),
        )


class OutgoingMessages:
    """Selects messages for one peer, according to its progress.

    All methods are called with the lock of `GroupState` held. They return
    messages and send none.
    """

    def __init__(self, state: GroupState, limits: LogLimits) -> None:
        self.progress = Progress(1, 0.0)
        # The latest read round that the peer is to confirm.
        self.read_round = 0
        self._state: Final = state
        self._limits: Final = limits
        self._heartbeat_s: Final = (
            state.election_timeout_s / _HEARTBEATS_PER_ELECTION_TIMEOUT
        )

    def needs_snapshot(self) -> bool:
        """Return whether entries that the peer lacks have been compacted."""
        if not self._state.is_leader or self.progress.snapshot:
            return False
        previous = self.progress.next_index - 1
        return previous < self._state.window.compacted_index

    def due_in_s(self) -> float:
        """Return the seconds until a commit index or heartbeat is due."""
        progress = self.progress
        if progress.snapshot is not None and progress.awaiting_answer:
            return _IDLE_POLL_INTERVAL_S
        if progress.sent_commit < self._state.commit_index:
            due_at = progress.sent_at + _COMMIT_UPDATE_DELAY_S
        else:
            due_at = progress.sent_at + self._heartbeat_s
        return max(_SHORTEST_PAUSE_S, due_at - time.monotonic())

    def has_pending(self) -> bool:
        """Return whether there may be a message to send after an answer."""
        progress = self.progress
        return (
            progress.probing
            or progress.next_index <= self._state.window.last_index
            or progress.sent_commit < self._state.commit_index
            or self._round_is_due()
        )

    def next_message(self) -> AppendEntries | EntryBatch | SnapshotPart | None:
        """Return the message to send now, or None."""
        progress = self.progress
        window = self._state.window
        if progress.snapshot is not None:
            return self._next_snapshot_part()
        if progress.next_index - 1 < window.compacted_index:
            return None
        progress.next_index = min(progress.next_index, window.last_index + 1)
        if progress.probing:
            return self._probe()
        if progress.next_index <= window.last_index and self._has_room():
            return self._next_batch()
        if self._round_is_due() or self._heartbeat_is_due():
            return self._empty_message(self.read_round)
        return None

    def _has_room(self) -> bool:
        """Return whether the peer may receive more entries before it answers.

        Entries appended while its disk is busy are sent together in the
        next message.
        """
        progress = self.progress
        limits = self._limits
        return (
            progress.unacknowledged_messages < limits.unacknowledged_messages
            and progress.unacknowledged_bytes < limits.unacknowledged_bytes
        )

    def _probe(self) -> AppendEntries | None:
        if self.progress.awaiting_answer and not self._heartbeat_is_due():
            return None
        self.progress.awaiting_answer = True
        return self._empty_message(0)

    def _round_is_due(self) -> bool:
        progress = self.progress
        if progress.sent_round >= self.read_round:
            return False
        return progress.sent_round == progress.confirmed_round or (
            progress.sent_round == 0
        )

    def _heartbeat_is_due(self) -> bool:
        return self.due_in_s() <= _SHORTEST_PAUSE_S

    def _next_batch(self) -> EntryBatch:
        progress = self.progress
        entries = self._state.window.entries_from(
            progress.next_index, self._limits.message_bytes
        )
        batch = EntryBatch(self._empty_message(0), entries)
        size = sum(entry.encoded_bytes for entry in entries)
        progress.note_sent(entries[-1].index, size)
        return batch

    def _empty_message(self, read_round: int) -> AppendEntries:
        progress = self.progress
        state = self._state
        previous = progress.next_index - 1
        progress.sent_at = time.monotonic()
        progress.sent_commit = state.commit_index
        if read_round:
            progress.sent_round = read_round
        return AppendEntries(
            group=state.membership.group,
            term=state.term,
            leader=state.own_host.name,
            previous_index=previous,
            previous_term=state.window.term_at(previous),
            commit=state.commit_index,
            read_round=read_round,
            entries=b'',
        )

    def _next_snapshot_part(self) -> SnapshotPart | None:
        progress = self.progress
        snapshot = progress.snapshot
        assert snapshot is not None
        if progress.awaiting_answer:
            return None
        progress.awaiting_answer = True
        progress.sent_at = time.monotonic()
        start = progress.snapshot_received_bytes
        end = start + self._limits.snapshot_part_bytes
        return SnapshotPart(
            group=self._state.membership.group,
            term=self._state.term,
            leader=self._state.own_host.name,
            index=snapshot.index,
            index_term=snapshot.term,
            membership=snapshot.membership,
            offset=start,
            state_bytes=len(snapshot.state),
            data=snapshot.state[start:end],
        )
