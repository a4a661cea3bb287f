"""Discrete-event simulation of the scheduling policies under a load."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import heapq
import itertools
import math
import random
import time

from baobabgap.jobmodel import AcceptedJob
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.scheduling import AdmissionInput
from baobabgap.scheduling import admit
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import place_waiting
from baobabgap.scheduling import Placement
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import QueueShares
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import StartQueue
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling import usable_cores
from baobabgap.scheduling import without_prospect
from baobabgap.scheduling.tests.reference_planner import plan_starts

SERVICE = 'service'
CORES_PER_TASK = 3
# Of each kind of job: tasks, run time of a task in seconds, jobs per second.
JOB_KINDS = ((8, 0.12, 17.0), (4, 1.8, 3.0), (2, 0.4, 50.0))
STRETCH = 1.6
ALLOWANCE_MS = 60
# Seconds until a start that got no answer is taken back.
LOST_START_S = 0.25
# Largest relative error of a submitter's estimate, either way.
ESTIMATE_ERROR = 0.4
# Seconds between revisions of the admission of waiting jobs.
REVISION_INTERVAL_S = 0.02
UPSTREAMS = 11
TASKS_PER_UPSTREAM = 10

StartOrder = Callable[
    [Iterable[JobPlan], dict[str, list[PlacementTarget]], float],
    list[Placement],
]


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of a job."""

    at: float
    job: AcceptedJob
    # Actual run time of each of its tasks.
    run_s: float
    # Availability zone of its caller.
    zone: str = ''


@dataclass(slots=True)
class Outcome:
    """Counts of jobs by how they ended for their callers."""

    on_time: int = 0
    late: int = 0
    unfinished: int = 0
    refused: int = 0
    # Of the late ones, those that ended after their callers had left.
    abandoned: int = 0
    on_time_by_second: dict[int, int] = field(default_factory=dict)

    @property
    def share_on_time(self) -> float:
        """The fraction of all jobs that ended on time."""
        ended = self.on_time + self.late
        return self.on_time / (ended + self.unfinished + self.refused)


def make_trace(
    seconds: float, rate_factor: Callable[[float], float], seed: int
) -> list[Arrival]:
    """Return arrivals at `rate_factor` times the normal rate."""
    rng = random.Random(seed)
    arrivals = []
    numbers = itertools.count()
    for tasks, run_s, jobs_per_s in JOB_KINDS:
        at = 0.0
        while at < seconds:
            at += rng.expovariate(jobs_per_s * max(0.01, rate_factor(at)))
            actual_run_s = run_s * rng.uniform(0.7, 1.3)
            error = rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
            job = AcceptedJob(
                f'{next(numbers)}',
                f'{tasks}',
                SERVICE,
                0,
                2,
                STRETCH,
                ALLOWANCE_MS,
                '',
                (
                    Step(
                        tasks,
                        Demand(1000 * CORES_PER_TASK, 1, 0),
                        int(1000 * actual_run_s * error),
                    ),
                ),
                0,
                1,
                True,
            )
            arrivals.append(Arrival(at, job, actual_run_s))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def by_reference(
    plans: Iterable[JobPlan],
    targets: dict[str, list[PlacementTarget]],
    now: float,
) -> list[Placement]:
    """Start tasks by urgency as the reference planner decides."""
    return plan_starts(plans, targets, 1.0, now)


def first_come(
    plans: Iterable[JobPlan],
    targets: dict[str, list[PlacementTarget]],
    now: float,
) -> list[Placement]:
    """Start tasks in the order in which their jobs arrived."""
    placements: list[Placement] = []
    occupied: list[tuple[PlacementTarget, Demand]] = []
    for plan in plans:
        plan_placements = plan_starts([plan], targets, 1.0, now)
        for placement in plan_placements:
            placement.target.occupy(placement.demand)
            occupied.append((placement.target, placement.demand))
        placements.extend(plan_placements)
        if plan.has_waiting and len(plan_placements) < len(
            plan.waiting_by_step[0]
        ):
            break
    for target, demand in occupied:
        target.release(demand)
    return placements


def urgent_first_without_begun(
    plans: Iterable[JobPlan],
    targets: dict[str, list[PlacementTarget]],
    now: float,
) -> list[Placement]:
    """Start tasks by urgency as if no job had begun."""
    plans = list(plans)
    begun = [plan for plan in plans if plan.has_started]
    for plan in begun:
        plan.has_started = False
    placements = plan_starts(plans, targets, 1.0, now)
    for plan in begun:
        plan.has_started = True
    return placements


