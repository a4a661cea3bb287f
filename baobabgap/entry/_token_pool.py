"""The slot tokens that this entry holds, by agent.

See `baobabgap.messages.SlotGrant` for the meaning of a token. The pool
selects the upstream of the next task: upstreams in the entry's own
availability zone first, and among these the one with the most usable
tokens.
"""

from collections.abc import Callable
from collections.abc import Collection
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
    """One connected agent: its upstream's offer and the tokens held."""

    # The agent's name.
    agent: str
    # The agent's incarnation on the current link.
    incarnation: str
    # Whether it is in the entry's own availability zone.
    is_same_zone: bool
    # The latest offer of its upstream.
    offer: UpstreamOffer = _CLOSED_OFFER
    # The grant epoch of the idle tokens.
    epoch: int = 0
    # Idle tokens.
    idle: int = 0
    # Whether the entry has suspended the upstream for being slow.
    is_suspended: bool = False
    # The agent's availability zone, and whether it is evacuated.
    availability_zone: str = ''
    is_evacuated: bool = False

    @property
    def is_accepting(self) -> bool:
        """Whether new tasks may be placed there."""
        return self.offer.accepting and not self.is_evacuated

    @property
    def usable(self) -> int:
        """Idle tokens that may be spent now."""
        if self.is_suspended or not self.is_accepting:
            return 0
        return self.idle


class TokenPool:
    """The connected agents and the idle tokens held for each."""

    def __init__(self) -> None:
        self._tokens_by_agent: dict[str, AgentTokens] = {}
        # Agents by (is_same_zone, usable tokens). Dicts keep insertion
        # order, so that agents of equal rank are used in rotation.
        self._bucket_by_rank: dict[tuple[bool, int], dict[str, None]] = {}
        # Availability zones in which nothing may start.
        self._evacuated_zones: Collection[str] = ()

    def __iter__(self) -> Iterator[AgentTokens]:
        return iter(self._tokens_by_agent.values())

    def __len__(self) -> int:
        return len(self._tokens_by_agent)

    def get(self, agent: str) -> AgentTokens | None:
        """Return the state of a connected agent, or None."""
        return self._tokens_by_agent.get(agent)

    def add(
        self,
        agent: str,
        incarnation: str,
        is_same_zone: bool,
        availability_zone: str = '',
    ) -> None:
        """Add an agent on a new link, replacing its earlier state."""
        self.remove(agent)
        tokens = AgentTokens(
            agent,
            incarnation,
            is_same_zone,
            availability_zone=availability_zone,
            is_evacuated=availability_zone in self._evacuated_zones,
        )
        self._tokens_by_agent[agent] = tokens
        self._add_to_bucket(tokens)

    def remove(self, agent: str) -> None:
        """Remove an agent whose link was lost, with its tokens."""
        tokens = self._tokens_by_agent.pop(agent, None)
        if tokens is not None:
            self._remove_from_bucket(tokens)

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Set the availability zones in which nothing may start."""
        self._evacuated_zones = zones
        for tokens in self._tokens_by_agent.values():
            self._remove_from_bucket(tokens)
            tokens.is_evacuated = tokens.availability_zone in zones
            self._add_to_bucket(tokens)

    def set_offer(self, agent: str, offer: UpstreamOffer) -> None:
        """Replace the offer of the agent's upstream."""
        agent_tokens = self._tokens_by_agent[agent]
        self._remove_from_bucket(agent_tokens)
        agent_tokens.offer = offer
        self._add_to_bucket(agent_tokens)

    def set_grant(self, agent: str, epoch: int, tokens: int) -> bool:
        """Replace the idle tokens; False if the grant's epoch is old."""
        current = self._tokens_by_agent[agent]
        if epoch < current.epoch:
            return False
        self._remove_from_bucket(current)
        current.epoch = epoch
        current.idle = tokens
        self._add_to_bucket(current)
        return True

    def suspend(self, agent: str, suspended: bool) -> None:
        """Suspend a slow upstream, or resume its use."""
        tokens = self._tokens_by_agent[agent]
        self._remove_from_bucket(tokens)
        tokens.is_suspended = suspended
        self._add_to_bucket(tokens)

    def return_token(self, agent: str, epoch: int) -> bool:
        """Add a token that came back with a result; False if it is void."""
        tokens = self._tokens_by_agent.get(agent)
        if tokens is None or tokens.epoch != epoch:
            return False
        self._change_idle(tokens, 1)
        return True

    def accept_transfer(self, transfer: TokenTransfer) -> bool:
        """Add tokens from another entry; False if they are void."""
        tokens = self._tokens_by_agent.get(transfer.agent)
        if tokens is None or tokens.epoch != transfer.epoch:
            return False
        if tokens.incarnation != transfer.agent_incarnation:
            return False
        self._change_idle(tokens, transfer.tokens)
        return True

    def spend(self, size: TaskSize) -> AgentTokens | None:
        """Spend one token on an upstream that can hold the task."""
        for tokens in self._by_preference():
            if size.fits_in(tokens.offer.capacity):
                self._change_idle(tokens, -1)
                return tokens
        return None

    def spend_at(self, agent: str, size: TaskSize) -> AgentTokens | None:
        """Spend a token of one agent, even if it is suspended."""
        tokens = self._tokens_by_agent.get(agent)
        if tokens is None or tokens.idle < 1 or not tokens.is_accepting:
            return None
        if not size.fits_in(tokens.offer.capacity):
            return None
        self._change_idle(tokens, -1)
        return tokens

    def create_transfers(self, wanted: int) -> list[TokenTransfer]:
        """Remove up to `wanted` usable tokens, to transfer them."""
        transfers = []
        while wanted > 0:
            tokens = next(self._by_preference(other_zones_first=True), None)
            if tokens is None:
                break
            given = min(wanted, tokens.usable)
            self._change_idle(tokens, -given)
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
        """Return whether any connected upstream is large enough for a task."""
        return any(
            size.fits_in(tokens.offer.capacity)
            for tokens in self._tokens_by_agent.values()
        )

    def accepting_slots(self) -> int:
        """Count the slots of all upstreams that take new tasks.

        Suspended upstreams count only if there are no others, so that
        jobs are still admitted and one of them can probe a suspended
        upstream.
        """
        slots_of_suspended = 0
        slots = 0
        for tokens in self._tokens_by_agent.values():
            if not tokens.is_accepting:
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

    def _by_preference(
        self, other_zones_first: bool = False
    ) -> Iterator[AgentTokens]:
        """Yield agents with usable tokens, the best one first."""
        ranks = sorted(
            self._bucket_by_rank,
            key=lambda rank: (rank[0] != other_zones_first, rank[1]),
            reverse=True,
        )
        for rank in ranks:
            for agent in self._bucket_by_rank[rank]:
                yield self._tokens_by_agent[agent]

    def _change_idle(self, tokens: AgentTokens, change: int) -> None:
        self._remove_from_bucket(tokens)
        tokens.idle += change
        self._add_to_bucket(tokens)

    def _add_to_bucket(self, tokens: AgentTokens) -> None:
        if tokens.usable > 0:
            rank = (tokens.is_same_zone, tokens.usable)
            self._bucket_by_rank.setdefault(rank, {})[tokens.agent] = None

    def _remove_from_bucket(self, tokens: AgentTokens) -> None:
        rank = (tokens.is_same_zone, tokens.usable)
        bucket = self._bucket_by_rank.get(rank)
        if bucket is None:
            return
        bucket.pop(tokens.agent, None)
        if not bucket:
            del self._bucket_by_rank[rank]
