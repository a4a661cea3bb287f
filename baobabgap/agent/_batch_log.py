"""One pair of log lines for each batch of tasks of a job."""

from collections import Counter
from queue import SimpleQueue

from eliot import Action

from baobabgap.messages import PlaceTasks


class Batch:
    """The tasks that one message placed, as one eliot action.

    The action starts when they are placed and ends with the last of them.
    """

    def __init__(self, action: Action, tasks: int) -> None:
        self._action = action
        self._left = tasks
        self._count_by_outcome: Counter[str] = Counter()

    def note_end(self, outcome: str) -> bool:
        """Count the end of a task; tell whether it was the last one."""
        self._count_by_outcome[outcome] += 1
        self._left -= 1
        return self._left == 0

    def finish(self) -> None:
        """Write the action's last line."""
        self._action.add_success_fields(**self._count_by_outcome)
        self._action.finish()


class BatchLog:
    """Writes the lines of batches from a task of its own.

    The scheduler hands ended batches over while it holds its lock, and
    writing to a file there would hold up every other task.
    """

    def __init__(self, agent: str) -> None:
        self._agent = agent
        self._ended: SimpleQueue[Batch | None] = SimpleQueue()

    def open(self, message: PlaceTasks) -> Batch | None:
        """Begin the action of a batch, if the entry logs this job."""
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
            # The entry's text is no eliot identifier: run without a log.
            return None
        return Batch(action, len(message.tasks))

    def close(self, batch: Batch) -> None:
        """Have the last line of a batch written."""
        self._ended.put(batch)

    def run(self) -> None:
        """Write lines until `stop`."""
        while (batch := self._ended.get()) is not None:
            batch.finish()

    def stop(self) -> None:
        """End `run` once all that was handed over is written."""
        self._ended.put(None)
