"""Generates traces: arrival times, true and declared run times of jobs.

A trace depends only on its seed and shape, so that all policies get the
same work. Run times follow the kind of task. Declared run times are off
by a bias that is constant for a client and kind, times a random error of
each task; their product is limited to a factor of five.
"""

from dataclasses import dataclass
import math
import random
from typing import Final

MAX_ERROR_FACTOR: Final = 5.0
_MAX_RANDOM_ERROR_FACTOR: Final = 2.0
_MAX_TASKS_PER_JOB: Final = 16
_SHARE_OF_MAIN_KIND: Final = 0.8
_LAX_DEADLINE_MS: Final = 300_000


@dataclass(frozen=True, slots=True)
class TaskKind:
    """A kind of task, with a log-normal distribution of run times."""

    name: str
    client: str
    # Relative frequency among the client's kinds.
    weight: float
    median_ms: float
    # Standard deviation of the logarithm of the run time.
    spread: float
    shortest_ms: float = 50.0
    longest_ms: float = 1000.0

    def draw_run_time_ms(self, rng: random.Random) -> float:
        """Draw one true run time."""
        run_time_ms = self.median_ms * math.exp(rng.gauss(0.0, self.spread))
        return min(max(run_time_ms, self.shortest_ms), self.longest_ms)


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
    """A task with its true and its declared run time."""

    identifier: str
    kind: str
    true_ms: float
    declared_ms: int


@dataclass(frozen=True, slots=True)
class TraceJob:
    """A job, its arrival time and its deadline."""

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
    def longest_task_s(self) -> float:
        """The true run time of the longest task, in seconds."""
        return max(task.true_ms for task in self.tasks) / 1000.0

    @property
    def work_s(self) -> float:
        """The total true run time of all tasks, in seconds."""
        return sum(task.true_ms for task in self.tasks) / 1000.0


@dataclass(frozen=True, slots=True)
class ArrivalPhase:
    """An interval in which jobs arrive as a Poisson process."""

    start_s: float
    seconds: float
    # Ratio of arriving work to the capacity of the slots.
    load: float


@dataclass(frozen=True, slots=True)
class CancelWave:
    """Many callers cancel their jobs at the same time."""

    at_s: float
    # Seconds before `at_s` in which the cancelled jobs arrived.
    window_s: float
    # Probability that such a job is cancelled.
    share: float


@dataclass(frozen=True, slots=True)
class TraceShape:
    """The parameters of a trace."""

    slots: int
    phases: tuple[ArrivalPhase, ...]
    waves: tuple[CancelWave, ...] = ()
    # The deadline is the longest task's true run time times this factor,
    # plus `deadline_margin_ms`. None sets one that never matters.
    deadline_stretch: float | None = None
    deadline_margin_ms: int = 500


def generate_trace(seed: int, shape: TraceShape) -> tuple[TraceJob, ...]:
    """Generate the jobs of a trace, in order of arrival.

    In each phase the arriving work matches the load to within one job,
    and arrivals are those of a Poisson process.
    """
    rng = random.Random(seed)
    bias_by_kind = {kind.name: _draw_bias(rng) for kind in KINDS}
    jobs: list[TraceJob] = []
    for phase in shape.phases:
        work = _draw_work(rng, phase, shape.slots, bias_by_kind)
        arrivals = sorted(
            phase.start_s + rng.random() * phase.seconds for _ in work
        )
        for arrival_s, (client, tasks) in zip(arrivals, work, strict=True):
            jobs.append(
                TraceJob(
                    number=len(jobs),
                    arrival_s=arrival_s,
                    client=client,
                    team=rng.choice(TEAMS_BY_CLIENT[client]),
                    deadline_ms=_deadline_ms(shape, tasks),
                    tasks=tasks,
                    cancel_s=_draw_cancel_s(rng, shape.waves, arrival_s),
                )
            )
    return tuple(jobs)


def generate_wide_trace(
    jobs: int, tasks: int, pause_s: float
) -> tuple[TraceJob, ...]:
    """Generate evenly spaced jobs of many tasks with a run time of 0."""
    return tuple(
        TraceJob(
            number=number,
            arrival_s=number * pause_s,
            client='etnavapore',
            team='drilling',
            deadline_ms=_LAX_DEADLINE_MS,
            tasks=tuple(
                TraceTask(f't{index}', 'instant', 0.0, 1)
                for index in range(tasks)
            ),
        )
        for number in range(jobs)
    )


def _draw_bias(rng: random.Random) -> float:
    """Draw the constant error factor of one kind's declarations."""
    log_limit = math.log(MAX_ERROR_FACTOR)
    return math.exp(rng.uniform(-log_limit, log_limit))


def _draw_work(
    rng: random.Random,
    phase: ArrivalPhase,
    slots: int,
    bias_by_kind: dict[str, float],
) -> list[tuple[str, tuple[TraceTask, ...]]]:
    """Draw clients and tasks until their work reaches the phase's load."""
    target_ms = phase.load * slots * phase.seconds * 1000.0
    total_ms = 0.0
    work = []
    while total_ms < target_ms:
        client = rng.choice(sorted(TEAMS_BY_CLIENT))
        tasks = _draw_tasks(rng, client, bias_by_kind)
        total_ms += sum(task.true_ms for task in tasks)
        work.append((client, tasks))
    rng.shuffle(work)
    return work


def _draw_tasks(
    rng: random.Random, client: str, bias_by_kind: dict[str, float]
) -> tuple[TraceTask, ...]:
    """Draw 1 to 16 tasks; the number is log-uniformly distributed."""
    count = int(_MAX_TASKS_PER_JOB ** rng.random() + 0.5)
    kinds = [kind for kind in KINDS if kind.client == client]
    weights = [kind.weight for kind in kinds]
    main_kind = rng.choices(kinds, weights)[0]
    tasks = []
    for index in range(count):
        kind = main_kind
        if rng.random() > _SHARE_OF_MAIN_KIND:
            kind = rng.choices(kinds, weights)[0]
        true_ms = round(kind.draw_run_time_ms(rng), 1)
        error_factor = bias_by_kind[kind.name] * _draw_random_error(rng)
        error_factor = min(
            max(error_factor, 1.0 / MAX_ERROR_FACTOR), MAX_ERROR_FACTOR
        )
        declared_ms = max(1, round(true_ms * error_factor))
        tasks.append(TraceTask(f't{index}', kind.name, true_ms, declared_ms))
    return tuple(tasks)


def _draw_random_error(rng: random.Random) -> float:
    log_limit = math.log(_MAX_RANDOM_ERROR_FACTOR)
    return math.exp(rng.uniform(-log_limit, log_limit))


def _deadline_ms(shape: TraceShape, tasks: tuple[TraceTask, ...]) -> int:
    if shape.deadline_stretch is None:
        return _LAX_DEADLINE_MS
    longest_ms = max(task.true_ms for task in tasks)
    return round(longest_ms * shape.deadline_stretch) + (
        shape.deadline_margin_ms
    )


def _draw_cancel_s(
    rng: random.Random, waves: tuple[CancelWave, ...], arrival_s: float
) -> float | None:
    for wave in waves:
        is_in_window = wave.at_s - wave.window_s <= arrival_s < wave.at_s
        if is_in_window and rng.random() < wave.share:
            return wave.at_s
    return None
