"""Log lines of one job within its action tree."""

from typing import Any

from eliot import Action

from baobabgap.telemetry import log_event


def log_in_job(log_action: str, event: str, **fields: Any) -> None:
    """Log an event under the job's serialised action, if it has one."""
    if not log_action:
        log_event(event, **fields)
        return
    with Action.continue_task(task_id=log_action, action_type=event, **fields):
        pass
