"""Accepted jobs with their steps and tasks, and how runs end."""

from dataclasses import dataclass
from enum import StrEnum

from baobabgap.jobmodel._crashes import CrashEvidence


class JobState(StrEnum):
    """The state of a job as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunEnd(StrEnum):
    """How a run of a task ended."""

    DONE = 'done'
    # A fault of the task or its upstream: counts as an attempt.
    FAILED = 'failed'
    # Stopped on request, or its lease expired: doesn't count as an attempt.
    INTERRUPTED = 'interrupted'


@dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a task occupies, or that an upstream has."""

    # Thousandths of a processor core.
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Demand') -> 'Demand':
        """Return the sum of two demands."""
        return Demand(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Demand') -> 'Demand':
        """Return the difference of two demands, which may be negative."""
        return Demand(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, free: 'Demand') -> bool:
        """Return whether every resource fits in `free`."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Identical tasks of a job that may run in parallel."""

    tasks: int
    demand: Demand
    # The submitter's rough estimate of one task's duration, milliseconds.
    estimate_ms: int = 0
    # Positions of the earlier steps that must be done first.
    after: tuple[int, ...] = ()
    # A label that the upstream must have, or empty.
    required_label: str = ''
    # The rack that stores the input, or empty.
    data_rack: str = ''
    # At most this many tasks of the step on one upstream; 0 for no limit.
    most_per_upstream: int = 0


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job as it was accepted; immutable from then on."""

    job_id: str
    # The queue and its settings at that time.
    queue: str
    service: str
    priority: int
    attempts: int
    stretch: float
    latency_allowance_ms: int
    # Opaque input that each start sends to the upstream.
    payload: str
    steps: tuple[Step, ...]
    # Milliseconds since 1970 on the accepting leader's clock.
    accepted_ms: int
    # The term of the leader that accepted it.
    term: int
    # Whether the job is in the leader's memory only: its caller waits for
    # the end, and submits it again if no answer arrives.
    is_volatile: bool = False


@dataclass(frozen=True, slots=True)
class TaskId:
    """Identifies one task of a job by its step and its index there."""

    job_id: str
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """The end of one run of a task."""

    task: TaskId
    run: int
    end: RunEnd
    # Set if the run was lost in a crash of its upstream.
    crash: CrashEvidence | None = None
