"""Incarnations of entries whose jobs may have runs of an earlier term."""

from collections.abc import Iterable
import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._committer import ignore_result
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection

# Seconds after which a disconnected entry is dismissed: by then its clients
# have submitted their jobs elsewhere or have given up.
_UNLINKED_RETENTION_S: Final = 30.0


class EntryRegistry:
    """Enrols entries per incarnation and dismisses ended incarnations.

    An incarnation ends with its process: the next one doesn't know which
    jobs were sent to a leader. An earlier incarnation is dismissed only
    after a takeover, because its jobs may have runs until then.
    """

    def __init__(
        self, term_state: TermState, state: AcceptedState, committer: Committer
    ) -> None:
        self._term_state: Final = term_state
        self._state: Final = state
        self._committer: Final = committer
        self.reset()

    def reset(self) -> None:
        """Clear all state for a new term."""
        # The current incarnation of each entry, as a member name.
        self._member_by_entry: dict[str, str] = {}
        # The latest link of each incarnation that has one.
        self._connection_by_member: dict[str, Connection] = {}
        # Since when the others have been known to have none.
        self._unlinked_at_by_member: dict[str, float] = {}

    def handle_link(self, event: EntryLinked) -> None:
        """Process the first report of an entry on a new link."""
        name = event.connection.peer.name
        member = _member_of(event.connection)
        entry = member.removeprefix(f'{ENTRY_ROLE}/')
        self._term_state.takeover.note_entry_report(entry, event.begun_job_ids)
        takeover = self._term_state.takeover
        if not takeover.is_over:
            self._mark_begun(event.begun_job_ids)
        log_event(
            'entry_reported',
            entry=entry,
            may_have_begun=len(event.begun_job_ids),
            term_ms=round(1000 * self._term_state.age_s(time.monotonic())),
            takeover=not takeover.is_over,
            waits_for=sorted(takeover.unreported_entries),
        )
        self._member_by_entry[name] = member
        self._connection_by_member[member] = event.connection
        self._unlinked_at_by_member.pop(member, None)
        if member not in self._state.members:
            self._committer.propose(EnrolMembers((member,)), ignore_result)

    def _mark_begun(self, job_ids: Iterable[str]) -> None:
        """Refuse no job that an earlier leader may have begun.

        Another entry may have submitted it before this report.
        """
        for job_id in job_ids:
            plan = self._term_state.plan_by_id.get(job_id)
            if plan is not None:
                plan.may_have_begun = True

    def handle_lost_link(self, event: EntryUnlinked) -> None:
        """Process the loss of a link of an entry, perhaps a replaced one."""
        member = _member_of(event.connection)
        if self._connection_by_member.get(member) is event.connection:
            del self._connection_by_member[member]

    def check(self, now: float) -> None:
        """Dismiss incarnations that no takeover has to wait for."""
        self._term_state.takeover.end_if_due(now)
        if not self._term_state.takeover.is_over:
            return
        expired = tuple(
            member
            for member in tuple(self._state.members)
            if member.startswith(f'{ENTRY_ROLE}/')
            and self._is_expired(member, now)
        )
        if expired:
            log_event('entries_dismissed', members=expired)
            self._committer.propose(DismissMembers(expired), ignore_result)

    def _is_expired(self, member: str, now: float) -> bool:
        name = member.split('/')[1]
        current = self._member_by_entry.get(name)
        if current is not None and current != member:
            return True
        if member in self._connection_by_member:
            return False
        unlinked_at = self._unlinked_at_by_member.setdefault(member, now)
        return now - unlinked_at > _UNLINKED_RETENTION_S


def _member_of(connection: Connection) -> str:
    """Return the member name of the entry at the other end of a link."""
    peer = connection.peer
    return f'{ENTRY_ROLE}/{peer.name}/{peer.incarnation}'
