"""Finding the leader of the control group and staying linked to it."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Executor
import random
import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.dispatch import LeaderReady
from baobabgap.messages import Hello
from baobabgap.messages import LeaderHint
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming

# Seconds between rounds over all known control hosts: a few rounds fit
# into the shortest election.
_ROUND_PAUSE_S: Final = 0.06
# Seconds after which a failed dial has hung, rather than been refused.
_HANGS_S: Final = 0.2
# Seconds for which a host that hung is left out of the search.
_SHUNNED_S: Final = 0.4
# Seconds for opening a link: a host that takes longer is no use as leader.
_DIAL_LIMIT_S: Final = 0.4


class LeaderLink:
    """Keeps one link to the leader, through any change of leader.

    `session` runs with each link once the leader has said that it is
    ready; it reads the messages until the link ends. A control
    host that does not lead says who does, and the search goes there.
    """

    def __init__(
        self,
        own: Callable[[], Hello],
        timing: LinkTiming,
        pool: Executor,
        configured: Callable[[], tuple[str, ...]],
        session: Callable[[Connection, LeaderReady, Iterator[object]], None],
    ) -> None:
        self._own: Final = own
        self._timing: Final = timing
        self._dial_timing: Final = LinkTiming(
            timing.heartbeat_s, _DIAL_LIMIT_S
        )
        self._pool: Final = pool
        # Addresses from the settings, which may be exchanged meanwhile.
        self._configured: Final = configured
        self._session: Final = session
        self._learned: tuple[str, ...] = ()
        self._hint = ''
        self._stopping = threading.Event()
        self._current: Connection | None = None
        # Hosts that could not be linked to, so that it is logged once.
        self._unreachable: set[str] = set()
        self._shunned_until: dict[str, float] = {}

    def start(self) -> None:
        """Begin to search in a task of the pool."""
        self._pool.submit(self._run)

    def stop(self) -> None:
        """Close the link and search no more."""
        self._stopping.set()
        current = self._current
        if current is not None:
            current.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            for address in self._candidates():
                if self._stopping.is_set() or self._try(address):
                    break
            if not self._hint:
                self._stopping.wait(_ROUND_PAUSE_S * random.uniform(0.5, 1.0))

    def _candidates(self) -> list[str]:
        known = dict.fromkeys((*self._learned, *self._configured()))
        now = time.monotonic()
        others = [
            address
            for address in known
            if address != self._hint and not self._is_shunned(address, now)
        ]
        random.shuffle(others)
        if self._hint and not self._is_shunned(self._hint, now):
            return [self._hint, *others]
        return others

    def _is_shunned(self, address: str, now: float) -> bool:
        """Tell whether a host hung a moment ago, so that it may again."""
        return now < self._shunned_until.get(address, 0.0)

    def _shun(self, address: str) -> None:
        self._shunned_until[address] = time.monotonic() + _SHUNNED_S

    def _try(self, address: str) -> bool:
        """Use one control host; tell whether it led."""
        self._hint = ''
        dialled_at = time.monotonic()
        try:
            connection = dial(
                address, self._own(), self._dial_timing, self._pool
            )
            connection.use_timing(self._timing)
        except BaobabgapError as error:
            if time.monotonic() - dialled_at > _HANGS_S:
                self._shun(address)
            if address not in self._unreachable:
                self._unreachable.add(address)
                log_event(
                    'control_unreachable', address=address, error=str(error)
                )
            return False
        self._unreachable.discard(address)
        self._current = connection
        try:
            return self._use(address, connection)
        except BaobabgapError as error:
            self._shun(address)
            log_event('leader_link_lost', address=address, error=str(error))
            return True
        finally:
            self._current = None
            connection.close()

    def _use(self, address: str, connection: Connection) -> bool:
        messages = connection.messages()
        first: Any = next(messages, None)
        match first:
            case LeaderReady():
                self._learned = first.control_addresses
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
                is_usable = hint and not self._is_shunned(
                    hint, time.monotonic()
                )
                if is_usable and hint != address:
                    self._hint = hint
                    return True
        return False
