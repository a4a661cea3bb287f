"""The newest link to each peer."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Final
from typing import Generic
from typing import Protocol
from typing import TypeVar

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.wire import Hello

# Replaced incarnations, of all peers, that are still recognised.
_MAX_REPLACED_INCARNATIONS: Final = 1000


class PeerLink(Protocol):
    """The part of a `Connection` that its place among others needs."""

    @property
    def peer(self) -> Hello:
        """The `Hello` message of the peer."""

    def close(self) -> None:
        """Close the link without blocking."""


LinkT = TypeVar('LinkT', bound=PeerLink)


class NewestLinks(Generic[LinkT]):
    """The newest link to each peer, by the peer's name.

    A process that a later one of its name has replaced may live on for a
    while, as it does after a freeze. Its links are refused as long as the
    later one is linked. A link that is replaced is closed, so that its
    process opens another if it was the later one after all.
    """

    def __init__(self) -> None:
        self._link_by_name: dict[str, LinkT] = {}
        self._replaced: OrderedDict[tuple[str, str], None] = OrderedDict()

    def __iter__(self) -> Iterator[LinkT]:
        return iter(list(self._link_by_name.values()))

    @property
    def names(self) -> list[str]:
        """The names of the peers that have a link."""
        return list(self._link_by_name)

    def open(self, link: LinkT) -> None:
        """Make this the current link to its peer, and close its earlier one.

        Raises `ProtocolMismatch` if it comes from a replaced process.
        """
        name = link.peer.name
        process = (name, link.peer.incarnation)
        current = self._link_by_name.get(name)
        if current is not None and process in self._replaced:
            raise ProtocolMismatch(
                f'a later process of {name} is linked',
                step='hello',
                peer=name,
            )
        self._replaced.pop(process, None)
        self._link_by_name[name] = link
        if current is None or current is link:
            return
        if current.peer.incarnation != link.peer.incarnation:
            self._replaced[name, current.peer.incarnation] = None
            if len(self._replaced) > _MAX_REPLACED_INCARNATIONS:
                self._replaced.popitem(last=False)
        current.close()

    def remove(self, link: LinkT) -> bool:
        """Remove a lost link; False if it isn't the current one."""
        if not self.is_current(link):
            return False
        del self._link_by_name[link.peer.name]
        return True

    def find(self, name: str) -> LinkT | None:
        """Return the current link to a peer, or None."""
        return self._link_by_name.get(name)

    def is_current(self, link: LinkT) -> bool:
        """Return whether this is the current link to its peer."""
        return self._link_by_name.get(link.peer.name) is link
