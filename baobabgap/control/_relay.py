"""The link of a follower to the leader, for relayed commands."""

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
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming

RELAY_ROLE: Final = 'relay'
_REDIAL_DELAY_S: Final = 0.05


class LeaderRelay:
    """Keeps a link to the current leader and forwards commands to it.

    `other_leader` returns the leader, or None if there is none or if it
    is this host itself.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        timing: LinkTiming,
        pool: Executor,
        other_leader: Callable[[], ControlHost | None],
        on_open: Callable[[], None],
    ) -> None:
        self._make_hello = make_hello
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
        """Start the task that dials the leader."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Close the link and stop dialling."""
        self._stopping.set()
        self._close()

    def submit(self, command: bytes, *, is_query: bool) -> Future[Any]:
        """Forward a command or query to the leader.

        The future fails with `NotLeader` if certainly nothing was changed,
        at once while there is no link, and otherwise with
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
        """Forward versions in force; return False if there is no link."""
        with self._lock:
            connection = self._connection
            if connection is None or connection.is_closed:
                return False
            connection.send(RelayReports(version_by_member))
            return True

    @property
    def is_open(self) -> bool:
        """Whether there is a link to the leader."""
        connection = self._connection
        return connection is not None and not connection.is_closed

    def check_leader(self) -> None:
        """Close the link if its peer no longer leads."""
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
                    self._run_link(leader)
                except BaobabgapError:
                    # The next iteration dials the leader of that time.
                    pass
                except Exception as error:
                    # One unexpected message must not end the relay for good.
                    log_event(
                        'relay:link_failed',
                        leader=leader.name,
                        error=repr(error),
                    )
            self._stopping.wait(_REDIAL_DELAY_S)

    def _run_link(self, leader: ControlHost) -> None:
        connection = dial(leader.address, self._make_hello(), self._timing)
        try:
            with self._lock:
                self._leader = leader
                self._connection = connection
            if self._stopping.is_set():
                # `stop` may have come before the link was there to close.
                return
            self._on_open()
            for message in connection.messages():
                self._handle(message)
        finally:
            connection.close()
            self._fail_pending(leader)

    def _handle(self, message: object) -> None:
        match message:
            case RelayResult():
                future = self._pop_future(message.request)
                if future is not None:
                    future.set_result(message.result)
            case ControlUnavailable():
                future = self._pop_future(message.request)
                if future is not None:
                    future.set_exception(_error_from(message, self._leader))

    def _pop_future(self, request: int) -> Future[Any] | None:
        with self._lock:
            return self._future_by_request.pop(request, None)

    def _fail_pending(self, leader: ControlHost) -> None:
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
