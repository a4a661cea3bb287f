"""The WSGI application: routing and error responses."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

from eliot import write_traceback
from werkzeug import Request
from werkzeug import Response
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import MethodNotAllowed
from werkzeug.routing import Map
from werkzeug.routing import Rule

from baobabgap._exceptions import InvalidInput
from baobabgap.api._body import RequestRefused
from baobabgap.api._documents import internal_response
from baobabgap.api._documents import refusal_response
from baobabgap.api._job_routes import JobRoutes
from baobabgap.api._operator_routes import OperatorRoutes
from baobabgap.api._service import EntryService
from baobabgap.jobs import FailureCode

WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]

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
    max_waiting_requests: int = 0,
) -> WsgiApplication:
    """Build the WSGI application of an entry.

    `largest_body_bytes` limits the body of a request. `max_waiting_requests`
    limits the requests that wait for jobs at once; further ones are
    refused so that threads remain for the load balancer's health check.
    0 sets no limit.
    """
    return _Application(service, largest_body_bytes, max_waiting_requests)


class _Application:
    """Routes requests and turns every error into a response."""

    def __init__(
        self,
        service: EntryService,
        largest_body_bytes: int,
        max_waiting_requests: int,
    ) -> None:
        self._service = service
        self._jobs = JobRoutes(
            service, largest_body_bytes, max_waiting_requests
        )
        self._operators = OperatorRoutes(service, largest_body_bytes)

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        request = Request(environ)
        response = self._respond(request)
        if not self._service.is_accepting():
            # Makes clients leave before the server closes their connections.
            response.headers['Connection'] = 'close'
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        try:
            routes = _ROUTES.bind_to_environ(request.environ)
            endpoint, arguments = routes.match()
            return self._dispatch(endpoint, request, arguments)
        except RequestRefused as error:
            response = refusal_response(
                error.code, error.message, error.status
            )
            if error.must_close_connection:
                response.headers['Connection'] = 'close'
            return response
        except InvalidInput as error:
            return refusal_response(FailureCode.INVALID, str(error), 400)
        except MethodNotAllowed as error:
            allowed = ', '.join(sorted(error.valid_methods or ()))
            message = f'{request.method} is not allowed here, but {allowed}'
            response = refusal_response(FailureCode.INVALID, message, 405)
            response.headers['Allow'] = allowed
            return response
        except HTTPException as error:
            message = f'{request.method} {request.path}: {error.description}'
            status = error.code or 500
            return refusal_response(FailureCode.INVALID, message, status)
        except Exception as error:
            write_traceback()
            return internal_response(error)

    def _dispatch(
        self, endpoint: str, request: Request, arguments: Mapping[str, Any]
    ) -> Response:
        jobs, operators = self._jobs, self._operators
        match endpoint:
            case 'submit':
                return jobs.submit(request)
            case 'fetch':
                return jobs.fetch(request, arguments['identifier'])
            case 'cancel':
                return jobs.cancel(arguments['identifier'])
            case 'ticket':
                return operators.put_ticket(request)
            case 'control':
                return operators.query_control(arguments['topic'])
            case 'health':
                return operators.health()
            case 'ready':
                return operators.ready()
            case 'drain':
                return operators.drain()
            case _:
                return operators.metrics()
