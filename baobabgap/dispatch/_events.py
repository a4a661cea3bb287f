"""Events for the scheduler, queued in the order of their occurrence."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import threading
from typing import Any

from baobabgap.accepted import JobEnd
from baobabgap.accepted import UnfinishedJob
from baobabgap.accepted import ZoneState
from baobabgap.protocol import CancelPath
from baobabgap.protocol import ReadPath
from baobabgap.protocol import SubmitJob
from baobabgap.transport import Connection

Call = SubmitJob | ReadPath | CancelPath


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This host leads and has applied all that earlier leaders committed."""

    term: int
    unfinished: tuple[UnfinishedJob, ...]
    # Members that may hold state of an earlier term, as `role/name`.
    members: tuple[str, ...]
    # Evacuated availability zones with the log indexes of the orders.
    version_by_evacuated_zone: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """This host no longer leads."""

    # Set once all waiting calls are answered.
    handled: threading.Event = field(default_factory=threading.Event)


@dataclass(frozen=True, slots=True)
class CallArrived:
    """An entry forwards a call."""

    call: Call
    # The link for the answer.
    connection: Connection


@dataclass(frozen=True, slots=True)
class CallDropped:
    """No client waits for the answer to a call any longer."""

    call: int
    connection: Connection


@dataclass(frozen=True, slots=True)
class AgentLinked:
    """An agent has a new link."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class AgentUnlinked:
    """A link of an agent has ended."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class AgentReported:
    """An agent has sent a message."""

    connection: Connection
    message: Any


@dataclass(frozen=True, slots=True)
class JobsStored:
    """Jobs are durable, or their outcome is unknown."""

    term: int
    job_ids: tuple[str, ...]
    succeeded: bool


@dataclass(frozen=True, slots=True)
class EndsStored:
    """Ends of runs are durable, or it is unknown whether they are."""

    term: int
    batch: int
    # The jobs that the ends ended.
    job_ends: tuple[JobEnd, ...]
    # Whether the ends are durable.
    succeeded: bool


@dataclass(frozen=True, slots=True)
class CancelStored:
    """A cancel is durable, or its outcome is unknown."""

    term: int
    job_id: str
    succeeded: bool


@dataclass(frozen=True, slots=True)
class EntryLinked:
    """An entry has a new link and has sent its first report."""

    connection: Connection
    # Volatile jobs that this incarnation sent to an earlier leader.
    begun_job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EntryUnlinked:
    """A link of an entry has ended."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class ZoneChanged:
    """The evacuation of an availability zone has begun or ended."""

    change: ZoneState


@dataclass(frozen=True, slots=True)
class OrderApplied:
    """An operator's order is durable, and its events were queued before."""

    # Answers the operator.
    notify: Callable[[], None]


@dataclass(frozen=True, slots=True)
class StartsNoted:
    """An entry has noted that deferred jobs are to begin."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MembersEnrolled:
    """The enrolment of an agent is durable, or its outcome is unknown."""

    term: int
    name: str
    # Whether it is durable, so that the agent may be sent runs.
    succeeded: bool


@dataclass(frozen=True, slots=True)
class EntryEnrolled:
    """The outcome of an entry's enrolment is known, or remains unknown."""

    term: int
    # The incarnation of the entry, as a member name.
    member: str
    # Whether the enrolment is durable.
    succeeded: bool


Event = (
    LeadershipGained
    | LeadershipLost
    | CallArrived
    | CallDropped
    | AgentLinked
    | AgentUnlinked
    | AgentReported
    | JobsStored
    | EndsStored
    | CancelStored
    | EntryLinked
    | EntryUnlinked
    | EntryEnrolled
    | StartsNoted
    | MembersEnrolled
    | ZoneChanged
    | OrderApplied
)

# Puts an event into the scheduler's queue.
PostEvent = Callable[[Event], None]
