"""Builds JSON responses and maps outcomes to HTTP statuses."""

import json
import math
from typing import Any
from typing import Final

from werkzeug import Response

from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import Ran
from baobabgap.messages import TicketStatus

STATUS_BY_CODE: Final = {
    FailureCode.INVALID: 400,
    FailureCode.CONFLICT: 409,
    FailureCode.TOO_LARGE: 413,
    FailureCode.NEVER_FITS: 422,
    FailureCode.UNKNOWN_TEAM: 403,
    FailureCode.UNKNOWN_JOB: 404,
    FailureCode.OVER_QUOTA: 429,
    FailureCode.OVERLOADED: 503,
    FailureCode.DRAINING: 503,
    FailureCode.NO_UPSTREAM: 503,
    FailureCode.CONTROL_UNAVAILABLE: 503,
    FailureCode.DEADLINE: 504,
    FailureCode.CANCELLED: 409,
    FailureCode.TASK_FAILED: 502,
    FailureCode.TASK_LOST: 502,
    FailureCode.OWNER_LOST: 502,
    FailureCode.WINDOW_PASSED: 410,
    FailureCode.INTERNAL: 500,
}

STATUS_BY_TICKET_STATUS: Final = {
    TicketStatus.ACCEPTED: 200,
    TicketStatus.LOST: 409,
    TicketStatus.STALE: 409,
    TicketStatus.INVALID: 400,
}


def json_response(document: Any, status: int = 200) -> Response:
    """Build a response with a JSON document."""
    body = json.dumps(document, separators=(',', ':'))
    return Response(body, status, mimetype='application/json')


def answer_response(answer: JobAnswer) -> Response:
    """Build the response that carries a job's answer."""
    if answer.failure is not None:
        status = STATUS_BY_CODE[answer.failure.code]
        return failure_response(answer.identifier, answer.failure, status)
    results = [
        {'task': result.task, 'value': result.value}
        for result in answer.results
    ]
    return json_response(
        {
            'identifier': answer.identifier,
            'state': 'whole',
            'results': results,
        }
    )


def failure_response(
    identifier: str, failure: JobFailure, status: int
) -> Response:
    """Build the response of a refusal or a failure.

    The state is `refused` if and only if nothing has run.
    """
    state = 'refused' if failure.ran is Ran.NO else 'failed'
    error = {
        'code': failure.code.value,
        'step': failure.step,
        'peer': failure.peer,
        'ran': failure.ran.value,
        'message': failure.message,
        'retry_after_s': failure.retry_after_s,
    }
    document = {'identifier': identifier, 'state': state, 'error': error}
    response = json_response(document, status)
    if failure.retry_after_s > 0:
        seconds = max(1, math.ceil(failure.retry_after_s))
        response.headers['Retry-After'] = str(seconds)
    return response


def pending_response(identifier: str) -> Response:
    """Build the response for a job whose result isn't known yet."""
    return json_response({'identifier': identifier, 'state': 'pending'}, 202)


def refusal_response(code: FailureCode, message: str, status: int) -> Response:
    """Build the response to a request refused before it reached a job."""
    failure = JobFailure(code, message, 'request', '', Ran.NO)
    return failure_response('', failure, status)


def internal_response(error: Exception) -> Response:
    """Build the response to a request that raised an unexpected error."""
    message = f'{type(error).__name__}: {error}'
    failure = JobFailure(
        FailureCode.INTERNAL, message, 'request', '', Ran.UNKNOWN
    )
    return failure_response('', failure, 500)
