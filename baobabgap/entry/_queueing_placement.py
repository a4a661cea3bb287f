"""Baseline placement policies, under which tasks queue at the agents.

They serve as a reference in benchmarks; see docs/DESIGN.md.
"""

import random
from typing import Final

from baobabgap.configuration import PlacementPolicy
from baobabgap.entry._token_pool import AgentTokens
from baobabgap.entry._token_pool import TokenPool
from baobabgap.jobs import TaskSize
from baobabgap.messages import UpstreamLoad

_SEED: Final = 1


class QueueingPlacement:
    """Selects an upstream at random, or by the latest load reports."""

    def __init__(self) -> None:
        self._random = random.Random(_SEED)
        self._load_by_agent: dict[str, UpstreamLoad] = {}

    def set_load(self, agent: str, load: UpstreamLoad) -> None:
        """Record an agent's latest load report."""
        self._load_by_agent[agent] = load

    def forget(self, agent: str) -> None:
        """Discard the report of an agent whose link was lost."""
        self._load_by_agent.pop(agent, None)

    def choose(
        self, policy: PlacementPolicy, pool: TokenPool, size: TaskSize
    ) -> AgentTokens | None:
        """Return an agent that accepts tasks of this size, or None."""
        fitting = pool.agents_where(
            lambda tokens: (
                tokens.is_accepting and size.fits_in(tokens.offer.capacity)
            )
        )
        if not fitting:
            return None
        if policy is PlacementPolicy.RANDOM:
            return self._random.choice(fitting)
        self._random.shuffle(fitting)
        return min(fitting, key=self._reported_load)

    def _reported_load(self, tokens: AgentTokens) -> float:
        load = self._load_by_agent.get(tokens.agent)
        if load is None:
            return 0.0
        return (load.running + load.queued) / max(tokens.offer.slots, 1)
