"""Traces: which jobs arrive when, how long they run and what is declared.

A trace depends on its seed and shape alone, so that every policy sees
the same work. Run times follow the kind of task; what clients declare is
off by up to five times, partly always in the same direction for a client
and kind, partly by chance.
"""

from dataclasses import dataclass
import math
import random
from typing import Final

LARGEST_ERROR: Final = 5.0
_CHANCE_ERROR: Final = 2.0
_LARGEST_JOB: Final = 16
_SHARE_OF_MAIN_KIND: Final = 0.8
_NEVER_LATE_MS: Final = 300_000


@dataclass(frozen=True, slots=True)
class TaskKind:
    """A sort of work, with a log-normal distribution of run times."""

    name: str
    client: str
    # How often it is drawn, relative to the client's other kinds.
    weight: float
    median_ms: float
    # Standard deviation of the logarithm of the run time.
    spread: float
    shortest_ms: float = 50.0
    longest_ms: float = 1000.0

    def draw_run_time_ms(self, chance: random.Random) -> float:
        """Draw one true run time."""
        drawn = self.median_ms * math.exp(chance.gauss(0.0, self.spread))
        return min(max(drawn, self.shortest_ms), self.longest_ms)


KINDS: Final = (
    TaskKind('borehole_status', 'etnavapore', 40, 70, 0.2),
    TaskKind('temperature_extract', 'etnavapore', 30, 200, 0.6),
    TaskKind('casing_check', 'etnavapore', 29, 400, 0.4),
    TaskKind('full_log', 'etnavapore', 1, 3000, 0.3, 2000, 6000),
    TaskKind('seat_change', 'kurek', 40, 80, 0.25),
    TaskKind('lane_check', 'kurek', 30, 120, 0.5),
    TaskKind('crew_registration', 'kurek', 30, 250, 0.3),
)
TEAMS_BY_CLIENT: Final = {
    'etnavapore': ('drilling', 'permits', 'principal'),
    'kurek': ('clubs', 'officials', 'coxswains'),
}


@dataclass(frozen=True, slots=True)
class TraceTask:
    """One task with its true and its declared run time."""

    identifier: str
    kind: str
    true_ms: float
    declared_ms: int


@dataclass(frozen=True, slots=True)
class TraceJob:
    """One job and when it arrives."""

    # Unique within the trace.
    number: int
    # Seconds from the start of the trace.
    arrival_s: float
    client: str
    team: str
    deadline_ms: int
    tasks: tuple[TraceTask, ...]
    # Seconds from the start of the trace, or None if never cancelled.
    cancel_s: float | None = None

    @property
    def longest_s(self) -> float:
        """The true run time of the longest task."""
        return max(task.true_ms for task in self.tasks) / 1000.0

    @property
    def work_s(self) -> float:
        """The true run time of all tasks together."""
        return sum(task.true_ms for task in self.tasks) / 1000.0


@dataclass(frozen=True, slots=True)
class ArrivalPhase:
    """A time during which jobs arrive as a Poisson process."""

    start_s: float
    seconds: float
    # Arriving work over what the slots can run in this time.
    load: float


@dataclass(frozen=True, slots=True)
class CancelWave:
    """Many callers give up at the same moment."""

    at_s: float
    # Jobs that arrived within this many seconds before may be cancelled.
    reach_s: float
    # The share of these jobs that is cancelled.
    share: float


@dataclass(frozen=True, slots=True)
class TraceShape:
    """What a trace is drawn from."""

    slots: int
    phases: tuple[ArrivalPhase, ...]
    waves: tuple[CancelWave, ...] = ()
    # The deadline over the longest task's true run time, on top of
    # `deadline_margin_ms`; None for a deadline that never matters.
    deadline_stretch: float | None = None
    deadline_margin_ms: int = 500


