"""Tracks the placed tasks, to query them after an agent reconnects."""

from collections.abc import Iterator

from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._active_job import PendingTask
from baobabgap.entry._run_times import RunTimes
from baobabgap.messages import ResumeTasks

_TaskKey = tuple[str, str]


class OutstandingTasks:
    """The placed tasks of this entry that have not ended, by agent."""

    def __init__(self) -> None:
        self._tasks_by_agent: dict[
            str, dict[_TaskKey, tuple[ActiveJob, PendingTask]]
        ] = {}
        self._lost_at_by_agent: dict[str, float] = {}
        # Total expected run time in milliseconds.
        self.work_ms = 0.0

    def add(self, agent: str, job: ActiveJob, task: PendingTask) -> None:
        """Add a task that is placed on an agent."""
        tasks = self._tasks_by_agent.setdefault(agent, {})
        tasks[job.identifier, task.submission.identifier] = (job, task)
        self.work_ms += task.expected_ms

    def remove(self, agent: str, job: str, task: str) -> PendingTask | None:
        """Remove an ended task; None if it isn't outstanding."""
        tasks = self._tasks_by_agent.get(agent, {})
        found = tasks.pop((job, task), None)
        if found is None:
            return None
        self.work_ms -= found[1].expected_ms
        return found[1]

    def link_lost(self, agent: str, now: float) -> None:
        """Record that the link to an agent was lost at `now`."""
        if self._tasks_by_agent.get(agent):
            self._lost_at_by_agent[agent] = now

    def find(self, agent: str, job: str, task: str) -> PendingTask | None:
        """Return a task that is placed on an agent, or None."""
        found = self._tasks_by_agent.get(agent, {}).get((job, task))
        return None if found is None else found[1]

    def link_returned(self, agent: str) -> list[ResumeTasks]:
        """Return the requests for the tasks of a reconnected agent.

        There is one for each agent incarnation that they were placed on.
        """
        self._lost_at_by_agent.pop(agent, None)
        placed_by_incarnation: dict[str, list[tuple[_TaskKey, int]]] = {}
        for key, (_, task) in self._tasks_by_agent.get(agent, {}).items():
            placed_by_incarnation.setdefault(
                task.agent_incarnation, []
            ).append((key, task.placement))
        return [
            ResumeTasks(
                incarnation,
                tuple(key for key, _ in placed),
                tuple(placement for _, placement in placed),
            )
            for incarnation, placed in placed_by_incarnation.items()
        ]

    def pop_lost(
        self, lost_before: float
    ) -> Iterator[tuple[str, ActiveJob, PendingTask]]:
        """Remove and yield the tasks of agents lost before a time."""
        for agent, lost_at in list(self._lost_at_by_agent.items()):
            if lost_at > lost_before:
                continue
            del self._lost_at_by_agent[agent]
            for job, task in self._tasks_by_agent.pop(agent, {}).values():
                self.work_ms -= task.expected_ms
                yield agent, job, task

    def count_overdue(
        self, agent: str, run_times: RunTimes, now: float
    ) -> tuple[int, int]:
        """Count the agent's overdue tasks, and all of its tasks."""
        tasks = self._tasks_by_agent.get(agent, {})
        overdue = 0
        for job, task in tasks.values():
            limit_ms = run_times.overdue_threshold_ms(
                job.client, task.submission
            )
            elapsed_ms = (now - task.placed_at) * 1000
            if limit_ms is not None and elapsed_ms > limit_ms:
                overdue += 1
        return overdue, len(tasks)
