"""What the leader knows and keeps in memory only, for one term."""

from collections import defaultdict
from dataclasses import dataclass

from baobabgap.accepted import JobState
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._orphans import Orphans
from baobabgap.dispatch._takeover import Takeover
from baobabgap.queues import QueueTable
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlannedTask
from baobabgap.scheduling import Room
from baobabgap.scheduling import RunTimes


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

    def rooms_of(self, service: str) -> list[Room]:
        """Return the upstreams of a service, open or not."""
        return [
            view.room
            for view in self.view_by_name.values()
            if view.room is not None and view.room.service == service
        ]

    def backlog_core_s(self, service: str) -> float:
        """Return the work that waits in a service and could start."""
        plans = [
            *self.plan_by_id.values(),
            *(plan for plan, _ in self.storing_by_id.values()),
        ]
        return sum(
            plan.waiting_core_s()
            for plan in plans
            if plan.job.service == service
            and self.takeover.may_start(plan.job)
        )
