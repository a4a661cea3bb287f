"""Detects upstreams that run tasks far slower than expected.

An agent detects by itself that its upstream fails or doesn't respond. A
slow upstream looks healthy to its agent; only an entry can detect it, since
it knows the run times of the same kinds of tasks on other upstreams.
"""

from dataclasses import dataclass
from typing import Final

_MIN_OVERDUE_TASKS: Final = 2
_MAX_SUSPENSION_S: Final = 60.0


@dataclass(slots=True)
class _Suspension:
    """The suspension of a slow upstream."""

    # Monotonic seconds from which on one task may probe it.
    probe_at: float
    # Length in seconds; doubles if the probe is slow too.
    duration_s: float
    # Whether a probe is in progress.
    is_probing: bool = False


class SlowUpstreamDetector:
    """Decides which upstreams to suspend, and when to probe them."""

    def __init__(self, first_suspension_s: float) -> None:
        self._first_suspension_s = first_suspension_s
        self._suspension_by_agent: dict[str, _Suspension] = {}

    def is_suspended(self, agent: str) -> bool:
        """Return whether the agent's upstream is suspended."""
        return agent in self._suspension_by_agent

    def suspend_if_slow(
        self,
        agent: str,
        overdue: int,
        outstanding: int,
        agents: int,
        now: float,
    ) -> bool:
        """Suspend an upstream on which most tasks are overdue.

        At most a third of all `agents`, but at least one, can be suspended
        at once: if more of them look slow, the cause lies elsewhere, and
        suspending them would only reduce the capacity. Returns True if
        this call suspended the upstream.
        """
        if agent in self._suspension_by_agent:
            return False
        if len(self._suspension_by_agent) >= max(1, agents // 3):
            return False
        if overdue < _MIN_OVERDUE_TASKS or 2 * overdue < outstanding:
            return False
        self._suspension_by_agent[agent] = _Suspension(
            now + self._first_suspension_s, self._first_suspension_s
        )
        return True

    def due_for_probe(self, now: float) -> list[str]:
        """Return the suspended agents that are due for a probe."""
        return [
            agent
            for agent, suspension in self._suspension_by_agent.items()
            if now >= suspension.probe_at and not suspension.is_probing
        ]

    def start_probe(self, agent: str) -> None:
        """Record that a task probes a suspended upstream."""
        self._suspension_by_agent[agent].is_probing = True

    def end_probe(self, agent: str, was_slow: bool, now: float) -> bool:
        """Evaluate a probe; a slow one doubles the suspension.

        Returns True if the upstream may be used again.
        """
        suspension = self._suspension_by_agent.get(agent)
        if suspension is None or not suspension.is_probing:
            return False
        if not was_slow:
            del self._suspension_by_agent[agent]
            return True
        suspension.duration_s = min(
            2 * suspension.duration_s, _MAX_SUSPENSION_S
        )
        suspension.probe_at = now + suspension.duration_s
        suspension.is_probing = False
        return False

    def abandon_probe(self, agent: str, now: float) -> None:
        """End a probe that tells nothing; another follows later.

        Its task failed, did not start or was cancelled.
        """
        suspension = self._suspension_by_agent.get(agent)
        if suspension is not None and suspension.is_probing:
            suspension.is_probing = False
            suspension.probe_at = now + suspension.duration_s

    def forget(self, agent: str) -> None:
        """Lift the suspension of an agent, because its upstream is new."""
        self._suspension_by_agent.pop(agent, None)
