"""The dialling side of a link, with reconnects."""

from collections.abc import Callable
from concurrent.futures import Executor
import random
import threading
from typing import Final

from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap.messages import Hello
from baobabgap.messages import MAXIMUM_FRAME_BYTES
from baobabgap.transport._connection import Connection
from baobabgap.transport._connection import LinkTiming

_FIRST_PAUSE_S: Final = 0.05
_LONGEST_PAUSE_S: Final = 1.0


def dial(
    address: str, own: Hello, timing: LinkTiming, pool: Executor
) -> Connection:
    """Open one link to `host:port`; raise `ConnectionLost` if it fails."""
    try:
        socket = connect(
            f'ws://{address}/',
            compression=None,
            ping_interval=None,
            open_timeout=timing.silence_s,
            close_timeout=timing.silence_s,
            max_size=MAXIMUM_FRAME_BYTES,
            proxy=None,
        )
    except (OSError, TimeoutError, WebSocketException) as error:
        raise ConnectionLost(
            f'cannot connect: {error}', step='dial', peer=address
        ) from error
    try:
        return Connection.open_link(socket, own, timing, pool)
    except BaobabgapError:
        threading.Thread(target=socket.close, daemon=True).start()
        raise


class Dialer:
    """One task that keeps a link to one address open until stopped.

    `session` runs with each new link and returns or raises when it ends;
    after it the dialer waits a little, longer after each failure in a
    row, and dials again.
    """

    def __init__(
        self,
        address: str,
        own: Hello,
        timing: LinkTiming,
        pool: Executor,
        session: Callable[[Connection], None],
        on_error: Callable[[BaobabgapError], None] | None = None,
    ) -> None:
        self._address = address
        self._own = own
        self._timing = timing
        self._pool = pool
        self._session = session
        self._on_error = on_error
        self._stopping = threading.Event()
        self._current: Connection | None = None

    @property
    def is_connected(self) -> bool:
        """Tell whether there is a link now."""
        return self._current is not None

    def start(self) -> None:
        """Begin dialling in a task of the pool."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Close the link, if any, and dial no more."""
        self._stopping.set()
        current = self._current
        if current is not None:
            current.close()

    def _run(self) -> None:
        pause_s = _FIRST_PAUSE_S
        while not self._stopping.is_set():
            if self._run_once():
                pause_s = _FIRST_PAUSE_S
            else:
                pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
            self._stopping.wait(pause_s * random.uniform(0.5, 1.0))

    def _run_once(self) -> bool:
        """Hold one link to its end; tell whether it was ever open."""
        opened = False
        try:
            connection = dial(
                self._address, self._own, self._timing, self._pool
            )
            opened = True
            self._current = connection
            try:
                if not self._stopping.is_set():
                    self._session(connection)
            finally:
                self._current = None
                connection.close()
        except BaobabgapError as error:
            if self._on_error is not None:
                self._on_error(error)
        return opened
