"""Records of the tasks that were placed with the agent."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from baobabgap.agent._batch_log import Batch
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement
from baobabgap.messages import TaskResult

# Started tasks that are recognised as duplicates after their results were
# acknowledged, and jobs whose owner is kept.
KEPT_STARTED_TASKS: Final = 20_000
# Tasks without an acknowledged result at which new placements are refused
# until entries acknowledge results.
_MAX_UNACKNOWLEDGED_TASKS: Final = 20_000


class TaskState(Enum):
    """State of a placed task at the agent."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(slots=True)
class TaskRecord:
    """One placed task; only `TaskScheduler` changes its state and result."""

    # The job's identifier.
    job: str
    # The placement; None if an earlier agent process started the task.
    placement: TaskPlacement | None
    # The task's identifier within its job.
    task: str
    # The name of the entry that placed it.
    owner: str
    # The incarnation of that entry.
    owner_incarnation: str
    # The job's deadline, in seconds of the monotonic clock.
    deadline: float
    # Whether it waits, runs or has ended.
    state: TaskState = TaskState.QUEUED
    # When it was submitted to the upstream, in seconds of the monotonic
    # clock.
    started_at: float = 0.0
    # The logged batch that it belongs to, if any.
    batch: Batch | None = None
    # Whether no open request to the upstream waits for its end.
    is_detached: bool = False
    # Whether the upstream has reported it as ended at a renewal.
    reported_ended: bool = False
    # Its result, once it has ended.
    result: TaskResult | None = None
    # The entry's number of the placement, or 0 if it isn't known.
    number: int = 0

    @property
    def lease(self) -> str:
        """The identifier of its lease at the upstream."""
        return lease_identifier(self.job, self.task)

    @property
    def has_started(self) -> bool:
        """Whether the task has started, or may have."""
        if self.result is None:
            return self.state is TaskState.RUNNING
        return self.result.outcome is not TaskOutcome.NOT_STARTED


def lease_identifier(job: str, task: str) -> str:
    """Return the lease identifier of a task, as `job/task`."""
    return f'{job}/{task}'


class TaskRegistry:
    """Records each placed task, so that it starts at most once.

    A record is kept until the entry acknowledges its result. After that
    only the lease identifier is kept, for the last `KEPT_STARTED_TASKS`
    started tasks; at the peak of 26 starts per second on one upstream
    this covers more time than the longest deadline.
    """

    def __init__(self) -> None:
        self._record_by_lease: dict[str, TaskRecord] = {}
        # Removing the first key of a plain dict repeatedly is slow.
        self._started_leases: OrderedDict[str, None] = OrderedDict()
        self._owner_by_job: OrderedDict[str, str] = OrderedDict()
        self._acknowledged_leases: list[str] = []

    def __len__(self) -> int:
        return len(self._record_by_lease)

    @property
    def is_full(self) -> bool:
        """Whether placements are refused until results are acknowledged."""
        return len(self._record_by_lease) >= _MAX_UNACKNOWLEDGED_TASKS

    def records(self) -> list[TaskRecord]:
        """Return all records, oldest first."""
        return list(self._record_by_lease.values())

    def find(self, job: str, task: str) -> TaskRecord | None:
        """Return the record of a task that is not acknowledged yet."""
        return self._record_by_lease.get(lease_identifier(job, task))

    def has_started(self, job: str, task: str) -> bool:
        """Return whether a task without a record is known to have started."""
        return lease_identifier(job, task) in self._started_leases

    def has_other_owner(self, job: str, owner_incarnation: str) -> bool:
        """Return whether a job is bound to another owner."""
        owner = self._owner_by_job.get(job, owner_incarnation)
        return owner != owner_incarnation

    def bind_owner(self, job: str, owner_incarnation: str) -> bool:
        """Bind a job to its first owner; return whether it is this one."""
        owner = self._owner_by_job.setdefault(job, owner_incarnation)
        if len(self._owner_by_job) > KEPT_STARTED_TASKS:
            self._owner_by_job.popitem(last=False)
        return owner == owner_incarnation

    def add(self, record: TaskRecord) -> None:
        """Add the record of a newly placed task."""
        self._record_by_lease[record.lease] = record

    def acknowledge(self, record: TaskRecord) -> None:
        """Drop a record whose result the entry has acknowledged."""
        if record.has_started:
            self._acknowledged_leases.append(record.lease)
        self.drop(record)

    def drop(self, record: TaskRecord) -> None:
        """Drop a record that is no longer needed; keep that it started.

        The upstream is not told to drop its own record, so that a
        restarted agent still finds the task there.
        """
        del self._record_by_lease[record.lease]
        if not record.has_started:
            return
        self._started_leases[record.lease] = None
        if len(self._started_leases) > KEPT_STARTED_TASKS:
            self._started_leases.popitem(last=False)

    def pop_acknowledged_leases(self) -> list[str]:
        """Remove and return the leases that the upstream may drop."""
        leases = self._acknowledged_leases
        self._acknowledged_leases = []
        return leases

    def requeue_acknowledged_leases(self, leases: Iterable[str]) -> None:
        """Put back leases whose acknowledgement could not be sent."""
        self._acknowledged_leases.extend(leases)
