"""Learned run times: what clients declare is often far from the truth."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from baobabgap.jobs import TaskSubmission

_NEW_WEIGHT: Final = 0.1
_FEW_SAMPLES: Final = 10
_MAXIMUM_KINDS: Final = 10_000
# Below this a late task says more about the hosts than its upstream.
_LEAST_OVERDUE_MS: Final = 500.0


@dataclass(slots=True)
class _LearnedRunTime:
    """Moving figures of one client's tasks of one kind."""

    # Run time in milliseconds.
    mean_ms: float
    # Mean distance from the mean, in milliseconds.
    deviation_ms: float
    # How many tasks have been seen.
    samples: int = 1

    def add(self, run_time_ms: float) -> None:
        """Move the figures towards one more run time."""
        self.samples += 1
        weight = max(_NEW_WEIGHT, 1 / self.samples)
        distance = abs(run_time_ms - self.mean_ms)
        self.mean_ms += weight * (run_time_ms - self.mean_ms)
        self.deviation_ms += weight * (distance - self.deviation_ms)


class RunTimes:
    """Expected run times for each client and kind of task.

    The declared time counts fully at first and less with each task seen::

        run_times = RunTimes()
        run_times.learn('kurek', 'seat', 80.0)
        run_times.expected_ms('kurek', task)
    """

    def __init__(self) -> None:
        self._learned_by_kind: dict[tuple[str, str], _LearnedRunTime] = {}

    def learn(self, client: str, kind: str, run_time_ms: float) -> None:
        """Take in the true run time of one task, in milliseconds."""
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
        trust = min(learned.samples / _FEW_SAMPLES, 1.0)
        return trust * learned.mean_ms + (1 - trust) * task.run_time_ms

    def expected_all_ms(
        self, client: str, tasks: Sequence[TaskSubmission]
    ) -> list[float]:
        """Return the expected run time of each task in milliseconds."""
        return [self.expected_ms(client, task) for task in tasks]

    def overdue_ms(self, client: str, task: TaskSubmission) -> float | None:
        """Return the run time beyond which a task of this kind is odd.

        None while too few tasks of the kind have been seen.
        """
        learned = self._learned_by_kind.get((client, task.kind))
        if learned is None or learned.samples < _FEW_SAMPLES:
            return None
        odd_ms = 2 * learned.mean_ms + 4 * learned.deviation_ms
        return max(odd_ms, _LEAST_OVERDUE_MS)
