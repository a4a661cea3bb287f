"""Who owns claims."""

from typing import Any
from typing import NamedTuple


class Owner(NamedTuple):
    """Who owns a claim; one object is shared by all its claims."""

    # The entry's name.
    name: str
    # The entry's incarnation.
    incarnation: str
    # The entry's address for internal links.
    address: str


class Owners:
    """The owners of kept claims, each under an index of its own."""

    def __init__(self) -> None:
        self._next_index = 1
        self._index_by_owner: dict[Owner, int] = {}
        self._owner_by_index: dict[int, Owner] = {}
        # Claims and commands in progress.
        self._uses_by_index: dict[int, int] = {}

    def get(self, index: int) -> Owner:
        """Return the owner with this index."""
        return self._owner_by_index[index]

    def begin_use(self, owner: Owner) -> int:
        """Return the owner's index; it stays until it is released."""
        index = self._index_by_owner.get(owner)
        if index is None:
            index = self._next_index
            self._next_index += 1
            self._index_by_owner[owner] = index
            self._owner_by_index[index] = owner
            self._uses_by_index[index] = 0
        self.use(index)
        return index

    def use(self, index: int) -> None:
        """Count one claim more."""
        self._uses_by_index[index] += 1

    def release(self, index: int) -> None:
        """Count one claim less; an owner without any is forgotten."""
        self._uses_by_index[index] -= 1
        if self._uses_by_index[index] == 0:
            del self._uses_by_index[index]
            del self._index_by_owner[self._owner_by_index.pop(index)]

    def to_document(self) -> list[Any]:
        """Return everything as plain values for a snapshot."""
        rows = [
            [index, uses, *self._owner_by_index[index]]
            for index, uses in self._uses_by_index.items()
        ]
        return [self._next_index, rows]

    @classmethod
    def from_document(cls, document: list[Any]) -> 'Owners':
        """Build owners from what `to_document` has returned."""
        owners = cls()
        owners._next_index, rows = document
        for index, uses, *fields in rows:
            owner = Owner(*fields)
            owners._index_by_owner[owner] = index
            owners._owner_by_index[index] = owner
            owners._uses_by_index[index] = uses
        return owners
