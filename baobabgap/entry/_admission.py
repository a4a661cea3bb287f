"""Decides whether to take a job, before anything is claimed for it.

A job is refused at once if it can never run, if its team is unknown or
over its quota, or if the work ahead of it leaves no time to answer it by
its deadline.
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

_NO_UPSTREAM_PAUSE_S: Final = 1.0
_SHORTEST_PAUSE_S: Final = 0.1
_RECENT_JOBS: Final = 256
_JOBS_BETWEEN_SORTS: Final = 16
# The share of jobs whose patience is not waited for.
_IMPATIENT_SHARE: Final = 0.2


class Patience:
    """How long most of the recent jobs could wait for a slot.

    Under overload the jobs that can wait long would otherwise fill the
    queue, so that only they are served and all short ones refused. No job
    is let in behind a wait that most of the others could not stand; it is
    told when to come back instead.
    """

    def __init__(self) -> None:
        self._recent_ms: deque[float] = deque(maxlen=_RECENT_JOBS)
        self._until_sorted = 0
        self._common_ms = math.inf

    def add(self, patience_ms: float) -> None:
        """Take in how many milliseconds one job could wait."""
        self._recent_ms.append(patience_ms)
        self._until_sorted -= 1
        if self._until_sorted < 0:
            self._until_sorted = _JOBS_BETWEEN_SORTS
            ordered = sorted(self._recent_ms)
            self._common_ms = ordered[int(len(ordered) * _IMPATIENT_SHARE)]

    def common_ms(self) -> float:
        """Return the wait that all but the least patient jobs stand."""
        return self._common_ms


@dataclass(frozen=True, slots=True)
class Workload:
    """What the deployment can do, and what it has to do already."""

    # Slots of all upstreams that take new tasks.
    slots: int
    # Whether each task of the job fits into some upstream.
    tasks_fit: bool
    # Whether any agent has a link to this entry.
    has_agents: bool
    # Milliseconds that a new task would wait for a slot, as far as the
    # work at all entries is known.
    wait_ms: float
    # Expected run time of all tasks of the job, in milliseconds.
    job_ms: float
    # Expected run time of the job's longest task, in milliseconds.
    longest_ms: float

    @property
    def alone_ms(self) -> float:
        """Milliseconds that the job would take with all slots for it."""
        return max(self.longest_ms, self.job_ms / self.slots)


class Admission:
    """The entry's decision about new jobs."""

    def __init__(self, quotas: QuotaLedger) -> None:
        self._quotas = quotas
        self._patience = Patience()

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
                _NO_UPSTREAM_PAUSE_S,
            )
        if not workload.tasks_fit:
            return _refuse(
                FailureCode.NEVER_FITS,
                'a task is larger than every upstream',
            )
        if workload.alone_ms > 2 * submission.deadline_ms:
            # Waiting for less load would not help.
            return _refuse(
                FailureCode.DEADLINE,
                'even alone the job would take more than twice its deadline',
            )
        late_s = self._lateness_s(submission, workload, configuration)
        if late_s > 0:
            return _refuse(
                FailureCode.OVERLOADED,
                'the work ahead leaves no time to meet the deadline',
                max(late_s, _SHORTEST_PAUSE_S),
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

    def _lateness_s(
        self,
        submission: JobSubmission,
        workload: Workload,
        configuration: Configuration,
    ) -> float:
        """Return by how many seconds too long the job would wait."""
        slack = configuration.policy.admission_slack
        allowed_ms = submission.deadline_ms * slack
        own_patience_ms = max(allowed_ms - workload.alone_ms, 0.0)
        self._patience.add(own_patience_ms)
        patience_ms = min(own_patience_ms, self._patience.common_ms())
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
