"""Messages between a member (entry, agent, tool) and a control host.

The member dials any control host and may send any request there; a
follower passes requests on to the leader.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for all changes after a version, now and as they come.

    A member that restarted with nothing sends version 0 and gets one
    whole snapshot.
    """

    # The last version that the member has applied; 0 for none.
    version: int
    # Roles whose members the subscriber wants to hear of.
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
    # False once it has left or is taken for dead.
    alive: bool


@dataclass(frozen=True, slots=True)
class ConfigurationEntry:
    """The whole state of one key, as its latest ticket left it."""

    # What the ticket touched, such as quota/rowing or policy.
    key: str
    # The number of the ticket.
    ticket: int
    # The state: the JSON document of the ticket for this key.
    value: Any


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed after `from_version` up to `to_version`."""

    # The version that the receiver must have; 0 for a whole snapshot.
    from_version: int
    # The version that the receiver has after applying this.
    to_version: int
    # Members that joined, left or died.
    members: tuple[MemberRecord, ...]
    # Keys that a ticket has set.
    configuration: tuple[ConfigurationEntry, ...]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a member tells its control host now and then."""

    # The version of the configuration in force at the member.
    version: int


@dataclass(frozen=True, slots=True)
class Claim:
    """One entry's wish to be the only one that starts a job's tasks."""

    # The job's identifier.
    job: str
    # The digest of the job's content.
    digest: bytes
    # Fencing token: chosen anew by the entry for each submission that it
    # admits, so that a resent claim can be told from a second one.
    token: int = 0


@dataclass(frozen=True, slots=True)
class ClaimJobs:
    """Claims that an entry makes together; durable before answered.

    With `lookup_only` nothing is claimed: the outcomes tell what a claim
    would have met, as of a moment after the request was sent.
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
    # True to only look.
    lookup_only: bool = False


class ClaimStatus(StrEnum):
    """What became of a claim."""

    # The sender's incarnation owns the job with this very token; also the
    # answer to a resend of the same claim.
    GRANTED = 'granted'
    # A lookup found that nobody owns the job.
    UNCLAIMED = 'unclaimed'
    # Another entry, an earlier incarnation, or the same one with another
    # token owns the job.
    OWNED = 'owned'
    # The same identifier was claimed with other content. The outcome
    # names the owner here too. A lookup with an empty digest never
    # conflicts.
    CONFLICT = 'conflict'
    # The identifier is older than the claims that are kept.
    WINDOW_PASSED = 'window_passed'


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """What became of one claim, and who owns the job."""

    # The job's identifier.
    job: str
    # What became of the claim.
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
    """The owner gives up claims of jobs of which it started nothing."""

    # The entry that owns the claims.
    owner: str
    # The entry's incarnation.
    owner_incarnation: str
    # Identifiers of jobs.
    jobs: tuple[str, ...]
    # Numbered together with the sender's `ClaimJobs`, so that a release
    # that was overtaken by a later claim has no effect.
    request: int = 0


@dataclass(frozen=True, slots=True)
class PutTicket:
    """A numbered change ticket."""

    # Chosen by the sender to match the answer.
    request: int
    # The ticket's number; must exceed that of the newest ticket.
    number: int
    # The whole new state of each key that the ticket touches.
    state_by_key: dict[str, Any]


class TicketStatus(StrEnum):
    """What became of a ticket."""

    ACCEPTED = 'accepted'
    # Another ticket with the same number won.
    LOST = 'lost'
    # The number is behind that of the newest ticket.
    STALE = 'stale'
    # The content breaks the rules.
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """The answer to `PutTicket`; the same one for a resent ticket."""

    # The number of the request that is answered.
    request: int
    # What became of the ticket.
    status: TicketStatus
    # The number of the newest accepted ticket.
    newest_number: int
    # The version at which the ticket is in force, if accepted.
    version: int
    # Why, for a person.
    message: str
    # The content of the accepted ticket with that number, if lost.
    winner: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class QueryControl:
    """Asks for a page that the operators' tool shows."""

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
    """The request was not carried out, or it isn't known whether it was.

    Answers any request while there is no leader that a majority follows.
    """

    # The number of the request that is answered.
    request: int
    # Why, for a person.
    message: str
    # True if the request certainly changed nothing.
    unchanged: bool


@dataclass(frozen=True, slots=True)
class LeaderHint:
    """Where the leader is; requests sent there save one hop."""

    # The leader's name.
    leader: str
    # Where it listens for internal links, as host:port.
    address: str


@dataclass(frozen=True, slots=True)
class Leave:
    """The member is about to stop as planned and takes no new work."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process with the receiver's name has joined after it.

    The receiver is a member no more and must take no new work.
    """

    # The incarnation that is the member now.
    incarnation: str
