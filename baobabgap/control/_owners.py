"""The reference-counted table of claim owners."""

from typing import Any
from typing import NamedTuple


class Owner(NamedTuple):
    """The owner of claims; all of its claims share one object."""

    # The entry's name.
    name: str
    # The entry's incarnation.
    incarnation: str
    # The entry's address for internal links.
    address: str


class Owners:
    """The owners of kept claims by index, with reference counts."""

    def __init__(self) -> None:
        self._next_index = 1
        self._index_by_owner: dict[Owner, int] = {}
        self._owner_by_index: dict[int, Owner] = {}
        # Each claim holds a reference, and so does a command in progress.
        self._references_by_index: dict[int, int] = {}

    def get(self, index: int) -> Owner:
        """Return the owner with this index."""
        return self._owner_by_index[index]

    def acquire(self, owner: Owner) -> int:
        """Return the owner's index and take a reference to it."""
        index = self._index_by_owner.get(owner)
        if index is None:
            index = self._next_index
            self._next_index += 1
            self._index_by_owner[owner] = index
            self._owner_by_index[index] = owner
            self._references_by_index[index] = 0
        self.retain(index)
        return index

    def retain(self, index: int) -> None:
        """Take one more reference."""
        self._references_by_index[index] += 1

    def release(self, index: int) -> None:
        """Drop a reference; the last one removes the owner."""
        self._references_by_index[index] -= 1
        if self._references_by_index[index] == 0:
            del self._references_by_index[index]
            del self._index_by_owner[self._owner_by_index.pop(index)]

    def to_document(self) -> list[Any]:
        """Return all owners as plain values for a snapshot."""
        rows = [
            [index, references, *self._owner_by_index[index]]
            for index, references in self._references_by_index.items()
        ]
        return [self._next_index, rows]

    @classmethod
    def from_document(cls, document: list[Any]) -> 'Owners':
        """Build the table from a result of `to_document`."""
        owners = cls()
        owners._next_index, rows = document
        for index, references, *fields in rows:
            owner = Owner(*fields)
            owners._index_by_owner[owner] = index
            owners._owner_by_index[index] = owner
            owners._references_by_index[index] = references
        return owners
