"""The leader's end of the links from hosts that follow."""

from collections.abc import Callable
from concurrent.futures import Future
import threading
from typing import Any

from baobabgap.control._gateway import Gateway
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import RelayCommand
from baobabgap.messages import RelayReports
from baobabgap.messages import RelayResult
from baobabgap.replication import NotLeader
from baobabgap.transport import Connection


class RelayServer:
    """Carries out what following hosts pass on; never passes it further."""

    def __init__(
        self,
        gateway: Gateway,
        on_reports: Callable[[dict[str, int]], None],
    ) -> None:
        self._gateway = gateway
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
        """Run the session of one following host."""
        with self._lock:
            self._connections.add(connection)
        try:
            for message in connection.messages():
                self._take(message, connection)
        finally:
            with self._lock:
                self._connections.discard(connection)

    def _take(self, message: object, connection: Connection) -> None:
        match message:
            case RelayCommand():
                future = self._gateway.submit_here(
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
