"""HTTP: a server for WSGI applications and a client for JSON requests."""

from baobabgap.web._client import ConnectionRefused
from baobabgap.web._client import RequestNeverSent
from baobabgap.web._client import WebClient
from baobabgap.web._client import WebResponse
from baobabgap.web._server import CLIENT_DISCONNECTED
from baobabgap.web._server import WebServer

__all__ = [
    'ConnectionRefused',
    'CLIENT_DISCONNECTED',
    'RequestNeverSent',
    'WebClient',
    'WebResponse',
    'WebServer',
]
