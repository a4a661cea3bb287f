"""The current link to each entry."""

from typing import Protocol

from baobabgap.messages import Hello
from baobabgap.transport import NewestLinks


class EntryLink(Protocol):
    """The part of a `Connection` to an entry that the scheduler uses."""

    @property
    def peer(self) -> Hello:
        """The `Hello` message of the entry."""

    def send(self, *messages: object) -> None:
        """Queue messages for sending."""

    def close(self) -> None:
        """Close the link without blocking."""


class EntryLinks:
    """The newest link of each entry; messages on older ones are void."""

    def __init__(self) -> None:
        self._links: NewestLinks[EntryLink] = NewestLinks()
        self._lost_at_by_entry: dict[str, float] = {}

    @property
    def entries(self) -> list[str]:
        """The names of the entries that have a link."""
        return self._links.names

    def open(self, link: EntryLink) -> None:
        """Make this the current link of its entry.

        Raises `ProtocolMismatch` if a later process of it is linked.
        """
        self._links.open(link)
        self._lost_at_by_entry.pop(link.peer.name, None)

    def remove(self, link: EntryLink, now: float) -> bool:
        """Remove a link; return whether it was its entry's current one."""
        if not self._links.remove(link):
            return False
        self._lost_at_by_entry[link.peer.name] = now
        return True

    def is_current(self, link: EntryLink) -> bool:
        """Return whether this is the current link of its entry."""
        return self._links.is_current(link)

    def find(self, entry: str, incarnation: str) -> EntryLink | None:
        """Return the link to this incarnation of the entry, if any."""
        link = self._links.find(entry)
        if link is None or link.peer.incarnation != incarnation:
            return None
        return link

    def send_to_all(self, message: object) -> None:
        """Send one message to each linked entry."""
        for link in self._links:
            link.send(message)

    def send_to(self, entry: str, message: object) -> None:
        """Send one message to a linked entry."""
        link = self._links.find(entry)
        if link is not None:
            link.send(message)

    def pop_lost_before(self, cutoff: float) -> set[str]:
        """Remove and return the entries whose link was lost earlier."""
        removed = {
            entry
            for entry, lost_at in self._lost_at_by_entry.items()
            if lost_at < cutoff
        }
        for entry in removed:
            del self._lost_at_by_entry[entry]
        return removed
