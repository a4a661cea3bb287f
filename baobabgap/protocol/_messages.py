"""Messages between the leader, the entries and the agents of upstreams."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final
import zlib

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import Step
from baobabgap.jobmodel import TaskId
from baobabgap.wire import register

# A fence on an upstream holds the leader's term, the number of the link and
# the number of the upstream's incarnation on that link, in 53 bits, as much as
# every JSON parser reads exactly.
_LINKS_PER_TERM: Final = 2**24
_INCARNATIONS_PER_LINK: Final = 2**8


class CallOutcome(StrEnum):
    """Outcome of a call, as answered by the leader."""

    # The job is durable, by this submission or an earlier one.
    ACCEPTED = 'accepted'
    # `state` holds the job's state.
    FOUND = 'found'
    # `waiting` holds the number of jobs without a started task.
    COUNTED = 'counted'
    # The cancellation is durable.
    CANCELLED = 'cancelled'
    # The input violates the documented rules.
    INVALID = 'invalid'
    # No queue has this host and path.
    NO_SUCH_QUEUE = 'no_such_queue'
    # The job is unknown.
    NO_SUCH_JOB = 'no_such_job'
    # The job was not accepted and never runs: too much work is queued.
    OVERLOADED = 'overloaded'
    # Nothing was done: there is no leader or no configuration.
    UNAVAILABLE = 'unavailable'
    # The call may or may not have taken effect.
    UNKNOWN = 'unknown'

    @property
    def is_rejection(self) -> bool:
        """Whether a submission has not run and won't, by this outcome."""
        return self in (
            CallOutcome.INVALID,
            CallOutcome.NO_SUCH_QUEUE,
            CallOutcome.OVERLOADED,
            CallOutcome.UNAVAILABLE,
        )


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submits a job for a caller."""

    # Copied to the answer.
    call: int
    host: str
    path: str
    payload: str
    steps: tuple[Step, ...]
    # Whether the answer is sent when the job has ended and nothing is
    # stored.
    is_volatile: bool = False
    # Milliseconds that the caller has waited since the entry got the job.
    waited_ms: int = 0
    # Milliseconds, counted from the same moment, for which the caller waits
    # for an answer; 0 for no limit.
    patience_ms: int = 0
    # Whether the entry sent the job before, so that it may have begun.
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class DropCall:
    """Reports that the caller of a volatile job has disconnected."""

    # The number of the call that submitted the job.
    call: int


@dataclass(frozen=True, slots=True)
class ReadPath:
    """Reads a job's state or a queue's length for a caller."""

    call: int
    host: str
    path: str


@dataclass(frozen=True, slots=True)
class CancelPath:
    """Cancels a job for a caller."""

    call: int
    host: str
    path: str


@dataclass(frozen=True, slots=True)
class EntryReport:
    """The first message of an entry to each leader."""

    # Volatile jobs recently sent to an earlier leader, whose tasks may be
    # running. Any other job is certainly new.
    begun_job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartsDeferred:
    """States which submitted jobs have not begun and wait.

    The leader starts none of them before a `StartsExpected` names the job,
    or another call submits it.
    """

    # The numbers of the calls that submitted the jobs.
    calls: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StartsAnnounced:
    """States which deferred jobs are to begin; answered at once."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartsExpected:
    """States that the entry reports these jobs to the next leader as begun."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to a call."""

    call: int
    outcome: CallOutcome
    state: str = ''
    waiting: int = 0
    # Milliseconds after which the caller should retry; 0 for none.
    retry_after_ms: int = 0
    # The error in readable form.
    detail: str = ''
    # Whether another try by the entry can't change the outcome in time.
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class QueueObjective:
    """Until when the end of a queue's jobs is worth anything.

    Counted from the arrival: a multiple of a job's expected duration, and a
    number of milliseconds more.
    """

    # In lower case and without a port.
    host: str
    path_prefix: str
    useful_stretch: float
    useful_allowance_ms: float


@dataclass(frozen=True, slots=True)
class LeaderReady:
    """States that the sender leads and accepts calls and reports."""

    # Orders with a lower fence are rejected.
    fence: int
    # Internal addresses of all control hosts, as host:port.
    control_addresses: tuple[str, ...]
    largest_body_bytes: int
    # For entries; empty if there are too many queues.
    objectives: tuple[QueueObjective, ...] = ()
    # Higher for each later link of this term; 0 if the sender doesn't count.
    link_number: int = 0

    def upstream_fence(self, incarnation_number: int) -> int:
        """Return the fence of an agent's calls to its upstream on this link.

        `incarnation_number` counts the upstream's incarnations that the agent
        has seen on this link. It has no effect if a later link may have the
        same number, as the fence of that one would be lower.
        """
        last_link = _LINKS_PER_TERM - 1
        link = min(self.link_number, last_link)
        is_shared = link in (0, last_link)
        incarnation = (
            0
            if is_shared
            else min(incarnation_number, _INCARNATIONS_PER_LINK - 1)
        )
        link_fence = self.fence * _LINKS_PER_TERM + link
        return link_fence * _INCARNATIONS_PER_LINK + incarnation


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that an upstream has, or may have."""

    task: TaskId
    run: int
    # Whether the upstream is known to have it.
    is_confirmed: bool
    # The resources it occupies; zero if only an earlier process of the
    # agent knew them.
    demand: Demand = Demand()
    # Milliseconds from its start to the crash of its upstream; None if the
    # start is unknown or the upstream has not crashed.
    age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run that ended on an upstream."""

    # Sequence number among the ends of one instance of the upstream.
    number: int
    task: TaskId
    run: int
    end: RunEnd


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """State of an upstream as known to its agent."""

    # Identifies one instance (process lifetime) of the upstream.
    instance: str
    # Start time of the instance, milliseconds since 1970.
    born_ms: int
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Demand
    # Whether it finishes its runs and accepts no new ones.
    is_draining: bool
    # Whether its agent has reached it recently and knows what it announces
    # of itself; no run may start there otherwise.
    is_reachable: bool
    # Milliseconds for which it still runs tasks more slowly, as it has
    # started or returned a short time ago; 0 if it doesn't.
    cold_left_ms: int = 0

    @property
    def description_crc(self) -> int:
        """A checksum of what hardly changes: service, zone and labels."""
        parts = (self.service, self.availability_zone, *self.labels)
        return zlib.crc32('\0'.join(parts).encode())


