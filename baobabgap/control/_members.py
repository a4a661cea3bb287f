"""Membership: which processes belong to the system.

Each record holds the version at which it last changed, so that the
changes since a version are found without a list of single changes.
Members that are gone are kept for a while as records that are not alive.
Once the oldest of them has been forgotten, a reader at a version from
before it changed needs the whole state.
"""

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import Final

from baobabgap.control._commands import Attachment
from baobabgap.control._commands import JoinCommand
from baobabgap.control._commands import LeaveCommand
from baobabgap.control._commands import MemberFailureCommand
from baobabgap.messages import MemberRecord

_MAX_SUPERSEDED_KEPT: Final = 8


@dataclass(frozen=True, slots=True)
class Member:
    """A member's record with the group's internal data about it."""

    # The part that is published to other members.
    record: MemberRecord
    # The version at which the record last changed.
    version: int
    # The session through which it was last connected.
    attachment: Attachment
    # Whether this incarnation has left as planned, which is final.
    has_left: bool = False
    # Earlier incarnations under this name, oldest first.
    superseded: tuple[str, ...] = ()


class Members:
    """All members, changed by commands in the order of the log."""

    def __init__(self, max_kept_gone: int) -> None:
        self._max_kept_gone = max_kept_gone
        # Ordered by the version of the member.
        self._member_by_name: dict[str, Member] = {}
        self._gone_count = 0
        self._complete_since = 0
        # Counts commands and restores of any kind, on this host only.
        self.revision = 0

    @property
    def complete_since(self) -> int:
        """The version after which no change has been forgotten."""
        return self._complete_since

    def get(self, name: str) -> Member | None:
        """Return the member with this name, alive or gone."""
        return self._member_by_name.get(name)

    def all(self) -> list[Member]:
        """Return all members, ordered by their last change."""
        return list(self._member_by_name.values())

    def changed_after(
        self, version: int, roles: tuple[str, ...]
    ) -> tuple[MemberRecord, ...]:
        """Return the records of these roles that changed after `version`."""
        found = []
        for member in reversed(self._member_by_name.values()):
            if member.version <= version:
                break
            if member.record.role in roles:
                found.append(member.record)
        return tuple(reversed(found))

    def join(self, command: JoinCommand, index: int) -> str:
        """Attach the member; return the current incarnation of the name.

        It differs from the command's incarnation if that was superseded.
        """
        self.revision += 1
        attachment = Attachment(*command.attachment)
        record = MemberRecord(
            command.name,
            command.role,
            command.incarnation,
            command.address,
            command.availability_zone,
            True,
        )
        known = self._member_by_name.get(command.name)
        if known is None:
            self._store(Member(record, index, attachment))
            return command.incarnation
        if command.incarnation in known.superseded:
            return known.record.incarnation
        if command.incarnation != known.record.incarnation:
            earlier = (*known.superseded, known.record.incarnation)
            superseded = earlier[-_MAX_SUPERSEDED_KEPT:]
            self._store(Member(record, index, attachment, False, superseded))
        elif known.has_left or known.record == record:
            self._member_by_name[command.name] = replace(
                known, attachment=attachment
            )
        else:
            self._store(
                replace(
                    known, record=record, version=index, attachment=attachment
                )
            )
        return command.incarnation

    def leave(self, command: LeaveCommand, index: int) -> None:
        """Record the planned stop of an incarnation, which is final."""
        self.revision += 1
        known = self._member_by_name.get(command.name)
        if known is None or known.record.incarnation != command.incarnation:
            return
        if known.record.alive:
            self._store_gone(replace(known, has_left=True), index)
        else:
            self._member_by_name[command.name] = replace(known, has_left=True)

    def mark_failed(self, command: MemberFailureCommand, index: int) -> None:
        """Record a failure unless the member was attached elsewhere since."""
        self.revision += 1
        known = self._member_by_name.get(command.name)
        if known is None or not known.record.alive:
            return
        if known.record.incarnation != command.incarnation:
            return
        if known.attachment == Attachment(*command.attachment):
            self._store_gone(known, index)

    def _store_gone(self, member: Member, index: int) -> None:
        record = replace(member.record, alive=False)
        self._store(replace(member, record=record, version=index))

    def _store(self, member: Member) -> None:
        name = member.record.name
        before = self._member_by_name.pop(name, None)
        if before is not None and not before.record.alive:
            self._gone_count -= 1
        self._member_by_name[name] = member
        if not member.record.alive:
            self._gone_count += 1
        if self._gone_count > self._max_kept_gone:
            self._forget_oldest_gone()

    def _forget_oldest_gone(self) -> None:
        oldest = next(
            member
            for member in self._member_by_name.values()
            if not member.record.alive
        )
        self._complete_since = max(self._complete_since, oldest.version)
        self._gone_count -= 1
        del self._member_by_name[oldest.record.name]

    def to_document(self) -> list[Any]:
        """Return all members as plain values for a snapshot."""
        rows = [
            [
                member.record.name,
                member.record.role,
                member.record.incarnation,
                member.record.address,
                member.record.availability_zone,
                member.record.alive,
                member.version,
                member.attachment.host,
                member.attachment.host_incarnation,
                member.attachment.session,
                member.has_left,
                list(member.superseded),
            ]
            for member in self._member_by_name.values()
        ]
        return [self._complete_since, rows]

    def restore(self, document: list[Any]) -> None:
        """Replace all members by a result of `to_document`."""
        self.revision += 1
        self._complete_since, rows = document
        self._member_by_name = {}
        self._gone_count = 0
        for row in rows:
            record = MemberRecord(*row[:6])
            attachment = Attachment(*row[7:10])
            member = Member(
                record, row[6], attachment, row[10], tuple(row[11])
            )
            self._member_by_name[record.name] = member
            if not record.alive:
                self._gone_count += 1
