"""A simulated upstream that runs tasks by sleeping."""

from collections.abc import Sequence
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
from baobabgap.tasks import EssentialTasks
from baobabgap.web import WebServer
from baobabgap.webclient import WebClient

_ANNOUNCE_INTERVAL_S: Final = 1.0
_ANNOUNCE_RETRY_INTERVAL_S: Final = 0.1
_ANNOUNCE_TIMEOUT_S: Final = 1.0
# Time that a planned stop waits for running tasks.
_DRAIN_TIMEOUT_S: Final = 30.0
_DRAIN_POLL_INTERVAL_S: Final = 0.02
_THREADS_BEYOND_SLOTS: Final = 8
_LARGEST_BODY_BYTES: Final = 16 * 1024 * 1024


class StandInUpstream:
    """Announces itself to its agent, and runs tasks under leases.

    Demonstrations, tests and the benchmark use it. It counts task starts
    itself, independently of the counts of the system under test::

        upstream = StandInUpstream.from_settings(settings)
        upstream.start()
        upstream.set_behaviour(Behaviour(fails_every_task=True))
        upstream.stop()
    """

    def __init__(self, settings: Settings, pool: ThreadPoolExecutor) -> None:
        self._settings = settings
        self._pool = pool
        self.incarnation: Final = uuid.uuid4().hex
        self.leases: Final = LeaseTable(settings.stand_in.slots)
        self._application = StandInApplication(
            self.incarnation, self.leases, self.set_behaviour
        )
        self._server = WebServer(
            settings.listen.host,
            settings.listen.http_port,
            self._application,
            settings.stand_in.slots + _THREADS_BEYOND_SLOTS,
            _LARGEST_BODY_BYTES,
        )
        self._address = f'{settings.listen.host}:{self.http_port}'
        self._agent_address = settings.stand_in.agent_address
        self._stopping = threading.Event()
        self._announced_running = 0

    @classmethod
    def from_settings(cls, settings: Settings) -> 'StandInUpstream':
        """Build a stand-in upstream and bind its port."""
        pool = ThreadPoolExecutor(thread_name_prefix='stand-in')
        return cls(settings, pool)

    @property
    def http_port(self) -> int:
        """The port on which it serves its agent."""
        return self._server.port

    @property
    def task_groups(self) -> Sequence[EssentialTasks]:
        """None: the loop of announcements handles its errors."""
        return []

    def bind(self, agent_incarnation: str, is_sole: bool) -> None:
        """Accept starts only from this agent, as after an announcement."""
        self._application.bind(agent_incarnation, is_sole)

    def advertise(self, address: str) -> None:
        """Announce this address instead of its own, such as a relay's."""
        self._address = address

    def announce_to(self, agent_address: str) -> None:
        """Announce to the agent at `host:port` from now on."""
        self._agent_address = agent_address

    def start(self) -> None:
        """Start serving and announce itself about every second."""
        self._server.start(self._pool)
        self._pool.submit(self._announce_loop)

    def stop(self) -> None:
        """Announce its departure, wait for running tasks, and stop."""
        if not self._stopping.is_set():
            self._stopping.set()
            self._application.set_behaviour(Behaviour())
            self._announce_once(leaving=True)
            self._wait_for_running_tasks()
            self._server.stop()
        self._pool.shutdown(wait=True)

    def _wait_for_running_tasks(self) -> None:
        deadline = time.monotonic() + _DRAIN_TIMEOUT_S
        while self.leases.running and time.monotonic() < deadline:
            time.sleep(_DRAIN_POLL_INTERVAL_S)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Enable or disable faults."""
        self._application.set_behaviour(behaviour)
        if behaviour.vanished and not self._stopping.is_set():
            self._stopping.set()
            threading.Thread(target=self._server.stop, daemon=True).start()

    def counts(self) -> dict[str, Any]:
        """Return its own count of starts, as /stand-in/counts does."""
        return self.leases.counts()

    def _announce_loop(self) -> None:
        while not self._stopping.is_set():
            pause_s = _ANNOUNCE_RETRY_INTERVAL_S
            if self._announce_once(leaving=False):
                pause_s = _ANNOUNCE_INTERVAL_S
            self._stopping.wait(pause_s)

    def _announce_once(self, leaving: bool) -> bool:
        """Announce itself and bind to the incarnation in the response."""
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
            agent_document = response.document()
            self._application.bind(
                agent_document['agent_incarnation'],
                agent_document['earlier_upstreams'] == 0,
            )
        except (ConnectionLost, ValueError, KeyError, TypeError):
            return False
        finally:
            client.close()
        return True

    def _announcement(self, leaving: bool) -> dict[str, Any]:
        stand_in_settings = self._settings.stand_in
        # The reported usage is that of the previous announcement.
        usage = self._announced_running
        self._announced_running = self.leases.running
        return {
            'name': self._settings.name,
            'incarnation': self.incarnation,
            'address': self._address,
            'slots': stand_in_settings.slots,
            'capacity': {
                'processors': stand_in_settings.processors,
                'memory_mb': stand_in_settings.memory_mb,
                'accelerators': stand_in_settings.accelerators,
            },
            'rack': self._settings.place.rack,
            'usage': {'running': usage, 'lag_s': _ANNOUNCE_INTERVAL_S},
            'leaving': leaving,
        }
