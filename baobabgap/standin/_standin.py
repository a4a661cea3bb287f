"""A pretend upstream that runs tasks by sleeping."""

from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import Any
from typing import Final
import uuid

from baobabgap._exceptions import ConnectionLost
from baobabgap.settings import Settings
from baobabgap.standin._application import StandInApplication
from baobabgap.standin._behaviour import Behaviour
from baobabgap.standin._leases import LeaseTable
from baobabgap.web import WebClient
from baobabgap.web import WebServer

_ANNOUNCE_PAUSE_S: Final = 1.0
_ANNOUNCE_RETRY_S: Final = 0.1
_ANNOUNCE_TIMEOUT_S: Final = 1.0
# Seconds that a planned stop waits for tasks to end.
_DRAIN_LIMIT_S: Final = 30.0
_DRAIN_PAUSE_S: Final = 0.02
_THREADS_BESIDE_SLOTS: Final = 8
_LARGEST_BODY_BYTES: Final = 16 * 1024 * 1024


class StandInUpstream:
    """Announces itself to its agent, and runs tasks under leases.

    It is the upstream of demonstrations, tests and the bench; it counts
    starts by itself, so that nobody has to trust the system's counts::

        upstream = StandInUpstream.from_settings(settings)
        upstream.start()
        upstream.behave(Behaviour(fails_every_task=True))
        upstream.stop()
    """

    def __init__(self, settings: Settings, pool: ThreadPoolExecutor) -> None:
        self._settings = settings
        self._pool = pool
        self.incarnation: Final = uuid.uuid4().hex
        self.leases: Final = LeaseTable(settings.stand_in.slots)
        self._application = StandInApplication(
            self.incarnation, self.leases, self.behave
        )
        self._server = WebServer(
            settings.listen.host,
            settings.listen.http_port,
            self._application,
            settings.stand_in.slots + _THREADS_BESIDE_SLOTS,
            _LARGEST_BODY_BYTES,
        )
        self._address = f'{settings.listen.host}:{self.http_port}'
        self._agent_address = settings.stand_in.agent_address
        self._stopping = threading.Event()
        self._announced_running = 0

    @classmethod
    def from_settings(cls, settings: Settings) -> 'StandInUpstream':
        """Build a stand-in and bind its port."""
        pool = ThreadPoolExecutor(thread_name_prefix='stand-in')
        return cls(settings, pool)

    @property
    def http_port(self) -> int:
        """The port that it serves its agent on."""
        return self._server.port

    def bind(self, agent_incarnation: str, is_sole: bool) -> None:
        """Take starts from this agent process only, as if it announced."""
        self._application.bind(agent_incarnation, is_sole)

    def advertise(self, address: str) -> None:
        """Announce another address than its own, such as a relay's."""
        self._address = address

    def announce_to(self, agent_address: str) -> None:
        """Announce to the agent at `host:port` from now on."""
        self._agent_address = agent_address

    def start(self) -> None:
        """Serve, and announce itself about every second."""
        self._server.start(self._pool)
        self._pool.submit(self._announce_loop)

    def stop(self) -> None:
        """Tell the agent that it leaves, let tasks end, and stop."""
        if not self._stopping.is_set():
            self._stopping.set()
            self._application.behave(Behaviour())
            self._announce_once(leaving=True)
            self._drain()
            self._server.stop()
        self._pool.shutdown(wait=True)

    def _drain(self) -> None:
        give_up_at = time.monotonic() + _DRAIN_LIMIT_S
        while self.leases.running and time.monotonic() < give_up_at:
            time.sleep(_DRAIN_PAUSE_S)

    def behave(self, behaviour: Behaviour) -> None:
        """Switch faults on or off."""
        self._application.behave(behaviour)
        if behaviour.vanished and not self._stopping.is_set():
            self._stopping.set()
            threading.Thread(target=self._server.stop, daemon=True).start()

    def counts(self) -> dict[str, Any]:
        """Return its own count of starts, as at /stand-in/counts."""
        return self.leases.counts()

    def _announce_loop(self) -> None:
        while not self._stopping.is_set():
            pause_s = _ANNOUNCE_RETRY_S
            if self._announce_once(leaving=False):
                pause_s = _ANNOUNCE_PAUSE_S
            self._stopping.wait(pause_s)

    def _announce_once(self, leaving: bool) -> bool:
        """Announce, and bind to the agent's incarnation in its answer."""
        if not self._agent_address or self._application.behaviour.frozen:
            return False
        client = WebClient(self._agent_address)
        try:
            response = client.request(
                'POST',
                '/v1/upstream/announce',
                self._announcement(leaving),
                timeout_s=_ANNOUNCE_TIMEOUT_S,
            )
            if response.status != 200:
                return False
            answer = response.document()
            self._application.bind(
                answer['agent_incarnation'], answer['earlier_upstreams'] == 0
            )
        except (ConnectionLost, ValueError, KeyError, TypeError):
            return False
        finally:
            client.close()
        return True

    def _announcement(self, leaving: bool) -> dict[str, Any]:
        own = self._settings.stand_in
        # Usage is reported as of the announcement before.
        usage = self._announced_running
        self._announced_running = self.leases.running
        return {
            'name': self._settings.name,
            'incarnation': self.incarnation,
            'address': self._address,
            'slots': own.slots,
            'capacity': {
                'processors': own.processors,
                'memory_mb': own.memory_mb,
                'accelerators': own.accelerators,
            },
            'rack': self._settings.place.rack,
            'usage': {'running': usage, 'lag_s': _ANNOUNCE_PAUSE_S},
            'leaving': leaving,
        }
