"""Routes of the HTTP interface and what each does."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent.futures import Future
from dataclasses import asdict
import threading
from typing import Any
from typing import Final

from eliot import start_action
from eliot import write_traceback
from werkzeug import Request
from werkzeug import Response
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import MethodNotAllowed
from werkzeug.routing import Map
from werkzeug.routing import Rule

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import InvalidInput
from baobabgap.api._body import read_document
from baobabgap.api._body import RequestRefused
from baobabgap.api._documents import answer_response
from baobabgap.api._documents import failure_response
from baobabgap.api._documents import json_response
from baobabgap.api._documents import pending_response
from baobabgap.api._documents import STATUS_BY_TICKET_STATUS
from baobabgap.api._service import EntryService
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran

WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]

# What an entry may take beyond a job's deadline to report its failure.
_ANSWER_GRACE_S: Final = 2.0
_DEFAULT_FETCH_WAIT_MS: Final = 1000
_LONGEST_FETCH_WAIT_MS: Final = 600_000
_CONTROL_WAIT_S: Final = 10.0
_BUSY_RETRY_S: Final = 1.0
# How long a request may hold a thread once too many are waiting.
_BUSY_WAIT_S: Final = 0.25
_UNKNOWN_JOB: Final = FailureCode.UNKNOWN_JOB
_CONTROL_TOPICS: Final = ('members', 'tickets', 'configuration', 'status')

_ROUTES: Final = Map(
    [
        Rule('/v1/jobs', endpoint='submit', methods=['POST']),
        Rule('/v1/jobs/<identifier>', endpoint='fetch', methods=['GET']),
        Rule('/v1/jobs/<identifier>', endpoint='cancel', methods=['DELETE']),
        Rule('/v1/tickets', endpoint='ticket', methods=['POST']),
        Rule('/v1/control/<topic>', endpoint='control', methods=['GET']),
        Rule('/v1/drain', endpoint='drain', methods=['POST']),
        Rule('/health', endpoint='health', methods=['GET']),
        Rule('/ready', endpoint='ready', methods=['GET']),
        Rule('/metrics', endpoint='metrics', methods=['GET']),
    ]
)


def create_application(
    service: EntryService,
    largest_body_bytes: int,
    most_waiting: int = 0,
) -> WsgiApplication:
    """Build the WSGI application of an entry.

    `most_waiting` is how many requests may wait for jobs at once; more
    are refused, so that threads remain for the balancer's check. 0 sets
    no limit.
    """
    return _Application(service, largest_body_bytes, most_waiting)


class _Application:
    """The WSGI application: one method for each route."""

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

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        request = Request(environ)
        response = self._respond(request)
        if not self._service.is_accepting():
            # Clients leave this entry before its connections are closed.
            response.headers['Connection'] = 'close'
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        try:
            routes = _ROUTES.bind_to_environ(request.environ)
            endpoint, arguments = routes.match()
            return self._dispatch(endpoint, request, arguments)
        except RequestRefused as error:
            response = _refusal(error.code, error.message, error.status)
            if error.is_cut_off:
                response.headers['Connection'] = 'close'
            return response
        except InvalidInput as error:
            return _refusal(FailureCode.INVALID, str(error), 400)
        except MethodNotAllowed as error:
            allowed = ', '.join(sorted(error.valid_methods or ()))
            message = f'{request.method} is not allowed here, but {allowed}'
            response = _refusal(FailureCode.INVALID, message, 405)
            response.headers['Allow'] = allowed
            return response
        except HTTPException as error:
            message = f'{request.method} {request.path}: {error.description}'
            status = error.code or 500
            return _refusal(FailureCode.INVALID, message, status)
        except Exception as error:
            write_traceback()
            return _internal_failure(error)

    def _dispatch(
        self, endpoint: str, request: Request, arguments: Mapping[str, Any]
    ) -> Response:
        match endpoint:
            case 'submit':
                return self._submit(request)
            case 'fetch':
                return self._fetch(request, arguments['identifier'])
            case 'cancel':
                return self._cancel(arguments['identifier'])
            case 'ticket':
                return self._put_ticket(request)
            case 'control':
                return self._query_control(arguments['topic'])
            case _:
                return self._operate(endpoint)

    def _operate(self, endpoint: str) -> Response:
        match endpoint:
            case 'health':
                return _check(self._service.is_accepting(), 'accepting')
            case 'ready':
                return _check(self._service.is_ready(), 'ready')
            case 'drain':
                self._service.drain()
                return json_response({'status': 'draining'}, 202)
            case _:
                text = self._service.metrics.as_prometheus_text()
                return Response(text, mimetype='text/plain')

    def _submit(self, request: Request) -> Response:
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

    def _fetch(self, request: Request, identifier: str) -> Response:
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

    def _cancel(self, identifier: str) -> Response:
        with start_action(action_type='cancel_job', job=identifier) as action:
            future = self._service.cancel(identifier)
            answer = _wait(future, _CONTROL_WAIT_S)
            action.add_success_fields(state=_state_of(answer))
        if answer is None:
            return pending_response(identifier)
        failure = answer.failure
        if failure is not None and failure.code is FailureCode.CANCELLED:
            return failure_response(identifier, failure, 200)
        return answer_response(answer)

    def _put_ticket(self, request: Request) -> Response:
        document = read_document(request, self._largest_body_bytes)
        number, state_by_key = _read_ticket(document)
        try:
            future = self._service.put_ticket(number, state_by_key)
            outcome = future.result(_CONTROL_WAIT_S)
        except InvalidInput:
            raise
        except (BaobabgapError, TimeoutError) as error:
            return _control_unavailable(error, Ran.UNKNOWN)
        document = asdict(outcome)
        del document['request']
        return json_response(document, STATUS_BY_TICKET_STATUS[outcome.status])

    def _query_control(self, topic: str) -> Response:
        if topic not in _CONTROL_TOPICS:
            allowed = ', '.join(_CONTROL_TOPICS)
            message = f'no page {topic!r}; there are {allowed}'
            return _refusal(FailureCode.INVALID, message, 404)
        try:
            page = self._service.query_control(topic).result(_CONTROL_WAIT_S)
        except (BaobabgapError, TimeoutError) as error:
            return _control_unavailable(error, Ran.NO)
        return json_response(page)

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


def _read_ticket(document: Any) -> tuple[int, dict[str, Any]]:
    """Return number and state of `{"number": 7, "state": {...}}`."""
    if not isinstance(document, dict) or set(document) != {'number', 'state'}:
        raise InvalidInput(
            'a ticket is a map with the keys number and state', step='ticket'
        )
    number, state_by_key = document['number'], document['state']
    if type(number) is not int or number < 1:
        raise InvalidInput(
            'number: must be a whole number from 1', step='ticket'
        )
    if not isinstance(state_by_key, dict) or not state_by_key:
        raise InvalidInput(
            'state: must be a map with one key at least', step='ticket'
        )
    return number, state_by_key


def _check(good: bool, name: str) -> Response:
    status = name if good else f'not {name}'
    return json_response({'status': status}, 200 if good else 503)


def _refusal(code: FailureCode, message: str, status: int) -> Response:
    failure = JobFailure(code, message, 'request', '', Ran.NO)
    return failure_response('', failure, status)


def _internal_failure(error: Exception) -> Response:
    message = f'{type(error).__name__}: {error}'
    failure = JobFailure(
        FailureCode.INTERNAL, message, 'request', '', Ran.UNKNOWN
    )
    return failure_response('', failure, 500)


def _control_unavailable(error: Exception, ran: Ran) -> Response:
    step = error.step if isinstance(error, BaobabgapError) else 'control'
    peer = error.peer if isinstance(error, BaobabgapError) else ''
    message = str(error) or 'no answer from the control group in time'
    failure = JobFailure(
        FailureCode.CONTROL_UNAVAILABLE, message, step, peer, ran, 1.0
    )
    return failure_response('', failure, 503)
