"""Execution of tasks on the upstream."""

from collections.abc import Callable
from concurrent.futures import Executor
import threading
import time
from typing import Final

from baobabgap._exceptions import BaobabgapError
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._lease_client import LeaseClient
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._task_registry import TaskState
from baobabgap.agent._upstream_reports import LeaseReport
from baobabgap.agent._upstream_reports import LeaseRequest
from baobabgap.agent._upstream_reports import StartRefused
from baobabgap.agent._upstream_reports import StartUnknown
from baobabgap.agent._upstream_reports import UpstreamUnreachable
from baobabgap.messages import TaskOutcome
from baobabgap.settings import AgentSettings
from baobabgap.telemetry import log_event

# Seconds after a task's deadline at which its request times out.
_REQUEST_AFTER_DEADLINE_S: Final = 10.0


class UpstreamRunner:
    """Holds one request to the upstream open for each running task.

    A request may fail while its task continues to run; such a task is
    detached, and `UpstreamMonitor` determines its outcome.
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
        # Client of the current upstream, once one has announced itself.
        self.client: LeaseClient | None = None
        # Set when a task becomes detached.
        self.task_detached: Final = threading.Event()

    def attach(
        self, scheduler: TaskScheduler, refresh_offer: Callable[[], None]
    ) -> None:
        """Set the receivers of task ends and of health changes."""
        self._scheduler = scheduler
        self._refresh_offer = refresh_offer

    def run(self, record: TaskRecord) -> None:
        """Start a task in a thread of the pool."""
        self._pool.submit(self._run, record, self.client)

    def stop_leases(self, leases: list[str]) -> None:
        """Stop tasks in a thread of the pool."""
        self._pool.submit(self.stop_leases_now, leases)

    def stop(self) -> None:
        """Abandon all requests within about a second."""
        self._stopping.set()

    def end(self, record: TaskRecord, report: LeaseReport) -> None:
        """End a task as the upstream reports, and update the health."""
        outcome = report.outcome
        if outcome is None:
            return
        if report.state == 'done':
            self._health.note_success()
        elif report.state == 'failed':
            self._health.note_failure(record.job, time.monotonic())
            self._refresh_offer()
        self._scheduler.end(record, outcome, report.result, report.run_time_ms)

    def _run(self, record: TaskRecord, client: LeaseClient | None) -> None:
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
        remaining_s = max(0.0, record.deadline - time.monotonic())
        try:
            answer = client.start(
                request,
                remaining_s + _REQUEST_AFTER_DEADLINE_S,
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
                record.is_detached = True
                self.task_detached.set()

    def _end_unstarted(self, record: TaskRecord, reason: str) -> None:
        """Return a task, after sending the entries the changed offer.

        The order keeps entries from placing the task here again.
        """
        self._refresh_offer()
        self._scheduler.end(record, TaskOutcome.NOT_STARTED, reason)

    def stop_leases_now(self, leases: list[str]) -> None:
        """Stop tasks; their ends are reported like those of other tasks."""
        client = self.client
        if client is None:
            return
        try:
            client.stop(leases, 2 * self._settings.upstream_check_s)
        except BaobabgapError as error:
            log_event('agent:stop_failed', leases=len(leases), why=str(error))
