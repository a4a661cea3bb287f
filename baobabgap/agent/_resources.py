"""The processors, memory and accelerators that running tasks hold."""

from typing import Final

from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._queue import size_of
from baobabgap.jobs import TaskSize

# Adding and subtracting fractions leaves a rest far below this.
_PROCESSOR_ROUNDING: Final = 1e-6


class RunningResources:
    """Sums up the declared sizes of the tasks that run."""

    def __init__(self) -> None:
        self._processors = 0.0
        self._memory_mb = 0
        self._accelerators = 0

    def take(self, record: TaskRecord) -> None:
        """Count a task that starts."""
        size = size_of(record)
        self._processors += size.processors
        self._memory_mb += size.memory_mb
        self._accelerators += size.accelerators

    def give_back(self, record: TaskRecord) -> None:
        """Count a task that has ended."""
        size = size_of(record)
        self._processors -= size.processors
        self._memory_mb -= size.memory_mb
        self._accelerators -= size.accelerators

    def free(self, capacity: TaskSize) -> TaskSize:
        """Return what is left of the capacity."""
        return TaskSize(
            capacity.processors - self._processors + _PROCESSOR_ROUNDING,
            capacity.memory_mb - self._memory_mb,
            capacity.accelerators - self._accelerators,
        )
