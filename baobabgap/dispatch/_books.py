"""What the leader knows and keeps in memory only, for one term."""

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

# Seconds after an election in which agents that an earlier leader knew, and
# their upstreams, are expected back: a start of the process, a dial, a report.
_RETURN_S: Final = 1.0
# Seconds for which a look at the waiting work is good for decisions: a small
# part of the shortest objectives.
_BACKLOG_AGE_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class EndedJob:
    """How a volatile job ended, and when, on the scheduler's clock."""

    state: JobState
    ended_at: float


class Books:
    """The jobs, agents and callers of the present term.

    Only the scheduler's task reads and writes them.
    """

    def __init__(self) -> None:
        # Both outlive a term.
        self.table: QueueTable | None = None
        self.run_times = RunTimes()
        self.open_term(0, Takeover.none())

    def open_term(self, term: int, takeover: Takeover) -> None:
        """Begin anew; term 0 means that this host doesn't lead."""
        self.term = term
        self.takeover = takeover
        self._opened_at = time.monotonic()
        self._backlog_by_service: dict[str, Backlog] = {}
        self.plan_by_id: dict[str, JobPlan] = {}
        # Jobs whose acceptance is not durable yet, with who waits for it.
        self.storing_by_id: dict[str, tuple[JobPlan, list[CallArrived]]] = {}
        self.cancelling_by_id: dict[str, list[CallArrived]] = {}
        # Who waits for the end of a volatile job.
        self.callers_by_id: dict[str, list[CallArrived]] = {}
        # Volatile jobs that ended lately, for callers that ask again.
        self.ended_by_id: dict[str, EndedJob] = {}
        # Reads that wait until a job's last end is durable.
        self.readers_by_id: dict[str, list[CallArrived]] = defaultdict(list)
        # Runs and ends of jobs that nobody has handed in to this leader
        # yet: its predecessor may have had them.
        self.orphans = Orphans()
        self.view_by_name: dict[str, AgentView] = {}

    def waiting_calls(self) -> list[CallArrived]:
        """Return all calls that have not been answered."""
        groups = [
            *(calls for _, calls in self.storing_by_id.values()),
            *self.cancelling_by_id.values(),
            *self.readers_by_id.values(),
            *self.callers_by_id.values(),
        ]
        return [call for calls in groups for call in calls]

    def find(self, task_id: TaskId) -> tuple[JobPlan, PlannedTask] | None:
        """Return a task that is still to be done, with its job."""
        plan = self.plan_by_id.get(task_id.job_id)
        task = plan.task_by_id.get(task_id) if plan else None
        return (plan, task) if plan and task else None

    def targets_of(self, service: str) -> list[PlacementTarget]:
        """Return the upstreams of a service, open or not."""
        return [
            view.target
            for view in self.view_by_name.values()
            if view.target is not None and view.target.service == service
        ]

    def returning_upstreams(self, service: str, now: float) -> int:
        """Return how many upstreams of a service should be back at once.

        An earlier leader knew their agents; of which service they are is
        only guessed, from those that are back.
        """
        if now - self._opened_at > _RETURN_S:
            return 0
        targets = [
            view.target
            for view in self.view_by_name.values()
            if view.target is not None
        ]
        missing = len(self.view_by_name) - len(targets)
        own = sum(1 for target in targets if target.service == service)
        return missing * own // max(1, len(targets))

    def backlog(self, service: str, now: float) -> Backlog:
        """Return the work that waits in a service and could start."""
        held = self._backlog_by_service.get(service)
        if held is None or now - held.observed_at > _BACKLOG_AGE_S:
            held = Backlog.from_plans(self._waiting_plans(service), now)
            self._backlog_by_service[service] = held
        return held

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
