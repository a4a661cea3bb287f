"""What the scheduler is told, in the order in which it happened."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from baobabgap.accepted import JobEnd
from baobabgap.accepted import UnfinishedJob
from baobabgap.dispatch._messages import CancelPath
from baobabgap.dispatch._messages import ReadPath
from baobabgap.dispatch._messages import SubmitJob
from baobabgap.transport import Connection

Call = SubmitJob | ReadPath | CancelPath


@dataclass(frozen=True, slots=True)
class Led:
    """This host leads, and knows all that earlier leaders committed."""

    term: int
    unfinished: tuple[UnfinishedJob, ...]
    # Members that may hold something of an earlier term, as `role/name`.
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoodDown:
    """This host leads no more."""


@dataclass(frozen=True, slots=True)
class CallArrived:
    """An entry forwards a call."""

    call: Call
    # The link that the answer goes back on.
    connection: Connection


@dataclass(frozen=True, slots=True)
class CallDropped:
    """Nobody waits for the answer to a call any more."""

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
    """Ends of runs are durable; they have ended these jobs."""

    term: int
    batch: int
    job_ends: tuple[JobEnd, ...]


@dataclass(frozen=True, slots=True)
class CancelStored:
    """A cancel is durable, or its outcome is unknown."""

    term: int
    job_id: str
    succeeded: bool


@dataclass(frozen=True, slots=True)
class EntryLinked:
    """An entry has a new link, and says what it has under way."""

    name: str
    incarnation: str
    # Volatile jobs that this incarnation has sent to an earlier leader.
    begun_job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EntryUnlinked:
    """A link of an entry has ended."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class MembersEnrolled:
    """An agent is durably known, and may get runs."""

    term: int
    name: str


Event = (
    Led
    | StoodDown
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
    | MembersEnrolled
)

# Hands an event to the scheduler's task.
Tell = Callable[[Event], None]
