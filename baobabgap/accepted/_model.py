"""Accepted jobs: what was asked for, and how far it has come."""

from dataclasses import dataclass
from enum import StrEnum


class JobState(StrEnum):
    """How a caller sees a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunEnd(StrEnum):
    """How a run of a task ended."""

    DONE = 'done'
    # The task or its upstream was at fault: counts as an attempt.
    FAILED = 'failed'
    # Stopped by order, or its lease ran out: doesn't count.
    INTERRUPTED = 'interrupted'


@dataclass(frozen=True, slots=True)
class Demand:
    """What a task occupies on its upstream, or what there is of it."""

    # Thousandths of a processor core.
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Demand') -> 'Demand':
        """Add two demands."""
        return Demand(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Demand') -> 'Demand':
        """Subtract a demand; the rest may be negative."""
        return Demand(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, free: 'Demand') -> bool:
        """Tell whether every part fits."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job that may start together."""

    tasks: int
    demand: Demand
    # The submitter's rough guess of one task's duration, milliseconds.
    estimate_ms: int = 0
    # Earlier steps, by position, that must be done first.
    after: tuple[int, ...] = ()
    # A label that the upstream must carry, or empty.
    required_label: str = ''
    # The rack where the input lies, or empty.
    data_rack: str = ''
    # At most this many tasks of the step on one upstream; 0 for no limit.
    most_per_upstream: int = 0


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job as it was accepted; nothing in it changes afterwards."""

    job_id: str
    # What the queue said at that time.
    queue: str
    service: str
    priority: int
    attempts: int
    stretch: float
    latency_allowance_ms: int
    # Opaque input that each start hands to the upstream.
    payload: str
    steps: tuple[Step, ...]
    # Milliseconds since 1970 on the accepting leader's clock.
    accepted_ms: int
    # The term of the leader that accepted it.
    term: int
    # Whether it lives in the leader's memory only: its caller waits for
    # its end, and hands it in again if the answer doesn't come.
    is_volatile: bool = False


@dataclass(frozen=True, slots=True)
class TaskId:
    """One task of a job."""

    job_id: str
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """One run of a task has ended."""

    task: TaskId
    run: int
    end: RunEnd
