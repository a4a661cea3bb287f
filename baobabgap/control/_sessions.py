"""The sessions of members and tools with one control host."""

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
_FLUSH_LIMIT_S: Final = 0.5
_WOKEN_AT_ONCE: Final = 32
_PAUSE_BETWEEN_WAKES_S: Final = 0.02

# Changes by the version after which they came and the roles wanted.
ChangesCache = dict[tuple[int, tuple[str, ...]], Changes | None]


class Session:
    """One link of a member or tool."""

    def __init__(self, connection: Connection, number: int) -> None:
        self.connection: Final = connection
        # Counts the sessions of this host's incarnation.
        self.number: Final = number
        # When its join was last proposed, on this host's monotonic clock.
        self.join_proposed_at: float | None = None
        self.has_left = False
        self._lock = threading.Lock()
        self._roles: tuple[str, ...] | None = None
        # What the member has applied, and up to where nothing more was
        # found for it.
        self._sent_version = 0
        self._scanned_version = 0

    @property
    def is_member(self) -> bool:
        """Tell whether the other end is a member, not a tool."""
        return self.connection.peer.role in MEMBER_ROLES

    def note_join(self, proposed: Future[Any]) -> None:
        """Have the join proposed again soon if it has failed."""
        if proposed.exception() is not None:
            self.join_proposed_at = None

    def subscribe(self, message: Subscribe, state: ControlState) -> None:
        """Push what the member has missed, now and from now on."""
        with self._lock:
            self._roles = message.member_roles
            self._sent_version = message.version
            self._scanned_version = message.version
        self.push(state, {})

    def push(self, state: ControlState, cache: ChangesCache) -> bool:
        """Send what concerns the member and is new; tell whether any is."""
        with self._lock:
            if self._roles is None:
                return False
            key = (self._scanned_version, self._roles)
            if key not in cache:
                cache[key] = state.changes_after(*key)
            changes = cache[key]
            if changes is None:
                return False
            self._scanned_version = changes.to_version
            is_whole = changes.from_version == 0
            if not (changes.members or changes.configuration or is_whole):
                return False
            self._send(changes, is_whole)
            return True

    def _send(self, changes: Changes, is_whole: bool) -> None:
        from_version = 0 if is_whole else self._sent_version
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
        # Versions in force, as the members have reported them.
        self._version_by_member: dict[str, int] = {}
        self._unreported: set[str] = set()
        self._hint: LeaderHint | None = None
        # Counts sessions that were opened or closed.
        self.revision = 0

    def open(self, connection: Connection) -> Session:
        """Begin a session."""
        with self._lock:
            session = Session(connection, self._next_number)
            self._next_number += 1
            self.revision += 1
            self._session_by_number[session.number] = session
            hint = self._hint
        if hint is not None and connection.peer.role == ENTRY_ROLE:
            connection.send(hint)
        return session

    def close(self, session: Session) -> None:
        """End a session."""
        with self._lock:
            self.revision += 1
            self._session_by_number.pop(session.number, None)

    def is_open(self, number: int) -> bool:
        """Tell whether a session is open."""
        return number in self._session_by_number

    def all(self) -> list[Session]:
        """Return all open sessions."""
        with self._lock:
            return list(self._session_by_number.values())

    def take(self, session: Session, message: object) -> None:
        """Take a message that is no request."""
        match message:
            case Subscribe():
                # A member that comes from another host has something in
                # force already, and reports it only when it changes.
                if message.version > 0:
                    self._note_report(session, message.version)
                session.subscribe(message, self._state)
            case MemberReport():
                self._note_report(session, message.version)
            case Leave():
                session.has_left = True

    def push_changes(self) -> None:
        """Send each subscriber what is new to it, entries first.

        A pause after each few keeps the number of tasks that are woken at
        once small: thousands of them would starve each other.
        """
        cache: ChangesCache = {}
        sessions = self.all()
        sessions.sort(key=lambda each: each.connection.peer.role != ENTRY_ROLE)
        woken = 0
        for session in sessions:
            if session.push(self._state, cache):
                woken += 1
                if woken % _WOKEN_AT_ONCE == 0:
                    time.sleep(_PAUSE_BETWEEN_WAKES_S)

    def show_leader(self, hint: LeaderHint) -> None:
        """Tell entries where the leader is, if it has changed."""
        with self._lock:
            if hint == self._hint:
                return
            self._hint = hint
        for session in self.all():
            if session.connection.peer.role == ENTRY_ROLE:
                session.connection.send(hint)

    def supersede(self, session: Session, incarnation: str) -> None:
        """Tell a process that another one has taken its name."""
        session.has_left = True
        session.connection.send(Superseded(incarnation))

    def close_all(self, pool: Executor) -> None:
        """Send what is queued on each link, then close it.

        Links are closed at the same time: some may be silent.
        """
        closing = [
            pool.submit(session.connection.flush_and_close, _FLUSH_LIMIT_S)
            for session in self.all()
        ]
        wait(closing, 2 * _FLUSH_LIMIT_S)

    def note_reports(self, version_by_member: dict[str, int]) -> None:
        """Take reports that another host passes on.

        A host that comes back passes on what it knew before; what is in
        force at a member never goes back.
        """
        with self._lock:
            for name, version in version_by_member.items():
                known = self._version_by_member.get(name, 0)
                self._version_by_member[name] = max(known, version)

    def version_in_force(self, name: str) -> int | None:
        """Return the version that a member has reported last."""
        with self._lock:
            return self._version_by_member.get(name)

    def pass_reports_on(self, send: Callable[[dict[str, int]], bool]) -> None:
        """Hand what is new since the last time to `send`."""
        with self._lock:
            new = {
                name: self._version_by_member[name]
                for name in self._unreported
            }
        if new and send(new):
            with self._lock:
                self._unreported -= {
                    name
                    for name, version in new.items()
                    if self._version_by_member[name] == version
                }

    def report_all_again(self) -> None:
        """Count all reports of open sessions as new: another host leads."""
        names = {session.connection.peer.name for session in self.all()}
        with self._lock:
            self._unreported |= names & set(self._version_by_member)

    def _note_report(self, session: Session, version: int) -> None:
        name = session.connection.peer.name
        with self._lock:
            self._version_by_member[name] = version
            self._unreported.add(name)
