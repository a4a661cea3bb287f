"""Commands of the control log and queries of its state, and their codec.

Commands and queries are data classes that are encoded as a CBOR array of
a code and the fields in order. The leader prefixes each command with a
reading of its own clock; durations are only ever measured between
readings of one incarnation of one leader.
"""

from dataclasses import dataclass
from dataclasses import fields
from operator import attrgetter
from typing import Any
from typing import Final

import cbor2


@dataclass(frozen=True, slots=True)
class Attachment:
    """The session through which a member is connected."""

    # The control host that holds the member's link.
    host: str
    # The incarnation of that host.
    host_incarnation: str
    # Counts the sessions of that incarnation.
    session: int


@dataclass(frozen=True, slots=True)
class ClaimCommand:
    """Claims jobs for one owner."""

    # The entry that claims.
    owner: str
    # The entry's incarnation.
    owner_incarnation: str
    # The entry's address for internal links, as host:port.
    owner_address: str
    # The number of the owner's request.
    sequence: int
    # Job identifier, digest of its content and fencing token of each.
    claims: list[tuple[str, bytes, int]]


@dataclass(frozen=True, slots=True)
class ReleaseCommand:
    """Releases claims of jobs of which the owner started nothing."""

    # The entry's incarnation.
    owner_incarnation: str
    # The number of the owner's request.
    sequence: int
    # Identifiers of jobs.
    jobs: list[str]


@dataclass(frozen=True, slots=True)
class TicketCommand:
    """Submits a change ticket whose content has been validated."""

    # The ticket's number.
    number: int
    # The state by key as canonical JSON.
    content: str
    # The newest accepted ticket number when the content was validated.
    base_number: int


@dataclass(frozen=True, slots=True)
class JoinCommand:
    """Records that a member has connected to a control host."""

    # The member's name.
    name: str
    # entry, agent or control.
    role: str
    # The member's incarnation.
    incarnation: str
    # The member's address for internal links, or empty.
    address: str
    # The member's availability zone.
    availability_zone: str
    # The host, the host's incarnation and the session, as `Attachment`.
    attachment: tuple[str, str, int]


@dataclass(frozen=True, slots=True)
class LeaveCommand:
    """Records the planned stop of a member."""

    # The member's name.
    name: str
    # The member's incarnation.
    incarnation: str


@dataclass(frozen=True, slots=True)
class MemberFailureCommand:
    """Records that a member has not reconnected within the grace period.

    Has no effect if the member has been attached elsewhere since.
    """

    # The member's name.
    name: str
    # The member's incarnation.
    incarnation: str
    # The session that was lost, as `Attachment`.
    attachment: tuple[str, str, int]


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """Asks for the outcome that claims would have, without claiming."""

    # The incarnation of the entry that asks.
    owner_incarnation: str
    # Job identifier, digest of its content and fencing token of each.
    claims: list[tuple[str, bytes, int]]


@dataclass(frozen=True, slots=True)
class PageQuery:
    """Asks for one of the pages for operators."""

    # members, tickets, configuration or status.
    topic: str


Command = (
    ClaimCommand
    | ReleaseCommand
    | TicketCommand
    | JoinCommand
    | LeaveCommand
    | MemberFailureCommand
    | LookupQuery
    | PageQuery
)

_CLASS_BY_CODE: Final[dict[int, type[Any]]] = {
    1: ClaimCommand,
    2: ReleaseCommand,
    3: TicketCommand,
    4: JoinCommand,
    5: LeaveCommand,
    6: MemberFailureCommand,
    7: LookupQuery,
    8: PageQuery,
}
_CODE_BY_CLASS: Final = {
    command_class: code for code, command_class in _CLASS_BY_CODE.items()
}
_GETTERS_BY_CLASS: Final = {
    command_class: [attrgetter(field.name) for field in fields(command_class)]
    for command_class in _CODE_BY_CLASS
}


def encode_command(command: Command) -> bytes:
    """Encode a command or query."""
    getters = _GETTERS_BY_CLASS[type(command)]
    code = _CODE_BY_CLASS[type(command)]
    return cbor2.dumps([code, *(getter(command) for getter in getters)])


def decode_command(data: bytes) -> Command:
    """Decode the result of `encode_command`."""
    code, *values = cbor2.loads(data)
    command: Command = _CLASS_BY_CODE[code](*values)
    return command


def stamp(command: bytes, leader_incarnation: str, now_ms: int) -> bytes:
    """Prefix an encoded command with the leader's clock reading."""
    return cbor2.dumps([leader_incarnation, now_ms, command])


def unstamp(data: bytes) -> tuple[str, int, bytes]:
    """Return the leader's incarnation, its clock reading and the command."""
    leader_incarnation, now_ms, command = cbor2.loads(data)
    return leader_incarnation, now_ms, command
