"""Messages between the leader, the entries and the agents of upstreams."""

from dataclasses import dataclass
from enum import StrEnum

from baobabgap.accepted import Demand
from baobabgap.accepted import RunEnd
from baobabgap.accepted import Step
from baobabgap.accepted import TaskId
from baobabgap.messages import register


class CallOutcome(StrEnum):
    """How the leader answers a caller."""

    # The job is durable, now or since an earlier submission.
    ACCEPTED = 'accepted'
    # `state` holds the job's state.
    FOUND = 'found'
    # `waiting` holds the number of jobs without a started task.
    COUNTED = 'counted'
    # The job is cancelled, durably.
    CANCELLED = 'cancelled'
    # The input breaks the stated rules.
    INVALID = 'invalid'
    # No queue has this host and path.
    NO_SUCH_QUEUE = 'no_such_queue'
    # No such job is known.
    NO_SUCH_JOB = 'no_such_job'
    # The job was not accepted and never runs: too much work waits.
    OVERLOADED = 'overloaded'
    # Nothing was done: there is no leader, or it has no configuration.
    UNAVAILABLE = 'unavailable'
    # The call may or may not have taken effect.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """A caller hands in a job."""

    # Copied to the answer.
    call: int
    host: str
    path: str
    payload: str
    steps: tuple[Step, ...]
    # Whether the answer is to come when the job has ended, and nothing
    # need be stored.
    is_volatile: bool = False
    # Milliseconds since the entry got it: its caller has waited as long.
    waited_ms: int = 0
    # Milliseconds from then on within which an answer is of use; 0: always.
    patience_ms: int = 0
    # Whether the entry has sent it before, so that it may have begun.
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class DropCall:
    """The caller of a volatile job is gone: nobody wants its answer."""

    # The number of the call that handed it in.
    call: int


@dataclass(frozen=True, slots=True)
class ReadPath:
    """A caller asks for a job's state, or for a queue's length."""

    call: int
    host: str
    path: str


@dataclass(frozen=True, slots=True)
class CancelPath:
    """A caller cancels a job."""

    call: int
    host: str
    path: str


@dataclass(frozen=True, slots=True)
class EntryReport:
    """The first message of an entry to each leader."""

    # Volatile jobs that it has handed to an earlier leader lately: their
    # tasks may run. Any other job is certainly new.
    begun_job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to any of the calls."""

    call: int
    outcome: CallOutcome
    state: str = ''
    waiting: int = 0
    # Milliseconds after which the caller should come again; 0 for none.
    retry_after_ms: int = 0
    # What is wrong, for people.
    detail: str = ''


@dataclass(frozen=True, slots=True)
class LeaderReady:
    """The sender leads and takes calls and reports."""

    # Orders with a lower fence are void.
    fence: int
    # Internal addresses of all control hosts, as host:port.
    control_addresses: tuple[str, ...]
    largest_body_bytes: int


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that an upstream has, or may have."""

    task: TaskId
    run: int
    # Whether it's certain that the upstream has it.
    is_confirmed: bool
    # What it occupies; nothing if an earlier process of the agent knew.
    demand: Demand = Demand()


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run that ended on an upstream."""

    # Counts the ends of one incarnation of the upstream.
    number: int
    task: TaskId
    run: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """An upstream as its agent knows it."""

    # The identity of one life of the upstream.
    instance: str
    # Milliseconds since 1970 at which that life began.
    born_ms: int
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Demand
    # Whether it finishes what it has and takes nothing new.
    is_draining: bool
    # Whether its agent has reached it lately.
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class FullReport:
    """All that an agent knows; the first message to each leader."""

    fence: int
    # None if no upstream has announced itself.
    upstream: UpstreamState | None
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]


@dataclass(frozen=True, slots=True)
class UpstreamQuiet:
    """An upstream that has not announced itself yet runs nothing.

    It has seen the fence, so that no earlier order can start anything.
    """

    fence: int


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The upstream has come, changed or gone.

    With another instance, all runs of the earlier one are over.
    """

    upstream: UpstreamState | None


@dataclass(frozen=True, slots=True)
class RunsEnded:
    """Runs have ended on the upstream."""

    instance: str
    born_ms: int
    ended: tuple[EndRow, ...]


@dataclass(frozen=True, slots=True)
class RunsGone:
    """Runs that certainly don't run and will not: refused or lapsed."""

    instance: str
    born_ms: int
    runs: tuple[RunRow, ...]
    # room, late, unhealthy, unanswered or lapsed, for the log.
    reason: str


@dataclass(frozen=True, slots=True)
class RunsFound:
    """The upstream lists runs that its agent has not ordered."""

    instance: str
    born_ms: int
    runs: tuple[RunRow, ...]


@dataclass(frozen=True, slots=True)
class AuthorityRequest:
    """An agent asks to go on renewing its upstream's lease."""

    # A reading of the upstream's clock, taken before this was sent.
    clock_ms: int
    instance: str
    # Runs that the upstream lists.
    running: int


@dataclass(frozen=True, slots=True)
class Authority:
    """The agent may renew leases until a time on the upstream's clock."""

    fence: int
    instance: str
    until_clock_ms: int


@dataclass(frozen=True, slots=True)
class RunOrder:
    """Start one run of a task."""

    task: TaskId
    run: int
    payload: str
    demand: Demand


@dataclass(frozen=True, slots=True)
class StartRuns:
    """Start runs on the upstream, in this order."""

    fence: int
    instance: str
    born_ms: int
    orders: tuple[RunOrder, ...]


@dataclass(frozen=True, slots=True)
class StopRuns:
    """Stop runs; their ends are reported as usual."""

    fence: int
    runs: tuple[RunRow, ...]


@dataclass(frozen=True, slots=True)
class EndsNoted:
    """All ends up to a number are durable."""

    instance: str
    born_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """A control host outside of the group asks to be taken in."""

    name: str
    host: str
    port: int


register(
    Authority,
    AuthorityRequest,
    CallAnswer,
    CancelPath,
    DropCall,
    EndsNoted,
    EntryReport,
    FullReport,
    JoinGroup,
    LeaderReady,
    ReadPath,
    RunsEnded,
    RunsFound,
    RunsGone,
    StartRuns,
    StopRuns,
    SubmitJob,
    UpstreamChanged,
    UpstreamQuiet,
)
