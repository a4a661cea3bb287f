"""Loads whose tasks differ in demand, on upstreams of uneven size and speed.

Extends the load player by what placement depends on: a demand for each job,
a run time for each task, and run times that depend on the upstream.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import itertools
import math
import random
import statistics

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import Placement
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling._forecast import ExpectedRun
from baobabgap.scheduling.tests.load_player import AdmissionOptions
from baobabgap.scheduling.tests.load_player import ALLOWANCE_MS
from baobabgap.scheduling.tests.load_player import Arrival
from baobabgap.scheduling.tests.load_player import LoadSimulator
from baobabgap.scheduling.tests.load_player import SERVICE
from baobabgap.scheduling.tests.load_player import StartOrder
from baobabgap.scheduling.tests.load_player import STRETCH

# Processors of successive upstreams.
SIZES = (32, 32, 48)
MOST_TASKS = 32
# Largest relative deviation of a task's run time from that of its job.
UNEVEN = 0.15


@dataclass(frozen=True, slots=True)
class JobKind:
    """Tasks, run time and processors of a kind of job, on average."""

    name: str
    tasks: int
    run_s: float
    # Relative to the other kinds.
    jobs_per_s: float
    cores: float = 3.4


# Kinds with like demands.
LIKE_KINDS = (
    JobKind('narrow', 2, 0.4, 300.0),
    JobKind('wide', 8, 0.1, 103.0),
    JobKind('long', 4, 1.8, 18.8),
)
# Kinds of which one needs most of an upstream.
UNLIKE_KINDS = (
    JobKind('small', 4, 0.3, 100.0, 1.0),
    JobKind('large', 1, 0.5, 3.0, 20.0),
)


@dataclass(frozen=True, slots=True)
class Shape:
    """What differs between the traces."""

    # Work that arrives, as a multiple of the processors of all upstreams.
    load: float
    upstreams: int = 12
    seconds: float = 8.0
    # Largest relative error of the estimates, either way.
    estimate_error: float = 0.4
    # Share of the jobs that run for seven times as long as estimated.
    tail: float = 0.0
    kinds: tuple[JobKind, ...] = LIKE_KINDS


@dataclass(slots=True)
class KindOutcome:
    """What the callers of one kind of job got."""

    arrivals: list[Arrival] = field(default_factory=list)
    # Seconds from the arrival to the end of each job that ended.
    took_s_by_id: dict[str, float] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """The fraction of the jobs that ended on time."""
        return self._share_of(self.arrivals)

    def add(self, other: 'KindOutcome', prefix: str) -> None:
        """Add the outcome of another play, whose jobs get a prefix."""
        for arrival in other.arrivals:
            job_id = f'{prefix}/{arrival.job.job_id}'
            job = replace(arrival.job, job_id=job_id)
            self.arrivals.append(replace(arrival, job=job))
        for job_id, took_s in other.took_s_by_id.items():
            self.took_s_by_id[f'{prefix}/{job_id}'] = took_s

    def largest(self, key: Callable[[Arrival], float]) -> 'KindOutcome':
        """Return the outcome of the tenth with the largest `key`."""
        by_key = sorted(self.arrivals, key=key, reverse=True)
        tenth = by_key[: max(1, len(by_key) // 10)]
        return KindOutcome(tenth, self.took_s_by_id)

    @property
    def stretch(self) -> float:
        """Mean of time over run time of the jobs that ended."""
        return statistics.fmean(
            self.took_s_by_id[arrival.job.job_id] / arrival.run_s
            for arrival in self.arrivals
            if arrival.job.job_id in self.took_s_by_id
        )

    def _share_of(self, arrivals: list[Arrival]) -> float:
        return statistics.fmean(
            self.took_s_by_id.get(arrival.job.job_id, math.inf)
            <= STRETCH * arrival.run_s + ALLOWANCE_MS / 1000
            for arrival in arrivals
        )


def work_of(arrival: Arrival) -> float:
    """Return the work of a job in core-seconds."""
    step = arrival.job.steps[0]
    return step.tasks * step.demand.cpu_millicores / 1000 * arrival.run_s


def cores_of(arrival: Arrival) -> float:
    """Return the processors that each task of a job takes."""
    return arrival.job.steps[0].demand.cpu_millicores / 1000


def make_mixed_trace(shape: Shape, seed: int) -> list[Arrival]:
    """Return arrivals of jobs whose tasks differ in demand."""
    rng = random.Random(seed)
    cores = sum(itertools.islice(itertools.cycle(SIZES), shape.upstreams))
    normal_cores = sum(
        kind.tasks * kind.run_s * kind.cores * kind.jobs_per_s
        for kind in shape.kinds
    )
    arrivals = []
    numbers = itertools.count()
    for kind in shape.kinds:
        at = 0.0
        while at < shape.seconds:
            rate = kind.jobs_per_s * cores / normal_cores
            at += rng.expovariate(rate * shape.load)
            width = _spread(rng, kind.tasks, 0.4, MOST_TASKS)
            millicores = _spread(
                rng, 1000 * kind.cores, 0.2, 1500 * kind.cores
            )
            actual_s = kind.run_s * rng.uniform(0.7, 1.3)
            error = rng.uniform(-shape.estimate_error, shape.estimate_error)
            estimate_ms = int(1000 * actual_s * (1 + error))
            if rng.random() < shape.tail:
                actual_s *= 7
            step = Step(width, Demand(millicores, 64, 0), estimate_ms)
            arrivals.append(
                Arrival(
                    at, _make_job(kind.name, next(numbers), step), actual_s
                )
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _spread(
    rng: random.Random, mean: float, spread: float, most: float
) -> int:
    return max(1, min(round(rng.gauss(mean, spread * mean)), int(most)))


def _make_job(kind: str, number: int, step: Step) -> AcceptedJob:
    return AcceptedJob(
        f'{number}',
        kind,
        SERVICE,
        0,
        2,
        STRETCH,
        ALLOWANCE_MS,
        '',
        (step,),
        0,
        1,
        True,
    )


class MixedLoadSimulator(LoadSimulator):
    """Plays such a load; each task runs for its own time."""

    def __init__(
        self,
        upstreams: int = 12,
        slowness: tuple[float, ...] = (1.0,),
        order: StartOrder | None = None,
    ) -> None:
        super().__init__(order, admission=AdmissionOptions())
        self._targets = [
            _make_target(number, size, slow)
            for number, size, slow in zip(
                range(upstreams),
                itertools.cycle(SIZES),
                itertools.cycle(slowness),
                strict=False,
            )
        ]
        self.pool = TargetPool.from_targets(self._targets)
        self.outcome_by_kind: dict[str, KindOutcome] = defaultdict(KindOutcome)
        # Core-seconds for which capacity was in use within a time window.
        self.used_core_s = 0.0
        self.window = (0.0, math.inf)
        self._task_rng = random.Random(7)

    def play(self, trace: list[Arrival]) -> dict[str, KindOutcome]:
        """Play a trace; return what callers got by kind of job."""
        self.run(trace)
        for arrival in trace:
            self.outcome_by_kind[arrival.job.queue].arrivals.append(arrival)
        return self.outcome_by_kind

    def shrink_at(self, at: float, share: float) -> None:
        """Let a quarter of the upstreams keep a share of their room only."""

        def shrink(now: float) -> None:
            for target in self._targets[::4]:
                cores = target.capacity.cpu_millicores
                target.set_capacity(Demand(int(cores * share), 65536, 0))

        self._schedule(at, shrink)

    def _start_tasks(self, now: float) -> None:
        for placement in self._placements(now):
            self.starts += 1
            expected = placement.target.expect_run(
                placement.demand,
                placement.plan.expected_s[placement.task.task.step],
                now,
            )
            placement.target.occupy(placement.demand, expected=expected)
            placement.plan.note_started(
                placement.task, placement.target.name, 1
            )
            run_s = self._task_run_s(placement)
            cores = placement.demand.cpu_millicores / 1000
            in_window_s = min(now + run_s, self.window[1]) - max(
                now, self.window[0]
            )
            self.used_core_s += cores * max(0.0, in_window_s)
            self._schedule(
                now + run_s, self._make_expected_end(placement, expected)
            )

    def _make_expected_end(
        self, placement: Placement, expected: ExpectedRun
    ) -> Callable[[float], None]:
        def end(now: float) -> None:
            plan = placement.plan
            placement.target.release(placement.demand, expected)
            plan.note_done(placement.task.task)
            if plan.is_done:
                self._record_job_end(plan, now)

        return end

    def _task_run_s(self, placement: Placement) -> float:
        slowness = placement.target.kind_slowness
        uneven = self._task_rng.uniform(1 - UNEVEN, 1 + UNEVEN)
        job_run_s = self._run_s[placement.plan.job.job_id]
        return job_run_s * slowness * uneven

    def _record_job_end(self, plan: JobPlan, now: float) -> None:
        job = plan.job
        super()._record_job_end(plan, now)
        took_s = now - plan.arrived_at
        self.outcome_by_kind[job.queue].took_s_by_id[job.job_id] = took_s


def _make_target(number: int, cores: int, slowness: float) -> PlacementTarget:
    capacity = Demand(1000 * cores, 65536, 0)
    target = PlacementTarget(
        f'u{number}', SERVICE, 'z', (f'{slowness}',), capacity, capacity
    )
    target.kind_slowness = slowness
    return target
