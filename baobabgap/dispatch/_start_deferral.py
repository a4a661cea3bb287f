"""Starts that the leader defers until an entry has noted them."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import StartsAnnounced
from baobabgap.protocol import StartsDeferred
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import WaitingJobs
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection

# Seconds between divisions of the waiting jobs.
_DIVISION_INTERVAL_S: Final = 0.1
# The same while nothing else waits for room.
_IDLE_DIVISION_INTERVAL_S: Final = 0.005
# Seconds after which an unanswered announcement no longer counts as a job
# that starts soon: its entry is gone or slow.
_ANSWER_TIMEOUT_S: Final = 0.2


@dataclass(slots=True)
class _Deferral:
    """A job of which all entries were told that it has not begun."""

    plan: JobPlan
    # When its start was announced, or None.
    announced_at: float | None = None

    def is_unanswered(self, now: float) -> bool:
        """Return whether an answer to the announcement is overdue."""
        return (
            self.announced_at is not None
            and now - self.announced_at > _ANSWER_TIMEOUT_S
        )


class StartDeferral:
    """Defers the starts of volatile jobs that wait far back.

    A deferred job starts only after an entry that submitted it has noted so.
    An entry that has not noted it may therefore state to the next leader,
    and to the caller, that the job has not begun. `release` makes an
    exception of a job that is submitted again: an entry notes each job that
    it sends before it does so.
    """

    def __init__(self, term_state: TermState, metrics: Metrics) -> None:
        self._term_state: Final = term_state
        self._metrics: Final = metrics
        self.reset()

    def reset(self) -> None:
        """Clear all state for a new term."""
        self._divided_at = float('-inf')
        # Services for which jobs are deferred that were not announced.
        self._deferred_services: set[str] = set()
        self._deferral_by_id: dict[str, _Deferral] = {}
        # Jobs that are not deferred again.
        self._released_ids: set[str] = set()

    def release(self, job_id: str) -> None:
        """Let a job start that an entry has noted as one that may begin."""
        deferral = self._deferral_by_id.pop(job_id, None)
        if deferral is not None:
            self._released_ids.add(job_id)
            self._term_state.resume_plan(job_id)

    def is_deferred(self, job_id: str) -> bool:
        """Return whether a job may not start before an entry has noted it."""
        return job_id in self._deferral_by_id

    def handle_noted(self, job_ids: Iterable[str]) -> None:
        """Process the answer of an entry to an announcement."""
        for job_id in job_ids:
            self.release(job_id)

    def check(self, now: float) -> None:
        """Defer starts and announce those that come next, if due."""
        interval_s = (
            _IDLE_DIVISION_INTERVAL_S
            if self._is_room_idle()
            else _DIVISION_INTERVAL_S
        )
        if now - self._divided_at < interval_s:
            return
        self._divided_at = now
        self._deferred_services.clear()
        plan_by_id = self._term_state.plan_by_id
        for job_id, deferral in list(self._deferral_by_id.items()):
            if plan_by_id.get(job_id) is not deferral.plan:
                del self._deferral_by_id[job_id]
        self._released_ids &= plan_by_id.keys()
        for service, plans in self._waiting_by_service(now).items():
            pool = self._term_state.pool_by_service[service]
            waiting = WaitingJobs.from_plans(plans, now, pool.open_cores)
            if waiting.later:
                self._deferred_services.add(service)
            self._defer(waiting.later)
            self._announce(waiting.soon, now)

    def _is_room_idle(self) -> bool:
        """Return whether only deferred jobs wait for a service."""
        queues = self._term_state.queue_by_service
        return any(not queues[name] for name in self._deferred_services)

    def _waiting_by_service(self, now: float) -> dict[str, list[JobPlan]]:
        waiting: dict[str, list[JobPlan]] = defaultdict(list)
        for job_id in self._term_state.callers_by_id:
            plan = self._term_state.plan_by_id[job_id]
            deferral = self._deferral_by_id.get(job_id)
            if deferral is None:
                is_counted = self._may_start(plan)
            else:
                is_counted = not deferral.is_unanswered(now)
            if is_counted:
                waiting[plan.job.service].append(plan)
        return waiting

    def _may_start(self, plan: JobPlan) -> bool:
        """Return whether a job waits for room only."""
        return (
            not plan.has_started
            and not plan.may_have_begun
            and self._term_state.takeover.may_start(plan.job)
        )

    def _defer(self, plans: Iterable[JobPlan]) -> None:
        calls_by_entry: dict[Connection, list[int]] = defaultdict(list)
        for plan in plans:
            job_id = plan.job.job_id
            if job_id in self._deferral_by_id or job_id in self._released_ids:
                continue
            self._deferral_by_id[job_id] = _Deferral(plan)
            self._term_state.hold_plan(job_id)
            for arrived in self._term_state.callers_by_id[job_id]:
                calls_by_entry[arrived.connection].append(arrived.call.call)
        for connection, calls in calls_by_entry.items():
            self._metrics.count('baobabgap_starts_deferred_total', len(calls))
            connection.send(StartsDeferred(tuple(calls)))

    def _announce(self, plans: Iterable[JobPlan], now: float) -> None:
        ids_by_entry: dict[Connection, list[str]] = defaultdict(list)
        for plan in plans:
            job_id = plan.job.job_id
            deferral = self._deferral_by_id.get(job_id)
            if deferral is None or deferral.announced_at is not None:
                continue
            deferral.announced_at = now
            for arrived in self._term_state.callers_by_id[job_id]:
                ids_by_entry[arrived.connection].append(job_id)
        for connection, job_ids in ids_by_entry.items():
            connection.send(StartsAnnounced(tuple(job_ids)))
