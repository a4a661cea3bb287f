"""What can be proved of tasks placed with an earlier agent process."""

import time
from typing import Final

from baobabgap.agent._links import EntryLink
from baobabgap.agent._upstream_reports import LeaseListing
from baobabgap.messages import ResumeTasks
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult

# Seconds that an entry waits for the upstream of an agent that has
# restarted; after that tasks of the earlier process count as lost.
_LONGEST_WAIT_S: Final = 5.0


class Resumption:
    """Answers for tasks that this agent process has no record of.

    A task placed with an earlier agent process never started if the
    upstream does not list it, has forgotten nothing, and is the only
    upstream process that the earlier agent has ever used: it was bound to
    this agent first, so it refuses what the earlier one still has under
    way. Until the upstream has said so, the entry's question waits.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._is_settled = False
        self._proved_agents: set[str] = set()
        self._waiting: list[tuple[float, EntryLink, ResumeTasks]] = []

    def learn(self, listing: LeaseListing) -> None:
        """Take note of what the upstream lists."""
        self._is_settled = True
        if not listing.complete:
            return
        self._proved_agents.update(
            agent
            for agent, is_sole in listing.sole_by_agent.items()
            if is_sole and agent != self._incarnation
        )

    def must_wait(self, link: EntryLink, message: ResumeTasks) -> bool:
        """Keep a question that can't be answered yet."""
        own = message.agent_incarnation == self._incarnation
        if own or self._is_settled:
            return False
        self._waiting.append((time.monotonic(), link, message))
        return True

    def take_waiting(self) -> list[tuple[EntryLink, ResumeTasks]]:
        """Return, once, the questions that were kept."""
        taken = [(link, message) for _, link, message in self._waiting]
        self._waiting = []
        return taken

    def take_overdue(self, now: float) -> list[tuple[EntryLink, ResumeTasks]]:
        """Return the questions once the oldest has waited too long."""
        if not self._waiting or now - self._waiting[0][0] < _LONGEST_WAIT_S:
            return []
        self._is_settled = True
        return self.take_waiting()

    def answer(
        self, agent_incarnation: str, job: str, task: str
    ) -> TaskResult:
        """Tell what became of a task that nobody here has heard of."""
        if agent_incarnation == self._incarnation:
            outcome = TaskOutcome.NOT_STARTED
            reason = 'the placement never arrived'
        elif agent_incarnation in self._proved_agents:
            outcome = TaskOutcome.NOT_STARTED
            reason = 'the upstream never started it'
        else:
            outcome = TaskOutcome.LOST
            reason = 'the agent and its upstream have restarted'
        return TaskResult(job, task, outcome, reason, 0.0, False, 0)
