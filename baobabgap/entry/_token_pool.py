"""The slot tokens that this entry holds, by agent.

See `baobabgap.messages.SlotGrant` for what a token is. The pool answers
which upstream gets the next task: one in the entry's own availability
zone before others, and there the one with the most idle slots.
"""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from baobabgap.jobs import TaskSize
from baobabgap.messages import TokenTransfer
from baobabgap.messages import UpstreamOffer

_NO_CAPACITY: Final = TaskSize(0.0, 0, 0)
_CLOSED_OFFER: Final = UpstreamOffer('', 0, _NO_CAPACITY, False, 'no offer')


@dataclass(slots=True)
class AgentTokens:
    """What the entry knows of one agent and holds for it."""

    # The agent's name.
    agent: str
    # The agent's incarnation on its present link.
    incarnation: str
    # Whether it stands in the entry's own availability zone.
    is_near: bool
    # The last offer of its upstream.
    offer: UpstreamOffer = _CLOSED_OFFER
    # The grant epoch of the idle tokens.
    epoch: int = 0
    # Idle tokens.
    idle: int = 0
    # Whether the entry avoids the upstream for being slow.
    is_suspended: bool = False

    @property
    def usable(self) -> int:
        """Idle tokens that may be spent now."""
        if self.is_suspended or not self.offer.accepting:
            return 0
        return self.idle


class TokenPool:
    """All agents that have a link to this entry, with their tokens."""

    def __init__(self) -> None:
        self._tokens_by_agent: dict[str, AgentTokens] = {}
        # Agents by (distance, usable tokens); dicts keep the order of
        # insertion, so that equals take turns.
        self._bucket_by_rank: dict[tuple[bool, int], dict[str, None]] = {}

    def __iter__(self) -> Iterator[AgentTokens]:
        return iter(self._tokens_by_agent.values())

    def __len__(self) -> int:
        return len(self._tokens_by_agent)

    def get(self, agent: str) -> AgentTokens | None:
        """Return what is known of an agent with a link, or None."""
        return self._tokens_by_agent.get(agent)

    def add(self, agent: str, incarnation: str, is_near: bool) -> None:
        """Note a new link; it replaces an earlier one of the agent."""
        self.remove(agent)
        tokens = AgentTokens(agent, incarnation, is_near)
        self._tokens_by_agent[agent] = tokens
        self._file(tokens)

    def remove(self, agent: str) -> None:
        """Forget an agent whose link was lost, and its tokens."""
        tokens = self._tokens_by_agent.pop(agent, None)
        if tokens is not None:
            self._unfile(tokens)

    def set_offer(self, agent: str, offer: UpstreamOffer) -> None:
        """Note a new offer of the agent's upstream."""
        with_offer = self._tokens_by_agent[agent]
        self._unfile(with_offer)
        with_offer.offer = offer
        self._file(with_offer)

    def set_grant(self, agent: str, epoch: int, tokens: int) -> bool:
        """Replace the idle tokens; False for a grant of an old epoch."""
        granted = self._tokens_by_agent[agent]
        if epoch < granted.epoch:
            return False
        self._unfile(granted)
        granted.epoch = epoch
        granted.idle = tokens
        self._file(granted)
        return True

    def suspend(self, agent: str, suspended: bool) -> None:
        """Avoid an upstream that is slow, or use it again."""
        tokens = self._tokens_by_agent[agent]
        self._unfile(tokens)
        tokens.is_suspended = suspended
        self._file(tokens)

    def give_back(self, agent: str, epoch: int) -> bool:
        """Take a returned token; False if it is void."""
        tokens = self._tokens_by_agent.get(agent)
        if tokens is None or tokens.epoch != epoch:
            return False
        self._add(tokens, 1)
        return True

    def accept_transfer(self, transfer: TokenTransfer) -> bool:
        """Take tokens from another entry; False if they are void."""
        tokens = self._tokens_by_agent.get(transfer.agent)
        if tokens is None or tokens.epoch != transfer.epoch:
            return False
        if tokens.incarnation != transfer.agent_incarnation:
            return False
        self._add(tokens, transfer.tokens)
        return True

    def spend(self, size: TaskSize) -> AgentTokens | None:
        """Spend one token on an upstream that can hold the task."""
        for tokens in self._by_preference():
            if size.fits_in(tokens.offer.capacity):
                self._add(tokens, -1)
                return tokens
        return None

    def spend_at(self, agent: str, size: TaskSize) -> AgentTokens | None:
        """Spend a token of one agent, also of a suspended one."""
        tokens = self._tokens_by_agent.get(agent)
        if tokens is None or tokens.idle < 1 or not tokens.offer.accepting:
            return None
        if not size.fits_in(tokens.offer.capacity):
            return None
        self._add(tokens, -1)
        return tokens

    def give_away(self, wanted: int) -> list[TokenTransfer]:
        """Take up to `wanted` usable tokens out, to hand them over."""
        transfers = []
        while wanted > 0:
            tokens = next(self._by_preference(far_first=True), None)
            if tokens is None:
                break
            given = min(wanted, tokens.usable)
            self._add(tokens, -given)
            wanted -= given
            transfers.append(
                TokenTransfer(
                    tokens.agent, tokens.incarnation, tokens.epoch, given
                )
            )
        return transfers

    def idle_tokens(self) -> int:
        """Count the tokens that may be spent now."""
        return sum(
            usable * len(bucket)
            for (_, usable), bucket in self._bucket_by_rank.items()
        )

    def can_ever_hold(self, size: TaskSize) -> bool:
        """Tell whether any known upstream is large enough for a task."""
        return any(
            size.fits_in(tokens.offer.capacity)
            for tokens in self._tokens_by_agent.values()
        )

    def accepting_slots(self) -> int:
        """Count the slots of all upstreams that take new tasks.

        Suspended ones count only when there are no others, so that jobs
        are still admitted, and one of them can try a suspended upstream.
        """
        slots_of_suspended = 0
        slots = 0
        for tokens in self._tokens_by_agent.values():
            if not tokens.offer.accepting:
                continue
            if tokens.is_suspended:
                slots_of_suspended += tokens.offer.slots
            else:
                slots += tokens.offer.slots
        return slots or slots_of_suspended

    def agents_where(
        self, predicate: Callable[[AgentTokens], bool]
    ) -> list[AgentTokens]:
        """Return the agents for which `predicate` holds."""
        return [
            tokens
            for tokens in self._tokens_by_agent.values()
            if predicate(tokens)
        ]

    def _by_preference(self, far_first: bool = False) -> Iterator[AgentTokens]:
        """Yield agents with usable tokens, the best one first."""
        ranks = sorted(
            self._bucket_by_rank,
            key=lambda rank: (rank[0] != far_first, rank[1]),
            reverse=True,
        )
        for rank in ranks:
            for agent in self._bucket_by_rank[rank]:
                yield self._tokens_by_agent[agent]

    def _add(self, tokens: AgentTokens, change: int) -> None:
        self._unfile(tokens)
        tokens.idle += change
        self._file(tokens)

    def _file(self, tokens: AgentTokens) -> None:
        if tokens.usable > 0:
            rank = (tokens.is_near, tokens.usable)
            self._bucket_by_rank.setdefault(rank, {})[tokens.agent] = None

    def _unfile(self, tokens: AgentTokens) -> None:
        rank = (tokens.is_near, tokens.usable)
        bucket = self._bucket_by_rank.get(rank)
        if bucket is None:
            return
        bucket.pop(tokens.agent, None)
        if not bucket:
            del self._bucket_by_rank[rank]
