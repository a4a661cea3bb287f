"""Start and end log lines for each batch of tasks of a job."""

from collections import Counter
from queue import SimpleQueue

from eliot import Action

from baobabgap.messages import PlaceTasks


class Batch:
    """The tasks of one `PlaceTasks` message, logged as one eliot action.

    The action starts on placement and finishes when the last task ends.
    """

    def __init__(self, action: Action, tasks: int) -> None:
        self._action = action
        self._remaining_tasks = tasks
        self._count_by_outcome: Counter[str] = Counter()

    def note_end(self, outcome: str) -> bool:
        """Count the end of a task; return whether it was the last one."""
        self._count_by_outcome[outcome] += 1
        self._remaining_tasks -= 1
        return self._remaining_tasks == 0

    def finish(self) -> None:
        """Write the action's end line."""
        self._action.add_success_fields(**self._count_by_outcome)
        self._action.finish()


class BatchLog:
    """Writes the end lines of batches in a dedicated thread.

    The scheduler passes finished batches here while it holds its lock;
    file I/O under that lock would block every other task.
    """

    def __init__(self, agent: str) -> None:
        self._agent = agent
        self._finished_batches: SimpleQueue[Batch | None] = SimpleQueue()

    def open(self, message: PlaceTasks) -> Batch | None:
        """Start the action of a batch, if the entry logs this job."""
        if not message.log_action:
            return None
        try:
            action = Action.continue_task(
                task_id=message.log_action,
                action_type='agent:run',
                agent=self._agent,
                job=message.job,
                tasks=[placement.task for placement in message.tasks],
            )
        except (ValueError, IndexError):
            # `log_action` is not a valid eliot task identifier: the batch
            # runs without log lines.
            return None
        return Batch(action, len(message.tasks))

    def close(self, batch: Batch) -> None:
        """Queue a batch so that its end line is written."""
        self._finished_batches.put(batch)

    def run(self) -> None:
        """Write lines until `stop`."""
        while (batch := self._finished_batches.get()) is not None:
            batch.finish()

    def stop(self) -> None:
        """End `run` once all queued batches are written."""
        self._finished_batches.put(None)
