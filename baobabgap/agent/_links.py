"""The open links to the entries, one for each entry."""

from typing import Protocol

from baobabgap.messages import Hello


class EntryLink(Protocol):
    """What the scheduler needs of a `Connection` to an entry."""

    @property
    def peer(self) -> Hello:
        """What the entry said of itself."""

    def send(self, *messages: object) -> None:
        """Queue messages for sending."""


class EntryLinks:
    """The newest link of each entry; messages of older ones are void."""

    def __init__(self) -> None:
        self._link_by_entry: dict[str, EntryLink] = {}
        self._lost_at_by_entry: dict[str, float] = {}

    @property
    def entries(self) -> list[str]:
        """The names of the entries that are linked now."""
        return list(self._link_by_entry)

    def open(self, link: EntryLink) -> None:
        """Make this the link of its entry."""
        self._link_by_entry[link.peer.name] = link
        self._lost_at_by_entry.pop(link.peer.name, None)

    def lose(self, link: EntryLink, now: float) -> bool:
        """Forget a link; tell whether it was the entry's newest."""
        if not self.is_current(link):
            return False
        del self._link_by_entry[link.peer.name]
        self._lost_at_by_entry[link.peer.name] = now
        return True

    def is_current(self, link: EntryLink) -> bool:
        """Tell whether this is the newest link of its entry."""
        return self._link_by_entry.get(link.peer.name) is link

    def find(self, entry: str, incarnation: str) -> EntryLink | None:
        """Return the link to that very process, if there is one."""
        link = self._link_by_entry.get(entry)
        if link is None or link.peer.incarnation != incarnation:
            return None
        return link

    def send_to_all(self, message: object) -> None:
        """Send one message to each linked entry."""
        for link in self._link_by_entry.values():
            link.send(message)

    def send_to(self, entry: str, message: object) -> None:
        """Send one message to a linked entry."""
        self._link_by_entry[entry].send(message)

    def take_long_lost(self, lost_before: float) -> set[str]:
        """Return, once, the entries whose link was lost before then."""
        taken = {
            entry
            for entry, lost_at in self._lost_at_by_entry.items()
            if lost_at < lost_before
        }
        for entry in taken:
            del self._lost_at_by_entry[entry]
        return taken
