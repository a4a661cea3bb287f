"""The rules for jobs and their tasks."""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

from tools.history._events import Failed
from tools.history._events import History
from tools.history._events import JobAction
from tools.history._events import JobRequest
from tools.history._events import NoAnswer
from tools.history._events import Refused
from tools.history._events import Started
from tools.history._events import Violation
from tools.history._events import Whole

# Failures that are the job's end. All others, such as `owner_lost`, say that
# the answering entry doesn't know the end.
_FINAL_CODES: Final = frozenset(
    ('deadline', 'cancelled', 'task_failed', 'task_lost')
)


def check_single_starts(history: History) -> Iterator[Violation]:
    """Each task starts at most once across all stand-ins."""
    starts_by_task: dict[tuple[str, str], list[Started]] = defaultdict(list)
    for start in history.starts:
        starts_by_task[start.job, start.task].append(start)
    for (job, task), starts in starts_by_task.items():
        times = sum(start.times for start in starts)
        if times > 1:
            yield Violation(
                'single start',
                f'{job}/{task} started {times} times',
                (*starts, *_requests_of(history, job)),
            )


def check_whole_answers(history: History) -> Iterator[Violation]:
    """A whole answer has each task's value once, and each task started."""
    tasks_by_job = {
        content.job: [task for task, _ in content.tasks]
        for content in history.contents
    }
    started = {(start.job, start.task) for start in history.starts}
    for request in history.requests:
        match request.outcome:
            case Whole(values=values):
                answered = [task for task, _ in values]
                if answered != tasks_by_job[request.job]:
                    yield Violation(
                        'whole or failed', f'told only {answered}', (request,)
                    )
                missing = [
                    t for t in answered if (request.job, t) not in started
                ]
                if missing:
                    yield Violation(
                        'whole or failed',
                        f'{missing} never started',
                        (request,),
                    )


def check_own_answers(history: History) -> Iterator[Violation]:
    """Each caller receives the echo of its own payloads."""
    payloads_by_job = {
        content.job: dict(content.tasks) for content in history.contents
    }
    for request in history.requests:
        match request.outcome:
            case Whole(job=job, values=values):
                expected = payloads_by_job[request.job]
                echoes = {
                    task: {
                        'job': request.job,
                        'task': task,
                        'echo': expected.get(task),
                    }
                    for task, _ in values
                }
                if job != request.job or dict(values) != echoes:
                    yield Violation(
                        'own answer', 'the answer of another job', (request,)
                    )


def check_ends_agree(history: History) -> Iterator[Violation]:
    """All ends that are reported for one job are the same."""
    for job, requests in _requests_by_job(history).items():
        ends = [request for request in requests if _end_of(request)]
        if len({str(_end_of(request)) for request in ends}) > 1:
            yield Violation('one end', f'{job} has several', tuple(ends))


def check_refusals_hold(history: History) -> Iterator[Violation]:
    """A refused job runs only by a submission not answered before.

    The refusal covers itself and all requests that had been answered
    before its own request was sent, including those answered with
    `pending`. A request without an answer may still arrive later.
    """
    started = {start.job for start in history.starts}
    for job, requests in _requests_by_job(history).items():
        if job not in started:
            continue
        for refusal in requests:
            if not isinstance(refusal.outcome, Refused):
                continue
            if not any(
                _may_run_after(request, refusal) for request in requests
            ):
                yield Violation(
                    'refused did not run',
                    f'{job} ran though {refusal.entry} refused it',
                    (refusal, *requests, *_starts_of(history, job)),
                )
                break


def check_refused_never_started(history: History) -> Iterator[Violation]:
    """A job whose submissions were all refused has never started."""
    for job, requests in _requests_by_job(history).items():
        submissions = [
            request
            for request in requests
            if request.action is JobAction.SUBMIT
        ]
        starts = _starts_of(history, job)
        if starts and all(
            isinstance(request.outcome, Refused) for request in submissions
        ):
            yield Violation(
                'refused never started',
                f'{job} was always refused, and started',
                (*requests, *starts),
            )


def _may_run_after(request: JobRequest, refusal: JobRequest) -> bool:
    if request.action is not JobAction.SUBMIT:
        return False
    match request.outcome:
        case Refused():
            return False
        case NoAnswer():
            return True
        case _:
            return request.ended_s > refusal.began_s


def _end_of(request: JobRequest) -> Whole | str | None:
    match request.outcome:
        case Whole():
            return request.outcome
        case Failed(code=code) if code in _FINAL_CODES:
            return code
        case _:
            return None


def _requests_by_job(history: History) -> dict[str, list[JobRequest]]:
    requests_by_job: dict[str, list[JobRequest]] = defaultdict(list)
    for request in sorted(history.requests, key=lambda one: one.began_s):
        requests_by_job[request.job].append(request)
    return requests_by_job


def _requests_of(history: History, job: str) -> Iterable[JobRequest]:
    return (request for request in history.requests if request.job == job)


def _starts_of(history: History, job: str) -> tuple[Started, ...]:
    return tuple(start for start in history.starts if start.job == job)
