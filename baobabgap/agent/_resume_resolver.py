"""Outcomes of tasks that were placed with an earlier agent process."""

import time
from typing import Final

from baobabgap.agent._links import EntryLink
from baobabgap.agent._upstream_reports import LeaseListing
from baobabgap.messages import ResumeTasks
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult

# Seconds that a `ResumeTasks` request waits for the upstream after the
# agent has restarted; then tasks of the earlier process count as lost.
_MAX_DEFERRAL_S: Final = 5.0


class ResumeResolver:
    """Resolves tasks of which this agent process has no record.

    A task placed with an earlier agent process never started if the
    upstream does not list it, its listing is complete, and it is the only
    upstream process that the earlier agent ever used: the upstream bound
    itself to this agent before it listed its leases, so it refuses start
    requests of the earlier agent that are still in transit. Requests are
    deferred until the upstream has sent its listing or the oldest request
    has waited too long.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._can_answer = False
        self._single_upstream_agents: set[str] = set()
        self._deferred: list[tuple[float, EntryLink, ResumeTasks]] = []

    def record_listing(self, listing: LeaseListing) -> None:
        """Record what the upstream's listing proves."""
        self._can_answer = True
        if not listing.complete:
            return
        self._single_upstream_agents.update(
            agent
            for agent, is_sole in listing.sole_by_agent.items()
            if is_sole and agent != self._incarnation
        )

    def defer(self, link: EntryLink, message: ResumeTasks) -> bool:
        """Defer a request that can't be answered yet; return if deferred."""
        is_own = message.agent_incarnation == self._incarnation
        if is_own or self._can_answer:
            return False
        self._deferred.append((time.monotonic(), link, message))
        return True

    def pop_deferred(self) -> list[tuple[EntryLink, ResumeTasks]]:
        """Remove and return the deferred requests."""
        deferred = [(link, message) for _, link, message in self._deferred]
        self._deferred = []
        return deferred

    def pop_overdue(self, now: float) -> list[tuple[EntryLink, ResumeTasks]]:
        """Remove and return all requests once the oldest is overdue."""
        if not self._deferred or now - self._deferred[0][0] < _MAX_DEFERRAL_S:
            return []
        self._can_answer = True
        return self.pop_deferred()

    def resolve(
        self, agent_incarnation: str, job: str, task: str, placement: int
    ) -> TaskResult:
        """Return the result of a task without a record."""
        if agent_incarnation == self._incarnation:
            outcome = TaskOutcome.NOT_STARTED
            reason = 'the placement never arrived'
        elif agent_incarnation in self._single_upstream_agents:
            outcome = TaskOutcome.NOT_STARTED
            reason = 'the upstream never started it'
        else:
            outcome = TaskOutcome.LOST
            reason = 'the agent and its upstream have restarted'
        return TaskResult(job, task, outcome, reason, 0.0, False, 0, placement)
