"""The replicated state of the control group."""

from collections.abc import Callable
import threading
from typing import Any
from typing import Final

import cbor2

from baobabgap.control._claims import ClaimLimits
from baobabgap.control._claims import Claims
from baobabgap.control._commands import ClaimCommand
from baobabgap.control._commands import decode_command
from baobabgap.control._commands import JoinCommand
from baobabgap.control._commands import LeaveCommand
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import MemberFailureCommand
from baobabgap.control._commands import ReleaseCommand
from baobabgap.control._commands import TicketCommand
from baobabgap.control._commands import unstamp
from baobabgap.control._members import Member
from baobabgap.control._members import Members
from baobabgap.control._tickets import Tickets
from baobabgap.messages import Changes
from baobabgap.settings import ControlSettings

_SNAPSHOT_FORMAT: Final = 1


class ControlState:
    """Claims, tickets and members, changed by commands of the log.

    Applying a command is deterministic, so that all control hosts reach
    the same state: no clock is read and no random number is drawn.
    `version` is the index of the last command that changed a member or the
    configuration.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self.lock: Final = threading.RLock()
        self.claims: Final = Claims(
            ClaimLimits(
                settings.kept_claims,
                settings.kept_claims_per_client,
                int(settings.claim_window_s * 1000),
                settings.kept_clients,
            )
        )
        self.tickets: Final = Tickets(settings.kept_tickets)
        self.members: Final = Members(settings.kept_gone_members)
        self.version = 0
        # Called after each new version, without holding the lock.
        self.on_version: Callable[[], None] = _do_nothing
        # Milliseconds, summed over intervals between successive commands of
        # one leader.
        self._log_time_ms = 0
        self._stamp = ('', 0)

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a stamped command from the log and return its result."""
        leader_incarnation, now_ms, data = unstamp(command)
        with self.lock:
            before = self.version
            self._advance_time(leader_incarnation, now_ms)
            result = self._apply_one(index, data)
            is_new = self.version != before
        if is_new:
            self.on_version()
        return result

    def _advance_time(self, leader_incarnation: str, now_ms: int) -> None:
        """Add the time since this leader's last stamp.

        The clocks of two leaders are not compared: the time between the
        last stamp of one and the first of the next is left out.
        """
        last_incarnation, last_ms = self._stamp
        if leader_incarnation == last_incarnation:
            self._log_time_ms += max(0, now_ms - last_ms)
        self._stamp = (leader_incarnation, now_ms)

    def _apply_one(self, index: int, data: bytes) -> Any:
        match decode_command(data):
            case ClaimCommand() as command:
                return self.claims.claim(command, self._log_time_ms)
            case ReleaseCommand() as command:
                return self.claims.release(command)
            case TicketCommand() as command:
                newest = self.tickets.newest_number
                result = self.tickets.put(command, index)
                if self.tickets.newest_number != newest:
                    self.version = index
                return result
            case JoinCommand() as command:
                return self._change_member(command.name, index, command)
            case LeaveCommand() as command:
                return self._change_member(command.name, index, command)
            case MemberFailureCommand() as command:
                return self._change_member(command.name, index, command)
        return None

    def _change_member(
        self,
        name: str,
        index: int,
        command: JoinCommand | LeaveCommand | MemberFailureCommand,
    ) -> Any:
        result = None
        match command:
            case JoinCommand():
                result = self.members.join(command, index)
            case LeaveCommand():
                self.members.leave(command, index)
            case MemberFailureCommand():
                self.members.mark_failed(command, index)
        member = self.members.get(name)
        if member is None or member.version == index:
            self.version = index
        return result

    def look_up(self, query: LookupQuery) -> Any:
        """Answer a lookup; the caller must have passed a read barrier."""
        with self.lock:
            return self.claims.look_up(query)

    def member(self, name: str) -> Member | None:
        """Return the member with this name, or None."""
        with self.lock:
            return self.members.get(name)

    def changes_after(
        self, version: int, roles: tuple[str, ...]
    ) -> Changes | None:
        """Return the changes since `version`, or None if there are none.

        If some of these changes have been forgotten, the whole state is
        returned, with `from_version` 0.
        """
        with self.lock:
            if version >= self.version:
                return None
            if version < self.members.complete_since:
                version = 0
            return Changes(
                version,
                self.version,
                self.members.changed_after(version, roles),
                self.tickets.entries_after(version),
            )

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        with self.lock:
            document = [
                _SNAPSHOT_FORMAT,
                self.version,
                self._log_time_ms,
                list(self._stamp),
                self.members.to_document(),
                self.tickets.to_document(),
                self.claims.to_document(),
            ]
        return cbor2.dumps(document)

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state by a snapshot taken after `index`."""
        document = cbor2.loads(snapshot)
        with self.lock:
            _, self.version, self._log_time_ms, last_stamp = document[:4]
            self._stamp = (last_stamp[0], last_stamp[1])
            self.members.restore(document[4])
            self.tickets.restore(document[5])
            self.claims.restore(document[6])
        self.on_version()


def _do_nothing() -> None:
    """Serve as `on_version` until a callback is set."""
