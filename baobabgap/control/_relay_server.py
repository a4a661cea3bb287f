"""The leader's end of the relay links of followers."""

from collections.abc import Callable
from concurrent.futures import Future
import threading
from typing import Any

from baobabgap.control._command_router import CommandRouter
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import RelayCommand
from baobabgap.messages import RelayReports
from baobabgap.messages import RelayResult
from baobabgap.replication import NotLeader
from baobabgap.transport import Connection


class RelayServer:
    """Carries out commands of followers on this host only.

    A relayed command is never forwarded again.
    """

    def __init__(
        self,
        command_router: CommandRouter,
        on_reports: Callable[[dict[str, int]], None],
    ) -> None:
        self._command_router = command_router
        self._on_reports = on_reports
        self._lock = threading.Lock()
        self._connections: set[Connection] = set()

    def incarnations(self) -> set[str]:
        """Return the incarnations of the hosts that are connected."""
        with self._lock:
            return {link.peer.incarnation for link in self._connections}

    def close_all(self) -> None:
        """Send what is queued on each link, then close it."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.flush_and_close(0.5)

    def serve(self, connection: Connection) -> None:
        """Handle the messages of one follower until its link ends."""
        with self._lock:
            self._connections.add(connection)
        try:
            for message in connection.messages():
                self._handle(message, connection)
        finally:
            with self._lock:
                self._connections.discard(connection)

    def _handle(self, message: object, connection: Connection) -> None:
        match message:
            case RelayCommand():
                future = self._command_router.submit_locally(
                    message.command, is_query=message.is_query
                )
                future.add_done_callback(
                    lambda done: connection.send(
                        _answer(message.request, done)
                    )
                )
            case RelayReports():
                self._on_reports(message.version_by_member)


def _answer(
    request: int, done: Future[Any]
) -> RelayResult | ControlUnavailable:
    error = done.exception()
    if error is None:
        return RelayResult(request, done.result())
    unchanged = isinstance(error, NotLeader)
    return ControlUnavailable(request, str(error), unchanged)
