"""What a leader sends next to one peer."""

import time
from typing import Final

from baobabgap.replication._entry import encode_entries
from baobabgap.replication._entry import Entry
from baobabgap.replication._limits import LogLimits
from baobabgap.replication._messages import AppendEntries
from baobabgap.replication._messages import SnapshotPart
from baobabgap.replication._progress import Progress
from baobabgap.replication._state import GroupState

_HEARTBEATS_IN_ELECTION_TIMEOUT: Final = 4
_IDLE_CHECK_S: Final = 1.0
_COMMIT_DELAY_S: Final = 0.1
_SHORTEST_PAUSE_S: Final = 0.001


class EntryBatch:
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


class Outgoing:
    """Chooses messages for one peer, by its progress.

    All methods run with the state's lock held; they send nothing.
    """

    def __init__(self, state: GroupState, limits: LogLimits) -> None:
        self.progress = Progress(1, 0.0)
        # The latest read round that is to be confirmed.
        self.read_round = 0
        self._state: Final = state
        self._limits: Final = limits
        self._heartbeat_s: Final = (
            state.election_timeout_s / _HEARTBEATS_IN_ELECTION_TIMEOUT
        )

    def needs_snapshot(self) -> bool:
        """Tell whether entries that the peer lacks are gone here."""
        if not self._state.is_leader or self.progress.snapshot:
            return False
        previous = self.progress.next_index - 1
        return previous < self._state.window.compacted_index

    def pause_s(self) -> float:
        """Return the seconds until something is due anyway."""
        progress = self.progress
        if progress.snapshot is not None and progress.awaiting:
            return _IDLE_CHECK_S
        if progress.sent_commit < self._state.commit:
            due_at = progress.sent_at + _COMMIT_DELAY_S
        else:
            due_at = progress.sent_at + self._heartbeat_s
        return max(_SHORTEST_PAUSE_S, due_at - time.monotonic())

    def has_something(self) -> bool:
        """Tell whether an answer has made room for something to send."""
        progress = self.progress
        return (
            progress.probing
            or progress.next_index <= self._state.window.last_index
            or progress.sent_commit < self._state.commit
            or self._round_is_due()
        )

    def next_message(self) -> AppendEntries | EntryBatch | SnapshotPart | None:
        """Choose what to send now, if anything."""
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
        """Tell whether the peer may get more before it answers.

        Entries that come while its disk is busy travel together in the
        next message.
        """
        progress = self.progress
        limits = self._limits
        return (
            progress.unacknowledged_messages < limits.unacknowledged_messages
            and progress.unacknowledged_bytes < limits.unacknowledged_bytes
        )

    def _probe(self) -> AppendEntries | None:
        if self.progress.awaiting and not self._heartbeat_is_due():
            return None
        self.progress.awaiting = True
        return self._empty_message(0)

    def _round_is_due(self) -> bool:
        progress = self.progress
        if progress.sent_round >= self.read_round:
            return False
        return progress.sent_round == progress.confirmed_round or (
            progress.sent_round == 0
        )

    def _heartbeat_is_due(self) -> bool:
        return self.pause_s() <= _SHORTEST_PAUSE_S

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
