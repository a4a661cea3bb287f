"""The entry role: accepts jobs over HTTP and answers each of them once."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import Any
from typing import Final
from uuid import uuid4

from baobabgap._exceptions import BaobabgapError
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.api import create_application
from baobabgap.configuration import Configuration
from baobabgap.control import ControlClient
from baobabgap.entry._admission import Admission
from baobabgap.entry._dispatcher import Dispatcher
from baobabgap.entry._joins import Joins
from baobabgap.entry._kept_answers import KeptAnswers
from baobabgap.entry._peer_dialers import PeerDialers
from baobabgap.entry._quota_ledger import QuotaLedger
from baobabgap.entry._sessions import PeerSessions
from baobabgap.entry._sessions import serve_agent
from baobabgap.entry._submissions import Submissions
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobSubmission
from baobabgap.messages import Changes
from baobabgap.messages import Hello
from baobabgap.messages import TicketOutcome
from baobabgap.settings import Settings
from baobabgap.tasks import EssentialTasks
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.transport import PROCESS_TRAFFIC
from baobabgap.web import WebServer

# Links and background loops each occupy threads while they last.
_MAX_THREADS: Final = 16_384
_CHECK_INTERVAL_S: Final = 0.25
_MIN_CHECK_PAUSE_S: Final = 0.01
_DRAIN_POLL_S: Final = 0.05


class Entry:
    """One entry process; it serves the HTTP API as an `EntryService`."""

    def __init__(self, settings: Settings) -> None:
        entry_settings = settings.entry
        self.metrics: Final = Metrics()
        self.tasks: Final = EssentialTasks(self.metrics)
        self._settings = settings
        self._incarnation = uuid4().hex[:16]
        self._executor = ThreadPoolExecutor(_MAX_THREADS)
        self._stopping = threading.Event()
        self._draining = threading.Event()
        self._state_by_key: dict[str, Any] = {}
        self._kept = KeptAnswers(
            entry_settings.kept_answers, entry_settings.kept_values
        )
        # When upstreams and lost links were last checked.
        self._checked_at = 0.0
        self._quotas = QuotaLedger()
        self._joins = Joins(entry_settings.owner_return_s)
        timing = LinkTiming(
            settings.links.heartbeat_s, settings.links.silence_s
        )
        self._listener = Listener(
            settings.listen.host,
            settings.listen.internal_port,
            self._hello,
            timing,
            self._executor,
            self._serve_link,
            _log_link_error,
        )
        self._control = ControlClient.from_settings(
            settings,
            'entry',
            self._incarnation,
            self._address,
            self._executor,
            self._apply_changes,
            ('entry', 'agent'),
        )
        self._dispatcher = Dispatcher(
            entry_settings,
            settings.place.availability_zone,
            self._incarnation,
            self.metrics,
            lambda job, answer: self._submissions.end(job, answer),
        )
        self._submissions = Submissions(
            self._dispatcher,
            Admission(self._quotas),
            self._joins,
            self._kept,
            self._control,
            self.metrics,
        )
        self._peer_sessions = PeerSessions(
            self._dispatcher, self._submissions, self._joins, self._quotas
        )
        self._dialers = PeerDialers(
            self._hello(),
            timing,
            self._executor,
            self._peer_sessions.serve,
            _log_link_error,
        )
        self._web = WebServer(
            settings.listen.host,
            settings.listen.http_port,
            create_application(
                self,
                entry_settings.largest_body_bytes,
                entry_settings.max_waiting_requests,
            ),
            entry_settings.http_threads,
            entry_settings.largest_body_bytes,
        )
        self._register_gauges()

    @classmethod
    def from_settings(cls, settings: Settings) -> 'Entry':
        """Create an entry and bind its ports."""
        return cls(settings)

    @property
    def internal_port(self) -> int:
        """The TCP port for agents and other entries."""
        return self._listener.port

    @property
    def http_port(self) -> int:
        """The TCP port for callers, the load balancer and operators."""
        return self._web.port

    @property
    def task_groups(self) -> Sequence[EssentialTasks]:
        """The tasks without which this process can't work."""
        return [self.tasks]

    def start(self) -> None:
        """Start serving."""
        self._listener.start()
        self._control.start()
        self.tasks.watch('web server', self._web.start(self._executor))
        self._executor.submit(self._run_repeatedly, self._report)
        self._executor.submit(self._run_repeatedly, self._check_due)
        log_event(
            'entry_started',
            internal_port=self.internal_port,
            http_port=self.http_port,
        )

    def stop(self) -> None:
        """Drain, wait for the active jobs, and shut down."""
        self.drain()
        time.sleep(self._settings.entry.drain_grace_s)
        self._submissions.is_draining = True
        self._wait_for_jobs()
        self._web.stop()
        self._stopping.set()
        self._dispatcher.state_changed.set()
        self._dispatcher.acknowledge_results()
        self._control.stop()
        self._dialers.stop()
        self._listener.stop()
        log_event('entry_stopped')

    def _wait_for_jobs(self) -> None:
        limit_at = time.monotonic() + self._settings.entry.drain_limit_s
        while (
            self._dispatcher.active_job_count() and time.monotonic() < limit_at
        ):
            time.sleep(_DRAIN_POLL_S)

    # The service behind the HTTP API

    def submit(
        self, submission: JobSubmission, log_action: str
    ) -> Future[JobAnswer]:
        """Submit a job; see `Submissions.submit`."""
        return self._submissions.submit(submission, log_action)

    def wait_for_claim(self, identifier: str, timeout_s: float) -> None:
        """Wait until other entries can find the job."""
        self._submissions.wait_for_claim(identifier, timeout_s)

    def fetch(self, identifier: str) -> Future[JobAnswer]:
        """Return the answer of a job, once there is one."""
        return self._submissions.fetch(identifier)

    def cancel(self, identifier: str) -> Future[JobAnswer]:
        """Cancel a job."""
        return self._submissions.cancel(identifier)

    def is_accepting(self) -> bool:
        """Whether the load balancer should send new requests here."""
        return not self._draining.is_set()

    def is_ready(self) -> bool:
        """Return whether control and an upstream are available for jobs."""
        return (
            self.is_accepting()
            and not self._control.is_superseded
            and self._control.is_connected
            and self._dispatcher.has_configuration
            and self._dispatcher.pool.accepting_slots() > 0
        )

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Submit a change ticket to the control group."""
        return self._control.put_ticket(number, state_by_key)

    def query_control(self, topic: str) -> Future[Any]:
        """Query a page for operators from the control group."""
        return self._control.query(topic)

    def drain(self) -> None:
        """Fail the load balancer's health check from now on."""
        if not self._draining.is_set():
            self._draining.set()
            log_event('draining')

    # Links

    @property
    def _address(self) -> str:
        return f'{self._settings.listen.host}:{self._listener.port}'

    def _hello(self) -> Hello:
        return Hello(
            name=self._settings.name,
            role='entry',
            incarnation=self._incarnation,
            address=self._address,
            availability_zone=self._settings.place.availability_zone,
        )

    def _serve_link(self, link: Connection) -> None:
        match link.peer.role:
            case 'agent':
                serve_agent(link, self._dispatcher)
            case 'entry':
                self._peer_sessions.serve(link)
            case _:
                raise ProtocolMismatch(
                    f'an entry has no links with role {link.peer.role!r}',
                    step='hello',
                    peer=link.peer.name,
                )

    def _apply_changes(self, changes: Changes) -> None:
        if changes.from_version == 0:
            self._state_by_key.clear()
        for item in changes.configuration:
            self._state_by_key[item.key] = item.value
        if changes.configuration or changes.from_version == 0:
            configuration = Configuration.from_state(
                changes.to_version, self._state_by_key
            )
            self._dispatcher.set_configuration(configuration)
        self._dialers.update_members(changes)

    # Periodic work

    def _run_repeatedly(self, step: Callable[[], float]) -> None:
        """Run a step until stopped; it returns the pause in seconds.

        Errors are logged and don't end the loop: no job would time out.
        """
        while not self._stopping.is_set():
            try:
                pause_s = step()
            except Exception as error:
                log_event('entry_step_failed', error=repr(error))
                pause_s = _CHECK_INTERVAL_S
            self._stopping.wait(pause_s)

    def _report(self) -> float:
        """Report state changes to the peers, at a limited rate."""
        self._dispatcher.state_changed.wait(_CHECK_INTERVAL_S)
        self._dispatcher.state_changed.clear()
        with self._dispatcher.lock:
            policy = self._dispatcher.configuration.policy
            if self._dispatcher.balancer.peer_count() > 0:
                now = time.monotonic()
                state = self._dispatcher.state(now)
                self._dispatcher.balancer.report(state, now, policy)
        return float(policy.report_pause_ms) / 1000

    def _check_due(self) -> float:
        """Check deadlines, upstreams and lost links."""
        now = time.monotonic()
        next_deadline = self._dispatcher.expire(now)
        if now - self._checked_at >= _CHECK_INTERVAL_S:
            self._checked_at = now
            self._check(now)
        pause_s = min(next_deadline - time.monotonic(), _CHECK_INTERVAL_S)
        return max(pause_s, _MIN_CHECK_PAUSE_S)

    def _check(self, now: float) -> None:
        self._dispatcher.acknowledge_results()
        self._dispatcher.fail_jobs_of_lost_agents(now)
        self._dispatcher.check_upstreams(now)
        self._joins.expire(now)
        with self._dispatcher.lock:
            demand = self._quotas.report(now)
            if demand is not None:
                self._dispatcher.balancer.broadcast(demand)

    def _register_gauges(self) -> None:
        dispatcher = self._dispatcher
        self.metrics.add_source(PROCESS_TRAFFIC.as_metrics)
        self.metrics.gauge(
            'baobabgap_active_jobs', dispatcher.active_job_count
        )
        self.metrics.gauge(
            'baobabgap_idle_tokens', dispatcher.pool.idle_tokens
        )
        self.metrics.gauge(
            'baobabgap_outstanding_work_seconds',
            lambda: dispatcher.outstanding_work_ms() / 1000,
        )
        self.metrics.gauge(
            'baobabgap_control_silent_seconds',
            lambda: self._control.silent_s,
        )
        self.metrics.gauge(
            'baobabgap_configuration_version',
            lambda: dispatcher.configuration.version,
        )


def _log_link_error(error: BaobabgapError) -> None:
    log_event('link_error', step=error.step, peer=error.peer, why=str(error))
