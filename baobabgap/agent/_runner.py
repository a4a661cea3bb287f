"""Runs tasks at the upstream, and keeps watch over it."""

from concurrent.futures import Executor
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.agent._announcement import Announcement
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._upstream import is_connection_refused
from baobabgap.agent._upstream import LeaseReport
from baobabgap.agent._upstream import LeaseRequest
from baobabgap.agent._upstream import RenewalReport
from baobabgap.agent._upstream import StartRefused
from baobabgap.agent._upstream import StartUnknown
from baobabgap.agent._upstream import UpstreamClient
from baobabgap.messages import TaskOutcome
from baobabgap.settings import AgentSettings
from baobabgap.telemetry import log_event

# Seconds between attempts to read the leases of a new upstream.
_ADOPTION_PAUSE_S: Final = 0.02
# Seconds after a job's deadline at which its tasks' leases lapse.
_RUN_AFTER_DEADLINE_S: Final = 1.0
# Seconds that a request waits for the end of a task after its deadline.
_REQUEST_AFTER_DEADLINE_S: Final = 10.0
# Seconds after which the upstream must have heard of a start.
_START_ARRIVES_S: Final = 1.0


class UpstreamRunner:
    """Holds one request open for each running task, and renews leases.

    The renewal is also the check that the upstream's application lives.
    A request may be lost while its task runs on; such a task is adrift,
    and the renewals tell what becomes of it.
    """

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: str,
        pool: Executor,
        health: UpstreamHealth,
    ) -> None:
        self._settings = settings
        self.incarnation: Final = incarnation
        self._pool = pool
        self._health = health
        self._scheduler: TaskScheduler
        self._client: UpstreamClient | None = None
        self._is_adopted = False
        # Leases of tasks reported lost while the upstream was silent.
        self._given_up: list[str] = []
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._lease_s = (
            settings.upstream_silence_s + 2 * settings.upstream_check_s
        )

    def attach(self, scheduler: TaskScheduler) -> None:
        """Say who is to hear of the ends of tasks."""
        self._scheduler = scheduler

    @property
    def is_adopted(self) -> bool:
        """Whether the upstream is bound to this agent, its leases known."""
        return self._is_adopted

    def meet(self, announcement: Announcement) -> None:
        """Turn to the upstream that has announced itself."""
        known = self._client
        if known is not None and known.incarnation == announcement.incarnation:
            if known.address == announcement.address:
                return
        is_new = known is None or known.incarnation != announcement.incarnation
        self._client = UpstreamClient(
            announcement.address, announcement.incarnation, self.incarnation
        )
        if not is_new:
            return
        self._is_adopted = False
        if known is not None:
            self._scheduler.give_up_running('the upstream has restarted')
        self._wake.set()

    def run(self, record: TaskRecord) -> None:
        """Start a task in a thread of the pool."""
        self._pool.submit(self._run, record, self._client)

    def stop_leases(self, leases: list[str]) -> None:
        """Stop tasks in a thread of the pool."""
        self._pool.submit(self._stop_leases, leases)

    def watch(self) -> None:
        """Adopt, renew and check until `stop`."""
        while not self._stopping.is_set():
            pause_s = self._settings.upstream_check_s
            client = self._client
            if client is not None and self._is_adopted:
                self._renew(client)
            elif client is not None and not self._adopt(client):
                pause_s = _ADOPTION_PAUSE_S
            self._wake.wait(pause_s)
            self._wake.clear()

    def stop(self) -> None:
        """End `watch`."""
        self._stopping.set()
        self._wake.set()

    def _run(self, record: TaskRecord, client: UpstreamClient | None) -> None:
        if client is None or record.placement is None:
            self._scheduler.end(record, TaskOutcome.NOT_STARTED, 'no upstream')
            return
        request = LeaseRequest(
            record.lease,
            f'{record.owner}/{record.owner_incarnation}',
            record.placement.kind,
            record.placement.payload,
            self._lease_s,
        )
        left_s = max(0.0, record.deadline - time.monotonic())
        match client.start(request, left_s + _REQUEST_AFTER_DEADLINE_S):
            case LeaseReport() as report:
                self._end(record, report)
            case StartRefused(reason):
                self._scheduler.end(record, TaskOutcome.NOT_STARTED, reason)
            case StartUnknown(reason):
                log_event('agent:start_unknown', job=record.job, why=reason)
                record.adrift = True
                self._wake.set()

    def _end(self, record: TaskRecord, report: LeaseReport) -> None:
        outcome = report.outcome
        if outcome is None:
            return
        if report.state == 'done':
            self._health.note_success()
        elif report.state == 'failed':
            self._health.note_failure(record.job, time.monotonic())
        self._scheduler.end(record, outcome, report.value, report.run_time_ms)

    def _stop_leases(self, leases: list[str]) -> None:
        client = self._client
        if client is None:
            return
        try:
            client.stop(leases, self._check_timeout_s)
        except BaobabgapError as error:
            log_event('agent:stop_failed', leases=len(leases), why=str(error))

    @property
    def _check_timeout_s(self) -> float:
        return 2 * self._settings.upstream_check_s

    def _adopt(self, client: UpstreamClient) -> bool:
        """Learn what runs already, once the upstream is bound to us."""
        sent_at = time.monotonic()
        try:
            listing = client.list_leases(self._check_timeout_s)
        except BaobabgapError:
            return False
        if (
            listing.bound_agent != self.incarnation
            or listing.incarnation != client.incarnation
        ):
            return False
        self._scheduler.adopt(listing)
        self._health.restart(sent_at)
        self._is_adopted = True
        log_event('agent:upstream_adopted', leases=len(listing.leases))
        return True

    def _renew(self, client: UpstreamClient) -> None:
        now = time.monotonic()
        records = self._scheduler.running()
        renewed = [
            record.lease
            for record in records
            if now < record.deadline + _RUN_AFTER_DEADLINE_S or record.adrift
        ]
        acknowledged = self._scheduler.take_acknowledged_leases()
        try:
            report = client.renew(
                renewed, acknowledged, self._lease_s, self._check_timeout_s
            )
        except BaobabgapError as error:
            self._scheduler.give_back_acknowledged_leases(acknowledged)
            self._note_failed_check(error)
            return
        if report.incarnation != client.incarnation:
            self._health.note_failed_check()
            return
        self._health.note_good_check(now)
        if self._given_up:
            self._stop_leases(self._given_up)
            self._given_up = []
        self._follow(client, records, report)

    def _note_failed_check(self, error: BaobabgapError) -> None:
        self._health.note_failed_check()
        if is_connection_refused(error):
            self._health.note_unreachable()
        if self._health.has_lapsed(time.monotonic(), self._lease_s):
            self._given_up += self._scheduler.give_up_running(
                'the upstream is silent, and the lease has lapsed'
            )

    def _follow(
        self,
        client: UpstreamClient,
        records: list[TaskRecord],
        report: RenewalReport,
    ) -> None:
        """Bring tasks to their end whose own request was lost."""
        record_by_lease = {record.lease: record for record in records}
        for ended in report.ended:
            record = record_by_lease[ended.lease]
            if record.adrift or record.seen_ended:
                self._end(record, ended)
            record.seen_ended = True
        long_ago = time.monotonic() - _START_ARRIVES_S
        strayed = [
            lease
            for lease in report.unknown
            if record_by_lease[lease].adrift
            or record_by_lease[lease].started_at < long_ago
        ]
        if strayed:
            self._revoke(client, strayed, record_by_lease)

    def _revoke(
        self,
        client: UpstreamClient,
        leases: list[str],
        record_by_lease: dict[str, TaskRecord],
    ) -> None:
        """Keep starts that never arrived from arriving later."""
        try:
            reports = client.stop(leases, self._check_timeout_s)
        except BaobabgapError:
            return
        for report in reports:
            self._end(record_by_lease[report.lease], report)
