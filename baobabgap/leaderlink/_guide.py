"""Tells those that look for the leader where it is.

The configured hosts at which processes look for the leader may be entries.
"""

from collections.abc import Callable
from concurrent.futures import Executor
import secrets
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.settings import Settings
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.wire import Hello
from baobabgap.wire import LeaderHint


class LeaderGuide:
    """Answers each link on the internal port with a `LeaderHint`.

    The hint names the leader that this process is linked to. Without one, it
    names the control host that last looked for the leader here, which may
    know it.
    """

    def __init__(
        self,
        settings: Settings,
        pool: Executor,
        leader_address: Callable[[], str],
    ) -> None:
        self._leader_address: Final = leader_address
        self._control_address = ''
        hello = Hello(
            settings.name,
            ENTRY_ROLE,
            secrets.token_hex(8),
            availability_zone=settings.place.availability_zone,
        )
        self._listener = Listener(
            settings.listen.host,
            settings.listen.internal_port,
            lambda: hello,
            LinkTiming(settings.links.heartbeat_s, settings.links.silence_s),
            pool,
            self._answer,
            _log_link_error,
        )

    @property
    def port(self) -> int:
        """The internal port."""
        return self._listener.port

    def start(self) -> None:
        """Start answering."""
        self._listener.start()

    def stop(self) -> None:
        """Stop answering."""
        self._listener.stop()

    def _answer(self, connection: Connection) -> None:
        address = self._leader_address() or self._control_address
        if connection.peer.address:
            self._control_address = connection.peer.address
        connection.send(LeaderHint('', address))
        connection.flush_and_close()


def _log_link_error(error: BaobabgapError) -> None:
    if not isinstance(error, ConnectionLost):
        log_event('link_refused', error=str(error))
