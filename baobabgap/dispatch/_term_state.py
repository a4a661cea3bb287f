"""State of the leader that is held in memory, for one term."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
import math
import time
from typing import Final

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._crash_history import CrashHistory
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._host_losses import HostLosses
from baobabgap.dispatch._orphans import Orphans
from baobabgap.dispatch._run_index import RunIndex
from baobabgap.dispatch._takeover import Takeover
from baobabgap.jobmodel import JobState
from baobabgap.jobmodel import TaskId
from baobabgap.queues import QueueTable
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import PlannedTask
from baobabgap.scheduling import QueueShares
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import SpeedBaseline
from baobabgap.scheduling import StartQueue
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling import usable_cores

# Seconds after an election within which agents known to an earlier leader, and
# their upstreams, are expected to reconnect: process start, dial and report.
_AGENT_RETURN_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Final state of a volatile job; `ended_at` is on the monotonic clock."""

    state: JobState
    ended_at: float
    # Why it failed, if not by failed runs; empty otherwise.
    reason: str = ''


class TermState:
    """The jobs, agents and callers of the current term.

    Accessed by the scheduler's task only.
    """

    def __init__(self) -> None:
        # Kept across terms.
        self.queue_table: QueueTable | None = None
        self.run_times = RunTimes()
        self.speed_baseline = SpeedBaseline()
        self.begin_term(0, Takeover.none())

    def begin_term(self, term: int, takeover: Takeover) -> None:
        """Reset for a new term; term 0 means that this host doesn't lead."""
        self.term = term
        self.takeover = takeover
        self._began_at = time.monotonic()
        self.queue_by_service: dict[str, StartQueue] = defaultdict(StartQueue)
        self.pool_by_service: dict[str, TargetPool] = defaultdict(TargetPool)
        self.shares_by_service: dict[str, QueueShares] = defaultdict(
            QueueShares
        )
        # Jobs that may have a run of an earlier term.
        self._held_by_id: dict[str, JobPlan] = {}
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
        # The agents tell each leader anew.
        self.crash_history = CrashHistory()
        self.host_losses = HostLosses()
        self.view_by_name: dict[str, AgentView] = {}
        # Where the views track runs, kept by the `RunTracker`.
        self.run_index = RunIndex()
        # Monotonic clock.
        self.last_start_at_by_service: dict[str, float] = defaultdict(
            lambda: -math.inf
        )
        # Evacuated availability zones with the versions of the orders.
        self.version_by_evacuated_zone: dict[str, int] = {}

    def is_evacuated(self, zone: str) -> bool:
        """Return whether nothing may start in an availability zone."""
        return zone in self.version_by_evacuated_zone

    def are_all_evacuated(self, service: str) -> bool:
        """Return whether a service has upstreams in evacuated zones only.

        Not during a takeover: others may not have reported yet.
        """
        pool = self.pool_by_service[service]
        if not self.version_by_evacuated_zone or pool.open_count:
            return False
        if not self.takeover.is_over:
            return False
        targets = pool.target_by_name.values()
        return bool(targets) and all(
            self.is_evacuated(target.availability_zone) for target in targets
        )

    def age_s(self, now: float) -> float:
        """Return the seconds since the begin of the term."""
        return now - self._began_at

    @property
    def has_cut_off_agents(self) -> bool:
        """Whether the takeover waits for an agent that has no link."""
        return any(
            name not in self.view_by_name
            or self.view_by_name[name].connection is None
            for name in self.takeover.unreported_agents
        )

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

    def add_plan(self, plan: JobPlan) -> None:
        """Let a job's tasks start, as soon as the takeover permits."""
        job_id = plan.job.job_id
        self.plan_by_id[job_id] = plan
        if self.takeover.may_start(plan.job):
            self._queue_of(plan).add(plan, time.monotonic())
        else:
            self._held_by_id[job_id] = plan

    def add_storing(self, plan: JobPlan, call: CallArrived) -> None:
        """Count the work of a job whose acceptance is being stored."""
        self.storing_by_id[plan.job.job_id] = (plan, [call])
        self._queue_of(plan).add(plan, time.monotonic(), is_held=True)

    def pop_storing(self, job_id: str) -> tuple[JobPlan, list[CallArrived]]:
        """Remove a job whose acceptance is stored or has failed."""
        plan, calls = self.storing_by_id.pop(job_id)
        self._queue_of(plan).remove(plan)
        return plan, calls

    def pop_plan(self, job_id: str) -> JobPlan | None:
        """Remove a job, so that none of its tasks starts any more."""
        plan = self.plan_by_id.pop(job_id, None)
        if plan is not None:
            self._held_by_id.pop(job_id, None)
            self._queue_of(plan).remove(plan)
        return plan

    def hold_plan(self, job_id: str) -> None:
        """Start no more tasks of a job, which still counts as waiting."""
        plan = self.plan_by_id.get(job_id)
        if plan is not None and job_id not in self._held_by_id:
            self._queue_of(plan).add(plan, time.monotonic(), is_held=True)

    def resume_plan(self, job_id: str) -> None:
        """Let the tasks of a held job start again."""
        plan = self.plan_by_id.get(job_id)
        if plan is not None and job_id not in self._held_by_id:
            self._queue_of(plan).add(plan, time.monotonic())

    def release_held_plans(self, admit: Callable[[JobPlan], bool]) -> None:
        """Let those jobs start that the takeover permits by now.

        Jobs are released by their latest starts; the work of those released
        first counts for the others. `admit` returns false for a job that it
        has removed.
        """
        released = [
            plan
            for plan in self._held_by_id.values()
            if self.takeover.may_start(plan.job)
        ]
        now = time.monotonic()
        for plan in sorted(released, key=lambda plan: plan.latest_start(0)):
            job_id = plan.job.job_id
            if admit(plan):
                del self._held_by_id[job_id]
                if job_id not in self.cancelling_by_id:
                    self._queue_of(plan).add(plan, now)

    def set_target(
        self, view: AgentView, target: PlacementTarget | None
    ) -> None:
        """Replace the target of an agent's upstream."""
        if view.target is not None:
            self.pool_by_service[view.target.service].remove(view.target)
        view.target = target
        if target is not None:
            self.pool_by_service[target.service].add(target)

    def forget_agent(self, view: AgentView) -> None:
        """Remove an agent and its target."""
        self.set_target(view, None)
        del self.view_by_name[view.name]

    def returning_upstreams(self, service: str, now: float) -> int:
        """Return how many usable upstreams of a service should reconnect.

        Their agents were known to an earlier leader. How many belong to the
        service, and to no evacuated zone, is estimated from the share among
        the reconnected ones.
        """
        if now - self._began_at > _AGENT_RETURN_S:
            return 0
        targets = sum(
            len(pool.target_by_name) for pool in self.pool_by_service.values()
        )
        missing = len(self.view_by_name) - targets
        target_by_name = self.pool_by_service[service].target_by_name
        known_of_service = len(target_by_name)
        if self.version_by_evacuated_zone:
            known_of_service -= sum(
                self.is_evacuated(target.availability_zone)
                for target in target_by_name.values()
            )
        return missing * known_of_service // max(1, targets)

    def usable_cores(self, service: str, now: float) -> float:
        """Return the cores of a service that whole tasks can use."""
        return usable_cores(
            self.pool_by_service[service],
            self.shares_by_service[service],
            self.run_times,
            self.returning_upstreams(service, now),
        )

    def _queue_of(self, plan: JobPlan) -> StartQueue:
        return self.queue_by_service[plan.job.service]
