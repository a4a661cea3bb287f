"""Shares slot tokens between entries, so that no slot idles in vain.

Every entry tells its peers how much work waits and how many tokens lie
idle. An entry that has idle tokens and no work gives them to the peer
with the most urgent work; among entries that all have work a freed token
goes to the most urgent task anywhere.
"""

from collections.abc import Callable
from dataclasses import dataclass
import math
from typing import Final

from baobabgap.configuration import Policy
from baobabgap.entry._token_pool import TokenPool
from baobabgap.messages import EntryState
from baobabgap.transport import Connection

_URGENCY_MARGIN_S: Final = 0.02
_BACKLOG_CHANGE: Final = 0.25
_WORK_CHANGE_MS: Final = 500.0


@dataclass(slots=True)
class _Peer:
    """Another entry, as it last described itself."""

    # The link to it.
    link: Connection
    # Tasks that wait there, less the tokens sent since.
    backlog_tasks: int = 0
    # Virtual deadline of its most urgent task, on this entry's clock.
    head_at: float = math.inf
    # Idle tokens there, plus the ones sent since.
    idle_tokens: int = 0
    # Learned run time of its waiting and running tasks, in milliseconds.
    outstanding_work_ms: float = 0.0


class Balancer:
    """What this entry knows of its peers, and what it gives them.

    The caller holds the dispatcher's lock.
    """

    def __init__(self, pool: TokenPool) -> None:
        self._pool = pool
        self._peer_by_name: dict[str, _Peer] = {}
        self._last_sent: EntryState | None = None
        self._last_head_at = math.inf

    def add_peer(self, link: Connection) -> None:
        """Note the link to another entry; the next report goes out."""
        self._peer_by_name[link.peer.name] = _Peer(link)
        self._last_sent = None

    def remove_peer(self, link: Connection) -> bool:
        """Forget a lost link; False if a newer one replaced it."""
        peer = self._peer_by_name.get(link.peer.name)
        if peer is None or peer.link is not link:
            return False
        del self._peer_by_name[link.peer.name]
        return True

    def link_to(self, name: str) -> Connection | None:
        """Return the link to a peer, or None."""
        peer = self._peer_by_name.get(name)
        return None if peer is None else peer.link

    def peers(self) -> int:
        """Count the peers that have a link."""
        return len(self._peer_by_name)

    def peers_work_ms(self) -> float:
        """Sum up the outstanding work that the peers reported."""
        return sum(
            peer.outstanding_work_ms for peer in self._peer_by_name.values()
        )

    def hear(self, link: Connection, state: EntryState, now: float) -> None:
        """Take in a peer's description of itself."""
        peer = self._peer_by_name.get(link.peer.name)
        if peer is None or peer.link is not link:
            return
        peer.backlog_tasks = state.backlog_tasks
        peer.idle_tokens = state.idle_tokens
        peer.outstanding_work_ms = state.outstanding_work_ms
        peer.head_at = math.inf
        if state.backlog_tasks > 0:
            peer.head_at = now + state.head_slack_ms / 1000

    def yield_to_urgent_peer(self, own_head_at: float) -> bool:
        """Give one token to a peer with a more urgent task, if any.

        At most one token goes to a peer between two of its reports, since
        what comes after its most urgent task isn't known here.
        """
        peer = min(self._peer_by_name.values(), key=_head_at, default=None)
        if peer is None or peer.head_at > own_head_at - _URGENCY_MARGIN_S:
            return False
        peer.head_at = math.inf
        return self._give(peer, 1) > 0

    def share_idle(self, policy: Policy) -> None:
        """Give idle tokens away, while this entry has no work for them."""
        for peer in sorted(self._peer_by_name.values(), key=_head_at):
            if peer.backlog_tasks > 0:
                self._give(peer, peer.backlog_tasks)
        for peer in self._peer_by_name.values():
            surplus = self._pool.idle_tokens() - peer.idle_tokens
            if surplus >= policy.rebalance_tokens:
                self._give(peer, surplus // 2)

    def report(
        self, state: EntryState, now: float, policy: Policy
    ) -> EntryState | None:
        """Send the state to all peers if it differs enough from the last.

        Returns what was sent.
        """
        if not self._peer_by_name:
            return None
        head_at = math.inf
        if state.backlog_tasks > 0:
            head_at = now + state.head_slack_ms / 1000
        last = self._last_sent
        if last is not None and not (
            _differs_enough(last, state, policy)
            or _moved(self._last_head_at, head_at)
        ):
            return None
        self._last_sent = state
        self._last_head_at = head_at
        for peer in self._peer_by_name.values():
            peer.link.send(state)
        return state

    def send_all(self, message: object) -> None:
        """Send one message to every peer."""
        for peer in self._peer_by_name.values():
            peer.link.send(message)

    def _give(self, peer: _Peer, wanted: int) -> int:
        transfers = self._pool.give_away(wanted)
        given = sum(transfer.tokens for transfer in transfers)
        peer.link.send(*transfers)
        spent = min(given, peer.backlog_tasks)
        peer.backlog_tasks -= spent
        peer.idle_tokens += given - spent
        return given


def _head_at(peer: _Peer) -> float:
    return peer.head_at


def _moved(last_head_at: float, head_at: float) -> bool:
    if math.isinf(last_head_at) or math.isinf(head_at):
        return last_head_at != head_at
    return abs(last_head_at - head_at) > _URGENCY_MARGIN_S


def _differs_enough(
    last: EntryState, state: EntryState, policy: Policy
) -> bool:
    differences: tuple[Callable[[], bool], ...] = (
        lambda: (last.backlog_tasks > 0) != (state.backlog_tasks > 0),
        lambda: _backlog_moved(last.backlog_tasks, state.backlog_tasks),
        lambda: (last.idle_tokens > 0) != (state.idle_tokens > 0),
        lambda: (
            abs(last.idle_tokens - state.idle_tokens)
            >= policy.rebalance_tokens
        ),
        lambda: _work_moved(
            last.outstanding_work_ms, state.outstanding_work_ms
        ),
    )
    return any(differs() for differs in differences)


def _backlog_moved(last: int, present: int) -> bool:
    return abs(last - present) > max(2.0, _BACKLOG_CHANGE * last)


def _work_moved(last_ms: float, present_ms: float) -> bool:
    return abs(last_ms - present_ms) > max(
        _WORK_CHANGE_MS, _BACKLOG_CHANGE * last_ms
    )