def generate_trace(seed: int, shape: TraceShape) -> tuple[TraceJob, ...]:
    """Draw the jobs of a trace, in order of arrival.

    In each phase the arriving work is exactly the load asked for, to
    within one job, and arrivals are those of a Poisson process.
    """
    chance = random.Random(seed)
    bias_by_kind = {kind.name: _draw_bias(chance) for kind in KINDS}
    jobs: list[TraceJob] = []
    for phase in shape.phases:
        bodies = _draw_bodies(chance, phase, shape.slots, bias_by_kind)
        arrivals = sorted(
            phase.start_s + chance.random() * phase.seconds for _ in bodies
        )
        for arrival_s, (client, tasks) in zip(arrivals, bodies, strict=True):
            jobs.append(
                TraceJob(
                    number=len(jobs),
                    arrival_s=arrival_s,
                    client=client,
                    team=chance.choice(TEAMS_BY_CLIENT[client]),
                    deadline_ms=_deadline_ms(shape, tasks),
                    tasks=tasks,
                    cancel_s=_draw_cancel(chance, shape.waves, arrival_s),
                )
            )
    return tuple(jobs)


def generate_wide_trace(
    jobs: int, tasks: int, pause_s: float
) -> tuple[TraceJob, ...]:
    """Make jobs of many tasks that take no time, evenly spaced."""
    return tuple(
        TraceJob(
            number=number,
            arrival_s=number * pause_s,
            client='etnavapore',
            team='drilling',
            deadline_ms=_NEVER_LATE_MS,
            tasks=tuple(
                TraceTask(f't{index}', 'instant', 0.0, 1)
                for index in range(tasks)
            ),
        )
        for number in range(jobs)
    )


def _draw_bias(chance: random.Random) -> float:
    """Draw the factor by which declarations of one kind are always off."""
    reach = math.log(LARGEST_ERROR)
    return math.exp(chance.uniform(-reach, reach))


def _draw_bodies(
    chance: random.Random,
    phase: ArrivalPhase,
    slots: int,
    bias_by_kind: dict[str, float],
) -> list[tuple[str, tuple[TraceTask, ...]]]:
    """Draw clients and tasks until their work fills the phase's load."""
    wanted_ms = phase.load * slots * phase.seconds * 1000.0
    drawn_ms = 0.0
    bodies = []
    while drawn_ms < wanted_ms:
        client = chance.choice(sorted(TEAMS_BY_CLIENT))
        tasks = _draw_tasks(chance, client, bias_by_kind)
        drawn_ms += sum(task.true_ms for task in tasks)
        bodies.append((client, tasks))
    chance.shuffle(bodies)
    return bodies


def _draw_tasks(
    chance: random.Random, client: str, bias_by_kind: dict[str, float]
) -> tuple[TraceTask, ...]:
    """Draw between 1 and 16 tasks, small jobs more often."""
    count = int(_LARGEST_JOB ** chance.random() + 0.5)
    kinds = [kind for kind in KINDS if kind.client == client]
    weights = [kind.weight for kind in kinds]
    main_kind = chance.choices(kinds, weights)[0]
    tasks = []
    for index in range(count):
        kind = main_kind
        if chance.random() > _SHARE_OF_MAIN_KIND:
            kind = chance.choices(kinds, weights)[0]
        true_ms = round(kind.draw_run_time_ms(chance), 1)
        error = bias_by_kind[kind.name] * _draw_chance_error(chance)
        error = min(max(error, 1.0 / LARGEST_ERROR), LARGEST_ERROR)
        declared_ms = max(1, round(true_ms * error))
        tasks.append(TraceTask(f't{index}', kind.name, true_ms, declared_ms))
    return tuple(tasks)


def _draw_chance_error(chance: random.Random) -> float:
    reach = math.log(_CHANCE_ERROR)
    return math.exp(chance.uniform(-reach, reach))


def _deadline_ms(shape: TraceShape, tasks: tuple[TraceTask, ...]) -> int:
    if shape.deadline_stretch is None:
        return _NEVER_LATE_MS
    longest_ms = max(task.true_ms for task in tasks)
    return round(longest_ms * shape.deadline_stretch) + (
        shape.deadline_margin_ms
    )


def _draw_cancel(
    chance: random.Random, waves: tuple[CancelWave, ...], arrival_s: float
) -> float | None:
    for wave in waves:
        reached = wave.at_s - wave.reach_s <= arrival_s < wave.at_s
        if reached and chance.random() < wave.share:
            return wave.at_s
    return None
