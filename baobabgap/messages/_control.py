"""Messages between a member (entry, agent, tool) and a control host.

The member dials any control host and may send any request there; a
follower forwards requests to the leader.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribes to all changes after a version, past and future ones.

    A member that restarted without state sends version 0 and gets one
    full snapshot.
    """

    # The last version that the member has applied; 0 for none.
    version: int
    # Roles of the members whose changes the subscriber gets.
    member_roles: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One process of the system as the control group knows it."""

    # The process's name from its settings.
    name: str
    # entry, agent or control.
    role: str
    # Different at each start of the process.
    incarnation: str
    # Where it listens for internal links, as host:port, or empty.
    address: str
    # Its availability zone.
    availability_zone: str
    # False once it has left or is considered dead.
    alive: bool


@dataclass(frozen=True, slots=True)
class ConfigurationEntry:
    """The full state of one key, as set by its latest ticket."""

    # The key that the ticket set, such as quota/rowing or policy.
    key: str
    # The number of the ticket.
    ticket: int
    # The state: the JSON document of the ticket for this key.
    value: Any


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes after `from_version` up to and with `to_version`."""

    # The version that the receiver must have; 0 for a full snapshot.
    from_version: int
    # The version that the receiver has after applying this.
    to_version: int
    # Members that joined, left or died.
    members: tuple[MemberRecord, ...]
    # Keys that a ticket has set.
    configuration: tuple[ConfigurationEntry, ...]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Periodic report of a member to its control host."""

    # The version of the configuration in force at the member.
    version: int


@dataclass(frozen=True, slots=True)
class Claim:
    """An entry's request for the exclusive right to start a job's tasks."""

    # The job's identifier.
    job: str
    # The digest of the job's content.
    digest: bytes
    # Fencing token: the entry chooses a new one for each submission that
    # it admits, which distinguishes a resent claim from a second one.
    token: int = 0


@dataclass(frozen=True, slots=True)
class ClaimJobs:
    """A batch of claims of an entry; durable before it is answered.

    With `lookup_only` nothing is claimed: the outcomes show the state that
    a claim would find, as of some time after the request was sent.
    """

    # Chosen by the sender to match the answer.
    request: int
    # The entry that claims.
    owner: str
    # The entry's incarnation.
    owner_incarnation: str
    # The entry's address for internal links, as host:port.
    owner_address: str
    # The jobs.
    claims: tuple[Claim, ...]
    # Whether to look up the owners without claiming.
    lookup_only: bool = False


class ClaimStatus(StrEnum):
    """The result of a claim."""

    # The sender's incarnation owns the job with the same token; also the
    # answer to a resend of the same claim.
    GRANTED = 'granted'
    # A lookup found no owner of the job.
    UNCLAIMED = 'unclaimed'
    # Another entry, an earlier incarnation, or the same one with another
    # token owns the job.
    OWNED = 'owned'
    # The same identifier was claimed with different content. The outcome
    # names the owner here too. A lookup with an empty digest never
    # conflicts.
    CONFLICT = 'conflict'
    # The identifier is older than the claims that are kept.
    WINDOW_PASSED = 'window_passed'


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The result of one claim, and the owner of the job."""

    # The job's identifier.
    job: str
    # The result of the claim.
    status: ClaimStatus
    # The owner's name, or empty.
    owner: str = ''
    # The owner's incarnation, or empty.
    owner_incarnation: str = ''
    # Where the owner listens for internal links, or empty.
    owner_address: str = ''


@dataclass(frozen=True, slots=True)
class ClaimOutcomes:
    """The answer to `ClaimJobs`, in the order of its claims."""

    # The number of the request that is answered.
    request: int
    # One outcome for each claim.
    outcomes: tuple[ClaimOutcome, ...]


@dataclass(frozen=True, slots=True)
class ReleaseClaims:
    """The owner releases claims of jobs of which it started no task."""

    # The entry that owns the claims.
    owner: str
    # The entry's incarnation.
    owner_incarnation: str
    # Identifiers of jobs.
    jobs: tuple[str, ...]
    # Shares its numbering with the sender's `ClaimJobs`, so that a release
    # that arrives after a later claim has no effect.
    request: int = 0


@dataclass(frozen=True, slots=True)
class PutTicket:
    """A numbered change ticket."""

    # Chosen by the sender to match the answer.
    request: int
    # The ticket's number; must exceed that of the newest ticket.
    number: int
    # The full new state of each key that the ticket sets.
    state_by_key: dict[str, Any]


class TicketStatus(StrEnum):
    """The result of a ticket."""

    ACCEPTED = 'accepted'
    # Another ticket with the same number was accepted.
    LOST = 'lost'
    # The number is lower than that of the newest ticket.
    STALE = 'stale'
    # The content is not valid.
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """The answer to `PutTicket`; a resent ticket gets the same answer."""

    # The number of the request that is answered.
    request: int
    # The result of the ticket.
    status: TicketStatus
    # The number of the newest accepted ticket.
    newest_number: int
    # The version at which the ticket takes effect, if accepted.
    version: int
    # Human-readable reason.
    message: str
    # If lost, the content of the accepted ticket with that number.
    winner: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class QueryControl:
    """Requests a page for the operators' tool."""

    # Chosen by the sender to match the answer.
    request: int
    # members, tickets, configuration or status.
    topic: str


@dataclass(frozen=True, slots=True)
class ControlPage:
    """The answer to `QueryControl`."""

    # The number of the request that is answered.
    request: int
    # The page: a JSON document that docs/PROTOCOL-CONTROL.md describes.
    document: Any


@dataclass(frozen=True, slots=True)
class ControlUnavailable:
    """The request was not executed, or it is unknown whether it was.

    The answer to any request while no leader has a majority.
    """

    # The number of the request that is answered.
    request: int
    # Human-readable reason.
    message: str
    # Whether it is certain that the request changed nothing.
    unchanged: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """The member is about to shut down and takes no new work."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process with the receiver's name has joined after it.

    The receiver is no longer a member and must take no new work.
    """

    # The incarnation that is now the member.
    incarnation: str