def by_work_ahead(admission_input: AdmissionInput) -> AdmissionInput:
    """Admit by the work that starts before a job, as the scheduler does."""
    return admission_input


def by_total_backlog(admission_input: AdmissionInput) -> AdmissionInput:
    """Admit as if a job had to wait for the whole backlog."""
    return replace(
        admission_input,
        ahead_core_s=admission_input.total_core_s,
        on_time_patience_s=admission_input.late_patience_s,
    )


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """How the simulated admission works."""

    transform: Callable[[AdmissionInput], AdmissionInput] = by_work_ahead
    # Seconds between the returns of successive upstreams after an outage;
    # with 0 all return at once.
    return_gap_s: float = 0.0
    # Whether admission counts the upstreams that have not returned yet.
    counts_returning: bool = True
    # Whether admission is revised while jobs wait.
    is_revised: bool = False


class LoadSimulator:
    """Simulates upstreams and their runs; nothing starts in an outage.

    Without `order`, tasks start as the scheduler decides.
    Without `admission` every job is admitted. With it, jobs that arrive in
    an outage are still all admitted, as no scheduler is there to refuse.
    `lost_share` of the starts have no effect and are taken back after
    `LOST_START_S`; callers wait for `patience_s` seconds.
    """

    def __init__(
        self,
        order: StartOrder | None = None,
        outage: tuple[float, float] = (0.0, 0.0),
        admission: AdmissionOptions | None = None,
        lost_share: float = 0.0,
        patience_s: float = math.inf,
        upstreams: int = UPSTREAMS,
        cores: int = CORES_PER_TASK * TASKS_PER_UPSTREAM,
        learns_run_times: bool = False,
    ) -> None:
        self._order = order
        self._lost_share = lost_share
        self._patience_s = patience_s
        self._run_times = RunTimes() if learns_run_times else None
        self._rng = random.Random(1)
        self._outage = outage
        self._admission = admission
        capacity = Demand(1000 * cores, 1000 * cores, 0)
        self._targets = [
            PlacementTarget(f'r{number}', SERVICE, 'z', (), capacity, capacity)
            for number in range(upstreams)
        ]
        self.queue = StartQueue()
        self.shares = QueueShares()
        self.pool = TargetPool.from_targets(self._targets)
        # Number of starts so far, and seconds spent on deciding on them and
        # on admissions.
        self.starts = 0
        self.planning_s = 0.0
        self.admission_s = 0.0
        # How each job ended, with the seconds until then.
        self.end_by_id: dict[str, tuple[str, float]] = {}
        self._plans: dict[str, JobPlan] = {}
        self._run_s: dict[str, float] = {}
        self._outcome = Outcome()
        self._event_numbers = itertools.count()
        # Time, tie-breaker and action of each event.
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def run(self, trace: list[Arrival]) -> Outcome:
        """Simulate a trace to its end."""
        for arrival in trace:
            self._schedule(arrival.at, self._make_arrival(arrival))
        self._schedule(self._outage[1], lambda now: None)
        if self._admission is not None:
            self._schedule_outage(self._admission.return_gap_s)
        if self._admission is not None and self._admission.is_revised:
            self._schedule_revisions(trace[-1].at)
        for now in self._run_events():
            if not self._outage[0] <= now < self._outage[1]:
                self._start_tasks(now)
        self._outcome.unfinished += len(self._plans)
        return self._outcome

    def close_targets(self, count: int, start: float, end: float) -> None:
        """Let no task start on some of the targets for a while."""
        for target in self._targets[:count]:
            self._schedule(start, _make_open_setter(target, is_open=False))
            self._schedule(end, _make_open_setter(target, is_open=True))

    def _run_events(self) -> Iterator[float]:
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
            yield now

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), action))

    def _make_arrival(self, arrival: Arrival) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            job = arrival.job
            plan = JobPlan(job, now, self._run_times or RunTimes())
            plan.awaited_until = now + self._patience_s
            if self._is_refused(plan, now):
                self._outcome.refused += 1
                self.end_by_id[job.job_id] = ('refused', 0.0)
                return
            self._plans[job.job_id] = plan
            self.queue.add(plan, now)
            self._run_s[job.job_id] = arrival.run_s

        return arrive

    def _schedule_outage(self, gap_s: float) -> None:
        """Close all targets at the outage, and reopen them one by one."""
        outage_start, outage_end = self._outage
        for number, target in enumerate(self._targets):
            self._schedule(
                outage_start, _make_open_setter(target, is_open=False)
            )
            returns_at = outage_end + number * gap_s
            self._schedule(returns_at, _make_open_setter(target, is_open=True))

    def _schedule_revisions(self, until: float) -> None:
        for number in range(int(until / REVISION_INTERVAL_S) + 1):
            self._schedule(number * REVISION_INTERVAL_S, self._revise)

    def _revise(self, now: float) -> None:
        """Refuse waiting jobs that can't be served any more."""
        if self._outage[0] <= now < self._outage[1]:
            return
        waiting = [
            plan for plan in self._plans.values() if not plan.has_started
        ]
        found = without_prospect(
            waiting,
            self.queue,
            self.shares,
            self._usable_cores(),
            now,
        )
        for plan in found:
            self.shares.note_withdrawn(plan, self._usable_cores())
            job_id = plan.job.job_id
            self.queue.remove(self._plans.pop(job_id))
            self._outcome.refused += 1
            self.end_by_id[job_id] = ('given up', now - plan.arrived_at)

    def _usable_cores(self) -> float:
        return usable_cores(
            self.pool,
            self.shares,
            self._run_times or RunTimes(),
            self._returning(),
        )

    def _returning(self) -> int:
        if self._admission is None or not self._admission.counts_returning:
            return 0
        return sum(1 for target in self._targets if not target.is_open)

    def _is_refused(self, plan: JobPlan, now: float) -> bool:
        admission = self._admission
        if admission is None or self._outage[0] <= now < self._outage[1]:
            return False
        began_at = time.perf_counter()
        returning = self._returning()
        cores = self._usable_cores()
        self.shares.note_asked(plan, cores, now)
        admission_input = AdmissionInput.from_queue(self.queue, plan, now)
        admission_input = admission_input.with_shares(
            self.queue, self.shares, plan, cores
        )
        refusal = admit(
            self.pool,
            plan.job.steps,
            admission.transform(admission_input),
            returning,
        )
        if refusal is None:
            self.shares.note_admitted(plan, cores)
        self.admission_s += time.perf_counter() - began_at
        return refusal is not None

    def _start_tasks(self, now: float) -> None:
        began_at = time.perf_counter()
        for placement in self._placements(now):
            self.starts += 1
            placement.target.occupy(placement.demand)
            placement.plan.note_started(
                placement.task, placement.target.name, 1
            )
            if self._rng.random() < self._lost_share:
                self._schedule(
                    now + LOST_START_S, self._make_lost_start_end(placement)
                )
                continue
            run_s = self._run_s[placement.plan.job.job_id]
            self._schedule(now + run_s, self._make_task_end(placement))
        self.planning_s += time.perf_counter() - began_at

    def _placements(self, now: float) -> Iterable[Placement]:
        if self._order is None:
            return place_waiting(self.queue, self.pool, 1.0, now)
        waiting = [plan for plan in self._plans.values() if plan.has_waiting]
        return self._order(waiting, {SERVICE: self._targets}, now)

    def _make_task_end(self, placement: Placement) -> Callable[[float], None]:
        def end(now: float) -> None:
            plan = placement.plan
            if self._run_times is not None:
                self._run_times.observe(
                    plan.job.queue,
                    '',
                    plan.job.steps[0].estimate_ms,
                    self._run_s[plan.job.job_id],
                )
            placement.target.release(placement.demand)
            plan.note_done(placement.task.task)
            if plan.is_done:
                self._record_job_end(plan, now)

        return end

    def _make_lost_start_end(
        self, placement: Placement
    ) -> Callable[[float], None]:
        def end(now: float) -> None:
            placement.target.release(placement.demand)
            placement.plan.requeue(placement.task)

        return end

    def _record_job_end(self, plan: JobPlan, now: float) -> None:
        job_id = plan.job.job_id
        self.end_by_id[job_id] = ('late', now - plan.arrived_at)
        self.queue.remove(self._plans.pop(job_id))
        objective_s = STRETCH * self._run_s[job_id] + ALLOWANCE_MS / 1000
        if now - plan.arrived_at <= objective_s:
            self._outcome.on_time += 1
            self.end_by_id[job_id] = ('on time', now - plan.arrived_at)
            second = int(plan.arrived_at)
            by_second = self._outcome.on_time_by_second
            by_second[second] = by_second.get(second, 0) + 1
        else:
            self._outcome.late += 1
            if now > plan.awaited_until:
                self._outcome.abandoned += 1


def _make_open_setter(
    target: PlacementTarget, *, is_open: bool
) -> Callable[[float], None]:
    def set_open(now: float) -> None:
        target.set_open(is_open)

    return set_open
