"""The accepting side of a link."""

from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any

from websockets.sync.server import serve
from websockets.sync.server import Server
from websockets.sync.server import ServerConnection

from baobabgap._exceptions import BaobabgapError
from baobabgap.messages import Hello
from baobabgap.messages import MAXIMUM_FRAME_BYTES
from baobabgap.transport._connection import Connection
from baobabgap.transport._connection import LinkTiming


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
        self._make_hello = make_hello
        self._timing = timing
        self._pool = pool
        self._session = session
        self._on_error = on_error
        self._server: Server = serve(
            self._handle,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAXIMUM_FRAME_BYTES,
            open_timeout=timing.silence_s,
            close_timeout=timing.silence_s,
        )

    @property
    def port(self) -> int:
        """The port in use, also if port 0 was requested."""
        address: Any = self._server.socket.getsockname()
        return int(address[1])

    def start(self) -> None:
        """Start accepting in a task of the pool."""
        self._pool.submit(self._server.serve_forever)

    def stop(self) -> None:
        """Stop accepting; open links stay open."""
        self._server.shutdown()

    def _handle(self, socket: ServerConnection) -> None:
        try:
            connection = Connection.open_link(
                socket, self._make_hello(), self._timing, self._pool
            )
            try:
                self._session(connection)
            finally:
                connection.close()
        except BaobabgapError as error:
            if self._on_error is not None:
                self._on_error(error)
