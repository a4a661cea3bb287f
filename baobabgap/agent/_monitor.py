"""Monitoring of the upstream and of its leases."""

from collections.abc import Callable
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.agent._announcement import Announcement
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._lease_client import LeaseClient
from baobabgap.agent._runner import UpstreamRunner
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._upstream_reports import RenewalReport
from baobabgap.settings import AgentSettings
from baobabgap.telemetry import log_event
from baobabgap.webclient import RequestNeverSent

# Seconds between attempts to list the leases of a new upstream.
_ADOPTION_RETRY_S: Final = 0.02
# Seconds after a job's deadline for which its tasks' leases are renewed.
_DEADLINE_GRACE_S: Final = 1.0
# Seconds within which a start request must have reached the upstream.
_START_ARRIVAL_LIMIT_S: Final = 1.0


class UpstreamMonitor:
    """Adopts, renews and tracks the leases of running tasks.

    The renewal also serves as the health check of the upstream's
    application.
    """

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: str,
        health: UpstreamHealth,
        runner: UpstreamRunner,
        scheduler: TaskScheduler,
        refresh_offer: Callable[[], None],
    ) -> None:
        self._settings = settings
        self.incarnation: Final = incarnation
        self._health = health
        self._runner = runner
        self._scheduler = scheduler
        self._refresh_offer = refresh_offer
        # Guards the change from one upstream process to the next.
        self._lock = threading.Lock()
        self._is_adopted = False
        # Leases of tasks that were reported lost while the upstream was
        # silent; stopped once it answers again.
        self._abandoned_leases: list[str] = []
        self._wake = runner.task_detached
        self._stopping = threading.Event()

    @property
    def is_adopted(self) -> bool:
        """Whether the upstream is bound to this agent and its leases read."""
        return self._is_adopted

    def set_upstream(self, announcement: Announcement) -> None:
        """Use the upstream that sent this announcement."""
        with self._lock:
            self._set_upstream(announcement)

    def _set_upstream(self, announcement: Announcement) -> None:
        known = self._runner.client
        if known is not None and known.incarnation == announcement.incarnation:
            if known.address == announcement.address:
                return
        is_new = known is None or known.incarnation != announcement.incarnation
        self._runner.client = LeaseClient(
            announcement.address, announcement.incarnation, self.incarnation
        )
        if not is_new:
            return
        self._is_adopted = False
        if known is not None:
            # The entries get the changed offer before the losses, so that
            # they place no task here that the agent can't start yet.
            self._refresh_offer()
            self._scheduler.mark_running_lost('the upstream has restarted')
        self._wake.set()

    def watch(self) -> None:
        """Adopt and renew leases periodically until `stop`."""
        while not self._stopping.is_set():
            pause_s = self._settings.upstream_check_s
            try:
                if not self._check():
                    pause_s = _ADOPTION_RETRY_S
            except Exception as error:
                # If this loop ended, no lease would be renewed again.
                log_event('agent:check_failed', why=repr(error))
            self._wake.wait(pause_s)
            self._wake.clear()

    def _check(self) -> bool:
        """Renew or adopt leases; return False to retry an adoption soon."""
        client = self._runner.client
        if client is None:
            return True
        if not self._is_adopted:
            return self._adopt(client)
        self._renew(client)
        return True

    def stop(self) -> None:
        """End `watch`."""
        self._stopping.set()
        self._wake.set()

    @property
    def _check_timeout_s(self) -> float:
        return 2 * self._settings.upstream_check_s

    def _adopt(self, client: LeaseClient) -> bool:
        """Take over the upstream's leases once it is bound to this agent."""
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
        with self._lock:
            if not self._is_current(client):
                return False
            self._scheduler.adopt(listing)
            self._health.reset(sent_at)
            self._is_adopted = True
        self._refresh_offer()
        log_event('agent:upstream_adopted', leases=len(listing.leases))
        return True

    def _is_current(self, client: LeaseClient) -> bool:
        """Return whether a client's upstream process is the latest."""
        known = self._runner.client
        return known is not None and known.incarnation == client.incarnation

    def _renew(self, client: LeaseClient) -> None:
        now = time.monotonic()
        records = self._scheduler.running_records()
        to_renew = [
            record.lease
            for record in records
            if now < record.deadline + _DEADLINE_GRACE_S or record.is_detached
        ]
        acknowledged = self._scheduler.pop_acknowledged_leases()
        try:
            report = client.renew(
                to_renew,
                acknowledged,
                self._settings.lease_s,
                self._check_timeout_s,
            )
        except BaobabgapError as error:
            self._scheduler.requeue_acknowledged_leases(acknowledged)
            self._note_failed_check(error)
            return
        if report.incarnation != client.incarnation:
            self._health.note_failed_check()
            return
        if self._abandoned_leases:
            self._runner.stop_leases_now(self._abandoned_leases)
            self._abandoned_leases = []
        self._health.note_successful_check(now)
        self._handle_renewal(client, records, report)

    def _note_failed_check(self, error: BaobabgapError) -> None:
        self._health.note_failed_check()
        if isinstance(error, RequestNeverSent):
            self._health.note_unreachable()
            self._refresh_offer()
        if self._health.have_leases_lapsed(
            time.monotonic(), self._settings.lease_s
        ):
            self._abandoned_leases += self._scheduler.mark_running_lost(
                'the upstream is silent, and the lease has lapsed'
            )

    def _handle_renewal(
        self,
        client: LeaseClient,
        records: list[TaskRecord],
        report: RenewalReport,
    ) -> None:
        """End tasks whose own requests to the upstream were lost."""
        record_by_lease = {record.lease: record for record in records}
        for ended in report.ended:
            record = record_by_lease.get(ended.lease)
            if record is None:
                continue
            if record.is_detached or record.reported_ended:
                self._runner.end(record, ended)
            record.reported_ended = True
        arrival_cutoff = time.monotonic() - _START_ARRIVAL_LIMIT_S
        never_arrived = [
            lease
            for lease in report.unknown
            if lease in record_by_lease
            and (
                record_by_lease[lease].is_detached
                or record_by_lease[lease].started_at < arrival_cutoff
            )
        ]
        if never_arrived:
            self._revoke(client, never_arrived, record_by_lease)

    def _revoke(
        self,
        client: LeaseClient,
        leases: list[str],
        record_by_lease: dict[str, TaskRecord],
    ) -> None:
        """Revoke leases so that late start requests have no effect."""
        try:
            reports = client.stop(leases, self._check_timeout_s)
        except BaobabgapError:
            return
        for report in reports:
            if report.lease in record_by_lease:
                self._runner.end(record_by_lease[report.lease], report)
