"""Rules for job histories; each rule yields its violations."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskId
from baobabgap.dispatch.tests.deployment import ATTEMPTS
from baobabgap.protocol import CallOutcome
from tools.job_history._recorded_upstream import RunRecord
from tools.job_history._records import JobHistory

# Starts that are in flight in links and queues when a cancellation, an end or
# an evacuation is acknowledged may still take place within this time.
_IN_FLIGHT_S: Final = 1.0
# Crashes of upstreams under one task from which on its job may fail.
_CRASHES_TO_FAIL: Final = 2
# Starts that are permitted after three crashes.
_STARTS_AFTER_CRASHES: Final = 2


def check(history: JobHistory) -> list[str]:
    """Return all violations as `rule: records that show it`."""
    return [
        f'{rule.__name__}: {breach}'
        for rule in _RULES
        for breach in rule(history)
    ]


def no_two_runs_at_once(history: JobHistory) -> Iterator[str]:
    """No task has two runs that overlap."""
    for task, runs in _runs_by_task(history).items():
        for earlier, later in zip(runs, runs[1:], strict=False):
            if later.began_at < earlier.ended_at:
                yield f'{task}: {earlier} and {later}'


def no_start_after_a_noted_end(history: JobHistory) -> Iterator[str]:
    """A task of a stored job doesn't start after it is recorded as done."""
    for task, runs in _runs_by_task(history).items():
        if task.job_id not in history.stored_jobs:
            continue
        done = [run for run in runs if run.end is RunEnd.DONE]
        for end in done:
            for run in runs:
                # A start before the end was recorded counts too: that run
                # was wasted.
                if run.began_at > end.ended_at and end.noted_at < float('inf'):
                    yield f'{task}: {run} after {end}'


def no_start_beyond_the_attempts(history: JobHistory) -> Iterator[str]:
    """A stored job's task doesn't start once all its attempts failed."""
    for task, runs in _runs_by_task(history).items():
        if task.job_id not in history.stored_jobs:
            continue
        failed = sorted(
            run.noted_at
            for run in runs
            if run.end is RunEnd.FAILED and run.noted_at < float('inf')
        )
        if len(failed) < ATTEMPTS:
            continue
        for run in runs:
            if run.began_at > failed[ATTEMPTS - 1] + _IN_FLIGHT_S:
                yield f'{task}: {run} after {len(failed)} failures'


def few_starts_after_three_crashes(history: JobHistory) -> Iterator[str]:
    """A stored job's task starts at most twice after three crashes."""
    for task, runs in _runs_by_task(history).items():
        crashes = sorted(run.ended_at for run in runs if run.was_crashed)
        if task.job_id not in history.stored_jobs or len(crashes) < 3:
            continue
        later = [run for run in runs if run.began_at > crashes[2]]
        if len(later) > _STARTS_AFTER_CRASHES:
            yield f'{task}: {later} after {len(crashes)} crashes'


def no_start_after_a_cancel(history: JobHistory) -> Iterator[str]:
    """No task of a job starts after its cancellation is acknowledged."""
    for call in history.calls:
        if call.verb != 'cancel' or call.outcome is not CallOutcome.CANCELLED:
            continue
        for run in history.runs:
            is_late = run.began_at > call.answered_at + _IN_FLIGHT_S
            if run.task.job_id == call.job and is_late:
                yield f'{call.job}: {run} after {call}'


def no_start_of_what_was_refused(history: JobHistory) -> Iterator[str]:
    """A job whose submissions were all refused has not run."""
    started = {run.task.job_id for run in history.runs}
    refusals = (CallOutcome.OVERLOADED, CallOutcome.UNAVAILABLE)
    for job in started:
        calls = list(history.calls_of(job, 'submit'))
        if calls and all(call.outcome in refusals for call in calls):
            yield f'{job}: {calls}'


