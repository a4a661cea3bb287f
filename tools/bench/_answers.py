"""Builds submissions and classifies their responses for the caller."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from baobabgap.webclient import WebResponse
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask


class End(StrEnum):
    """The result of a job as its caller sees it."""

    # All values are there, in order, and belong to the job.
    WHOLE = 'whole'
    # The response says that no task ran.
    REFUSED = 'refused'
    # The response says that the job failed.
    FAILED = 'failed'
    # Cancelled by its caller.
    CANCELLED = 'cancelled'
    # No response, or neither an answer nor a failure.
    NO_ANSWER = 'no_answer'
    # Values are missing or out of order.
    PARTIAL = 'partial'
    # The answer has another job's identifier or values.
    WRONG_CALLER = 'wrong_caller'


@dataclass(frozen=True, slots=True)
class Outcome:
    """The response to one job and its timing."""

    job: TraceJob
    # The identifier in the submission.
    identifier: str
    end: End
    # Seconds from the start of the trace until the request is sent.
    sent_s: float
    # Seconds from sending until the response is complete.
    response_s: float
    # The failure's code, or empty.
    code: str = ''
    # Whether the response has a Retry-After header.
    has_retry_after: bool = False

    @property
    def met_deadline(self) -> bool:
        """Whether all results arrived within the deadline."""
        is_in_time = self.response_s * 1000.0 <= self.job.deadline_ms
        return self.end is End.WHOLE and is_in_time


def submission_document(job: TraceJob, identifier: str) -> dict[str, Any]:
    """Build the JSON body that submits the job."""
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
    """Build the payload: the run time and a note unique to the task."""
    return {
        'sleep_ms': task.true_ms,
        'note': f'{identifier}/{task.identifier}',
    }


def classify_response(
    job: TraceJob,
    identifier: str,
    response: WebResponse,
    sent_s: float,
    response_s: float,
) -> Outcome:
    """Classify a response by comparing it with the submitted job."""
    end, code = _classify_document(job, identifier, _document(response))
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


def _classify_document(
    job: TraceJob, identifier: str, document: dict[str, Any]
) -> tuple[End, str]:
    if document.get('identifier', '') not in ('', identifier):
        return End.WRONG_CALLER, ''
    match document.get('state'):
        case 'whole':
            return _classify_results(job, identifier, document['results']), ''
        case 'refused':
            return _classify_failure(End.REFUSED, document['error']['code'])
        case 'failed':
            return _classify_failure(End.FAILED, document['error']['code'])
        case state:
            return End.NO_ANSWER, str(state)


def _classify_failure(end: End, code: str) -> tuple[End, str]:
    return (End.CANCELLED if code == 'cancelled' else end), code


def _classify_results(
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
