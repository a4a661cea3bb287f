"""The agent's HTTP interface: announcements, health and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any
from wsgiref.types import StartResponse
from wsgiref.types import WSGIEnvironment

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from baobabgap._exceptions import InvalidInput
from baobabgap.agent._announcement import Announcement
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics


class AgentApplication:
    """WSGI application for the upstream, the balancer and operators.

    `announce` handles a valid announcement and returns the JSON document
    of the answer; it raises `InvalidInput` if the agent serves another
    upstream.
    """

    def __init__(
        self,
        announce: Callable[[Announcement], dict[str, Any]],
        read_offer: Callable[[], UpstreamOffer],
        metrics: Metrics,
    ) -> None:
        self._announce = announce
        self._read_offer = read_offer
        self._metrics = metrics

    def __call__(
        self, environment: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environment)
        response = self._respond(request)
        return response(environment, start_response)

    def _respond(self, request: Request) -> Response:
        match request.method, request.path:
            case 'POST', '/v1/upstream/announce':
                return self._handle_announcement(request)
            case 'GET', '/health':
                return _reply(200, {'status': 'alive'})
            case 'GET', '/ready':
                offer = self._read_offer()
                status = 200 if offer.accepting else 503
                return _reply(
                    status, {'ready': offer.accepting, 'reason': offer.reason}
                )
            case 'GET', '/metrics':
                text = self._metrics.as_prometheus_text()
                return Response(text, 200, content_type='text/plain')
            case _:
                return _reply(404, {'error': 'no such path'})

    def _handle_announcement(self, request: Request) -> Response:
        try:
            announcement = Announcement.from_json(request.get_data())
        except InvalidInput as error:
            return _reply(400, {'error': error.message})
        try:
            return _reply(200, self._announce(announcement))
        except InvalidInput as error:
            return _reply(409, {'error': error.message})


def _reply(status: int, document: Any) -> Response:
    body = json.dumps(document, separators=(',', ':'))
    return Response(body, status, content_type='application/json')
