"""The link from a following control host to the leader."""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import Future
import threading
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import Hello
from baobabgap.messages import RelayCommand
from baobabgap.messages import RelayReports
from baobabgap.messages import RelayResult
from baobabgap.replication import NotLeader
from baobabgap.replication import OutcomeUnknown
from baobabgap.settings import ControlHost
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming

RELAY_ROLE: Final = 'relay'
_PAUSE_S: Final = 0.05


class LeaderRelay:
    """Keeps one link to whichever host leads and passes commands on.

    `other_leader` returns the leader, or None if there is none or if it
    is this host itself.
    """

    def __init__(
        self,
        own: Callable[[], Hello],
        timing: LinkTiming,
        pool: Executor,
        other_leader: Callable[[], ControlHost | None],
        on_open: Callable[[], None],
    ) -> None:
        self._own = own
        self._timing = timing
        self._pool = pool
        self._other_leader = other_leader
        self._on_open = on_open
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._connection: Connection | None = None
        self._leader: ControlHost | None = None
        self._next_request = 1
        self._future_by_request: dict[int, Future[Any]] = {}

    def start(self) -> None:
        """Begin to dial whichever host leads."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Close the link and dial no more."""
        self._stopping.set()
        self._close()

    def submit(self, command: bytes, *, is_query: bool) -> Future[Any]:
        """Pass a command on; fails at once while there is no link.

        The future fails with `NotLeader` (certainly unchanged) or with
        `OutcomeUnknown`.
        """
        future: Future[Any] = Future()
        with self._lock:
            connection = self._connection
            if connection is not None and not connection.is_closed:
                request = self._next_request
                self._next_request += 1
                self._future_by_request[request] = future
                connection.send(RelayCommand(request, command, is_query))
                return future
        future.set_exception(NotLeader('relay', self._other_leader()))
        return future

    def report(self, version_by_member: dict[str, int]) -> bool:
        """Pass on versions in force; tell whether there was a link."""
        with self._lock:
            connection = self._connection
            if connection is None or connection.is_closed:
                return False
            connection.send(RelayReports(version_by_member))
            return True

    @property
    def is_open(self) -> bool:
        """Tell whether there is a link to the leader."""
        connection = self._connection
        return connection is not None and not connection.is_closed

    def check_leader(self) -> None:
        """Give the link up if another host leads by now."""
        if self._leader is not None and self._leader != self._other_leader():
            self._close()

    def _close(self) -> None:
        connection = self._connection
        if connection is not None:
            connection.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            leader = self._other_leader()
            if leader is not None:
                try:
                    self._hold(leader)
                except BaobabgapError:
                    # The next round dials whichever host leads then.
                    pass
            self._stopping.wait(_PAUSE_S)

    def _hold(self, leader: ControlHost) -> None:
        connection = dial(
            leader.address, self._own(), self._timing, self._pool
        )
        try:
            with self._lock:
                self._leader = leader
                self._connection = connection
            self._on_open()
            for message in connection.messages():
                self._take(message)
        finally:
            connection.close()
            self._forget(leader)

    def _take(self, message: object) -> None:
        match message:
            case RelayResult():
                future = self._pop(message.request)
                if future is not None:
                    future.set_result(message.result)
            case ControlUnavailable():
                future = self._pop(message.request)
                if future is not None:
                    future.set_exception(_error_from(message, self._leader))

    def _pop(self, request: int) -> Future[Any] | None:
        with self._lock:
            return self._future_by_request.pop(request, None)

    def _forget(self, leader: ControlHost) -> None:
        with self._lock:
            self._connection = None
            self._leader = None
            futures = list(self._future_by_request.values())
            self._future_by_request.clear()
        for future in futures:
            future.set_exception(
                OutcomeUnknown(
                    'the link to the leader was lost',
                    step='relay',
                    peer=leader.name,
                )
            )


def _error_from(
    message: ControlUnavailable, leader: ControlHost | None
) -> BaobabgapError:
    if message.unchanged:
        return NotLeader('relay', leader)
    peer = leader.name if leader is not None else ''
    return OutcomeUnknown(message.message, step='relay', peer=peer)
