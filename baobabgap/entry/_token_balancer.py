"""Transfers slot tokens to the entries whose tasks wait for them.

This keeps slots from idling while tasks wait at another entry. Every entry
reports its backlog and its idle tokens to its peers. An entry with idle
tokens and no waiting tasks transfers them to the peer with the most urgent
task. If all entries have waiting tasks, a freed token goes to the most
urgent task of any entry.
"""

from collections.abc import Callable
from dataclasses import dataclass
import math
from typing import Final

from baobabgap.configuration import Policy
from baobabgap.entry._token_pool import TokenPool
from baobabgap.messages import EntryState
from baobabgap.transport import Connection
from baobabgap.transport import NewestLinks

# Smaller differences between virtual deadlines are ignored.
_URGENCY_MARGIN_S: Final = 0.02
# Smallest relative change of the backlog or the work that is reported.
_MIN_RELATIVE_CHANGE: Final = 0.25
_MIN_WORK_CHANGE_MS: Final = 500.0


@dataclass(slots=True)
class _Peer:
    """The last reported state of another entry."""

    # The current link.
    link: Connection
    # Waiting tasks, less the tokens sent since the report.
    backlog_tasks: int = 0
    # Virtual deadline of the most urgent task, in monotonic seconds of this
    # entry's clock.
    head_deadline_at: float = math.inf
    # Idle tokens, plus those sent since the report.
    idle_tokens: int = 0
    # Expected run time of its waiting and placed tasks, in milliseconds.
    outstanding_work_ms: float = 0.0


class TokenBalancer:
    """Tracks the state of the peer entries and transfers tokens to them.

    The caller holds the dispatcher's lock.
    """

    def __init__(self, pool: TokenPool) -> None:
        self._pool = pool
        self._peer_by_name: dict[str, _Peer] = {}
        self._links: NewestLinks[Connection] = NewestLinks()
        self._last_sent: EntryState | None = None
        self._last_head_deadline_at = math.inf

    def add_peer(self, link: Connection) -> None:
        """Add the link to another entry, and make the next report due.

        Raises `ProtocolMismatch` if a later process of it is linked.
        """
        self._links.open(link)
        self._peer_by_name[link.peer.name] = _Peer(link)
        self._last_sent = None

    def remove_peer(self, link: Connection) -> bool:
        """Remove a lost link; False if a newer one has replaced it."""
        if not self._links.remove(link):
            return False
        del self._peer_by_name[link.peer.name]
        return True

    def link_to(self, name: str) -> Connection | None:
        """Return the link to a peer, or None."""
        peer = self._peer_by_name.get(name)
        return None if peer is None else peer.link

    def peer_count(self) -> int:
        """Return the number of connected peers."""
        return len(self._peer_by_name)

    def peers_work_ms(self) -> float:
        """Return the total work that the peers reported, in milliseconds."""
        return sum(
            peer.outstanding_work_ms for peer in self._peer_by_name.values()
        )

    def update_peer(
        self, link: Connection, state: EntryState, now: float
    ) -> None:
        """Record a state report of a peer."""
        peer = self._peer_by_name.get(link.peer.name)
        if peer is None or peer.link is not link:
            return
        peer.backlog_tasks = state.backlog_tasks
        peer.idle_tokens = state.idle_tokens
        peer.outstanding_work_ms = state.outstanding_work_ms
        peer.head_deadline_at = math.inf
        if state.backlog_tasks > 0:
            peer.head_deadline_at = now + state.head_slack_ms / 1000

    def yield_to_urgent_peer(self, own_head_deadline_at: float) -> bool:
        """Transfer one token to a peer with a more urgent task, if any.

        At most one token is transferred between two reports of a peer,
        since a report states only the deadline of its most urgent task.
        """
        peer = min(
            self._peer_by_name.values(), key=_head_deadline_at, default=None
        )
        if (
            peer is None
            or peer.head_deadline_at > own_head_deadline_at - _URGENCY_MARGIN_S
        ):
            return False
        peer.head_deadline_at = math.inf
        return self._transfer_tokens(peer, 1) > 0

    def share_idle_tokens(self, policy: Policy) -> None:
        """Transfer idle tokens while this entry has no waiting tasks."""
        for peer in sorted(self._peer_by_name.values(), key=_head_deadline_at):
            if peer.backlog_tasks > 0:
                self._transfer_tokens(peer, peer.backlog_tasks)
        for peer in self._peer_by_name.values():
            surplus = self._pool.idle_tokens() - peer.idle_tokens
            if surplus >= policy.rebalance_tokens:
                self._transfer_tokens(peer, surplus // 2)

    def report(
        self, state: EntryState, now: float, policy: Policy
    ) -> EntryState | None:
        """Send the state to all peers if it has changed enough.

        Returns the state if it was sent, else None.
        """
        if not self._peer_by_name:
            return None
        head_deadline_at = math.inf
        if state.backlog_tasks > 0:
            head_deadline_at = now + state.head_slack_ms / 1000
        last = self._last_sent
        if last is not None and not (
            _differs_enough(last, state, policy)
            or _deadline_changed(self._last_head_deadline_at, head_deadline_at)
        ):
            return None
        self._last_sent = state
        self._last_head_deadline_at = head_deadline_at
        for peer in self._peer_by_name.values():
            peer.link.send(state)
        return state

    def broadcast(self, message: object) -> None:
        """Send one message to every peer."""
        for peer in self._peer_by_name.values():
            peer.link.send(message)

    def _transfer_tokens(self, peer: _Peer, wanted: int) -> int:
        transfers = self._pool.create_transfers(wanted)
        given = sum(transfer.tokens for transfer in transfers)
        peer.link.send(*transfers)
        spent = min(given, peer.backlog_tasks)
        peer.backlog_tasks -= spent
        peer.idle_tokens += given - spent
        return given


def _head_deadline_at(peer: _Peer) -> float:
    return peer.head_deadline_at


def _deadline_changed(
    last_head_deadline_at: float, head_deadline_at: float
) -> bool:
    if math.isinf(last_head_deadline_at) or math.isinf(head_deadline_at):
        return last_head_deadline_at != head_deadline_at
    return abs(last_head_deadline_at - head_deadline_at) > _URGENCY_MARGIN_S


def _differs_enough(
    last: EntryState, state: EntryState, policy: Policy
) -> bool:
    differences: tuple[Callable[[], bool], ...] = (
        lambda: (last.backlog_tasks > 0) != (state.backlog_tasks > 0),
        lambda: _backlog_changed(last.backlog_tasks, state.backlog_tasks),
        lambda: (last.idle_tokens > 0) != (state.idle_tokens > 0),
        lambda: (
            abs(last.idle_tokens - state.idle_tokens)
            >= policy.rebalance_tokens
        ),
        lambda: _work_changed(
            last.outstanding_work_ms, state.outstanding_work_ms
        ),
    )
    return any(differs() for differs in differences)


def _backlog_changed(last: int, present: int) -> bool:
    return abs(last - present) > max(2.0, _MIN_RELATIVE_CHANGE * last)


def _work_changed(last_ms: float, present_ms: float) -> bool:
    return abs(last_ms - present_ms) > max(
        _MIN_WORK_CHANGE_MS, _MIN_RELATIVE_CHANGE * last_ms
    )
