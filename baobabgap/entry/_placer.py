"""Hands waiting tasks to agents, as many of a job at once as it can."""

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

# Agents count grant epochs from 1 on, so no token belongs to this one.
_VOID_EPOCH: Final = 0


class Placer:
    """Chooses upstreams for tasks and sends the tasks there.

    `place` only notes what goes where; `flush` sends one message for
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
        self._noted_by_job: dict[
            str, tuple[ActiveJob, dict[str, list[PendingTask]]]
        ] = {}

    def can_place(self, policy: Policy) -> bool:
        """Tell whether any task can be placed now."""
        if uses_tokens(policy):
            return self._pool.idle_tokens() > 0
        return len(self._pool) > 0

    def place(self, job: ActiveJob, policy: Policy, now: float) -> float:
        """Place what a job has waiting, as far as there is room.

        Returns the expected run time of the placed tasks in milliseconds.
        """
        placed_ms = 0.0
        while job.waiting:
            tokens = self._choose(job.waiting[-1], policy)
            if tokens is None:
                break
            placed_ms += self._note(job, tokens, now)
        return placed_ms

    def place_one_at(
        self, agent: str, job: ActiveJob, now: float
    ) -> float | None:
        """Place a job's next task at a given agent, even a suspended one.

        None if the agent has no room; else as for `place`.
        """
        size = job.waiting[-1].submission.size
        tokens = self._pool.spend_at(agent, size)
        return None if tokens is None else self._note(job, tokens, now)

    def flush(self, policy: Policy, now: float) -> None:
        """Send what has been noted."""
        for job, tasks_by_agent in self._noted_by_job.values():
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
        self._noted_by_job.clear()

    def hear_load(self, agent: str, load: UpstreamLoad) -> None:
        """Keep a load report, for the baseline policies."""
        self._queueing.hear(agent, load)

    def forget(self, agent: str) -> None:
        """Drop what is known of an agent whose link was lost."""
        self._queueing.forget(agent)

    def _choose(self, task: PendingTask, policy: Policy) -> AgentTokens | None:
        size = task.submission.size
        if uses_tokens(policy):
            return self._pool.spend(size)
        return self._queueing.choose(policy.placement, self._pool, size)

    def _note(self, job: ActiveJob, tokens: AgentTokens, now: float) -> float:
        task = job.place_next(tokens.agent, tokens.incarnation, now)
        self._outstanding.add(tokens.agent, job, task)
        _, tasks_by_agent = self._noted_by_job.setdefault(
            job.identifier, (job, {})
        )
        tasks_by_agent.setdefault(tokens.agent, []).append(task)
        return task.expected_ms

    def _epoch_for(self, agent: str, policy: Policy) -> int:
        """Return the epoch of the token that was spent, or a void one."""
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
        return PlaceTasks(
            job=job.identifier,
            owner_incarnation=self._incarnation,
            agent_incarnation=tasks[0].agent_incarnation,
            epoch=epoch,
            deadline_ms=max(int((job.deadline_at - now) * 1000), 0),
            tasks=tuple(_placement(task) for task in tasks),
            log_action=job.log.new_branch(),
        )


def uses_tokens(policy: Policy) -> bool:
    """Tell whether tasks wait at the entry rather than at the agents."""
    return policy.placement is PlacementPolicy.TOKENS


def _placement(task: PendingTask) -> TaskPlacement:
    submission = task.submission
    return TaskPlacement(
        submission.identifier,
        submission.kind,
        submission.payload,
        submission.size,
    )
