"""The agent process that serves one upstream."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import Any
from typing import Final
import uuid

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.agent._announced_upstream import AnnouncedUpstream
from baobabgap.agent._announcement import Announcement
from baobabgap.agent._application import AgentApplication
from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._directory import EntryDirectory
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._monitor import UpstreamMonitor
from baobabgap.agent._runner import UpstreamRunner
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.control import ControlClient
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import Hello
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.settings import Settings
from baobabgap.tasks import EssentialTasks
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection
from baobabgap.transport import Dialer
from baobabgap.transport import LinkTiming
from baobabgap.transport import PROCESS_TRAFFIC
from baobabgap.web import WebServer

_THREADS: Final = 2048
_HTTP_THREADS: Final = 8
# Seconds that a client may take to send a request.
_HTTP_READ_TIMEOUT_S: Final = 1
_LARGEST_BODY_BYTES: Final = 64 * 1024
_TICK_S: Final = 0.25
# Seconds between load reports, for the policy that requires them.
_LOAD_REPORT_S: Final = 0.1
# Seconds that a planned stop waits for tasks to end and for entries to
# acknowledge their results.
_DRAIN_LIMIT_S: Final = 30.0
# Seconds of a planned stop after which results of entries without a link
# are no longer waited for.
_UNLINKED_LIMIT_S: Final = 5.0
_DRAIN_POLL_S: Final = 0.02


class Agent:
    """Serves one upstream to all entries and decides which tasks start.

    An example::

        agent = Agent.from_settings(settings)
        agent.start()
        ...
        agent.stop()
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.incarnation: Final = uuid.uuid4().hex
        self.metrics: Final = Metrics()
        self.metrics.add_source(PROCESS_TRAFFIC.as_metrics)
        self.tasks: Final = EssentialTasks(self.metrics)
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix='agent')
        self._batch_log = BatchLog(settings.name)
        health = UpstreamHealth(settings.agent)
        self._runner = UpstreamRunner(settings.agent, self._pool, health)
        self._scheduler = TaskScheduler(
            settings.name,
            self.incarnation,
            self.metrics,
            self._batch_log,
            self._runner.run,
            self._runner.stop_leases,
        )
        self._runner.attach(self._scheduler, self._refresh_offer)
        self._monitor = UpstreamMonitor(
            settings.agent,
            self.incarnation,
            health,
            self._runner,
            self._scheduler,
            self._refresh_offer,
        )
        self.directory: Final = EntryDirectory(self._apply_directory)
        self._control = ControlClient.from_settings(
            settings,
            'agent',
            self.incarnation,
            '',
            self._pool,
            self.directory.apply,
            ('entry',),
        )
        self._upstream = AnnouncedUpstream(
            health,
            self._monitor,
            self.directory,
            settings.place.availability_zone,
        )
        self._application = AgentApplication(
            self._handle_announcement,
            lambda: self._scheduler.offer,
            self.metrics,
        )
        self._server = WebServer(
            settings.listen.host,
            settings.listen.http_port,
            self._application,
            _HTTP_THREADS,
            _LARGEST_BODY_BYTES,
            _HTTP_READ_TIMEOUT_S,
        )
        self._dialer_lock = threading.Lock()
        self._dialer_by_address: dict[str, Dialer] = {}
        self._is_stopping = threading.Event()
        self._is_stopped = threading.Event()

    @classmethod
    def from_settings(cls, settings: Settings) -> 'Agent':
        """Build an agent and bind its port."""
        return cls(settings)

    @property
    def http_port(self) -> int:
        """The port for the upstream, the balancer and operators."""
        return self._server.port

    @property
    def task_groups(self) -> Sequence[EssentialTasks]:
        """The tasks without which this process can't work."""
        return [self.tasks]

    def start(self) -> None:
        """Accept the upstream's announcement and dial the entries."""
        self.tasks.watch('batch log', self._pool.submit(self._batch_log.run))
        self.tasks.watch('web server', self._server.start(self._pool))
        self._control.start()
        self.tasks.watch('monitor', self._pool.submit(self._monitor.watch))
        self.tasks.watch('ticks', self._pool.submit(self._tick_loop))

    def stop(self) -> None:
        """Refuse new tasks, wait for running ones to end, and stop."""
        if self._is_stopping.is_set():
            self._is_stopped.wait()
            return
        self._is_stopping.set()
        self._upstream.stop_accepting()
        self._refresh_offer()
        self._drain()
        self._stop_dialers()
        self._control.stop()
        self._monitor.stop()
        self._runner.stop()
        self._batch_log.stop()
        self._server.stop()
        self._is_stopped.set()
        self._pool.shutdown(wait=True)

    def kill(self) -> None:
        """Stop without draining or notifying peers, as a crash would."""
        self._is_stopping.set()
        self._is_stopped.set()
        self._stop_dialers()
        self._control.stop(leaving=False)
        self._monitor.stop()
        self._runner.stop()
        self._batch_log.stop()
        self._server.stop()
        self._pool.shutdown(wait=False)

    def _stop_dialers(self) -> None:
        with self._dialer_lock:
            dialers = list(self._dialer_by_address.values())
            self._dialer_by_address.clear()
        for dialer in dialers:
            dialer.stop()

    def _drain(self) -> None:
        started_at = time.monotonic()
        while True:
            waited_s = time.monotonic() - started_at
            outstanding = self._scheduler.count_outstanding(
                with_unlinked=waited_s < _UNLINKED_LIMIT_S
            )
            if not outstanding:
                return
            if waited_s > _DRAIN_LIMIT_S:
                log_event('agent:drain_given_up', tasks=outstanding)
                return
            time.sleep(_DRAIN_POLL_S)

    def _handle_announcement(
        self, announcement: Announcement
    ) -> dict[str, Any]:
        answer = self._upstream.announce(announcement)
        self._refresh_offer()
        return answer

    def _refresh_offer(self) -> None:
        """Send the current offer to the entries if it has changed."""
        self._scheduler.set_offer(self._upstream.offer())

    def _apply_directory(self) -> None:
        """Act on a change from the control group before it is reported."""
        self._refresh_offer()
        self._update_dialers()

    def _update_dialers(self) -> None:
        """Dial new entries, and stop dialing entries that are gone.

        The control group may report an entry as dead although only the
        group can't reach it, so a dialer with a working link is kept.
        """
        addresses = self.directory.entry_addresses()
        with self._dialer_lock:
            if self._is_stopping.is_set():
                return
            for address in addresses - self._dialer_by_address.keys():
                self._dialer_by_address[address] = self._dial(address)
            for address in self._dialer_by_address.keys() - addresses:
                if not self._dialer_by_address[address].is_connected:
                    self._dialer_by_address.pop(address).stop()

    def _dial(self, address: str) -> Dialer:
        hello = Hello(
            self._settings.name,
            'agent',
            self.incarnation,
            availability_zone=self._settings.place.availability_zone,
        )
        links = self._settings.links
        dialer = Dialer(
            address,
            hello,
            LinkTiming(links.heartbeat_s, links.silence_s),
            self._pool,
            self._serve_entry,
            lambda error: self._note_link_error(address, error),
        )
        dialer.start()
        return dialer

    def _serve_entry(self, connection: Connection) -> None:
        """Handle one link to an entry until it is lost."""
        if connection.peer.role != 'entry':
            raise ProtocolMismatch(
                f'expected role entry, got {connection.peer.role}',
                step='hello',
                peer=connection.peer.name,
            )
        scheduler = self._scheduler
        scheduler.open_link(connection)
        try:
            for message in connection.messages():
                match message:
                    case PlaceTasks():
                        scheduler.place(connection, message)
                    case AcknowledgeResults():
                        scheduler.acknowledge(connection, message)
                    case CancelJobs():
                        scheduler.cancel(connection, message)
                    case ResumeTasks():
                        scheduler.resume(connection, message)
                    case _:
                        self._note_unexpected(message)
        finally:
            scheduler.remove_link(connection)

    def _tick_loop(self) -> None:
        pause_s = _TICK_S
        while not self._is_stopped.wait(pause_s):
            reports_load = self.directory.wants_load_reports
            pause_s = _LOAD_REPORT_S if reports_load else _TICK_S
            try:
                self._tick()
                if reports_load:
                    self._scheduler.report_load()
            except Exception as error:
                # If this loop ended, no periodic work would run again.
                log_event('agent:tick_failed', why=repr(error))

    def _tick(self) -> None:
        if self._control.is_superseded:
            # Another process has taken over this agent's name and serves.
            self._stop_dialers()
        else:
            self._update_dialers()
        self._refresh_offer()
        self._scheduler.tick()

    def _note_link_error(self, address: str, error: BaobabgapError) -> None:
        if not self._is_stopping.is_set():
            log_event('agent:link_ended', entry=address, why=str(error))

    def _note_unexpected(self, message: object) -> None:
        name = type(message).__name__
        self.metrics.count(
            'baobabgap_wasted_messages_total{kind="unexpected"}'
        )
        log_event('agent:unexpected_message', message=name)
