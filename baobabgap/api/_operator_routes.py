"""Handlers of the load balancer and operator routes."""

from dataclasses import asdict
from typing import Any
from typing import Final

from werkzeug import Request
from werkzeug import Response

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import InvalidInput
from baobabgap.api._body import read_document
from baobabgap.api._documents import failure_response
from baobabgap.api._documents import json_response
from baobabgap.api._documents import refusal_response
from baobabgap.api._documents import STATUS_BY_TICKET_STATUS
from baobabgap.api._service import EntryService
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobFailure
from baobabgap.jobs import Ran

_CONTROL_WAIT_S: Final = 10.0
_CONTROL_RETRY_AFTER_S: Final = 1.0
_CONTROL_TOPICS: Final = ('members', 'tickets', 'configuration', 'status')


class OperatorRoutes:
    """Handles the requests of load balancers and operators."""

    def __init__(self, service: EntryService, largest_body_bytes: int) -> None:
        self._service = service
        self._largest_body_bytes = largest_body_bytes

    def health(self) -> Response:
        """Answer the load balancer's health check."""
        return _check_response(self._service.is_accepting(), 'accepting')

    def ready(self) -> Response:
        """Report whether the entry could run a job now."""
        return _check_response(self._service.is_ready(), 'ready')

    def metrics(self) -> Response:
        """Return the metrics of the process as Prometheus text."""
        text = self._service.metrics.as_prometheus_text()
        return Response(text, mimetype='text/plain')

    def drain(self) -> Response:
        """Start draining the entry before a planned stop."""
        self._service.drain()
        return json_response({'status': 'draining'}, 202)

    def put_ticket(self, request: Request) -> Response:
        """Submit a ticket to the control group and return its outcome."""
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

    def query_control(self, topic: str) -> Response:
        """Return a status page of the control group."""
        if topic not in _CONTROL_TOPICS:
            allowed = ', '.join(_CONTROL_TOPICS)
            message = f'no page {topic!r}; there are {allowed}'
            return refusal_response(FailureCode.INVALID, message, 404)
        try:
            page = self._service.query_control(topic).result(_CONTROL_WAIT_S)
        except (BaobabgapError, TimeoutError) as error:
            return _control_unavailable(error, Ran.NO)
        return json_response(page)


def _read_ticket(document: Any) -> tuple[int, dict[str, Any]]:
    """Return the number and state from `{"number": 7, "state": {...}}`."""
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


def _check_response(passed: bool, name: str) -> Response:
    status = name if passed else f'not {name}'
    return json_response({'status': status}, 200 if passed else 503)


def _control_unavailable(error: Exception, ran: Ran) -> Response:
    step = error.step if isinstance(error, BaobabgapError) else 'control'
    peer = error.peer if isinstance(error, BaobabgapError) else ''
    message = str(error) or 'no answer from the control group in time'
    failure = JobFailure(
        FailureCode.CONTROL_UNAVAILABLE,
        message,
        step,
        peer,
        ran,
        _CONTROL_RETRY_AFTER_S,
    )
    return failure_response('', failure, 503)
