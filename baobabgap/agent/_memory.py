"""What the agent knows of the tasks that were placed with it."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from baobabgap.agent._batch_log import Batch
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement
from baobabgap.messages import TaskResult

# Acknowledged tasks that are still recognised if they are placed again.
REMEMBERED_TASKS: Final = 20_000
# Results that an entry has not acknowledged; more placements than that
# are refused until it does.
_UNACKNOWLEDGED_TASKS: Final = 20_000


class TaskState(Enum):
    """Where a placed task is in its life at the agent."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(slots=True)
class TaskRecord:
    """One placed task; only `TaskScheduler` changes it."""

    # The job's identifier.
    job: str
    # The task itself; None if an earlier agent process started it.
    placement: TaskPlacement | None
    # The task's identifier within its job.
    task: str
    # The name of the entry that placed it.
    owner: str
    # The incarnation of that entry.
    owner_incarnation: str
    # When the job's deadline passes, in seconds of the monotonic clock.
    deadline: float
    # Where the task is in its life.
    state: TaskState = TaskState.QUEUED
    # When it was handed to the upstream, by the monotonic clock.
    started_at: float = 0.0
    # The logged batch that it came with, if any.
    batch: Batch | None = None
    # Whether no request is waiting for its end at the upstream.
    adrift: bool = False
    # Whether the upstream has listed it as ended at the last renewal.
    seen_ended: bool = False
    # How it ended, once it has.
    result: TaskResult | None = None

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
    """Name the lease of a task: job and task with a slash between."""
    return f'{job}/{task}'


class StartMemory:
    """Remembers each placed task, so that it starts at most once.

    A record stays until the entry has acknowledged its result. After that
    the task alone is remembered, for the last `REMEMBERED_TASKS` of them,
    which at the peak of 26 starts a second on one upstream is longer than
    the longest deadline.
    """

    def __init__(self) -> None:
        self._record_by_lease: dict[str, TaskRecord] = {}
        # Taking the first key out of a plain dict again and again is slow.
        self._started_leases: OrderedDict[str, None] = OrderedDict()
        self._owner_by_job: OrderedDict[str, str] = OrderedDict()
        self._acknowledged_leases: list[str] = []

    def __len__(self) -> int:
        return len(self._record_by_lease)

    @property
    def is_full(self) -> bool:
        """Whether no more tasks may be placed until results are taken."""
        return len(self._record_by_lease) >= _UNACKNOWLEDGED_TASKS

    def records(self) -> list[TaskRecord]:
        """Return all records, oldest first."""
        return list(self._record_by_lease.values())

    def find(self, job: str, task: str) -> TaskRecord | None:
        """Return the record of a task that was not acknowledged yet."""
        return self._record_by_lease.get(lease_identifier(job, task))

    def has_started(self, job: str, task: str) -> bool:
        """Tell whether a task without a record is known to have started."""
        return lease_identifier(job, task) in self._started_leases

    def settle_owner(self, job: str, owner_incarnation: str) -> bool:
        """Take the first owner of a job; tell whether it is this one."""
        owner = self._owner_by_job.setdefault(job, owner_incarnation)
        if len(self._owner_by_job) > REMEMBERED_TASKS:
            self._owner_by_job.popitem(last=False)
        return owner == owner_incarnation

    def add(self, record: TaskRecord) -> None:
        """Remember a task that was placed just now."""
        self._record_by_lease[record.lease] = record

    def acknowledge(self, record: TaskRecord) -> None:
        """Drop a record whose result the entry has."""
        if record.has_started:
            self._acknowledged_leases.append(record.lease)
        self.drop(record)

    def drop(self, record: TaskRecord) -> None:
        """Drop a record that nobody will ask for; keep that it started.

        The upstream isn't told to forget it, so that an agent that starts
        anew still learns of it there.
        """
        del self._record_by_lease[record.lease]
        if not record.has_started:
            return
        self._started_leases[record.lease] = None
        if len(self._started_leases) > REMEMBERED_TASKS:
            self._started_leases.popitem(last=False)

    def take_acknowledged_leases(self) -> list[str]:
        """Return, once, the leases that the upstream may forget."""
        taken = self._acknowledged_leases
        self._acknowledged_leases = []
        return taken

    def give_back_acknowledged_leases(self, leases: Iterable[str]) -> None:
        """Take leases back that could not be told to the upstream."""
        self._acknowledged_leases.extend(leases)
