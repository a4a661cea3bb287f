"""Handlers of the job routes: submit, fetch and cancel."""

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

# Time that an entry may take after a job's deadline to report failure.
_ANSWER_GRACE_S: Final = 2.0
_DEFAULT_FETCH_WAIT_MS: Final = 1000
_LONGEST_FETCH_WAIT_MS: Final = 600_000
_CANCEL_WAIT_S: Final = 10.0
_BUSY_RETRY_AFTER_S: Final = 1.0
# How long a request may hold a thread once the limit is reached.
_LIMITED_WAIT_S: Final = 0.25
_UNKNOWN_JOB: Final = FailureCode.UNKNOWN_JOB


class JobRoutes:
    """Handles the requests of clients.

    Each request that waits for a job holds a thread. At most
    `max_waiting_requests` requests may do so at once; 0 sets no limit.
    """

    def __init__(
        self,
        service: EntryService,
        largest_body_bytes: int,
        max_waiting_requests: int,
    ) -> None:
        self._service = service
        self._largest_body_bytes = largest_body_bytes
        self._max_waiting_requests = max_waiting_requests
        self._waiting_requests = 0
        self._lock = threading.Lock()

    def submit(self, request: Request) -> Response:
        """Run a job and wait for its end, unless `wait=no` is given."""
        document = read_document(request, self._largest_body_bytes)
        submission = JobSubmission.from_document(document)
        identifier = submission.identifier
        waits_for_end = request.args.get('wait', 'yes') != 'no'
        if not self._acquire_wait_slot():
            return self._respond_at_limit(identifier)
        try:
            with start_action(action_type='job', job=identifier) as action:
                log_action = action.serialize_task_id().decode()
                future = self._service.submit(submission, log_action)
                wait_s = submission.deadline_ms / 1000 + _ANSWER_GRACE_S
                if not waits_for_end:
                    # After this response, no entry may report the job as not
                    # run.
                    self._service.wait_for_claim(identifier, wait_s)
                answer = _wait_for_answer(
                    future, wait_s if waits_for_end else 0.0
                )
                action.add_success_fields(state=_logged_state(answer))
        finally:
            self._release_wait_slot()
        if answer is None:
            return pending_response(identifier)
        return answer_response(answer)

    def fetch(self, request: Request, identifier: str) -> Response:
        """Wait up to `wait_ms` for the end of a job."""
        JobIdentifier.from_text(identifier)
        wait_s = _read_wait_ms(request) / 1000
        has_wait_slot = self._acquire_wait_slot()
        try:
            wait_s = wait_s if has_wait_slot else min(wait_s, _LIMITED_WAIT_S)
            answer = _wait_for_answer(self._service.fetch(identifier), wait_s)
        finally:
            if has_wait_slot:
                self._release_wait_slot()
        if answer is None:
            return pending_response(identifier)
        return answer_response(answer)

    def cancel(self, identifier: str) -> Response:
        """Cancel a job; the failure code `cancelled` counts as success."""
        JobIdentifier.from_text(identifier)
        with start_action(action_type='cancel_job', job=identifier) as action:
            future = self._service.cancel(identifier)
            answer = _wait_for_answer(future, _CANCEL_WAIT_S)
            action.add_success_fields(state=_logged_state(answer))
        if answer is None:
            return pending_response(identifier)
        failure = answer.failure
        if failure is not None and failure.code is FailureCode.CANCELLED:
            return failure_response(identifier, failure, 200)
        return answer_response(answer)

    def _acquire_wait_slot(self) -> bool:
        """Reserve a place for a waiting request; False at the limit."""
        with self._lock:
            if 0 < self._max_waiting_requests <= self._waiting_requests:
                return False
            self._waiting_requests += 1
            return True

    def _release_wait_slot(self) -> None:
        with self._lock:
            self._waiting_requests -= 1

    def _respond_at_limit(self, identifier: str) -> Response:
        """Refuse a job unless an earlier request has left its answer."""
        self._service.metrics.count('baobabgap_http_busy_total')
        known_answer = _wait_for_answer(
            self._service.fetch(identifier), _LIMITED_WAIT_S
        )
        is_new = (
            known_answer is not None
            and _failure_code(known_answer) is _UNKNOWN_JOB
        )
        if known_answer is not None and not is_new:
            return answer_response(known_answer)
        failure = JobFailure(
            FailureCode.OVERLOADED,
            f'{self._max_waiting_requests} requests are waiting here already',
            'request',
            '',
            Ran.NO if is_new else Ran.UNKNOWN,
            _BUSY_RETRY_AFTER_S,
        )
        return failure_response(identifier, failure, 503)


def _wait_for_answer(
    future: Future[JobAnswer], timeout_s: float
) -> JobAnswer | None:
    """Return the answer, or None on timeout."""
    try:
        return future.result(timeout_s)
    except TimeoutError:
        return None


def _logged_state(answer: JobAnswer | None) -> str:
    """Return the state of a job as written to the log."""
    if answer is None:
        return 'pending'
    code = _failure_code(answer)
    return 'whole' if code is None else code.value


def _failure_code(answer: JobAnswer) -> FailureCode | None:
    return None if answer.failure is None else answer.failure.code


def _read_wait_ms(request: Request) -> int:
    text = request.args.get('wait_ms', str(_DEFAULT_FETCH_WAIT_MS))
    if not (text.isascii() and text.isdigit()):
        raise InvalidInput(
            f'wait_ms must be a whole number (got {text[:40]!r})',
            step='request',
        )
    return min(int(text[:9]), _LONGEST_FETCH_WAIT_MS)
