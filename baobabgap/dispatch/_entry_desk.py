"""Entries: which of their lives may have jobs with runs of an earlier term."""

from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._books import Books
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._committer import ignore_result
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._roles import ENTRY_ROLE
from baobabgap.telemetry import log_event

# Seconds after which an entry that is gone is forgotten: by then its
# clients have handed their jobs in elsewhere or have given up.
_KEPT_S: Final = 30.0


class EntryDesk:
    """Enrols entries by their lives, and dismisses what is over.

    A life ends with the process: the next one has forgotten which jobs
    went to a leader. An earlier life is dismissed only after a takeover,
    because its jobs may have runs until then.
    """

    def __init__(
        self, books: Books, state: AcceptedState, committer: Committer
    ) -> None:
        self._books: Final = books
        self._state: Final = state
        self._committer: Final = committer
        self.reset()

    def reset(self) -> None:
        """Forget all: a new term begins."""
        # The present life of each entry, as it is enrolled.
        self._member_by_entry: dict[str, str] = {}
        self._unlinked_at_by_member: dict[str, float | None] = {}

    def take_link(self, event: EntryLinked) -> None:
        """An entry has a new link."""
        life = f'{event.name}/{event.incarnation}'
        self._books.takeover.hear_entry(life, event.begun_job_ids)
        member = f'{ENTRY_ROLE}/{life}'
        self._member_by_entry[event.name] = member
        self._unlinked_at_by_member.pop(member, None)
        if member not in self._state.members:
            self._committer.propose(EnrolMembers((member,)), ignore_result)

    def take_lost_link(self, event: EntryUnlinked) -> None:
        """A link of an entry has ended."""
        member = f'{ENTRY_ROLE}/{event.name}/{event.incarnation}'
        self._unlinked_at_by_member[member] = None

    def look(self, now: float) -> None:
        """Dismiss the lives that no takeover need wait for."""
        self._books.takeover.look(now)
        if not self._books.takeover.is_over:
            return
        over = tuple(
            member
            for member in tuple(self._state.members)
            if member.startswith(f'{ENTRY_ROLE}/')
            and self._is_over(member, now)
        )
        if over:
            log_event('entries_dismissed', members=over)
            self._committer.propose(DismissMembers(over), ignore_result)

    def _is_over(self, member: str, now: float) -> bool:
        name = member.split('/')[1]
        present = self._member_by_entry.get(name)
        if present is not None and present != member:
            return True
        if present == member and member not in self._unlinked_at_by_member:
            return False
        since = self._unlinked_at_by_member.get(member)
        if since is None:
            self._unlinked_at_by_member[member] = now
            return False
        return now - since > _KEPT_S
