"""An HTTP server for WSGI applications."""

from baobabgap.web._server import CLIENT_DISCONNECTED
from baobabgap.web._server import WebServer

__all__ = ['CLIENT_DISCONNECTED', 'WebServer']
