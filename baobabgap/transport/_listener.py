"""The accepting side of links."""

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

    `session` gets each link after its `Hello`; an error that it raises
    closes that link alone and is handed to `on_error`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        own: Callable[[], Hello],
        timing: LinkTiming,
        pool: Executor,
        session: Callable[[Connection], None],
        on_error: Callable[[BaobabgapError], None] | None = None,
    ) -> None:
        self._own = own
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
        """The port that is listened on, also if 0 was asked for."""
        address: Any = self._server.socket.getsockname()
        return int(address[1])

    def start(self) -> None:
        """Begin accepting in a task of the pool."""
        self._pool.submit(self._server.serve_forever)

    def stop(self) -> None:
        """Accept no more; open links stay open."""
        self._server.shutdown()

    def _handle(self, socket: ServerConnection) -> None:
        try:
            connection = Connection.open_link(
                socket, self._own(), self._timing, self._pool
            )
            try:
                self._session(connection)
            finally:
                connection.close()
        except BaobabgapError as error:
            if self._on_error is not None:
                self._on_error(error)
