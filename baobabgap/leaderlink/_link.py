"""Discovery of the control group's leader and the link to it."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Executor
from concurrent.futures import Future
import random
import threading
import time
import traceback
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.protocol import LeaderReady
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.wire import Hello
from baobabgap.wire import LeaderHint

# Seconds between rounds over all known control hosts; a few rounds fit into
# the shortest election.
_ROUND_INTERVAL_S: Final = 0.06
# Seconds after which a failed dial counts as hung rather than refused.
_HANG_THRESHOLD_S: Final = 0.2
# Seconds for which a host that hung or lost its link is not tried again.
_EXCLUSION_S: Final = 0.4
# Seconds for opening a link; a slower host is unsuitable as leader.
_DIAL_TIMEOUT_S: Final = 0.4


class LeaderLink:
    """Maintains one link to the leader across changes of leader.

    `session` is called for each link once the leader has sent
    `LeaderReady`; it reads the messages until the link ends. A control
    host that does not lead answers with the leader's address, which is
    tried next.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        timing: LinkTiming,
        pool: Executor,
        configured_addresses: Callable[[], tuple[str, ...]],
        session: Callable[[Connection, LeaderReady, Iterator[object]], None],
    ) -> None:
        self._make_hello: Final = make_hello
        self._timing: Final = timing
        self._dial_timing: Final = LinkTiming(
            timing.heartbeat_s, _DIAL_TIMEOUT_S
        )
        self._pool: Final = pool
        # Returns the addresses of the settings, which may be reloaded.
        self._configured_addresses: Final = configured_addresses
        self._session: Final = session
        self._learned_addresses: tuple[str, ...] = ()
        self._hinted_address = ''
        self._stopping = threading.Event()
        self._connection: Connection | None = None
        # Hosts whose failed dial has been logged, so that it is logged once.
        self._unreachable: set[str] = set()
        self._excluded_until: dict[str, float] = {}

    def start(self) -> Future[None]:
        """Start the search in a task of the pool, and return the task."""
        return self._pool.submit(self._run)

    def stop(self) -> None:
        """Close the link and end the search."""
        self._stopping.set()
        connection = self._connection
        if connection is not None:
            connection.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            for address in self._candidates():
                if self._stopping.is_set() or self._try_host(address):
                    break
            if not self._hinted_address:
                self._stopping.wait(
                    _ROUND_INTERVAL_S * random.uniform(0.5, 1.0)
                )

    def _candidates(self) -> list[str]:
        known = dict.fromkeys(
            (*self._learned_addresses, *self._configured_addresses())
        )
        now = time.monotonic()
        others = [
            address
            for address in known
            if address != self._hinted_address
            and not self._is_excluded(address, now)
        ]
        random.shuffle(others)
        if self._hinted_address and not self._is_excluded(
            self._hinted_address, now
        ):
            return [self._hinted_address, *others]
        return others

    def _is_excluded(self, address: str, now: float) -> bool:
        """Return whether a host failed recently and may fail again."""
        return now < self._excluded_until.get(address, 0.0)

    def _exclude(self, address: str) -> None:
        self._excluded_until[address] = time.monotonic() + _EXCLUSION_S

    def _try_host(self, address: str) -> bool:
        """Try one control host; return false to go on with the next one."""
        self._hinted_address = ''
        dialled_at = time.monotonic()
        try:
            connection = dial(address, self._make_hello(), self._dial_timing)
            connection.use_timing(self._timing)
        except BaobabgapError as error:
            if time.monotonic() - dialled_at > _HANG_THRESHOLD_S:
                self._exclude(address)
            if address not in self._unreachable:
                self._unreachable.add(address)
                log_event(
                    'control_unreachable', address=address, error=str(error)
                )
            return False
        self._unreachable.discard(address)
        self._connection = connection
        try:
            if self._stopping.is_set():
                # `stop` may have come before the link was there to close.
                return True
            return self._run_session(address, connection)
        except BaobabgapError as error:
            self._exclude(address)
            log_event('leader_link_lost', address=address, error=str(error))
            return True
        except Exception as error:
            # One unexpected message must not end the search for good.
            self._exclude(address)
            log_event(
                'leader_link_failed',
                address=address,
                error=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
            return True
        finally:
            self._connection = None
            connection.close()

    def _run_session(self, address: str, connection: Connection) -> bool:
        messages = connection.messages()
        first: Any = next(messages, None)
        match first:
            case LeaderReady():
                self._learned_addresses = first.control_addresses
                log_event('leader_linked', address=address, fence=first.fence)
                linked_at = time.monotonic()
                try:
                    self._session(connection, first, messages)
                finally:
                    log_event(
                        'leader_unlinked',
                        address=address,
                        linked_s=round(time.monotonic() - linked_at, 3),
                    )
                return True
            case LeaderHint(address=hint):
                is_usable = hint and not self._is_excluded(
                    hint, time.monotonic()
                )
                if is_usable and hint != address:
                    self._hinted_address = hint
                    return True
        return False
