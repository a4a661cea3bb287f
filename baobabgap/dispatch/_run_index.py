"""The runs of each task by the agents at whose upstreams they may be."""

from baobabgap.jobmodel import TaskId


class RunIndex:
    """Knows at which agents the leader tracks a run of a task.

    A task may have several: those of earlier submissions of its job, or of
    earlier terms, may still stop. Looking up a task costs the same with any
    number of agents.
    """

    def __init__(self) -> None:
        # Names of agents, those that have tracked the task longest first.
        self._agents_by_task: dict[TaskId, list[str]] = {}

    def add(self, task: TaskId, agent: str) -> None:
        """Record that a run is tracked; a repeated call has no effect."""
        agents = self._agents_by_task.setdefault(task, [])
        if agent not in agents:
            agents.append(agent)

    def discard(self, task: TaskId, agent: str) -> None:
        """Record that no run is tracked any more at an agent."""
        agents = self._agents_by_task.get(task, [])
        if agent in agents:
            agents.remove(agent)
        if not agents:
            self._agents_by_task.pop(task, None)

    def agents_of(self, task: TaskId) -> tuple[str, ...]:
        """Return the agents with a tracked run of a task."""
        return tuple(self._agents_by_task.get(task, ()))
