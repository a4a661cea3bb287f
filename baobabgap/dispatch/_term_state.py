"""State of the leader that is held in memory, for one term."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
import time
from typing import Final

from baobabgap.accepted import JobState
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._orphans import Orphans
from baobabgap.dispatch._takeover import Takeover
from baobabgap.queues import QueueTable
from baobabgap.scheduling import Backlog
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import PlannedTask
from baobabgap.scheduling import RunTimes

# Seconds after an election within which agents known to an earlier leader, and
# their upstreams, are expected to reconnect: process start, dial and report.
_AGENT_RETURN_S: Final = 1.0
# Seconds for which a computed backlog is used for decisions; a small part of
# the shortest objectives.
_BACKLOG_MAX_AGE_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Final state of a volatile job; `ended_at` is on the monotonic clock."""

    state: JobState
    ended_at: float


class TermState:
    """The jobs, agents and callers of the current term.

    Accessed by the scheduler's task only.
    """

    def __init__(self) -> None:
        # Both are kept across terms.
        self.queue_table: QueueTable | None = None
        self.run_times = RunTimes()
        self.begin_term(0, Takeover.none())

    def begin_term(self, term: int, takeover: Takeover) -> None:
        """Reset for a new term; term 0 means that this host doesn't lead."""
        self.term = term
        self.takeover = takeover
        self._began_at = time.monotonic()
        self._backlog_by_service: dict[str, Backlog] = {}
        self.plan_by_id: dict[str, JobPlan] = {}
        # Jobs whose acceptance is not durable yet, with the calls to answer.
        self.storing_by_id: dict[str, tuple[JobPlan, list[CallArrived]]] = {}
        self.cancelling_by_id: dict[str, list[CallArrived]] = {}
        # Calls that wait for the end of a volatile job.
        self.callers_by_id: dict[str, list[CallArrived]] = {}
        # Volatile jobs that ended recently, for callers that retry.
        self.ended_by_id: dict[str, EndedJob] = {}
        # Reads that wait until the last end of a job's runs is durable.
        self.readers_by_id: dict[str, list[CallArrived]] = defaultdict(list)
        # Runs and ends of jobs that have not been submitted to this leader
        # but may have been to its predecessor.
        self.orphans = Orphans()
        self.view_by_name: dict[str, AgentView] = {}

    def waiting_calls(self) -> list[CallArrived]:
        """Return all unanswered calls."""
        groups = [
            *(calls for _, calls in self.storing_by_id.values()),
            *self.cancelling_by_id.values(),
            *self.readers_by_id.values(),
            *self.callers_by_id.values(),
        ]
        return [call for calls in groups for call in calls]

    def find(self, task_id: TaskId) -> tuple[JobPlan, PlannedTask] | None:
        """Return an unfinished task with its job, or None."""
        plan = self.plan_by_id.get(task_id.job_id)
        task = plan.task_by_id.get(task_id) if plan else None
        return (plan, task) if plan and task else None

    def targets_of(self, service: str) -> list[PlacementTarget]:
        """Return the upstreams of a service, open to new runs or not."""
        return [
            view.target
            for view in self.view_by_name.values()
            if view.target is not None and view.target.service == service
        ]

    def returning_upstreams(self, service: str, now: float) -> int:
        """Return how many upstreams of a service should reconnect soon.

        Their agents were known to an earlier leader. How many belong to the
        service is estimated from the share among the reconnected ones.
        """
        if now - self._began_at > _AGENT_RETURN_S:
            return 0
        targets = [
            view.target
            for view in self.view_by_name.values()
            if view.target is not None
        ]
        missing = len(self.view_by_name) - len(targets)
        known_of_service = sum(
            1 for target in targets if target.service == service
        )
        return missing * known_of_service // max(1, len(targets))

    def backlog(self, service: str, now: float) -> Backlog:
        """Return the work of a service that is waiting and may start."""
        cached = self._backlog_by_service.get(service)
        if cached is None or now - cached.observed_at > _BACKLOG_MAX_AGE_S:
            cached = Backlog.from_plans(self._waiting_plans(service), now)
            self._backlog_by_service[service] = cached
        return cached

    def _waiting_plans(self, service: str) -> Iterator[JobPlan]:
        plans = [
            *self.plan_by_id.values(),
            *(plan for plan, _ in self.storing_by_id.values()),
        ]
        for plan in plans:
            if plan.job.service == service and self.takeover.may_start(
                plan.job
            ):
                yield plan