def accepted_jobs_end(history: JobHistory) -> Iterator[str]:
    """An accepted job ends; a failure or cancellation has a cause."""
    for job in history.stored_jobs:
        submitted = history.calls_of(job, 'submit')
        if not any(c.outcome is CallOutcome.ACCEPTED for c in submitted):
            continue
        state = history.final_states.get(job, '')
        is_cancelled = any(history.calls_of(job, 'cancel'))
        if state == 'failed' and (
            _has_failed(history, job) or _has_crashed(history, job)
        ):
            continue
        if state == 'completed' and _is_whole(history, job):
            continue
        if state != 'cancelled' or not is_cancelled:
            yield f'{job}: {state or "unknown"} at the end'


def known_once_accepted(history: JobHistory) -> Iterator[str]:
    """No read after the acceptance of a job reports it as unknown."""
    for job in history.stored_jobs:
        accepted_at = min(
            (
                call.answered_at
                for call in history.calls_of(job, 'submit')
                if call.outcome is CallOutcome.ACCEPTED
            ),
            default=float('inf'),
        )
        for call in history.calls_of(job, 'read'):
            if (
                call.outcome is CallOutcome.NO_SUCH_JOB
                and call.asked_at > accepted_at
            ):
                yield f'{job}: {call}'


def configuration_never_goes_back(history: JobHistory) -> Iterator[str]:
    """A read shows no version older than one acknowledged before it."""
    for read in history.reads:
        acknowledged = max(
            (
                put.version
                for put in history.puts
                if put.is_acknowledged and put.answered_at < read.asked_at
            ),
            default=0,
        )
        if read.version < acknowledged:
            yield f'{read}, but {acknowledged} was acknowledged'


def no_start_in_an_evacuated_zone(history: JobHistory) -> Iterator[str]:
    """Nothing starts in a zone from the acknowledgement until the end.

    From the first attempt to end it on, it may have ended.
    """
    for order in history.zone_orders:
        if not (order.is_begin and order.is_acknowledged):
            continue
        ends_at = min(
            (
                end.asked_at
                for end in history.zone_orders
                if end.zone == order.zone
                and not end.is_begin
                and end.asked_at > order.asked_at
            ),
            default=float('inf'),
        )
        for run in history.runs:
            is_in_zone = run.zone == order.zone
            begins_at = order.answered_at + _IN_FLIGHT_S
            if is_in_zone and begins_at < run.began_at < ends_at:
                yield f'{order}: {run}'


def serves_again(history: JobHistory) -> Iterator[str]:
    """A new job completes after the faults."""
    if not history.has_recovered:
        yield 'no new job was served after the faults'


_RULES: Final[tuple[Callable[[JobHistory], Iterator[str]], ...]] = (
    no_two_runs_at_once,
    no_start_after_a_noted_end,
    no_start_beyond_the_attempts,
    few_starts_after_three_crashes,
    no_start_after_a_cancel,
    no_start_of_what_was_refused,
    accepted_jobs_end,
    known_once_accepted,
    configuration_never_goes_back,
    no_start_in_an_evacuated_zone,
    serves_again,
)


def _runs_by_task(history: JobHistory) -> dict[TaskId, list[RunRecord]]:
    runs_by_task: dict[TaskId, list[RunRecord]] = defaultdict(list)
    for run in sorted(history.runs, key=lambda run: run.began_at):
        runs_by_task[run.task].append(run)
    return runs_by_task


def _has_failed(history: JobHistory, job: str) -> bool:
    return any(
        sum(run.end is RunEnd.FAILED for run in runs) >= ATTEMPTS
        for task, runs in _runs_by_task(history).items()
        if task.job_id == job
    )


def _has_crashed(history: JobHistory, job: str) -> bool:
    return any(
        sum(run.was_crashed for run in runs) >= _CRASHES_TO_FAIL
        for task, runs in _runs_by_task(history).items()
        if task.job_id == job
    )


def _is_whole(history: JobHistory, job: str) -> bool:
    done = {
        run.task
        for run in history.runs
        if run.task.job_id == job and run.end is RunEnd.DONE
    }
    return len(done) == history.tasks_by_job[job]
