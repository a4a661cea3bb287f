"""Requests and answers of jobs, checked as their caller sees them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from baobabgap.web import WebResponse
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask


class End(StrEnum):
    """How a job ended for its caller."""

    # Every value, in order, and its own.
    WHOLE = 'whole'
    # Told that nothing was run.
    REFUSED = 'refused'
    # Told that it failed.
    FAILED = 'failed'
    # Cancelled by its caller.
    CANCELLED = 'cancelled'
    # No response, or neither an answer nor a failure.
    NO_ANSWER = 'no_answer'
    # An answer that lacks values or has them out of order.
    PARTIAL = 'partial'
    # An answer that holds another job's identifier or values.
    WRONG_CALLER = 'wrong_caller'


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the caller of one job saw."""

    job: TraceJob
    # The identifier that the job was submitted under.
    identifier: str
    end: End
    # Seconds from the start of the trace to the sending.
    sent_s: float
    # Seconds from sending to the whole response.
    response_s: float
    # The failure's code, or empty.
    code: str = ''
    # For a refusal: whether it said when to come back.
    has_retry_after: bool = False

    @property
    def in_deadline(self) -> bool:
        """Whether the job was answered whole within its deadline."""
        within = self.response_s * 1000.0 <= self.job.deadline_ms
        return self.end is End.WHOLE and within


def submission_document(job: TraceJob, identifier: str) -> dict[str, Any]:
    """Build the body that submits the job."""
    tasks = [
        {
            'identifier': task.identifier,
            'kind': task.kind,
            'payload': task_payload(identifier, task),
            'run_time_ms': task.declared_ms,
        }
        for task in job.tasks
    ]
    return {
        'identifier': identifier,
        'team': job.team,
        'deadline_ms': job.deadline_ms,
        'tasks': tasks,
    }


def task_payload(identifier: str, task: TraceTask) -> dict[str, Any]:
    """Build what the stand-in gets: how long to run, and a mark of its own."""
    return {
        'sleep_ms': task.true_ms,
        'note': f'{identifier}/{task.identifier}',
    }


def judge(
    job: TraceJob,
    identifier: str,
    response: WebResponse,
    sent_s: float,
    response_s: float,
) -> Outcome:
    """Check a response against the job that was submitted."""
    end, code = _judge_document(job, identifier, _document(response))
    return Outcome(
        job=job,
        identifier=identifier,
        end=end,
        sent_s=sent_s,
        response_s=response_s,
        code=code,
        has_retry_after='retry-after' in response.header_by_name,
    )


def _document(response: WebResponse) -> dict[str, Any]:
    try:
        document = response.document()
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _judge_document(
    job: TraceJob, identifier: str, document: dict[str, Any]
) -> tuple[End, str]:
    if document.get('identifier', '') not in ('', identifier):
        return End.WRONG_CALLER, ''
    match document.get('state'):
        case 'whole':
            return _judge_results(job, identifier, document['results']), ''
        case 'refused':
            return _judge_failure(End.REFUSED, document['error']['code'])
        case 'failed':
            return _judge_failure(End.FAILED, document['error']['code'])
        case state:
            return End.NO_ANSWER, str(state)


def _judge_failure(end: End, code: str) -> tuple[End, str]:
    return (End.CANCELLED if code == 'cancelled' else end), code


def _judge_results(
    job: TraceJob, identifier: str, results: list[dict[str, Any]]
) -> End:
    expected = [task.identifier for task in job.tasks]
    if [result['task'] for result in results] != expected:
        return End.PARTIAL
    for task, result in zip(job.tasks, results, strict=True):
        expected_value = {
            'job': identifier,
            'task': task.identifier,
            'echo': task_payload(identifier, task),
        }
        if result['value'] != expected_value:
            return End.WRONG_CALLER
    return End.WHOLE
