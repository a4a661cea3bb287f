"""The accepting side of a link."""

from collections.abc import Callable
from concurrent.futures import Executor
import selectors
import socket
import threading
from typing import Any
from typing import Final

from websockets.exceptions import WebSocketException

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap.telemetry import log_event
from baobabgap.transport._connection import Connection
from baobabgap.transport._connection import LinkTiming
from baobabgap.transport._link_loop import PROCESS_LOOP
from baobabgap.transport._link_socket import accept_handshake
from baobabgap.transport._link_socket import listen
from baobabgap.wire import Hello

# Seconds between visits of the link loop, which resume accepting after an
# error such as too many open files.
_VISIT_INTERVAL_S: Final = 0.5
# Seconds to wait until the link loop has closed the socket.
_STOP_TIMEOUT_S: Final = 2.0


class Listener:
    """Accepts links on one port and runs a session for each.

    `session` gets each link after the exchange of `Hello`; an error that
    it raises closes only that link and is passed to `on_error`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        make_hello: Callable[[], Hello],
        timing: LinkTiming,
        pool: Executor,
        session: Callable[[Connection], None],
        on_error: Callable[[BaobabgapError], None] | None = None,
    ) -> None:
        self._make_hello: Final = make_hello
        self._timing: Final = timing
        self._pool: Final = pool
        self._session: Final = session
        self._on_error: Final = on_error
        self._socket: Final = listen(host, port)
        self._socket.setblocking(False)
        address: Any = self._socket.getsockname()
        self._port: Final = int(address[1])
        self._is_started = False
        self._is_paused = False
        self._lock = threading.Lock()
        self._links: set[Connection] = set()
        self._stopping = threading.Event()
        self._stopped = threading.Event()

    @property
    def port(self) -> int:
        """The port in use, also if port 0 was requested."""
        return self._port

    def start(self) -> None:
        """Start accepting, in the link loop of the process."""
        self._is_started = True
        PROCESS_LOOP.request_visit(self)

    def stop(self) -> None:
        """Stop accepting, and close the accepted links."""
        self._stopping.set()
        with self._lock:
            links = list(self._links)
        for link in links:
            link.close()
        if not self._is_started:
            self._socket.close()
            return
        PROCESS_LOOP.request_visit(self)
        self._stopped.wait(_STOP_TIMEOUT_S)

    # The methods of `LoopedLink`, which only the link loop calls.

    def fileno(self) -> int:
        """Return the file descriptor, or -1 once it is closed."""
        return self._socket.fileno()

    def wanted_events(self) -> int:
        """Return the selector's events to wait for."""
        return 0 if self._is_paused else selectors.EVENT_READ

    def handle_readable(self, now: float) -> None:
        """Accept the connections that wait."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log_event('accept_failed', error=str(error))
                self._is_paused = True
                return
            self._pool.submit(self._serve, connection)

    def handle_due(self, now: float) -> float | None:
        """Close the socket once stopped, else resume accepting."""
        self.flush(now)
        if self._socket.fileno() < 0:
            return None
        self._is_paused = False
        return now + _VISIT_INTERVAL_S

    def flush(self, now: float) -> None:
        """Close the socket once stopped."""
        if self._stopping.is_set():
            self._socket.close()
            self._stopped.set()

    def fail(self, reason: str) -> None:
        """Pause accepting after an unexpected error."""
        self._is_paused = True

    def _serve(self, accepted: socket.socket) -> None:
        try:
            connection = self._open_link(accepted)
            try:
                with self._lock:
                    self._links.add(connection)
                if not self._stopping.is_set():
                    self._session(connection)
            finally:
                connection.close()
                with self._lock:
                    self._links.discard(connection)
        except BaobabgapError as error:
            if self._on_error is not None:
                self._on_error(error)
        except Exception as error:
            log_event('session_failed', error=repr(error))

    def _open_link(self, accepted: socket.socket) -> Connection:
        try:
            link_socket = accept_handshake(accepted, self._timing.silence_s)
        except (OSError, WebSocketException) as error:
            raise ConnectionLost(
                f'no opening handshake: {error}', step='accept'
            ) from error
        try:
            return Connection.open_link(
                link_socket, self._make_hello(), self._timing
            )
        except BaobabgapError:
            link_socket.close()
            raise
