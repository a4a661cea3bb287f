"""Decides whether to admit a job, before it is claimed.

A job is refused if it can never run, if its team is unknown or over its
quota, or if the work ahead of it leaves too little time to meet its
deadline.
"""

from collections import deque
from dataclasses import dataclass
import math
from typing import Final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from baobabgap.configuration import Configuration
from baobabgap.entry._quota_ledger import QuotaLedger
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobFailure
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran

_NO_UPSTREAM_RETRY_AFTER_S: Final = 1.0
_MIN_RETRY_AFTER_S: Final = 0.1
_RECENT_JOBS: Final = 256
_JOBS_BETWEEN_SORTS: Final = 16
# Share of recent jobs that may have less patience than the queue's wait.
_PATIENCE_QUANTILE: Final = 0.2


class RecentPatience:
    """Tracks how long recent jobs can wait for a slot (their patience).

    Under overload, jobs with long deadlines would otherwise fill the queue,
    and all jobs with short ones would be refused. Therefore a job is not
    admitted if the expected wait exceeds the patience of most other jobs;
    its refusal says when to retry.
    """

    def __init__(self) -> None:
        self._recent_ms: deque[float] = deque(maxlen=_RECENT_JOBS)
        self._additions_until_sort = 0
        self._quantile_ms = math.inf

    def add(self, patience_ms: float) -> None:
        """Add the patience of one job, in milliseconds."""
        self._recent_ms.append(patience_ms)
        self._additions_until_sort -= 1
        if self._additions_until_sort < 0:
            self._additions_until_sort = _JOBS_BETWEEN_SORTS
            ordered = sorted(self._recent_ms)
            self._quantile_ms = ordered[int(len(ordered) * _PATIENCE_QUANTILE)]

    def quantile_ms(self) -> float:
        """Return the wait in milliseconds that most recent jobs can bear."""
        return self._quantile_ms


@dataclass(frozen=True, slots=True)
class Workload:
    """The capacity, the present load, and the size of a new job."""

    # Slots of all upstreams that accept new tasks.
    slots: int
    # Whether every task of the job fits into some upstream.
    tasks_fit: bool
    # Whether any agent has a link to this entry.
    has_agents: bool
    # Estimated wait of a new task for a slot in milliseconds, from the known
    # work of all entries.
    wait_ms: float
    # Expected run time of all tasks of the job, in milliseconds.
    job_ms: float
    # Expected run time of the job's longest task, in milliseconds.
    longest_task_ms: float

    @property
    def unloaded_ms(self) -> float:
        """Milliseconds that the job would take with all slots to itself."""
        return max(self.longest_task_ms, self.job_ms / self.slots)


class Admission:
    """Decides about new jobs."""

    def __init__(self, quotas: QuotaLedger) -> None:
        self._quotas = quotas
        self._patience = RecentPatience()

    def decide(
        self,
        submission: JobSubmission,
        workload: Workload,
        configuration: Configuration,
        now: float,
    ) -> Result[None, JobFailure]:
        """Admit a job, or return why it is refused."""
        quota = configuration.quota_of(submission.team)
        if quota is None:
            return _refuse(
                FailureCode.UNKNOWN_TEAM,
                f'team {submission.team!r} has no quota',
            )
        if not workload.has_agents or workload.slots == 0:
            return _refuse(
                FailureCode.NO_UPSTREAM,
                'no upstream takes tasks at present',
                _NO_UPSTREAM_RETRY_AFTER_S,
            )
        if not workload.tasks_fit:
            return _refuse(
                FailureCode.NEVER_FITS,
                'a task is larger than every upstream',
            )
        if workload.unloaded_ms > 2 * submission.deadline_ms:
            # A retry under lower load would not succeed either.
            return _refuse(
                FailureCode.DEADLINE,
                'even alone the job would take more than twice its deadline',
            )
        excess_wait_s = self._excess_wait_s(
            submission, workload, configuration
        )
        if excess_wait_s > 0:
            return _refuse(
                FailureCode.OVERLOADED,
                'the work ahead leaves no time to meet the deadline',
                max(excess_wait_s, _MIN_RETRY_AFTER_S),
            )
        wait_s = self._quotas.spend(
            submission.team, len(submission.tasks), quota, now
        )
        if wait_s > 0:
            return _refuse(
                FailureCode.OVER_QUOTA,
                f'team {submission.team!r} is over its quota',
                wait_s,
            )
        return Success(None)

    def _excess_wait_s(
        self,
        submission: JobSubmission,
        workload: Workload,
        configuration: Configuration,
    ) -> float:
        """Return by how many seconds the expected wait is too long."""
        slack = configuration.policy.admission_slack
        allowed_ms = submission.deadline_ms * slack
        own_patience_ms = max(allowed_ms - workload.unloaded_ms, 0.0)
        self._patience.add(own_patience_ms)
        patience_ms = min(own_patience_ms, self._patience.quantile_ms())
        return (workload.wait_ms - patience_ms) / 1000


def _refuse(
    code: FailureCode, message: str, retry_after_s: float = 0.0
) -> Result[None, JobFailure]:
    return Failure(
        JobFailure(
            code=code,
            message=message,
            step='admit',
            peer='',
            ran=Ran.NO,
            retry_after_s=retry_after_s,
        )
    )
