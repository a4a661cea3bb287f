"""HTTP server that runs a WSGI application in this process."""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import Future
import select
import socket
from typing import Any
from typing import Final

from cheroot.wsgi import Gateway_10
from cheroot.wsgi import Server

from baobabgap.web._errors import JsonErrorConnection
from baobabgap.web._threads import GrowingThreadPool

# Seconds without received data after which an idle or stalled connection is
# closed.
_READ_TIMEOUT_S: Final = 30


# The key in the WSGI environment of a function that returns whether the client
# has closed its connection.
CLIENT_DISCONNECTED: Final = 'baobabgap.client_disconnected'


class _Gateway(Gateway_10):
    """Lets the application check whether its client is still connected."""

    def get_environ(self) -> Any:
        """Return the WSGI environment of one request."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CLIENT_DISCONNECTED] = _make_disconnect_check(
            self.req.conn.socket
        )
        return environ


def _make_disconnect_check(connection: socket.socket) -> Callable[[], bool]:
    def is_disconnected() -> bool:
        try:
            poller = select.poll()
            poller.register(connection, select.POLLIN)
            if not poller.poll(0):
                return False
            return connection.recv(1, socket.MSG_PEEK) == b''
        except (OSError, ValueError):
            # The descriptor is closed, or the connection was reset.
            return True

    return is_disconnected


class WebServer:
    """Serves a WSGI application on one port with a limited pool of threads.

    Idle persistent connections occupy no thread; a connection that stalls
    in the middle of a request occupies one for `read_timeout_s` seconds.
    Requests that never reach the application get JSON errors too.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Any,
        threads: int,
        largest_body_bytes: int,
        read_timeout_s: int = _READ_TIMEOUT_S,
    ) -> None:
        self._server = Server(
            (host, port),
            application,
            request_queue_size=1024,
            timeout=read_timeout_s,
            shutdown_timeout=5,
        )
        self._server.requests = GrowingThreadPool(self._server, threads)
        self._server.ConnectionClass = JsonErrorConnection
        self._server.gateway = _Gateway
        self._server.max_request_body_size = largest_body_bytes
        self._server.prepare()

    @property
    def port(self) -> int:
        """The port in use, also if port 0 was requested."""
        return int(self._server.bind_addr[1])

    def start(self, pool: Executor) -> Future[None]:
        """Start serving in a task of the pool, and return the task."""
        return pool.submit(self._server.serve)

    def stop(self) -> None:
        """Stop the server after the requests in progress are answered."""
        self._server.stop()
