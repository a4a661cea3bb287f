"""Keeps the records of members consistent with the open sessions."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
import time
from typing import Any
from typing import Final

from baobabgap.control._commands import Attachment
from baobabgap.control._commands import Command
from baobabgap.control._commands import JoinCommand
from baobabgap.control._commands import MemberFailureCommand
from baobabgap.control._members import Member
from baobabgap.control._sessions import Session
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState

_JOIN_RETRY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Revisions:
    """Revisions of all that the comparison depends on."""

    # The revision of the members.
    members: int
    # The revision of the sessions.
    sessions: int
    # Incarnations connected to the leader; None on other hosts.
    live_hosts: frozenset[str] | None


class MembershipMonitor:
    """Proposes joins of members with a session, and failures of others.

    A host monitors the members that are attached to it. The leader also
    monitors those attached to a host that is not connected to it.
    `live_hosts` returns the incarnations of the hosts that are connected
    to the leader, or None on a host that does not lead. A member without
    a session fails after `return_grace_s`, or after `host_grace_s` if its
    host is not connected, both in seconds.
    """

    def __init__(
        self,
        state: ControlState,
        sessions: Sessions,
        submit: Callable[[Command], Future[Any]],
        own_attachment: Attachment,
        live_hosts: Callable[[], set[str] | None],
        return_grace_s: float,
        host_grace_s: float,
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._submit = submit
        self._own_attachment = own_attachment
        self._live_hosts = live_hosts
        self._return_grace_s = return_grace_s
        self._host_grace_s = host_grace_s
        # Since when each attachment is without a session, or when its failure
        # was last proposed.
        self._missing_since: dict[Attachment, float] = {}
        self._has_difference = False
        # The revisions at the last comparison without a difference.
        self._consistent_revisions: _Revisions | None = None

    def run_once(self) -> None:
        """Compare records with sessions and propose the differences.

        The comparison is skipped if nothing has changed since the last
        one without a difference.
        """
        now = time.monotonic()
        live_hosts = self._live_hosts()
        revisions = _Revisions(
            self._state.members.revision,
            self._sessions.revision,
            None if live_hosts is None else frozenset(live_hosts),
        )
        if revisions == self._consistent_revisions:
            return
        self._has_difference = False
        for session in self._sessions.all():
            if session.is_member and not session.has_left:
                self.ensure_joined(session, now)
        self._propose_failures(now, live_hosts)
        self._consistent_revisions = (
            None if self._has_difference else revisions
        )

    def ensure_joined(self, session: Session, now: float) -> None:
        """Propose the join of a member unless it is already recorded."""
        peer = session.connection.peer
        known = self._state.member(peer.name)
        attachment = Attachment(
            self._own_attachment.host,
            self._own_attachment.host_incarnation,
            session.number,
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
        if last is not None and now - last < _JOIN_RETRY_S:
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

    def _propose_failures(
        self, now: float, live_hosts: set[str] | None
    ) -> None:
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
                self._propose_failure(member)
                missing_since[attachment] = now
        self._missing_since = missing_since

    def _grace_of_missing(
        self, member: Member, live_hosts: set[str] | None
    ) -> float | None:
        """Return the grace period in seconds, or None if it isn't missing."""
        if not member.record.alive:
            return None
        attachment = member.attachment
        if (
            attachment.host_incarnation
            == self._own_attachment.host_incarnation
        ):
            is_open = (
                attachment == self._own_attachment
                or self._sessions.is_open(attachment.session)
            )
            return None if is_open else self._return_grace_s
        if live_hosts is None or attachment.host_incarnation in live_hosts:
            return None
        return self._host_grace_s

    def _propose_failure(self, member: Member) -> None:
        attachment = member.attachment
        self._submit(
            MemberFailureCommand(
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
