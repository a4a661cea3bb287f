"""Queue of tasks that wait for a free slot."""

from collections import deque
from collections.abc import Callable

from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._task_registry import TaskState
from baobabgap.jobs import TaskSize


class TaskQueue:
    """FIFO queue whose head starts once its resources are free.

    It is short: a task waits here only if its token was void, or if
    running tasks hold the processors or memory that it declares. No task
    starts before the head of the queue, so that a large task can't starve.
    """

    def __init__(self) -> None:
        self._records: deque[TaskRecord] = deque()

    def __len__(self) -> int:
        return len(self._records)

    def append(self, record: TaskRecord) -> None:
        """Add a task to the end of the queue."""
        self._records.append(record)

    def pop_fitting(self, free: TaskSize) -> TaskRecord | None:
        """Remove and return the task at the head if it fits."""
        while self._records:
            head = self._records[0]
            if head.state is not TaskState.QUEUED:
                self._records.popleft()
                continue
            if not size_of(head).fits_in(free):
                return None
            return self._records.popleft()
        return None

    def remove_matching(
        self, predicate: Callable[[TaskRecord], bool]
    ) -> list[TaskRecord]:
        """Remove and return all tasks for which `predicate` is true."""
        removed = [record for record in self._records if predicate(record)]
        if removed:
            self._records = deque(
                record for record in self._records if not predicate(record)
            )
        return removed


def size_of(record: TaskRecord) -> TaskSize:
    """Return the declared size, or zero for an adopted task."""
    if record.placement is None:
        return TaskSize(0.0, 0, 0)
    return record.placement.size
