"""Places waiting tasks on agents, with one message per job and agent."""

from itertools import count
from typing import Final

from baobabgap.configuration import PlacementPolicy
from baobabgap.configuration import Policy
from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._active_job import PendingTask
from baobabgap.entry._agent_links import AgentLinks
from baobabgap.entry._outstanding import OutstandingTasks
from baobabgap.entry._queueing_placement import QueueingPlacement
from baobabgap.entry._token_pool import AgentTokens
from baobabgap.entry._token_pool import TokenPool
from baobabgap.messages import PlaceTasks
from baobabgap.messages import TaskPlacement
from baobabgap.messages import UpstreamLoad
from baobabgap.telemetry import Metrics

# Agents number grant epochs from 1, so no token belongs to this one.
_VOID_EPOCH: Final = 0


class Placer:
    """Selects upstreams for tasks and sends the tasks to their agents.

    `place` only assigns tasks to agents; `flush` sends one message for
    each pair of job and agent. The caller holds the dispatcher's lock.
    """

    def __init__(
        self,
        pool: TokenPool,
        links: AgentLinks,
        outstanding: OutstandingTasks,
        incarnation: str,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._links = links
        self._outstanding = outstanding
        self._incarnation = incarnation
        self._metrics = metrics
        self._queueing = QueueingPlacement()
        self._placement_numbers = count(1)
        self._assigned_by_job: dict[
            str, tuple[ActiveJob, dict[str, list[PendingTask]]]
        ] = {}

    def can_place(self, policy: Policy) -> bool:
        """Return whether any task can be placed now."""
        if uses_tokens(policy):
            return self._pool.idle_tokens() > 0
        return len(self._pool) > 0

    def place(self, job: ActiveJob, policy: Policy, now: float) -> float:
        """Assign the waiting tasks of a job, as far as there is room.

        Returns the expected run time of the assigned tasks in milliseconds.
        """
        placed_ms = 0.0
        while job.waiting:
            tokens = self._choose(job.waiting[-1], policy)
            if tokens is None:
                break
            placed_ms += self._assign(job, tokens, now)
        return placed_ms

    def place_one_at(
        self, agent: str, job: ActiveJob, now: float
    ) -> float | None:
        """Assign a job's next task to one agent, even if it is suspended.

        Returns None if the agent has no room, else the same as `place`.
        """
        size = job.waiting[-1].submission.size
        tokens = self._pool.spend_at(agent, size)
        return None if tokens is None else self._assign(job, tokens, now)

    def flush(self, policy: Policy, now: float) -> None:
        """Send the assigned tasks to their agents."""
        for job, tasks_by_agent in self._assigned_by_job.values():
            for agent, tasks in tasks_by_agent.items():
                epoch = self._epoch_for(agent, policy)
                message = self._message(job, tasks, epoch, now)
                self._links.send(agent, message)
            count_by_agent = {
                agent: len(tasks) for agent, tasks in tasks_by_agent.items()
            }
            self._metrics.count(
                'baobabgap_tasks_placed_total', sum(count_by_agent.values())
            )
            job.log.event('placed', tasks_by_agent=count_by_agent)
        self._assigned_by_job.clear()

    def record_load(self, agent: str, load: UpstreamLoad) -> None:
        """Record a load report, for the baseline policies."""
        self._queueing.set_load(agent, load)

    def forget(self, agent: str) -> None:
        """Discard the load report of an agent whose link was lost."""
        self._queueing.forget(agent)

    def _choose(self, task: PendingTask, policy: Policy) -> AgentTokens | None:
        size = task.submission.size
        if uses_tokens(policy):
            return self._pool.spend(size)
        return self._queueing.choose(policy.placement, self._pool, size)

    def _assign(
        self, job: ActiveJob, tokens: AgentTokens, now: float
    ) -> float:
        task = job.place_next(tokens.agent, tokens.incarnation, now)
        self._outstanding.add(tokens.agent, job, task)
        _, tasks_by_agent = self._assigned_by_job.setdefault(
            job.identifier, (job, {})
        )
        tasks_by_agent.setdefault(tokens.agent, []).append(task)
        return task.expected_ms

    def _epoch_for(self, agent: str, policy: Policy) -> int:
        """Return the epoch of the tokens spent, or the void epoch."""
        tokens = self._pool.get(agent)
        if tokens is None or not uses_tokens(policy):
            return _VOID_EPOCH
        return tokens.epoch

    def _message(
        self,
        job: ActiveJob,
        tasks: list[PendingTask],
        epoch: int,
        now: float,
    ) -> PlaceTasks:
        number = next(self._placement_numbers)
        for task in tasks:
            task.placement = number
        return PlaceTasks(
            job=job.identifier,
            owner_incarnation=self._incarnation,
            agent_incarnation=tasks[0].agent_incarnation,
            epoch=epoch,
            deadline_ms=max(int((job.deadline_at - now) * 1000), 0),
            tasks=tuple(_placement(task) for task in tasks),
            log_action=job.log.new_branch(),
            placement=number,
        )


def uses_tokens(policy: Policy) -> bool:
    """Return whether tasks wait at the entry rather than at the agents."""
    return policy.placement is PlacementPolicy.TOKENS


def _placement(task: PendingTask) -> TaskPlacement:
    submission = task.submission
    return TaskPlacement(
        submission.identifier,
        submission.kind,
        submission.payload,
        submission.size,
    )
