"""Finds upstreams that run everything far slower than learned.

An upstream that fails or is silent is its agent's to judge. One that is
merely slow looks healthy from beside it; only an entry, which knows what
the same kinds of tasks take elsewhere, can tell.
"""

from dataclasses import dataclass
from typing import Final

_FEWEST_OVERDUE: Final = 2
_LONGEST_PAUSE_S: Final = 60.0


@dataclass(slots=True)
class _Suspension:
    """An upstream that is avoided for being slow."""

    # Monotonic seconds when one task may try it.
    try_at: float
    # Seconds of the next pause if that task is slow too.
    pause_s: float
    # Whether a task is trying it now.
    is_trying: bool = False


class UpstreamWatch:
    """Decides which agents' upstreams to avoid, and when to try them."""

    def __init__(self, first_pause_s: float) -> None:
        self._first_pause_s = first_pause_s
        self._suspension_by_agent: dict[str, _Suspension] = {}

    def is_suspended(self, agent: str) -> bool:
        """Tell whether the agent's upstream is avoided."""
        return agent in self._suspension_by_agent

    def judge(
        self,
        agent: str,
        overdue: int,
        outstanding: int,
        agents: int,
        now: float,
    ) -> bool:
        """Suspend an upstream on which most tasks are overdue.

        At most a third of all `agents` are avoided at once: when more of
        them look slow, the cause lies elsewhere, and avoiding them would
        only take capacity away. Returns True if it was suspended by this
        call.
        """
        if agent in self._suspension_by_agent:
            return False
        if len(self._suspension_by_agent) >= max(1, agents // 3):
            return False
        if overdue < _FEWEST_OVERDUE or 2 * overdue < outstanding:
            return False
        self._suspension_by_agent[agent] = _Suspension(
            now + self._first_pause_s, self._first_pause_s
        )
        return True

    def due_for_try(self, now: float) -> list[str]:
        """Return suspended agents that one task may try now."""
        return [
            agent
            for agent, suspension in self._suspension_by_agent.items()
            if now >= suspension.try_at and not suspension.is_trying
        ]

    def start_try(self, agent: str) -> None:
        """Note that a task tries a suspended upstream."""
        self._suspension_by_agent[agent].is_trying = True

    def end_try(self, agent: str, was_slow: bool, now: float) -> bool:
        """Take in how a task on a suspended upstream went.

        Returns True if the upstream may be used again.
        """
        suspension = self._suspension_by_agent.get(agent)
        if suspension is None or not suspension.is_trying:
            return False
        if not was_slow:
            del self._suspension_by_agent[agent]
            return True
        suspension.pause_s = min(2 * suspension.pause_s, _LONGEST_PAUSE_S)
        suspension.try_at = now + suspension.pause_s
        suspension.is_trying = False
        return False

    def forget(self, agent: str) -> None:
        """Drop what is known of an agent, because its upstream is new."""
        self._suspension_by_agent.pop(agent, None)
