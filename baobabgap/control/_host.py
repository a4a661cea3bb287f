"""The process of one control host."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
import time
from typing import Any
from typing import Final
import uuid

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import SettingsError
from baobabgap.control._background_tasks import BackgroundTasks
from baobabgap.control._command_router import CommandRouter
from baobabgap.control._commands import Attachment
from baobabgap.control._commands import LeaveCommand
from baobabgap.control._host_web import create_application
from baobabgap.control._membership_monitor import MembershipMonitor
from baobabgap.control._pages import Pages
from baobabgap.control._relay import LeaderRelay
from baobabgap.control._relay import RELAY_ROLE
from baobabgap.control._relay_server import RelayServer
from baobabgap.control._request_handler import RequestHandler
from baobabgap.control._sessions import ENTRY_ROLE
from baobabgap.control._sessions import Session
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState
from baobabgap.control._ticket_submitter import TicketSubmitter
from baobabgap.messages import Hello
from baobabgap.messages import Leave
from baobabgap.replication import ReplicatedLog
from baobabgap.settings import ControlHost
from baobabgap.settings import Settings
from baobabgap.tasks import EssentialTasks
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.transport import PROCESS_TRAFFIC
from baobabgap.web import WebServer

CONTROL_ROLE: Final = 'control'
_MAX_THREADS: Final = 16384
_HTTP_THREADS: Final = 4
_MAX_BODY_BYTES: Final = 64 * 1024
_DRAIN_TIMEOUT_S: Final = 5.0


class ControlHostProcess:
    """One host of the control group.

    One port serves the replication links of the other hosts, the relay
    links of followers, and the sessions of members and tools::

        host = ControlHostProcess.from_settings(settings)
        host.start()
        ...
        host.stop()
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._control_host = _own_host(settings)
        self._incarnation = uuid.uuid4().hex[:16]
        self._pool = ThreadPoolExecutor(_MAX_THREADS, 'control')
        self._is_draining = False
        self.metrics: Final = Metrics()
        self._timing = LinkTiming(
            settings.links.heartbeat_s, settings.links.silence_s
        )
        self._member_timing = LinkTiming(
            settings.control.member_heartbeat_s,
            settings.control.member_silence_s,
        )
        self._state = ControlState(settings.control)
        self._sessions = Sessions(self._state)
        self._log = ReplicatedLog.from_settings(
            settings, self._incarnation, self._state, self._pool
        )
        self._build_request_handling()
        self._listener = Listener(
            self._control_host.host,
            self._control_host.port or settings.listen.internal_port,
            self._hello,
            self._timing,
            self._pool,
            self._serve_link,
            _log_link_error,
        )
        self._web = WebServer(
            settings.listen.host,
            settings.listen.http_port,
            create_application(self),
            _HTTP_THREADS,
            _MAX_BODY_BYTES,
        )
        self._add_metrics()
        self.tasks: Final = EssentialTasks(self.metrics)
        self._log.on_task_failure = self.tasks.report_failure

    @classmethod
    def from_settings(cls, settings: Settings) -> 'ControlHostProcess':
        """Open the data folder and bind the ports."""
        return cls(settings)

    @property
    def internal_port(self) -> int:
        """The port for members, tools and the other hosts."""
        return self._listener.port

    @property
    def http_port(self) -> int:
        """The HTTP port for health and metrics."""
        return self._web.port

    @property
    def is_ready(self) -> bool:
        """Whether this host can carry out requests."""
        return not self._is_draining and self._background_tasks.reaches_leader

    @property
    def task_groups(self) -> Sequence[EssentialTasks]:
        """The tasks without which this process can't work."""
        return [self.tasks]

    def status(self) -> dict[str, Any]:
        """Describe this host for operators."""
        return self._pages.status()

    def start(self) -> None:
        """Start replication, the ports and the background tasks."""
        self._log.start()
        self._listener.start()
        self._relay.start()
        self.tasks.watch('web server', self._web.start(self._pool))
        self._background_tasks.start()
        log_event(
            'control:started',
            internal_port=self.internal_port,
            http_port=self.http_port,
        )

    def stop(self) -> None:
        """Hand over leadership, answer requests in progress and stop.

        Requests that take longer than a time limit are not waited for.
        """
        self._is_draining = True
        self._background_tasks.leave()
        if self._log.is_leader:
            self._log.transfer_leadership()
        self._request_handler.close(_DRAIN_TIMEOUT_S)
        self._background_tasks.stop()
        self._listener.stop()
        self._sessions.close_all(self._pool)
        self._relay_server.close_all()
        self._relay.stop()
        self._log.stop()
        self._web.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        log_event('control:stopped')

    def _build_request_handling(self) -> None:
        settings = self._settings
        self._pages = Pages(self._state, self._sessions, self._log)
        self._relay = LeaderRelay(
            self._relay_hello,
            self._timing,
            self._pool,
            self._other_leader,
            self._sessions.mark_all_unforwarded,
        )
        self._command_router = CommandRouter(
            self._log,
            self._state,
            self._incarnation,
            self._relay,
            self._pages.page,
        )
        self._relay_server = RelayServer(
            self._command_router, self._sessions.note_reports
        )
        self._request_handler = RequestHandler(
            self._command_router.submit,
            TicketSubmitter(
                self._state,
                self._command_router.submit,
                settings.control.largest_ticket_bytes,
                settings.control.request_wait_s,
            ),
            self._pages.status,
            self.metrics,
            self._pool,
        )
        self._membership_monitor = MembershipMonitor(
            self._state,
            self._sessions,
            self._command_router.submit,
            Attachment(settings.name, self._incarnation, 0),
            self._live_hosts,
            settings.control.return_grace_s,
            settings.links.silence_s + settings.control.return_grace_s,
        )
        self._background_tasks = BackgroundTasks(
            settings.control,
            self._pool,
            self._hello,
            self._state,
            self._sessions,
            self._log,
            self._relay,
            self._command_router,
            self._membership_monitor,
        )

    def _add_metrics(self) -> None:
        metrics = self.metrics
        state = self._state
        metrics.add_source(PROCESS_TRAFFIC.as_metrics)
        metrics.gauge('baobabgap_control_version', lambda: state.version)
        metrics.gauge(
            'baobabgap_control_kept_claims', lambda: state.claims.kept_count
        )
        metrics.gauge(
            'baobabgap_control_sessions', lambda: len(self._sessions.all())
        )
        metrics.gauge(
            'baobabgap_control_is_leader', lambda: int(self._log.is_leader)
        )

    def _hello(self) -> Hello:
        return Hello(
            self._settings.name,
            CONTROL_ROLE,
            self._incarnation,
            f'{self._control_host.host}:{self.internal_port}',
            self._settings.place.availability_zone,
        )

    def _relay_hello(self) -> Hello:
        return replace(self._hello(), role=RELAY_ROLE)

    def _other_leader(self) -> ControlHost | None:
        leader = self._log.leader
        if leader is None or leader.name == self._settings.name:
            return None
        return leader

    def _live_hosts(self) -> set[str] | None:
        if not self._log.is_leader:
            return None
        return self._relay_server.incarnations()

    def _serve_link(self, connection: Connection) -> None:
        match connection.peer.role:
            case 'control':
                self._log.serve(connection)
            case 'relay':
                self._relay_server.serve(connection)
            case _:
                self._serve_member(connection)

    def _serve_member(self, connection: Connection) -> None:
        if connection.peer.role not in (ENTRY_ROLE, 'tool'):
            connection.use_timing(self._member_timing)
        session = self._sessions.open(connection)
        try:
            if session.is_member:
                self._membership_monitor.ensure_joined(
                    session, time.monotonic()
                )
            for message in connection.messages():
                self._handle(session, message)
        finally:
            self._sessions.close(session)

    def _handle(self, session: Session, message: object) -> None:
        if self._request_handler.handle_request(
            message, session.connection.send
        ):
            return
        self._sessions.handle_message(session, message)
        if isinstance(message, Leave):
            peer = session.connection.peer
            self._command_router.submit(
                LeaveCommand(peer.name, peer.incarnation)
            )


def _own_host(settings: Settings) -> ControlHost:
    for host in settings.control_hosts:
        if host.name == settings.name:
            return host
    raise SettingsError(
        f'control_hosts does not list {settings.name!r}', step='settings'
    )


def _log_link_error(error: BaobabgapError) -> None:
    if not isinstance(error, ConnectionLost):
        log_event('control:link_refused', error=str(error))
