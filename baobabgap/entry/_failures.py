"""The failures with which a job can end."""

from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.entry._active_job import ActiveJob
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobFailure
from baobabgap.jobs import Ran
from baobabgap.messages import TaskResult

_RETRY_AFTER_S: Final = 1.0


def cancelled(job: ActiveJob) -> JobFailure:
    """Return the failure of a job that its client cancelled."""
    return JobFailure(
        code=FailureCode.CANCELLED,
        message='cancelled by its client',
        step='cancel',
        peer='',
        ran=job.ran,
    )


def deadline_exceeded(job: ActiveJob, retry_after_s: float) -> JobFailure:
    """Return the failure of a job that can't meet its deadline."""
    if not job.is_claimed:
        return JobFailure(
            code=FailureCode.CONTROL_UNAVAILABLE,
            message='the job was not claimed by its deadline',
            step='claim',
            peer='',
            ran=Ran.UNKNOWN,
            retry_after_s=_RETRY_AFTER_S,
        )
    has_not_run = job.ran is Ran.NO
    return JobFailure(
        code=FailureCode.DEADLINE,
        message='the job cannot be answered by its deadline',
        step='wait' if has_not_run else 'run',
        peer=', '.join(sorted(job.agents())[:3]),
        ran=job.ran,
        retry_after_s=retry_after_s if has_not_run else 0.0,
    )


def task_failed(result: TaskResult, agent: str) -> JobFailure:
    """Return the failure of a job with a task that failed upstream."""
    return JobFailure(
        code=FailureCode.TASK_FAILED,
        message=f'task {result.task}: {result.value}',
        step='run',
        peer=agent,
        ran=Ran.YES,
    )


def task_lost(
    job: ActiveJob, task: str, agent: str, reason: str
) -> JobFailure:
    """Return the failure of a job with a task of unknown outcome."""
    return JobFailure(
        code=FailureCode.TASK_LOST,
        message=f'task {task}: {reason}',
        step='run',
        peer=agent,
        ran=Ran.YES if job.value_by_task else Ran.UNKNOWN,
    )


def conflict(owner: str) -> JobFailure:
    """Return the failure of another job under a used identifier."""
    return JobFailure(
        code=FailureCode.CONFLICT,
        message='this identifier was used for a job with other content',
        step='claim',
        peer=owner,
        ran=Ran.UNKNOWN,
    )


def window_passed() -> JobFailure:
    """Return the failure of a job whose claim may have been dropped."""
    return JobFailure(
        code=FailureCode.WINDOW_PASSED,
        message='this job is older than what is remembered here',
        step='claim',
        peer='',
        ran=Ran.UNKNOWN,
    )


def unknown_job() -> JobFailure:
    """Return the failure of a request for a job without a claim."""
    return JobFailure(
        code=FailureCode.UNKNOWN_JOB,
        message='no such job',
        step='fetch',
        peer='',
        ran=Ran.NO,
    )


def control_unavailable(error: BaseException) -> JobFailure:
    """Return the failure of a job whose claim has an unknown outcome.

    This entry starts none of its tasks, but another entry may own the job.
    """
    return JobFailure(
        code=FailureCode.CONTROL_UNAVAILABLE,
        message=f'the job could not be claimed: {error}',
        step='claim',
        peer=error.peer if isinstance(error, BaobabgapError) else '',
        ran=Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


def configuration_unknown() -> JobFailure:
    """Return the refusal of an entry without a configuration.

    The entry can't tell whether the job's team has a quota, so the refusal
    must differ from the permanent one of an unknown team.
    """
    return JobFailure(
        code=FailureCode.CONTROL_UNAVAILABLE,
        message='this entry does not know the configuration yet',
        step='admit',
        peer='',
        ran=Ran.NO,
        retry_after_s=_RETRY_AFTER_S,
    )


def draining() -> JobFailure:
    """Return the refusal of an entry that is draining."""
    return JobFailure(
        code=FailureCode.DRAINING,
        message='this entry is about to stop; try another one',
        step='admit',
        peer='',
        ran=Ran.NO,
        retry_after_s=_RETRY_AFTER_S,
    )
