"""Client of the control group, used by entries, agents and tools."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import Executor
from concurrent.futures import Future
import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.control._host_selector import HostSelector
from baobabgap.control._pending_requests import ClaimSender
from baobabgap.control._pending_requests import PendingRequests
from baobabgap.messages import Changes
from baobabgap.messages import Claim
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import Hello
from baobabgap.messages import LeaderHint
from baobabgap.messages import Leave
from baobabgap.messages import MemberReport
from baobabgap.messages import PutTicket
from baobabgap.messages import QueryControl
from baobabgap.messages import ReleaseClaims
from baobabgap.messages import Subscribe
from baobabgap.messages import Superseded
from baobabgap.messages import TicketOutcome
from baobabgap.settings import Settings
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming

_MAINTENANCE_INTERVAL_S: Final = 0.05


class ControlClient:
    """Keeps one link to a control host and fails over to the others.

    `on_changes` is called in increasing order of versions. While no
    control host is reachable, the process keeps the last configuration
    that it has applied; `silent_s` is the time without a link::

        client = ControlClient.from_settings(
            settings, 'entry', incarnation, address, pool, apply, ('agent',)
        )
        client.start()
        outcome = client.claim(Claim(job, digest)).result()
    """

    def __init__(
        self,
        settings: Settings,
        hello: Hello,
        pool: Executor,
        on_changes: Callable[[Changes], None],
        member_roles: tuple[str, ...],
    ) -> None:
        self._settings = settings
        self._hello = hello
        self._dial_timing = LinkTiming(
            settings.links.heartbeat_s, settings.links.silence_s
        )
        self._timing = self._dial_timing
        if hello.role == 'agent':
            self._timing = LinkTiming(
                settings.control.member_heartbeat_s,
                settings.control.member_silence_s,
            )
        self._pool = pool
        self._on_changes = on_changes
        self._member_roles = member_roles
        self._host_selector = HostSelector.from_settings(settings, hello.role)
        self._pending = PendingRequests(
            ClaimSender(hello.name, hello.incarnation, hello.address)
        )
        self._stopping = threading.Event()
        self._connection: Connection | None = None
        self._version = 0
        self._last_link_end = time.monotonic()
        self._is_superseded = False
        self._messages_received = 0

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        role: str,
        incarnation: str,
        address: str,
        pool: Executor,
        on_changes: Callable[[Changes], None],
        member_roles: tuple[str, ...],
    ) -> 'ControlClient':
        """Build a client; `start` begins to dial."""
        hello = Hello(
            settings.name,
            role,
            incarnation,
            address,
            settings.place.availability_zone,
        )
        return cls(settings, hello, pool, on_changes, member_roles)

    @property
    def version(self) -> int:
        """The last version that was applied; 0 before the first."""
        return self._version

    @property
    def is_connected(self) -> bool:
        """Whether there is a link to a control host."""
        connection = self._connection
        return connection is not None and not connection.is_closed

    @property
    def peer(self) -> str:
        """The name of the control host that is or was last connected."""
        return self._pending.peer

    @property
    def is_superseded(self) -> bool:
        """Whether another process has joined under this one's name."""
        return self._is_superseded

    @property
    def silent_s(self) -> float:
        """Seconds since the last link ended; 0 while there is one."""
        if self.is_connected:
            return 0.0
        return time.monotonic() - self._last_link_end

    def start(self) -> None:
        """Start the client's tasks in the pool."""
        self._pool.submit(self._run)
        self._pool.submit(self._maintenance_loop)

    def stop(self, *, leaving: bool = True) -> None:
        """Close the link and fail the requests that were not answered.

        With `leaving`, the control group is notified of the planned stop.
        Otherwise it records the member as failed after a grace period.
        """
        self._stopping.set()
        connection = self._connection
        if connection is not None:
            if leaving:
                connection.send(Leave())
            connection.flush_and_close()
        self._pending.fail_all('this process stops')

    def claim(self, claim: Claim) -> Future[ClaimOutcome]:
        """Claim a job.

        The future fails with `ControlUnavailableError` if there is no
        answer within `claim_wait_s`.
        """
        future = self._pending.add_claim(
            claim, self._settings.control.claim_wait_s, lookup_only=False
        )
        self._send_pending()
        return future

    def look_up(self, claim: Claim) -> Future[ClaimOutcome]:
        """Ask for the outcome that a claim would have now."""
        future = self._pending.add_claim(
            claim, self._settings.control.claim_wait_s, lookup_only=True
        )
        self._send_pending()
        return future

    def release(self, jobs: Sequence[str]) -> None:
        """Release claims of jobs of which nothing was started.

        This is best effort: it only lets the next claim succeed, and is
        not sent again if the link is lost.
        """
        connection = self._connection
        if connection is not None:
            connection.send(
                ReleaseClaims(
                    self._hello.name,
                    self._hello.incarnation,
                    tuple(jobs),
                    self._pending.allocate_request_number(),
                )
            )

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Submit a change ticket."""
        return self._request(PutTicket(0, number, state_by_key), 'ticket')

    def query(self, topic: str) -> Future[Any]:
        """Fetch the page `members`, `tickets`, `configuration` or `status`."""
        return self._request(QueryControl(0, topic), 'query')

    def _request(
        self, message: PutTicket | QueryControl, step: str
    ) -> Future[Any]:
        wait_s = self._settings.control.request_wait_s
        future = self._pending.add_request(message, wait_s, step)
        self._send_pending()
        return future

    def _send_pending(self) -> None:
        connection = self._connection
        if connection is not None and not connection.is_closed:
            connection.send(*self._pending.pop_messages())

    def _maintenance_loop(self) -> None:
        while not self._stopping.wait(_MAINTENANCE_INTERVAL_S):
            try:
                self._maintain()
            except Exception as error:
                # If this loop ended, no request would expire again.
                log_event(
                    'control_client:maintenance_failed', error=repr(error)
                )

    def _maintain(self) -> None:
        self._pending.expire()
        self._send_pending()
        connection = self._connection
        if connection is not None:
            self._follow_leader(connection)

    def _run(self) -> None:
        while not self._stopping.is_set() and not self._is_superseded:
            received_before = self._messages_received
            address = self._host_selector.next_address()
            try:
                self._run_link(address)
            except BaobabgapError as error:
                self._host_selector.note_lost(address, time.monotonic())
                log_event('control_client:link_lost', error=str(error))
            except Exception as error:
                log_event('control_client:failed', error=repr(error))
            received_any = self._messages_received != received_before
            self._stopping.wait(
                self._host_selector.next_delay(received_any=received_any)
            )

    def _run_link(self, address: str) -> None:
        connection = dial(address, self._hello, self._dial_timing)
        connection.use_timing(self._timing)
        try:
            self._pending.peer = connection.peer.name
            connection.send(Subscribe(self._version, self._member_roles))
            self._connection = connection
            if self._stopping.is_set():
                # `stop` may have come before the link was there to close.
                return
            self._send_pending()
            for message in connection.messages():
                self._messages_received += 1
                self._handle(connection, message)
        finally:
            self._last_link_end = time.monotonic()
            self._connection = None
            self._host_selector.forget_leader()
            connection.close()
            self._pending.link_lost()

    def _handle(self, connection: Connection, message: object) -> None:
        if self._pending.handle_answer(message):
            self._send_pending()
            return
        match message:
            case Changes():
                self._apply(connection, message)
            case LeaderHint():
                self._host_selector.note_leader(
                    message.leader, message.address
                )
                self._follow_leader(connection)
            case Superseded():
                self._is_superseded = True
                log_event(
                    'control_client:superseded',
                    incarnation=message.incarnation,
                )
                connection.close()

    def _apply(self, connection: Connection, changes: Changes) -> None:
        """Apply newer changes; subscribe again if earlier ones are missing."""
        if changes.to_version <= self._version:
            return
        if changes.from_version > self._version:
            connection.send(Subscribe(self._version, self._member_roles))
            return
        self._on_changes(changes)
        self._version = changes.to_version
        connection.send(MemberReport(self._version))

    def _follow_leader(self, connection: Connection) -> None:
        """Move the link of an entry to the leader."""
        if self._hello.role != 'entry':
            return
        address = self._host_selector.leader_to_move_to(
            connection.peer.name, time.monotonic()
        )
        if address:
            self._host_selector.prefer(address)
            connection.close()
