"""The log entries that a host holds in memory."""

from collections.abc import Sequence

from baobabgap.replication._entry import Entry
from baobabgap.replication._entry import EntryKind
from baobabgap.replication._membership import Membership


class EntryWindow:
    """Consecutive log entries, after the compacted part of the log.

    It also tracks the membership in force at each entry. The caller holds
    the lock of `GroupState`.
    """

    def __init__(
        self,
        compacted_index: int,
        compacted_term: int,
        membership: Membership,
        entries: Sequence[Entry],
    ) -> None:
        # The index and the term of the last compacted entry.
        self.compacted_index = compacted_index
        self.compacted_term = compacted_term
        self._entries: list[Entry] = []
        self._memberships = [(compacted_index, membership)]
        self._bytes = 0
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.compacted_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.compacted_term

    @property
    def held_bytes(self) -> int:
        """The size of all entries in the window."""
        return self._bytes

    @property
    def membership(self) -> Membership:
        """The newest membership, in force as soon as it is appended."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the entry that holds the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at an entry of the window."""
        found = self._memberships[0][1]
        for since, membership in self._memberships:
            if since <= index:
                found = membership
        return found

    def has_term_of(self, index: int) -> bool:
        """Return whether `term_at` accepts the index."""
        return self.compacted_index <= index <= self.last_index

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or of the last compacted one."""
        if index == self.compacted_index:
            return self.compacted_term
        return self._entries[index - self.compacted_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry with this index."""
        return self._entries[index - self.compacted_index - 1]

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        self._entries.append(entry)
        self._bytes += entry.encoded_bytes
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = Membership.from_bytes(entry.data)
            self._memberships.append((entry.index, membership))

    def truncate(self, first_dropped: int) -> None:
        """Drop an entry and all later ones."""
        keep = first_dropped - self.compacted_index - 1
        dropped = self._entries[keep:]
        del self._entries[keep:]
        self._bytes -= sum(entry.encoded_bytes for entry in dropped)
        while self._memberships[-1][0] >= first_dropped:
            self._memberships.pop()

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        if index <= self.compacted_index:
            return
        term = self.term_at(index)
        membership = self.membership_at(index)
        since = [pair for pair in self._memberships if pair[0] <= index][-1][0]
        dropped = self._entries[: index - self.compacted_index]
        del self._entries[: index - self.compacted_index]
        self._bytes -= sum(entry.encoded_bytes for entry in dropped)
        self._memberships = [
            (since, membership),
            *(pair for pair in self._memberships if pair[0] > index),
        ]
        self.compacted_index = index
        self.compacted_term = term

    def entries_from(
        self, first: int, largest_bytes: int, last: int | None = None
    ) -> list[Entry]:
        """Return entries from `first` on, of limited size.

        At least one entry is returned if there is one.
        """
        found: list[Entry] = []
        found_bytes = 0
        start = first - self.compacted_index - 1
        end = None if last is None else last - self.compacted_index
        for position in range(start, end or len(self._entries)):
            entry = self._entries[position]
            found_bytes += entry.encoded_bytes
            if found and found_bytes > largest_bytes:
                break
            found.append(entry)
        return found

    def all_entries(self) -> tuple[Entry, ...]:
        """Return all entries of the window."""
        return tuple(self._entries)

    def compaction_index(self, index: int, kept_bytes: int) -> int:
        """Return the last index to compact, which is at most `index`.

        About `kept_bytes` of the entries up to `index` are retained.
        """
        total = 0
        while index > self.compacted_index:
            total += self.entry(index).encoded_bytes
            if total > kept_bytes:
                return index
            index -= 1
        return index
