"""The control group's client in entries, agents and tools."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import Executor
from concurrent.futures import Future
import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.control._host_choice import HostChoice
from baobabgap.control._pending import ClaimSender
from baobabgap.control._pending import PendingRequests
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

_TICK_S: Final = 0.05


class ControlClient:
    """Keeps one link to a control host and fails over to the others.

    `on_changes` is called in the order of versions and never with an
    older one than before. While no control host answers, the process
    keeps the configuration that it knows; `silent_s` tells for how long::

        client = ControlClient.from_settings(
            settings, 'entry', incarnation, address, pool, apply, ('agent',)
        )
        client.start()
        outcome = client.claim(Claim(job, digest)).result()
    """

    def __init__(
        self,
        settings: Settings,
        own: Hello,
        pool: Executor,
        on_changes: Callable[[Changes], None],
        member_roles: tuple[str, ...],
    ) -> None:
        self._settings = settings
        self._own = own
        self._dial_timing = LinkTiming(
            settings.links.heartbeat_s, settings.links.silence_s
        )
        self._timing = self._dial_timing
        if own.role == 'agent':
            self._timing = LinkTiming(
                settings.control.member_heartbeat_s,
                settings.control.member_silence_s,
            )
        self._pool = pool
        self._on_changes = on_changes
        self._member_roles = member_roles
        self._choice = HostChoice.from_settings(settings, own.role)
        self._pending = PendingRequests(
            ClaimSender(own.name, own.incarnation, own.address)
        )
        self._stopping = threading.Event()
        self._connection: Connection | None = None
        self._version = 0
        self._last_contact = time.monotonic()
        self._is_superseded = False
        self._messages_taken = 0

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
        """Build a client that has not dialled yet."""
        own = Hello(
            settings.name,
            role,
            incarnation,
            address,
            settings.place.availability_zone,
        )
        return cls(settings, own, pool, on_changes, member_roles)

    @property
    def version(self) -> int:
        """The last version that was applied; 0 before the first."""
        return self._version

    @property
    def is_connected(self) -> bool:
        """Tell whether there is a link to a control host."""
        connection = self._connection
        return connection is not None and not connection.is_closed

    @property
    def peer(self) -> str:
        """The name of the host that the link goes, or last went, to."""
        return self._pending.peer

    @property
    def is_superseded(self) -> bool:
        """Tell whether another process has taken this one's name."""
        return self._is_superseded

    @property
    def silent_s(self) -> float:
        """Seconds since there was last a link; 0 while there is one."""
        if self.is_connected:
            return 0.0
        return time.monotonic() - self._last_contact

    def start(self) -> None:
        """Begin to dial, in tasks of the pool."""
        self._pool.submit(self._run)
        self._pool.submit(self._tick_loop)

    def stop(self, *, leaving: bool = True) -> None:
        """Leave, close the link and fail what was not answered.

        A process that does not leave is taken for dead a little later.
        """
        self._stopping.set()
        connection = self._connection
        if connection is not None:
            if leaving:
                connection.send(Leave())
            connection.flush_and_close()
        self._pending.fail_all('this process stops')

    def claim(self, claim: Claim) -> Future[ClaimOutcome]:
        """Claim a job; fails with `ControlUnavailableError` in time."""
        future = self._pending.add_claim(
            claim, self._settings.control.claim_wait_s, lookup_only=False
        )
        self._send_waiting()
        return future

    def lookup(self, claim: Claim) -> Future[ClaimOutcome]:
        """Ask what a claim would meet, as of now."""
        future = self._pending.add_claim(
            claim, self._settings.control.claim_wait_s, lookup_only=True
        )
        self._send_waiting()
        return future

    def release(self, jobs: Sequence[str]) -> None:
        """Give up claims of jobs of which nothing was started.

        This is a favour to the next claim and is not repeated if the
        link is lost.
        """
        connection = self._connection
        if connection is not None:
            connection.send(
                ReleaseClaims(
                    self._own.name,
                    self._own.incarnation,
                    tuple(jobs),
                    self._pending.next_request(),
                )
            )

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Hand in a change ticket."""
        return self._request(PutTicket(0, number, state_by_key), 'ticket')

    def query(self, topic: str) -> Future[Any]:
        """Fetch a page: members, tickets, configuration or status."""
        return self._request(QueryControl(0, topic), 'query')

    def _request(
        self, message: PutTicket | QueryControl, step: str
    ) -> Future[Any]:
        wait_s = self._settings.control.request_wait_s
        future = self._pending.add_request(message, wait_s, step)
        self._send_waiting()
        return future

    def _send_waiting(self) -> None:
        connection = self._connection
        if connection is not None and not connection.is_closed:
            connection.send(*self._pending.take_messages())

    def _tick_loop(self) -> None:
        while not self._stopping.wait(_TICK_S):
            self._pending.expire()
            self._send_waiting()
            connection = self._connection
            if connection is not None:
                self._follow_leader(connection)

    def _run(self) -> None:
        while not self._stopping.is_set() and not self._is_superseded:
            before = self._messages_taken
            address = self._choice.next_address()
            try:
                self._hold_link(address)
            except BaobabgapError as error:
                self._choice.note_lost(address, time.monotonic())
                log_event('control_client:link_lost', error=str(error))
            except Exception as error:
                log_event('control_client:failed', error=repr(error))
            was_useful = self._messages_taken != before
            self._stopping.wait(
                self._choice.pause_after(was_useful=was_useful)
            )

    def _hold_link(self, address: str) -> None:
        connection = dial(address, self._own, self._dial_timing, self._pool)
        connection.use_timing(self._timing)
        try:
            self._pending.peer = connection.peer.name
            connection.send(Subscribe(self._version, self._member_roles))
            self._connection = connection
            self._send_waiting()
            for message in connection.messages():
                self._messages_taken += 1
                self._take(connection, message)
        finally:
            self._last_contact = time.monotonic()
            self._connection = None
            self._choice.forget_leader()
            connection.close()
            self._pending.link_lost()

    def _take(self, connection: Connection, message: object) -> None:
        if self._pending.take_answer(message):
            self._send_waiting()
            return
        match message:
            case Changes():
                self._apply(connection, message)
            case LeaderHint():
                self._choice.note_leader(message.leader, message.address)
                self._follow_leader(connection)
            case Superseded():
                self._is_superseded = True
                log_event(
                    'control_client:superseded',
                    incarnation=message.incarnation,
                )
                connection.close()

    def _apply(self, connection: Connection, changes: Changes) -> None:
        """Apply what is new; ask again if something is missing before."""
        if changes.to_version <= self._version:
            return
        if changes.from_version > self._version:
            connection.send(Subscribe(self._version, self._member_roles))
            return
        self._on_changes(changes)
        self._version = changes.to_version
        connection.send(MemberReport(self._version))

    def _follow_leader(self, connection: Connection) -> None:
        """Move an entry's link to the leader."""
        if self._own.role != 'entry':
            return
        address = self._choice.leader_to_move_to(
            connection.peer.name, time.monotonic()
        )
        if address:
            self._choice.prefer(address)
            connection.close()
