"""The dialling side of a link, with automatic reconnects."""

from collections.abc import Callable
from concurrent.futures import Executor
import random
import threading
import traceback
from typing import Final

from websockets.exceptions import WebSocketException

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap.telemetry import log_event
from baobabgap.transport._connection import Connection
from baobabgap.transport._connection import LinkTiming
from baobabgap.transport._link_socket import connect
from baobabgap.wire import Hello

_INITIAL_RETRY_DELAY_S: Final = 0.05
_MAX_RETRY_DELAY_S: Final = 1.0


def dial(address: str, own_hello: Hello, timing: LinkTiming) -> Connection:
    """Open one link to `host:port`; raise `ConnectionLost` if it fails."""
    try:
        socket = connect(address, timing.silence_s)
    except (OSError, TimeoutError, WebSocketException) as error:
        raise ConnectionLost(
            f'cannot connect: {error}', step='dial', peer=address
        ) from error
    try:
        return Connection.open_link(socket, own_hello, timing)
    except BaobabgapError:
        socket.close()
        raise


class Dialer:
    """Keeps a link to one address open until stopped.

    `session` runs with each new link and returns or raises when the link
    ends. The dialer then dials again after a delay, which doubles with
    each consecutive failure. `on_error` gets each error of a session or
    of an attempt to dial.
    """

    def __init__(
        self,
        address: str,
        own_hello: Hello,
        timing: LinkTiming,
        pool: Executor,
        session: Callable[[Connection], None],
        on_error: Callable[[BaobabgapError], None] | None = None,
    ) -> None:
        self._address = address
        self._own_hello = own_hello
        self._timing = timing
        self._pool = pool
        self._session = session
        self._on_error = on_error
        self._stopping = threading.Event()
        # Ends the pause before the next attempt.
        self._must_dial = threading.Event()
        self._connection: Connection | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a link is open."""
        return self._connection is not None

    def start(self) -> None:
        """Start dialling in a task of the pool."""
        self._pool.submit(self._run)

    def dial_now(self) -> None:
        """Dial without further delay, as the other side is known to be up."""
        self._must_dial.set()

    def stop(self) -> None:
        """Stop dialling and close the link, if any."""
        self._stopping.set()
        self._must_dial.set()
        connection = self._connection
        if connection is not None:
            connection.close()

    def _run(self) -> None:
        delay_s = _INITIAL_RETRY_DELAY_S
        while not self._stopping.is_set():
            self._must_dial.clear()
            if self._run_once():
                delay_s = _INITIAL_RETRY_DELAY_S
            else:
                delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)
            self._must_dial.wait(delay_s * random.uniform(0.5, 1.0))

    def _run_once(self) -> bool:
        """Run a session on one link; return whether the link was opened."""
        opened = False
        try:
            connection = dial(self._address, self._own_hello, self._timing)
            opened = True
            self._connection = connection
            try:
                if not self._stopping.is_set():
                    self._session(connection)
            finally:
                self._connection = None
                connection.close()
        except BaobabgapError as error:
            if self._on_error is not None:
                self._on_error(error)
        except Exception as error:
            # One unexpected message must not end the dialling for good.
            log_event(
                'dialled_link_failed',
                address=self._address,
                error=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
        return opened
