"""Keeps watch over the upstream and over the leases there."""

from collections.abc import Callable
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.agent._announcement import Announcement
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._runner import UpstreamRunner
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._upstream import UpstreamClient
from baobabgap.agent._upstream_reports import RenewalReport
from baobabgap.settings import AgentSettings
from baobabgap.telemetry import log_event
from baobabgap.web import RequestNeverSent

# Seconds between attempts to read the leases of a new upstream.
_ADOPTION_PAUSE_S: Final = 0.02
# Seconds after a job's deadline at which its tasks' leases lapse.
_RUN_AFTER_DEADLINE_S: Final = 1.0
# Seconds after which the upstream must have heard of a start.
_START_ARRIVES_S: Final = 1.0


class UpstreamMonitor:
    """Adopts, renews and follows the leases of running tasks.

    The renewal is also the check that the upstream's application lives.
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
        self._is_adopted = False
        # Leases of tasks reported lost while the upstream was silent.
        self._given_up: list[str] = []
        self._wake = runner.has_strayed
        self._stopping = threading.Event()

    @property
    def is_adopted(self) -> bool:
        """Whether the upstream is bound to this agent, its leases known."""
        return self._is_adopted

    def meet(self, announcement: Announcement) -> None:
        """Turn to the upstream that has announced itself."""
        known = self._runner.client
        if known is not None and known.incarnation == announcement.incarnation:
            if known.address == announcement.address:
                return
        is_new = known is None or known.incarnation != announcement.incarnation
        self._runner.client = UpstreamClient(
            announcement.address, announcement.incarnation, self.incarnation
        )
        if not is_new:
            return
        self._is_adopted = False
        if known is not None:
            self._scheduler.give_up_running('the upstream has restarted')
        self._wake.set()

    def watch(self) -> None:
        """Adopt, renew and check until `stop`."""
        while not self._stopping.is_set():
            pause_s = self._settings.upstream_check_s
            try:
                if not self._check():
                    pause_s = _ADOPTION_PAUSE_S
            except Exception as error:
                # Without this task no lease would ever be renewed again.
                log_event('agent:check_failed', why=repr(error))
            self._wake.wait(pause_s)
            self._wake.clear()

    def _check(self) -> bool:
        """Renew or adopt; False if an adoption must be tried again soon."""
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
        self._refresh_offer()
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
                renewed,
                acknowledged,
                self._settings.lease_s,
                self._check_timeout_s,
            )
        except BaobabgapError as error:
            self._scheduler.give_back_acknowledged_leases(acknowledged)
            self._note_failed_check(error)
            return
        if report.incarnation != client.incarnation:
            self._health.note_failed_check()
            return
        if self._given_up:
            self._runner.stop_leases_now(self._given_up)
            self._given_up = []
        self._health.note_good_check(now)
        self._follow(client, records, report)

    def _note_failed_check(self, error: BaobabgapError) -> None:
        self._health.note_failed_check()
        if isinstance(error, RequestNeverSent):
            self._health.note_unreachable()
            self._refresh_offer()
        if self._health.has_lapsed(time.monotonic(), self._settings.lease_s):
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
            record = record_by_lease.get(ended.lease)
            if record is None:
                continue
            if record.adrift or record.seen_ended:
                self._runner.end(record, ended)
            record.seen_ended = True
        long_ago = time.monotonic() - _START_ARRIVES_S
        strayed = [
            lease
            for lease in report.unknown
            if lease in record_by_lease
            and (
                record_by_lease[lease].adrift
                or record_by_lease[lease].started_at < long_ago
            )
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
            if report.lease in record_by_lease:
                self._runner.end(record_by_lease[report.lease], report)
