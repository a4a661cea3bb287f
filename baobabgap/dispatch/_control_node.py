"""A control host, which stores accepted jobs and places them as leader."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from itertools import count
import secrets
import threading
from typing import Any
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ConnectionLost
from baobabgap.accepted import AcceptedState
from baobabgap.accepted import BeginEvacuation
from baobabgap.accepted import EndEvacuation
from baobabgap.accepted import PutConfiguration
from baobabgap.accepted import ZoneState
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import AgentLinked
from baobabgap.dispatch._events import AgentReported
from baobabgap.dispatch._events import AgentUnlinked
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._events import OrderApplied
from baobabgap.dispatch._events import StartsNoted
from baobabgap.dispatch._events import ZoneChanged
from baobabgap.dispatch._leadership import Leadership
from baobabgap.dispatch._membership_manager import MembershipManager
from baobabgap.dispatch._scheduler import Scheduler
from baobabgap.protocol import CancelPath
from baobabgap.protocol import CONTROL_ROLE
from baobabgap.protocol import ControlNodeOptions
from baobabgap.protocol import DropCall
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.protocol import EntryReport
from baobabgap.protocol import JoinGroup
from baobabgap.protocol import LeaderReady
from baobabgap.protocol import QueueObjective
from baobabgap.protocol import ReadPath
from baobabgap.protocol import StartsExpected
from baobabgap.protocol import SubmitJob
from baobabgap.queues import QueueConfiguration
from baobabgap.queues import RequestLimits
from baobabgap.replication import NotLeader
from baobabgap.replication import ReplicatedLog
from baobabgap.scheduling import LATE_FACTOR
from baobabgap.settings import ControlHost
from baobabgap.settings import Settings
from baobabgap.tasks import EssentialTasks
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.transport import PROCESS_TRAFFIC
from baobabgap.wire import Hello
from baobabgap.wire import LeaderHint

_MAX_THREADS: Final = 4096
# Seconds for the last answers of a term.
_FLUSH_S: Final = 0.1
# Queues whose objectives entries are told; more would be a large message.
_MOST_OBJECTIVES: Final = 200


class ControlNode:
    """Serves links of the control group and, as leader, of all members.

    Example::

        node = ControlNode.from_settings(settings, options)
        node.start()
        node.put_configuration(configuration).result(timeout=3)
    """

    def __init__(
        self, settings: Settings, options: ControlNodeOptions
    ) -> None:
        self._settings: Final = settings
        self._incarnation = secrets.token_hex(8)
        self._pool = ThreadPoolExecutor(_MAX_THREADS, 'control')
        self.metrics: Final = Metrics()
        self.metrics.add_source(PROCESS_TRAFFIC.as_metrics)
        # The process must end and be started again once one of them fails.
        self.tasks: Final = EssentialTasks(self.metrics)
        self._state = AcceptedState(options.retention_ms)
        self._log = ReplicatedLog.from_settings(
            settings, self._incarnation, self._state, self._pool
        )
        self._log.on_task_failure = self.tasks.report_failure
        self._committer = Committer(self._log)
        self._leadership = Leadership(
            self._log,
            self._state,
            options.lease_timing.confirmation_s,
            self._close_member_connections,
        )
        self._scheduler = Scheduler(
            self._state,
            self._committer,
            options.lease_timing,
            options.off_rack_factor,
            self._leadership.is_confirmed,
            self._leadership.restart_term,
            self.metrics,
        )
        self._state.on_configuration = self._apply_configuration
        self._state.on_zone_change = self._apply_zone_change
        self.metrics.gauge(
            'baobabgap_zones_evacuated',
            lambda: len(self._state.evacuated_zones),
        )
        self._membership = MembershipManager(
            self._log,
            options.wanted_members,
            options.most_members,
            options.member_silence_limit_s,
        )
        self._limits = RequestLimits()
        self._objectives: tuple[QueueObjective, ...] = ()
        self._member_lock = threading.Lock()
        self._link_numbers = count(1)
        # The numbers of the links of agents and entries.
        self._number_by_member: dict[Connection, int] = {}
        self._listener = Listener(
            settings.listen.host,
            settings.listen.internal_port,
            self.hello,
            LinkTiming(settings.links.heartbeat_s, settings.links.silence_s),
            self._pool,
            self._serve_link,
            _log_link_error,
        )

    @classmethod
    def from_settings(
        cls, settings: Settings, options: ControlNodeOptions
    ) -> 'ControlNode':
        """Open the data folder and bind the internal port.

        Raises `DataFolderInUse`, `DamagedLog` or `StorageUnavailable`.
        """
        return cls(settings, options)

    @property
    def internal_port(self) -> int:
        """The port for links of members and other control hosts."""
        return self._listener.port

    @property
    def is_leading(self) -> bool:
        """Whether this host leads and has applied all that was committed."""
        return self._leadership.term != 0

    @property
    def leader(self) -> ControlHost | None:
        """The leader as known to this host, or None."""
        return self._log.leader

    @property
    def is_member(self) -> bool:
        """Whether this host belongs to the group, so that it hears leaders."""
        return self._log.is_member

    @property
    def leader_heard_at(self) -> float:
        """When another host was last heard as the leader, in seconds.

        This is a reading of the monotonic clock; a leader that is alive is
        heard several times a second.
        """
        return self._log.leader_heard_at

    def hello(self) -> Hello:
        """Return the `Hello` of this host for a new link."""
        return Hello(
            self._settings.name,
            CONTROL_ROLE,
            self._incarnation,
            f'{self._settings.listen.host}:{self.internal_port}',
            self._settings.place.availability_zone,
        )

    def start(self) -> None:
        """Start serving links and take part in the group."""
        self._listener.start()
        self._log.start()
        self._start_task('scheduler', self._scheduler.run)
        self._start_task(
            'leadership', lambda: self._leadership.run(self._scheduler)
        )
        self._start_task('membership manager', self._membership.run)
        log_event('control_started', internal_port=self.internal_port)

    def stop(self) -> None:
        """Transfer leadership if this host leads, then stop."""
        if self._log.is_leader:
            handed_over = self._log.transfer_leadership()
            log_event('leadership_handed_over', succeeded=handed_over)
        self._membership.stop()
        self._leadership.stop()
        self._scheduler.stop()
        self._listener.stop()
        self._close_member_connections()
        self._log.stop()
        log_event('control_stopped')

    def join_session(
        self,
        connection: Connection,
        ready: LeaderReady,
        messages: Iterator[object],
    ) -> None:
        """Request membership in the group; a session for a `LeaderLink`."""
        if not self.tasks.failed_task:
            connection.send(
                JoinGroup(
                    self._settings.name,
                    self._settings.listen.host,
                    self.internal_port,
                )
            )
        for _ in messages:
            pass

    def put_configuration(
        self, configuration: QueueConfiguration
    ) -> Future[Any]:
        """Store a configuration; the future completes once it is in force.

        The future fails with `NotLeader` or `OutcomeUnknown`. A version
        that is not higher than the one in force has no effect.
        """
        return self._propose(
            PutConfiguration(configuration), 'put configuration'
        )

    def begin_evacuation(self, zone: str) -> Future[Any]:
        """Start nothing more in an availability zone until further notice.

        The future completes once the order is durable and this host starts
        nothing there; it fails with `NotLeader`. What runs there goes on. A
        repeated order has no effect; of several, the last one stored wins.
        """
        return self._propose(
            BeginEvacuation(zone),
            'begin evacuation',
            is_for_scheduler=True,
        )

    def end_evacuation(self, zone: str) -> Future[Any]:
        """Take an evacuation back; see `begin_evacuation`."""
        return self._propose(
            EndEvacuation(zone), 'end evacuation', is_for_scheduler=True
        )

    def read_configuration(self) -> Future[QueueConfiguration | None]:
        """Read the newest configuration; the future fails with `NotLeader`."""
        future: Future[QueueConfiguration | None] = Future()

        def read(done: Future[int]) -> None:
            error = done.exception()
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(self._state.configuration)

        self._log.read_barrier().add_done_callback(read)
        return future

    def _propose(
        self, command: object, step: str, *, is_for_scheduler: bool = False
    ) -> Future[Any]:
        """Propose an operator's order as the leader.

        The future completes once the order is applied; if that posts events
        for the scheduler, once these are handled.
        """
        future: Future[Any] = Future()
        if not self.is_leading:
            future.set_exception(NotLeader(step, self.leader))
            return future

        def ended(result: Any) -> None:
            if result is None:
                future.set_exception(NotLeader(step, self.leader))
            elif not is_for_scheduler:
                future.set_result(result)
            else:
                self._scheduler.post_event(
                    OrderApplied(lambda: future.set_result(result))
                )

        self._committer.propose(command, ended)
        return future

    def _apply_zone_change(self, change: ZoneState) -> None:
        self._scheduler.post_event(ZoneChanged(change))
        log_event(
            'evacuation_in_force',
            zone=change.zone,
            is_evacuated=change.is_evacuated,
            version=change.version,
        )

    def _apply_configuration(self, configuration: QueueConfiguration) -> None:
        self._scheduler.use_configuration(configuration)
        log_event(
            'configuration_in_force',
            version=configuration.version,
            queues=len(configuration.queues),
        )
        objectives = _objectives(configuration)
        if (configuration.limits, objectives) != (
            self._limits,
            self._objectives,
        ):
            self._limits = configuration.limits
            self._objectives = objectives
            with self._member_lock:
                for connection in self._number_by_member:
                    connection.send(self._leader_ready(connection))

    def _start_task(self, name: str, run: Callable[[], None]) -> None:
        def run_or_resign() -> None:
            try:
                run()
            except Exception:
                self._resign()
                raise

        self.tasks.watch(name, self._pool.submit(run_or_resign))

    def _resign(self) -> None:
        """Transfer leadership, and close the links of the members."""
        self._leadership.stop()
        self._log.stop()
        self._close_member_connections()

    def _leader_ready(self, connection: Connection) -> LeaderReady:
        addresses = tuple(
            member.address for member in self._log.status().members
        )
        return LeaderReady(
            self._leadership.term,
            addresses,
            self._limits.body_bytes,
            self._objectives if connection.peer.role == ENTRY_ROLE else (),
            self._number_by_member[connection],
        )

    def _serve_link(self, connection: Connection) -> None:
        if connection.peer.role == CONTROL_ROLE:
            self._log.serve(connection)
            return
        if not self.is_leading:
            leader = self._log.recent_leader
            connection.send(
                LeaderHint(
                    leader.name if leader else '',
                    leader.address if leader else '',
                )
            )
            connection.flush_and_close()
            return
        with self._member_lock:
            self._number_by_member[connection] = next(self._link_numbers)
        try:
            connection.send(self._leader_ready(connection))
            self._serve_member(connection)
        finally:
            with self._member_lock:
                del self._number_by_member[connection]

    def _serve_member(self, connection: Connection) -> None:
        match connection.peer.role:
            case 'agent':
                self._serve_agent(connection)
            case 'entry':
                self._serve_entry(connection)
            case 'joiner':
                self._serve_joiner(connection)
            case role:
                log_event('unknown_role', role=role[:40])

    def _serve_agent(self, connection: Connection) -> None:
        self._scheduler.post_event(AgentLinked(connection))
        try:
            for message in connection.messages():
                self._scheduler.post_event(AgentReported(connection, message))
        finally:
            self._scheduler.post_event(AgentUnlinked(connection))

    def _serve_entry(self, connection: Connection) -> None:
        try:
            self._serve_entry_messages(connection)
        finally:
            self._scheduler.post_event(EntryUnlinked(connection))

    def _serve_entry_messages(self, connection: Connection) -> None:
        for message in connection.messages():
            match message:
                case SubmitJob() | ReadPath() | CancelPath():
                    self._scheduler.post_event(
                        CallArrived(message, connection)
                    )
                case EntryReport(begun_job_ids=job_ids):
                    self._scheduler.post_event(
                        EntryLinked(connection, job_ids)
                    )
                case StartsExpected(job_ids=job_ids):
                    self._scheduler.post_event(StartsNoted(job_ids))
                case DropCall(call=call):
                    self._scheduler.post_event(CallDropped(call, connection))

    def _serve_joiner(self, connection: Connection) -> None:
        standbys: list[ControlHost] = []
        try:
            for message in connection.messages():
                if isinstance(message, JoinGroup):
                    standby = ControlHost(
                        message.name, message.host, message.port
                    )
                    standbys.append(standby)
                    self._membership.add_standby(standby)
        finally:
            for standby in standbys:
                self._membership.remove_standby(standby)

    def _close_member_connections(self) -> None:
        with self._member_lock:
            members = list(self._number_by_member)
        for connection in members:
            if connection.peer.role == ENTRY_ROLE:
                # It waits for answers.
                self._pool.submit(connection.flush_and_close, _FLUSH_S)
            else:
                connection.close()


def _objectives(
    configuration: QueueConfiguration,
) -> tuple[QueueObjective, ...]:
    """Return the objectives for entries, or none if there are too many."""
    if len(configuration.queues) > _MOST_OBJECTIVES:
        return ()
    return tuple(
        QueueObjective(
            queue.host.partition(':')[0].lower(),
            queue.path_prefix,
            LATE_FACTOR * queue.stretch,
            LATE_FACTOR * queue.latency_allowance_ms,
        )
        for queue in configuration.queues
    )


def _log_link_error(error: BaobabgapError) -> None:
    if not isinstance(error, ConnectionLost):
        log_event('link_refused', error=str(error))
