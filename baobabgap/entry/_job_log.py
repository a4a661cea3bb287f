"""Logs one job as a branch of the action tree of its request."""

from typing import Any

from eliot import Action

from baobabgap.telemetry import log_event


class JobLog:
    """Logs the events of one job at this entry.

    The branch starts when the job is admitted and ends with its answer.
    Each agent that receives tasks continues it under a task identifier of
    its own, so that the events of all processes form one tree.
    """

    def __init__(self, action: Action | None, job: str) -> None:
        self._action = action
        self._job = job

    @classmethod
    def from_serialised(cls, log_action: str, job: str) -> 'JobLog':
        """Continue a serialised action; without one, log no tree."""
        if not log_action:
            return cls(None, job)
        action = Action.continue_task(
            task_id=log_action, action_type='entry', job=job
        )
        return cls(action, job)

    def event(self, event: str, **fields: Any) -> None:
        """Log one event of the job."""
        if self._action is None:
            log_event(event, job=self._job, **fields)
        else:
            self._action.log(message_type=event, job=self._job, **fields)

    def new_branch(self) -> str:
        """Return the serialised task identifier of a new branch."""
        if self._action is None:
            return ''
        return str(self._action.serialize_task_id().decode('ascii'))

    def finish(self, end: str) -> None:
        """Finish the branch; `end` is `whole` or a failure code."""
        self.event('ended', end=end)
        if self._action is not None:
            self._action.finish()
