"""What the routes of jobs do: submit, fetch and cancel."""

from concurrent.futures import Future
import threading
from typing import Final

from eliot import start_action
from werkzeug import Request
from werkzeug import Response

from baobabgap._exceptions import InvalidInput
from baobabgap.api._body import read_document
from baobabgap.api._documents import answer_response
from baobabgap.api._documents import failure_response
from baobabgap.api._documents import pending_response
from baobabgap.api._service import EntryService
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import JobIdentifier
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran

# What an entry may take beyond a job's deadline to report its failure.
_ANSWER_GRACE_S: Final = 2.0
_DEFAULT_FETCH_WAIT_MS: Final = 1000
_LONGEST_FETCH_WAIT_MS: Final = 600_000
_CANCEL_WAIT_S: Final = 10.0
_BUSY_RETRY_S: Final = 1.0
# How long a request may hold a thread once too many are waiting.
_BUSY_WAIT_S: Final = 0.25
_UNKNOWN_JOB: Final = FailureCode.UNKNOWN_JOB


class JobRoutes:
    """Serves callers.

    Each request that waits for a job holds a thread. No more than
    `most_waiting` may do so at once; 0 sets no limit.
    """

    def __init__(
        self,
        service: EntryService,
        largest_body_bytes: int,
        most_waiting: int,
    ) -> None:
        self._service = service
        self._largest_body_bytes = largest_body_bytes
        self._most_waiting = most_waiting
        self._waiting = 0
        self._lock = threading.Lock()

    def submit(self, request: Request) -> Response:
        """Run a job and, unless asked not to, wait for its end."""
        document = read_document(request, self._largest_body_bytes)
        submission = JobSubmission.from_document(document)
        identifier = submission.identifier
        waits = request.args.get('wait', 'yes') != 'no'
        if not self._enter():
            return self._refuse_busy(identifier)
        try:
            with start_action(action_type='job', job=identifier) as action:
                log_action = action.serialize_task_id().decode()
                future = self._service.submit(submission, log_action)
                wait_s = submission.deadline_ms / 1000 + _ANSWER_GRACE_S
                if not waits:
                    # Once this is answered, no entry may say `not run`.
                    self._service.wait_for_claim(identifier, wait_s)
                answer = _wait(future, wait_s if waits else 0.0)
                action.add_success_fields(state=_state_of(answer))
        finally:
            self._leave()
        if answer is None:
            return pending_response(identifier)
        return answer_response(answer)

    def fetch(self, request: Request, identifier: str) -> Response:
        """Wait a while for the end of a job."""
        JobIdentifier.from_text(identifier)
        wait_s = _read_wait_ms(request) / 1000
        is_free = self._enter()
        try:
            wait_s = wait_s if is_free else min(wait_s, _BUSY_WAIT_S)
            answer = _wait(self._service.fetch(identifier), wait_s)
        finally:
            if is_free:
                self._leave()
        if answer is None:
            return pending_response(identifier)
        return answer_response(answer)

    def cancel(self, identifier: str) -> Response:
        """End a job; that it was cancelled as asked is a success."""
        JobIdentifier.from_text(identifier)
        with start_action(action_type='cancel_job', job=identifier) as action:
            future = self._service.cancel(identifier)
            answer = _wait(future, _CANCEL_WAIT_S)
            action.add_success_fields(state=_state_of(answer))
        if answer is None:
            return pending_response(identifier)
        failure = answer.failure
        if failure is not None and failure.code is FailureCode.CANCELLED:
            return failure_response(identifier, failure, 200)
        return answer_response(answer)

    def _enter(self) -> bool:
        """Count one more waiting request, unless there are too many."""
        with self._lock:
            if 0 < self._most_waiting <= self._waiting:
                return False
            self._waiting += 1
            return True

    def _leave(self) -> None:
        with self._lock:
            self._waiting -= 1

    def _refuse_busy(self, identifier: str) -> Response:
        """Refuse a job unless it is known from an earlier request."""
        self._service.metrics.count('baobabgap_http_busy_total')
        known = _wait(self._service.fetch(identifier), _BUSY_WAIT_S)
        is_new = known is not None and _code_of(known) is _UNKNOWN_JOB
        if known is not None and not is_new:
            return answer_response(known)
        failure = JobFailure(
            FailureCode.OVERLOADED,
            f'{self._most_waiting} requests are waiting here already',
            'request',
            '',
            Ran.NO if is_new else Ran.UNKNOWN,
            _BUSY_RETRY_S,
        )
        return failure_response(identifier, failure, 503)


def _wait(future: Future[JobAnswer], timeout_s: float) -> JobAnswer | None:
    """Return the answer, or None if it isn't there in time."""
    try:
        return future.result(timeout_s)
    except TimeoutError:
        return None


def _state_of(answer: JobAnswer | None) -> str:
    """Name the end of a job for the log."""
    if answer is None:
        return 'pending'
    code = _code_of(answer)
    return 'whole' if code is None else code.value


def _code_of(answer: JobAnswer) -> FailureCode | None:
    return None if answer.failure is None else answer.failure.code


def _read_wait_ms(request: Request) -> int:
    text = request.args.get('wait_ms', str(_DEFAULT_FETCH_WAIT_MS))
    if not (text.isascii() and text.isdigit()):
        raise InvalidInput(
            f'wait_ms must be a whole number (got {text[:40]!r})',
            step='request',
        )
    return min(int(text[:9]), _LONGEST_FETCH_WAIT_MS)
