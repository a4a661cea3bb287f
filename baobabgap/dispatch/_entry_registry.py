"""Incarnations of entries whose jobs may have runs of an earlier term."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace
import math
import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._committer import ignore_result
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import EntryEnrolled
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._events import PostEvent
from baobabgap.dispatch._replies import answer_unavailable
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.protocol import SubmitJob
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection

# Seconds after which a disconnected entry is dismissed: by then its clients
# have submitted their jobs elsewhere or have given up.
_UNLINKED_RETENTION_S: Final = 30.0
# Seconds until an enrolment of unknown outcome is proposed again.
_ENROL_RETRY_PAUSE_S: Final = 0.05


class EntryRegistry:
    """Enrols entries per incarnation and dismisses ended incarnations.

    The volatile jobs of an entry wait for its durable enrolment: a next
    leader starts none of them while it waits for the reports of the
    enrolled entries.

    An incarnation ends with its process: the next one doesn't know which
    jobs were sent to a leader. An earlier incarnation stays enrolled for as
    long as an entry without a link: its jobs may still run, and no other
    entry may have sent them yet when the leader is lost.
    """

    def __init__(
        self,
        term_state: TermState,
        state: AcceptedState,
        committer: Committer,
        post_event: PostEvent,
    ) -> None:
        self._term_state: Final = term_state
        self._state: Final = state
        self._committer: Final = committer
        self._post_event: Final = post_event
        self.reset()

    def reset(self) -> None:
        """Clear all state for a new term."""
        # The latest link of each incarnation that has one.
        self._connection_by_member: dict[str, Connection] = {}
        # Since when the others have been known to have none.
        self._unlinked_at_by_member: dict[str, float] = {}
        # Incarnations whose enrolment is durable and not about to end.
        self._enrolled = set(self._state.members)
        # When to propose an enrolment again; infinity while its outcome is
        # awaited.
        self._enrol_at_by_member: dict[str, float] = {}
        # Calls that wait for an enrolment, with the times of their arrival.
        self._held_by_member: dict[str, list[tuple[CallArrived, float]]] = (
            defaultdict(list)
        )

    def handle_link(self, event: EntryLinked) -> None:
        """Process the first report of an entry on a new link."""
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
        self._connection_by_member[member] = event.connection
        self._unlinked_at_by_member.pop(member, None)
        if (
            member not in self._enrolled
            and member not in self._enrol_at_by_member
        ):
            self._enrol(member)

    def _enrol(self, member: str) -> None:
        self._enrol_at_by_member[member] = math.inf
        term = self._term_state.term
        self._committer.propose(
            EnrolMembers((member,)),
            lambda result: self._post_event(
                EntryEnrolled(term, member, result is not None)
            ),
        )

    def handle_enrolled(self, event: EntryEnrolled) -> list[CallArrived]:
        """Process the outcome of an enrolment; return the calls it frees."""
        if event.term != self._term_state.term:
            return []
        now = time.monotonic()
        if not event.succeeded:
            self._enrol_at_by_member[event.member] = now + _ENROL_RETRY_PAUSE_S
            return []
        self._enrol_at_by_member.pop(event.member, None)
        self._enrolled.add(event.member)
        held = self._held_by_member.pop(event.member, [])
        if held:
            log_event(
                'calls_held_for_enrolment',
                member=event.member,
                calls=len(held),
                held_ms=round(1000 * (now - held[0][1])),
            )
        return [
            _with_longer_wait(arrived, now - held_at)
            for arrived, held_at in held
        ]

    def hold(self, arrived: CallArrived) -> bool:
        """Hold a volatile job whose entry isn't enrolled; return whether."""
        call = arrived.call
        if not isinstance(call, SubmitJob) or not call.is_volatile:
            return False
        member = _member_of(arrived.connection)
        if member in self._enrolled:
            return False
        if member in self._enrol_at_by_member:
            self._held_by_member[member].append((arrived, time.monotonic()))
        else:
            answer_unavailable(arrived, 'the entry has not reported')
        return True

    def handle_dropped_call(self, event: CallDropped) -> None:
        """Remove a dropped call, if it is held."""
        self._remove_held(event.connection, event.call)

    def _remove_held(self, connection: Connection, call: int | None) -> None:
        """Remove one held call of a link, or all if None."""
        member = _member_of(connection)
        held = self._held_by_member.pop(member, None)
        if held:
            self._held_by_member[member] = [
                (arrived, held_at)
                for arrived, held_at in held
                if arrived.connection is not connection
                or call not in (None, arrived.call.call)
            ]

    def pop_held(self) -> list[CallArrived]:
        """Remove and return all held calls, whose jobs have not begun."""
        held = [
            arrived
            for calls in self._held_by_member.values()
            for arrived, _ in calls
        ]
        self._held_by_member.clear()
        return held

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
        # The entry sends them again.
        self._remove_held(event.connection, None)

    def check(self, now: float) -> None:
        """Repeat enrolments; dismiss what no takeover has to wait for."""
        for member, enrol_at in list(self._enrol_at_by_member.items()):
            if enrol_at <= now:
                del self._enrol_at_by_member[member]
                if member in self._connection_by_member:
                    self._enrol(member)
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
            self._enrolled.difference_update(expired)
            self._committer.propose(DismissMembers(expired), ignore_result)

    def _is_expired(self, member: str, now: float) -> bool:
        if member in self._connection_by_member:
            return False
        unlinked_at = self._unlinked_at_by_member.setdefault(member, now)
        return now - unlinked_at > _UNLINKED_RETENTION_S


def _with_longer_wait(arrived: CallArrived, held_s: float) -> CallArrived:
    """Return a submission with the time for which it was held."""
    call = arrived.call
    assert isinstance(call, SubmitJob)
    waited_ms = call.waited_ms + int(1000 * held_s)
    return replace(arrived, call=replace(call, waited_ms=waited_ms))


def _member_of(connection: Connection) -> str:
    """Return the member name of the entry at the other end of a link."""
    peer = connection.peer
    return f'{ENTRY_ROLE}/{peer.name}/{peer.incarnation}'
