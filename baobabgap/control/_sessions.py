"""Sessions of members and tools with one control host."""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import Future
from concurrent.futures import wait
import threading
import time
from typing import Any
from typing import Final

from baobabgap.control._state import ControlState
from baobabgap.messages import Changes
from baobabgap.messages import LeaderHint
from baobabgap.messages import Leave
from baobabgap.messages import MemberReport
from baobabgap.messages import Subscribe
from baobabgap.messages import Superseded
from baobabgap.transport import Connection

ENTRY_ROLE: Final = 'entry'
MEMBER_ROLES: Final = (ENTRY_ROLE, 'agent')
_FLUSH_TIMEOUT_S: Final = 0.5
_PUSH_BATCH_SESSIONS: Final = 32
_PUSH_BATCH_PAUSE_S: Final = 0.02

# Results of `ControlState.changes_after` by its arguments.
ChangesCache = dict[tuple[int, tuple[str, ...]], Changes | None]


class Session:
    """The session of one member or tool, over one link."""

    def __init__(self, connection: Connection, number: int) -> None:
        self.connection: Final = connection
        # Unique within the incarnation of this host.
        self.number: Final = number
        # When its join was last proposed, on this host's monotonic clock.
        self.join_proposed_at: float | None = None
        self.has_left = False
        self._lock = threading.Lock()
        self._roles: tuple[str, ...] | None = None
        # The version that the member has after the messages sent so far, and
        # the version up to which nothing more was found for its roles.
        self._sent_version = 0
        self._searched_version = 0

    @property
    def is_member(self) -> bool:
        """Whether the peer is a member rather than a tool."""
        return self.connection.peer.role in MEMBER_ROLES

    def note_join(self, proposed: Future[Any]) -> None:
        """Allow the join to be proposed again at once if it has failed."""
        if proposed.exception() is not None:
            self.join_proposed_at = None

    def subscribe(self, message: Subscribe, state: ControlState) -> None:
        """Push the missed changes, and new ones from now on."""
        with self._lock:
            self._roles = message.member_roles
            self._sent_version = message.version
            self._searched_version = message.version
        self.push(state, {})

    def push(self, state: ControlState, cache: ChangesCache) -> bool:
        """Send new changes of the subscribed roles.

        Return False if there was nothing to send.
        """
        with self._lock:
            if self._roles is None:
                return False
            key = (self._searched_version, self._roles)
            if key not in cache:
                cache[key] = state.changes_after(*key)
            changes = cache[key]
            if changes is None:
                return False
            self._searched_version = changes.to_version
            is_full = changes.from_version == 0
            if not (changes.members or changes.configuration or is_full):
                return False
            self._send(changes, is_full)
            return True

    def _send(self, changes: Changes, is_full: bool) -> None:
        from_version = 0 if is_full else self._sent_version
        self.connection.send(
            Changes(
                from_version,
                changes.to_version,
                changes.members,
                changes.configuration,
            )
        )
        self._sent_version = changes.to_version


class Sessions:
    """All sessions of one control host."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._lock = threading.Lock()
        self._next_number = 1
        self._session_by_number: dict[int, Session] = {}
        # Versions in force at members, as they have reported them.
        self._version_by_member: dict[str, int] = {}
        self._unforwarded: set[str] = set()
        self._leader_hint: LeaderHint | None = None
        # Counts openings and closings of sessions.
        self.revision = 0

    def open(self, connection: Connection) -> Session:
        """Open a session."""
        with self._lock:
            session = Session(connection, self._next_number)
            self._next_number += 1
            self.revision += 1
            self._session_by_number[session.number] = session
            hint = self._leader_hint
        if hint is not None and connection.peer.role == ENTRY_ROLE:
            connection.send(hint)
        return session

    def close(self, session: Session) -> None:
        """Close a session."""
        with self._lock:
            self.revision += 1
            self._session_by_number.pop(session.number, None)

    def is_open(self, number: int) -> bool:
        """Return whether the session with this number is open."""
        return number in self._session_by_number

    def all(self) -> list[Session]:
        """Return all open sessions."""
        with self._lock:
            return list(self._session_by_number.values())

    def handle_message(self, session: Session, message: object) -> None:
        """Handle a message that is no request."""
        match message:
            case Subscribe():
                # A member that was connected to another host already has a
                # version in force, and reports only changes of it.
                if message.version > 0:
                    self._note_report(session, message.version)
                session.subscribe(message, self._state)
            case MemberReport():
                self._note_report(session, message.version)
            case Leave():
                session.has_left = True

    def push_changes(self) -> None:
        """Push new changes to all subscribers, entries first.

        A pause after each batch limits the tasks that become runnable at
        the same time: thousands of them would starve each other.
        """
        cache: ChangesCache = {}
        sessions = self.all()
        sessions.sort(key=lambda each: each.connection.peer.role != ENTRY_ROLE)
        pushed = 0
        for session in sessions:
            if session.push(self._state, cache):
                pushed += 1
                if pushed % _PUSH_BATCH_SESSIONS == 0:
                    time.sleep(_PUSH_BATCH_PAUSE_S)

    def announce_leader(self, hint: LeaderHint) -> None:
        """Send the leader to all entries if it has changed."""
        with self._lock:
            if hint == self._leader_hint:
                return
            self._leader_hint = hint
        for session in self.all():
            if session.connection.peer.role == ENTRY_ROLE:
                session.connection.send(hint)

    def supersede(self, session: Session, incarnation: str) -> None:
        """Notify a process that another one has joined under its name."""
        session.has_left = True
        session.connection.send(Superseded(incarnation))

    def close_all(self, pool: Executor) -> None:
        """Send what is queued on each link, then close it.

        Links are closed concurrently, since some may be unresponsive.
        """
        closing = [
            pool.submit(session.connection.flush_and_close, _FLUSH_TIMEOUT_S)
            for session in self.all()
        ]
        wait(closing, 2 * _FLUSH_TIMEOUT_S)

    def note_reports(self, version_by_member: dict[str, int]) -> None:
        """Merge reports that another host forwards.

        A host that returns forwards outdated reports; the version in force
        at a member never decreases.
        """
        with self._lock:
            for name, version in version_by_member.items():
                known = self._version_by_member.get(name, 0)
                self._version_by_member[name] = max(known, version)

    def version_in_force(self, name: str) -> int | None:
        """Return the version that a member has reported last, or None."""
        with self._lock:
            return self._version_by_member.get(name)

    def forward_reports(self, send: Callable[[dict[str, int]], bool]) -> None:
        """Pass the reports that were not forwarded yet to `send`.

        They stay marked as not forwarded if `send` returns False.
        """
        with self._lock:
            new = {
                name: self._version_by_member[name]
                for name in self._unforwarded
            }
        if new and send(new):
            with self._lock:
                self._unforwarded -= {
                    name
                    for name, version in new.items()
                    if self._version_by_member[name] == version
                }

    def mark_all_unforwarded(self) -> None:
        """Mark reports of open sessions to be forwarded to a new leader."""
        names = {session.connection.peer.name for session in self.all()}
        with self._lock:
            self._unforwarded |= names & set(self._version_by_member)

    def _note_report(self, session: Session, version: int) -> None:
        name = session.connection.peer.name
        with self._lock:
            self._version_by_member[name] = version
            self._unforwarded.add(name)
