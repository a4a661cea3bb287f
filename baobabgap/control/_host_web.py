"""Health and metrics of a control host over HTTP."""

import json
from typing import Any
from typing import Protocol

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from baobabgap.telemetry import Metrics


class HostService(Protocol):
    """The parts of the process that the HTTP application needs."""

    @property
    def metrics(self) -> Metrics:
        """The metrics of the process."""

    @property
    def is_ready(self) -> bool:
        """Whether this host can carry out requests."""

    def status(self) -> dict[str, Any]:
        """Describe this host for operators."""


def create_application(service: HostService) -> Any:
    """Return the WSGI application of one control host."""

    @Request.application
    def application(request: Request) -> Response:
        match request.path:
            case '/health':
                return _json(200, service.status())
            case '/ready':
                is_ready = service.is_ready
                return _json(200 if is_ready else 503, {'ready': is_ready})
            case '/metrics':
                text = service.metrics.as_prometheus_text()
                return Response(text, mimetype='text/plain')
            case _:
                return _json(404, {'message': 'no such page'})

    return application


def _json(status: int, document: Any) -> Response:
    return Response(json.dumps(document), status, mimetype='application/json')
