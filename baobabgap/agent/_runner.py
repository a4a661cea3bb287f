"""Runs tasks at the upstream."""

from collections.abc import Callable
from concurrent.futures import Executor
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._memory import TaskState
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._upstream import UpstreamClient
from baobabgap.agent._upstream_reports import LeaseReport
from baobabgap.agent._upstream_reports import LeaseRequest
from baobabgap.agent._upstream_reports import StartRefused
from baobabgap.agent._upstream_reports import StartUnknown
from baobabgap.agent._upstream_reports import UpstreamUnreachable
from baobabgap.messages import TaskOutcome
from baobabgap.settings import AgentSettings
from baobabgap.telemetry import log_event

# Seconds that a request waits for the end of a task after its deadline.
_REQUEST_AFTER_DEADLINE_S: Final = 10.0


class UpstreamRunner:
    """Holds one request open for each running task.

    A request may be lost while its task runs on; such a task is adrift,
    and `UpstreamMonitor` finds out what becomes of it.
    """

    def __init__(
        self,
        settings: AgentSettings,
        pool: Executor,
        health: UpstreamHealth,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._health = health
        self._scheduler: TaskScheduler
        self._refresh_offer: Callable[[], None]
        self._stopping = threading.Event()
        # The upstream in use, once one has announced itself.
        self.client: UpstreamClient | None = None
        # Set when a task has gone adrift.
        self.has_strayed: Final = threading.Event()

    def attach(
        self, scheduler: TaskScheduler, refresh_offer: Callable[[], None]
    ) -> None:
        """Say who is to hear of the ends of tasks and of changed health."""
        self._scheduler = scheduler
        self._refresh_offer = refresh_offer

    def run(self, record: TaskRecord) -> None:
        """Start a task in a thread of the pool."""
        self._pool.submit(self._run, record, self.client)

    def stop_leases(self, leases: list[str]) -> None:
        """Stop tasks in a thread of the pool."""
        self._pool.submit(self.stop_leases_now, leases)

    def stop(self) -> None:
        """Give up all requests within about a second."""
        self._stopping.set()

    def end(self, record: TaskRecord, report: LeaseReport) -> None:
        """Take the end of a task from the upstream's report."""
        outcome = report.outcome
        if outcome is None:
            return
        if report.state == 'done':
            self._health.note_success()
        elif report.state == 'failed':
            self._health.note_failure(record.job, time.monotonic())
            self._refresh_offer()
        self._scheduler.end(record, outcome, report.result, report.run_time_ms)

    def _run(self, record: TaskRecord, client: UpstreamClient | None) -> None:
        if client is None or record.placement is None:
            self._scheduler.end(record, TaskOutcome.NOT_STARTED, 'no upstream')
            return
        request = LeaseRequest(
            record.lease,
            f'{record.owner}/{record.owner_incarnation}',
            record.placement.kind,
            record.placement.payload,
            self._settings.lease_s,
        )
        left_s = max(0.0, record.deadline - time.monotonic())
        try:
            answer = client.start(
                request,
                left_s + _REQUEST_AFTER_DEADLINE_S,
                lambda: (
                    record.state is TaskState.ENDED or self._stopping.is_set()
                ),
            )
        except (TypeError, ValueError) as error:
            reason = f'the payload is no JSON: {error}'
            self._scheduler.end(record, TaskOutcome.FAILED, reason)
            return
        match answer:
            case LeaseReport() as report:
                self.end(record, report)
            case StartRefused(reason):
                self._health.note_refusal(time.monotonic())
                self._end_unstarted(record, reason)
            case UpstreamUnreachable(reason):
                self._health.note_unreachable()
                self._end_unstarted(record, reason)
            case StartUnknown(reason):
                log_event('agent:start_unknown', job=record.job, why=reason)
                record.adrift = True
                self.has_strayed.set()

    def _end_unstarted(self, record: TaskRecord, reason: str) -> None:
        """Give a task back, and first tell the entries to place no more."""
        self._refresh_offer()
        self._scheduler.end(record, TaskOutcome.NOT_STARTED, reason)

    def stop_leases_now(self, leases: list[str]) -> None:
        """Stop tasks; their ends arrive as of any other task."""
        client = self.client
        if client is None:
            return
        try:
            client.stop(leases, 2 * self._settings.upstream_check_s)
        except BaobabgapError as error:
            log_event('agent:stop_failed', leases=len(leases), why=str(error))
