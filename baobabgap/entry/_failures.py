"""The ways in which a job ends without a whole answer."""

from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.entry._active_job import ActiveJob
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobFailure
from baobabgap.jobs import Ran
from baobabgap.messages import TaskResult

_SHORT_PAUSE_S: Final = 1.0


def cancelled(job: ActiveJob) -> JobFailure:
    """Return the end of a job that its client has cancelled."""
    return JobFailure(
        code=FailureCode.CANCELLED,
        message='cancelled by its client',
        step='cancel',
        peer='',
        ran=job.ran,
    )


def out_of_time(job: ActiveJob, retry_after_s: float) -> JobFailure:
    """Return the end of a job that can't meet its deadline."""
    if not job.is_claimed:
        return JobFailure(
            code=FailureCode.CONTROL_UNAVAILABLE,
            message='the job was not claimed by its deadline',
            step='claim',
            peer='',
            ran=Ran.UNKNOWN,
            retry_after_s=_SHORT_PAUSE_S,
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
    """Return the end of a job with a task that the upstream failed."""
    return JobFailure(
        code=FailureCode.TASK_FAILED,
        message=f'task {result.task}: {result.value}',
        step='run',
        peer=agent,
        ran=Ran.YES,
    )


def task_lost(job: ActiveJob, task: str, agent: str, why: str) -> JobFailure:
    """Return the end of a job with a task of unknown outcome."""
    return JobFailure(
        code=FailureCode.TASK_LOST,
        message=f'task {task}: {why}',
        step='run',
        peer=agent,
        ran=Ran.YES if job.value_by_task else Ran.UNKNOWN,
    )


def conflict(owner: str) -> JobFailure:
    """Return the failure of a second job under one identifier."""
    return JobFailure(
        code=FailureCode.CONFLICT,
        message='this identifier was used for a job with other content',
        step='claim',
        peer=owner,
        ran=Ran.UNKNOWN,
    )


def window_passed() -> JobFailure:
    """Return the failure of a job that may have been forgotten."""
    return JobFailure(
        code=FailureCode.WINDOW_PASSED,
        message='this job is older than what is remembered here',
        step='claim',
        peer='',
        ran=Ran.UNKNOWN,
    )


def unknown_job() -> JobFailure:
    """Return the failure to find a job that nobody has claimed."""
    return JobFailure(
        code=FailureCode.UNKNOWN_JOB,
        message='no such job',
        step='fetch',
        peer='',
        ran=Ran.NO,
    )


def control_unavailable(error: BaseException) -> JobFailure:
    """Return the failure of a job whose claim was not settled.

    This entry starts nothing of it; but whether another one owns the job
    can't be told.
    """
    return JobFailure(
        code=FailureCode.CONTROL_UNAVAILABLE,
        message=f'the job could not be claimed: {error}',
        step='claim',
        peer=error.peer if isinstance(error, BaobabgapError) else '',
        ran=Ran.UNKNOWN,
        retry_after_s=_SHORT_PAUSE_S,
    )


def configuration_unknown() -> JobFailure:
    """Return the refusal of an entry that control hasn't reached yet.

    Whether the job's team has a quota can't be told, so this must not
    read like the lasting refusal of an unknown team.
    """
    return JobFailure(
        code=FailureCode.CONTROL_UNAVAILABLE,
        message='this entry does not know the configuration yet',
        step='admit',
        peer='',
        ran=Ran.NO,
        retry_after_s=_SHORT_PAUSE_S,
    )


def draining() -> JobFailure:
    """Return the refusal of an entry that is about to stop."""
    return JobFailure(
        code=FailureCode.DRAINING,
        message='this entry is about to stop; try another one',
        step='admit',
        peer='',
        ran=Ran.NO,
        retry_after_s=_SHORT_PAUSE_S,
    )
