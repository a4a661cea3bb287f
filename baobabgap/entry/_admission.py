"""Decides whether to take a job, before anything is claimed for it.

A job is refused at once if it can never run, if its team is unknown or
over its quota, or if the work ahead of it leaves no time to answer it by
its deadline.
"""

from dataclasses import dataclass
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


@dataclass(frozen=True, slots=True)
class Workload:
    """What the deployment can do, and what it has to do already."""

    # Slots of all upstreams that take new tasks.
    slots: int
    # Whether each task of the job fits into some upstream.
    tasks_fit: bool
    # Whether any agent has a link to this entry.
    has_agents: bool
    # Expected run time of all waiting and running tasks at all entries,
    # in milliseconds.
    outstanding_ms: float
    # Expected run time of all tasks of the job, in milliseconds.
    job_ms: float
    # Expected run time of the job's longest task, in milliseconds.
    longest_ms: float


class Admission:
    """The entry's decision about new jobs."""

    def __init__(self, quotas: QuotaLedger) -> None:
        self._quotas = quotas

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
        late_s = _lateness_s(submission, workload, configuration)
        if late_s > 0:
            return _refuse(
                FailureCode.OVERLOADED,
                'the work ahead leaves no time to meet the deadline',
                late_s,
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
    submission: JobSubmission,
    workload: Workload,
    configuration: Configuration,
) -> float:
    """Return by how many seconds the job would miss its deadline."""
    queued_ms = max(workload.outstanding_ms + workload.job_ms, 0.0)
    drain_ms = queued_ms / workload.slots
    expected_ms = max(drain_ms, workload.longest_ms)
    if drain_ms > workload.longest_ms:
        expected_ms = drain_ms + workload.longest_ms / 2
    allowed_ms = submission.deadline_ms * configuration.policy.admission_slack
    return (expected_ms - allowed_ms) / 1000


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
