"""Processors, memory and accelerators that running tasks hold."""

from typing import Final

from baobabgap.agent._queue import size_of
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.jobs import TaskSize

# Adding and subtracting fractions leaves an error far below this.
_PROCESSOR_TOLERANCE: Final = 1e-6


class RunningResources:
    """Sums up the declared sizes of the tasks that run."""

    def __init__(self) -> None:
        self._processors = 0.0
        self._memory_mb = 0
        self._accelerators = 0

    def acquire(self, record: TaskRecord) -> None:
        """Add the size of a task that starts."""
        size = size_of(record)
        self._processors += size.processors
        self._memory_mb += size.memory_mb
        self._accelerators += size.accelerators

    def release(self, record: TaskRecord) -> None:
        """Subtract the size of a task that has ended."""
        size = size_of(record)
        self._processors -= size.processors
        self._memory_mb -= size.memory_mb
        self._accelerators -= size.accelerators

    def free(self, capacity: TaskSize) -> TaskSize:
        """Return the part of the capacity that no task holds."""
        return TaskSize(
            capacity.processors - self._processors + _PROCESSOR_TOLERANCE,
            capacity.memory_mb - self._memory_mb,
            capacity.accelerators - self._accelerators,
        )