# The reason of `RunsGone` after a crash of the upstream.
CRASHED: Final = 'crashed'
# The reason if the upstream's availability zone is evacuated.
EVACUATED: Final = 'evacuated'


@dataclass(frozen=True, slots=True)
class RunsGone:
    """Reports runs that neither run nor will run: refused or lapsed."""

    instance: str
    born_ms: int
    runs: tuple[RunRow, ...]
    # room, late, unhealthy, unanswered, lapsed, undescribed or `EVACUATED`;
    # used in logs.
    # `CRASHED` if the upstream has crashed under all these runs.
    reason: str
    # Other runs of their tasks, because of which they were not started.
    found: tuple[RunRow, ...] = ()


@dataclass(frozen=True, slots=True)
class FullReport:
    """Complete state of an agent.

    Its first message to each leader, and its answer to `ReportRequest`.
    """

    fence: int
    # None if no upstream has registered with the agent.
    upstream: UpstreamState | None
    running: tuple[RunRow, ...]
    ended: tuple[EndRow, ...]
    # What the latest crashes of the upstream ended, also if reported before.
    crashes: tuple[RunsGone, ...] = ()
    # How many messages `StartRuns` had arrived on the link when the report
    # was computed; None from an agent that doesn't count them and doesn't
    # know `ReportRequest`.
    starts_received: int | None = None


@dataclass(frozen=True, slots=True)
class UpstreamQuiet:
    """States that an upstream without a registration runs nothing.

    The upstream has received the fence, so that no order with a lower fence
    can start a run.
    """

    fence: int


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """Reports that the upstream has appeared, changed or left.

    If the instance differs, all runs of the earlier one have ended.
    """

    upstream: UpstreamState | None
    # The instance that has left, and its start; '' and 0 if none has, and
    # from an agent that doesn't tell it.
    left_instance: str = ''
    left_born_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunsEnded:
    """Reports runs that have ended on the upstream."""

    instance: str
    born_ms: int
    ended: tuple[EndRow, ...]


@dataclass(frozen=True, slots=True)
class RunsFound:
    """Reports runs on the upstream that its agent did not order."""

    instance: str
    born_ms: int
    runs: tuple[RunRow, ...]


@dataclass(frozen=True, slots=True)
class AuthorityRequest:
    """Requests authority to keep renewing the upstream's lease."""

    # The upstream's clock, read before the request was sent.
    clock_ms: int
    instance: str
    # The number of runs that the upstream lists.
    running: int
    # Start of the instance whose clock was read, milliseconds since 1970.
    born_ms: int = 0
    # The state as in `UpstreamState`, so that the leader can compare its view;
    # None from an agent that doesn't tell it.
    is_draining: bool | None = None
    is_reachable: bool | None = None
    capacity: Demand | None = None
    # Of the service, the zone and the labels; 0 if it isn't told.
    description_crc: int = 0


@dataclass(frozen=True, slots=True)
class Authority:
    """Permits renewal of leases until a time on the upstream's clock."""

    fence: int
    instance: str
    until_clock_ms: int
    # As in the request; 0 from a leader that doesn't state it.
    born_ms: int = 0
    # The upstream's zone and the log index of the order that evacuated it, 0
    # if it isn't evacuated, so that the agent can compare; no zone if it
    # isn't told.
    zone: str = ''
    evacuation_version: int = 0


@dataclass(frozen=True, slots=True)
class RunOrder:
    """An order to start one run of a task."""

    task: TaskId
    run: int
    payload: str
    demand: Demand


@dataclass(frozen=True, slots=True)
class StartRuns:
    """Orders starts of runs on the upstream, in the given sequence."""

    fence: int
    instance: str
    born_ms: int
    orders: tuple[RunOrder, ...]


@dataclass(frozen=True, slots=True)
class StopRuns:
    """Orders stops of runs; their ends are reported as usual."""

    fence: int
    runs: tuple[RunRow, ...]


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Requests a full report after the next answered poll."""

    fence: int


@dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """States whether an availability zone is evacuated.

    On a new link it comes before all orders to start runs; without it the
    zone is not evacuated.
    """

    fence: int
    zone: str
    # The log index of the operator's order.
    version: int
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class EndsNoted:
    """Confirms that all ends up to a number are durable."""

    instance: str
    born_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """Requests membership for a control host outside the group."""

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
    ReportRequest,
    RunsEnded,
    RunsFound,
    RunsGone,
    StartRuns,
    StartsAnnounced,
    StartsDeferred,
    StartsExpected,
    StopRuns,
    SubmitJob,
    UpstreamChanged,
    UpstreamQuiet,
    ZoneEvacuated,
)
