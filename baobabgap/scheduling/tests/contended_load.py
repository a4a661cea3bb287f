"""Loads of callers who compete, and what each group of them gets."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import itertools
import random

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling.tests.load_player import ALLOWANCE_MS
from baobabgap.scheduling.tests.load_player import Arrival
from baobabgap.scheduling.tests.load_player import SERVICE
from baobabgap.scheduling.tests.load_player import STRETCH

MEAN_CORES = 3.4
CORES_PER_UPSTREAM = 32
# Upstreams have room for whole tasks only.
USABLE_CORES_PER_UPSTREAM = 9 * MEAN_CORES
ZONES = ('z1', 'z2', 'z3', 'z4')

# Multiple of the normal rate of a queue and a zone's callers at a time.
RateFactor = Callable[[str, str, float], float]


@dataclass(frozen=True, slots=True)
class JobKind:
    """The jobs of one queue; tasks and run times are means."""

    queue: str
    priority: int
    tasks: int
    run_s: float
    # Share of all arrivals.
    share: float


KINDS = (
    JobKind('wide', 0, 8, 0.12, 0.244),
    JobKind('long', 2, 4, 1.8, 0.045),
    JobKind('small', 1, 2, 0.4, 0.711),
)


@dataclass(frozen=True, slots=True)
class Estimates:
    """How submitters' estimates differ from the run times."""

    # Largest relative error, either way.
    error: float = 0.4
    # Share of jobs that take `tail_factor` times their estimate.
    tail_share: float = 0.0
    tail_factor: float = 7.0


@dataclass(frozen=True, slots=True)
class Group:
    """What a group of callers got: shares of its jobs."""

    jobs: int
    on_time: float
    late: float
    refused: float
    # Refused only after it had waited.
    given_up: float


def make_contended_trace(
    seconds: float,
    load: float,
    rate_factor: RateFactor,
    seed: int,
    upstreams: int,
    estimates: Estimates | None = None,
    kinds: tuple[JobKind, ...] = KINDS,
) -> list[Arrival]:
    """Return arrivals whose work is `load` times the usable capacity."""
    estimates = estimates or Estimates()
    rng = random.Random(seed)
    mean_core_s = sum(
        kind.share * kind.tasks * kind.run_s * MEAN_CORES for kind in kinds
    )
    mean_core_s *= 1 + estimates.tail_share * (estimates.tail_factor - 1)
    jobs_per_s = load * upstreams * USABLE_CORES_PER_UPSTREAM / mean_core_s
    numbers = itertools.count()
    arrivals = []
    for kind, zone in itertools.product(kinds, ZONES):
        rate = jobs_per_s * kind.share / len(ZONES)
        at = 0.0
        while True:
            factor = max(0.01, rate_factor(kind.queue, zone, at))
            at += rng.expovariate(rate * factor)
            if at >= seconds:
                break
            arrivals.append(
                _make_arrival(rng, kind, zone, at, next(numbers), estimates)
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _make_arrival(
    rng: random.Random,
    kind: JobKind,
    zone: str,
    at: float,
    number: int,
    estimates: Estimates,
) -> Arrival:
    tasks = round(kind.tasks * _spread(rng, 0.4, 4.0)) or 1
    millicores = int(1000 * MEAN_CORES * _spread(rng, 0.2, 1.5))
    run_s = kind.run_s * _spread(rng, 0.4, 4.0)
    estimate_s = run_s * rng.uniform(1 - estimates.error, 1 + estimates.error)
    if rng.random() < estimates.tail_share:
        run_s *= estimates.tail_factor
    step = Step(tasks, Demand(millicores, 64, 0), int(1000 * estimate_s))
    job = AcceptedJob(
        f'{number}',
        kind.queue,
        SERVICE,
        kind.priority,
        2,
        STRETCH,
        ALLOWANCE_MS,
        '',
        (step,),
        0,
        1,
        True,
    )
    return Arrival(at, job, run_s, zone)


def _spread(rng: random.Random, deviation: float, largest: float) -> float:
    """Return a factor with mean 1 and a relative standard deviation."""
    shape = 1 / deviation**2
    return min(largest, rng.gammavariate(shape, 1 / shape))


def core_s_of(arrival: Arrival) -> float:
    """Return the work of a job in core-seconds."""
    step = arrival.job.steps[0]
    return step.tasks * arrival.run_s * step.demand.cpu_millicores / 1000


def group_arrivals(trace: list[Arrival]) -> dict[str, list[Arrival]]:
    """Return arrivals by queue, by zone, and by queue and size.

    Sizes are the largest tenth and the fifth below it.
    """
    groups = defaultdict(list)
    for arrival in trace:
        groups[arrival.job.queue].append(arrival)
        groups[arrival.zone].append(arrival)
    for kind in KINDS:
        by_size = sorted(groups[kind.queue], key=core_s_of)
        first, second = int(0.7 * len(by_size)), int(0.9 * len(by_size))
        groups[f'{kind.queue}, upper fifth'] = by_size[first:second]
        groups[f'{kind.queue}, largest tenth'] = by_size[second:]
    return groups


def outcome_of(
    arrivals: Iterable[Arrival], end_by_id: dict[str, tuple[str, float]]
) -> Group:
    """Return what a group of jobs got."""
    ends = [
        end_by_id.get(arrival.job.job_id, ('unfinished', 0.0))[0]
        for arrival in arrivals
    ]
    count = max(1, len(ends))
    return Group(
        len(ends),
        ends.count('on time') / count,
        ends.count('late') / count,
        ends.count('refused') / count,
        ends.count('given up') / count,
    )
