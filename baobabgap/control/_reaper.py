"""Keeps the members' records true to the sessions that are open."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
import time
from typing import Any
from typing import Final

from baobabgap.control._commands import Attachment
from baobabgap.control._commands import Command
from baobabgap.control._commands import DeathCommand
from baobabgap.control._commands import JoinCommand
from baobabgap.control._members import Member
from baobabgap.control._sessions import Session
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState

_PROPOSE_AGAIN_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Seen:
    """Changes whenever records and sessions may differ anew."""

    # Counts changes of the members.
    members: int
    # Counts sessions that were opened or closed.
    sessions: int
    # The hosts that the leader hears of; None on the others.
    live_hosts: frozenset[str] | None


class Reaper:
    """Proposes joins of members with a session, and deaths of the others.

    A host answers for the members that are attached to it. The leader
    answers, besides, for those attached to a host that it hears nothing
    of; `live_hosts` returns the incarnations that it does hear of, or
    None on a host that does not lead.
    """

    def __init__(
        self,
        state: ControlState,
        sessions: Sessions,
        submit: Callable[[Command], Future[Any]],
        own: Attachment,
        live_hosts: Callable[[], set[str] | None],
        return_grace_s: float,
        host_grace_s: float,
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._submit = submit
        self._own = own
        self._live_hosts = live_hosts
        self._return_grace_s = return_grace_s
        self._host_grace_s = host_grace_s
        # When each attachment was first seen without a session.
        self._missing_since: dict[Attachment, float] = {}
        self._has_difference = False
        # What was seen when records and sessions agreed.
        self._agreed: _Seen | None = None

    def run_once(self) -> None:
        """Compare records and sessions, and propose what differs.

        Nothing is compared while nothing has changed since they agreed.
        """
        now = time.monotonic()
        live_hosts = self._live_hosts()
        seen = _Seen(
            self._state.members.revision,
            self._sessions.revision,
            None if live_hosts is None else frozenset(live_hosts),
        )
        if seen == self._agreed:
            return
        self._has_difference = False
        for session in self._sessions.all():
            if session.is_member and not session.has_left:
                self.keep_joined(session, now)
        self._bury_missing(now, live_hosts)
        self._agreed = None if self._has_difference else seen

    def keep_joined(self, session: Session, now: float) -> None:
        """Propose the join of a member unless it is recorded."""
        peer = session.connection.peer
        known = self._state.member(peer.name)
        attachment = Attachment(
            self._own.host, self._own.host_incarnation, session.number
        )
        if known is not None:
            if peer.incarnation in known.superseded:
                incarnation = known.record.incarnation
                self._sessions.supersede(session, incarnation)
                return
            if _is_recorded(known, peer.incarnation, attachment):
                return
        self._has_difference = True
        last = session.join_proposed_at
        if last is not None and now - last < _PROPOSE_AGAIN_S:
            return
        session.join_proposed_at = now
        proposed = self._submit(
            JoinCommand(
                peer.name,
                peer.role,
                peer.incarnation,
                peer.address,
                peer.availability_zone,
                (
                    attachment.host,
                    attachment.host_incarnation,
                    attachment.session,
                ),
            )
        )
        proposed.add_done_callback(session.note_join)

    def _bury_missing(self, now: float, live_hosts: set[str] | None) -> None:
        missing_since: dict[Attachment, float] = {}
        with self._state.lock:
            members = self._state.members.all()
        for member in members:
            grace_s = self._grace_of_missing(member, live_hosts)
            if grace_s is None:
                continue
            self._has_difference = True
            attachment = member.attachment
            since = self._missing_since.get(attachment, now)
            missing_since[attachment] = since
            if now - since >= grace_s:
                self._propose_death(member)
                missing_since[attachment] = now
        self._missing_since = missing_since

    def _grace_of_missing(
        self, member: Member, live_hosts: set[str] | None
    ) -> float | None:
        """Return how long to wait for a missing member, else None."""
        if not member.record.alive:
            return None
        attachment = member.attachment
        if attachment.host_incarnation == self._own.host_incarnation:
            is_open = attachment == self._own or self._sessions.is_open(
                attachment.session
            )
            return None if is_open else self._return_grace_s
        if live_hosts is None or attachment.host_incarnation in live_hosts:
            return None
        return self._host_grace_s

    def _propose_death(self, member: Member) -> None:
        attachment = member.attachment
        self._submit(
            DeathCommand(
                member.record.name,
                member.record.incarnation,
                (
                    attachment.host,
                    attachment.host_incarnation,
                    attachment.session,
                ),
            )
        )


def _is_recorded(
    known: Member, incarnation: str, attachment: Attachment
) -> bool:
    if known.record.incarnation != incarnation:
        return False
    if known.has_left:
        return True
    return known.record.alive and known.attachment == attachment
