"""Learns run times, since those that clients declare are often wrong."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from baobabgap.jobs import TaskSubmission

# Weight of a new sample in the moving averages, once there are many.
_MIN_SAMPLE_WEIGHT: Final = 0.1
# Samples from which on the learned run time is used alone.
_RELIABLE_SAMPLES: Final = 10
_MAXIMUM_KINDS: Final = 10_000
# A shorter delay is more likely caused by the hosts than by the upstream.
_MIN_OVERDUE_THRESHOLD_MS: Final = 500.0


@dataclass(slots=True)
class _LearnedRunTime:
    """Moving averages over one client's tasks of one kind."""

    # Mean run time in milliseconds.
    mean_ms: float
    # Mean absolute deviation in milliseconds.
    deviation_ms: float
    # Number of samples.
    samples: int = 1

    def add(self, run_time_ms: float) -> None:
        """Update the averages with one more run time."""
        self.samples += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.samples)
        distance = abs(run_time_ms - self.mean_ms)
        self.mean_ms += weight * (run_time_ms - self.mean_ms)
        self.deviation_ms += weight * (distance - self.deviation_ms)


class RunTimes:
    """Estimates run times for each client and kind of task.

    The declared time has full weight at first, and less with each sample::

        run_times = RunTimes()
        run_times.learn('kurek', 'seat', 80.0)
        run_times.expected_ms('kurek', task)
    """

    def __init__(self) -> None:
        self._learned_by_kind: dict[tuple[str, str], _LearnedRunTime] = {}

    def learn(self, client: str, kind: str, run_time_ms: float) -> None:
        """Add the measured run time of one task, in milliseconds."""
        key = (client, kind)
        learned = self._learned_by_kind.get(key)
        if learned is not None:
            learned.add(run_time_ms)
            return
        if len(self._learned_by_kind) >= _MAXIMUM_KINDS:
            oldest = next(iter(self._learned_by_kind))
            del self._learned_by_kind[oldest]
        self._learned_by_kind[key] = _LearnedRunTime(
            run_time_ms, run_time_ms / 2
        )

    def expected_ms(self, client: str, task: TaskSubmission) -> float:
        """Return the expected run time of a task in milliseconds."""
        learned = self._learned_by_kind.get((client, task.kind))
        if learned is None:
            return float(task.run_time_ms)
        learned_weight = min(learned.samples / _RELIABLE_SAMPLES, 1.0)
        return (
            learned_weight * learned.mean_ms
            + (1 - learned_weight) * task.run_time_ms
        )

    def expected_all_ms(
        self, client: str, tasks: Sequence[TaskSubmission]
    ) -> list[float]:
        """Return the expected run time of each task in milliseconds."""
        return [self.expected_ms(client, task) for task in tasks]

    def overdue_threshold_ms(
        self, client: str, task: TaskSubmission
    ) -> float | None:
        """Return the run time in milliseconds beyond which a task is overdue.

        None while there are too few samples of its kind.
        """
        learned = self._learned_by_kind.get((client, task.kind))
        if learned is None or learned.samples < _RELIABLE_SAMPLES:
            return None
        threshold_ms = 2 * learned.mean_ms + 4 * learned.deviation_ms
        return max(threshold_ms, _MIN_OVERDUE_THRESHOLD_MS)
