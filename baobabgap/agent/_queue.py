"""Tasks that wait at the agent for a free slot."""

from collections import deque
from collections.abc import Callable

from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._memory import TaskState
from baobabgap.jobs import TaskSize


class TaskQueue:
    """A first-come queue that starts what fits into free resources.

    It is short: a task waits here only if its token was void, or if tasks
    that run hold the processors or the memory that it has declared. The
    task at the head is never overtaken, so that a large one can't starve.
    """

    def __init__(self) -> None:
        self._records: deque[TaskRecord] = deque()

    def __len__(self) -> int:
        return len(self._records)

    def append(self, record: TaskRecord) -> None:
        """Let a task wait."""
        self._records.append(record)

    def pop_fitting(self, free: TaskSize) -> TaskRecord | None:
        """Take the task at the head if it fits."""
        while self._records:
            head = self._records[0]
            if head.state is not TaskState.QUEUED:
                self._records.popleft()
                continue
            if not size_of(head).fits_in(free):
                return None
            return self._records.popleft()
        return None

    def take(self, wanted: Callable[[TaskRecord], bool]) -> list[TaskRecord]:
        """Take out all tasks that `wanted` holds for."""
        taken = [record for record in self._records if wanted(record)]
        if taken:
            self._records = deque(
                record for record in self._records if not wanted(record)
            )
        return taken


def size_of(record: TaskRecord) -> TaskSize:
    """Return the declared size; nothing is known of an adopted task."""
    if record.placement is None:
        return TaskSize(0.0, 0, 0)
    return record.placement.size
