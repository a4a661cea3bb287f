"""Moving leadership to another host on purpose."""

import time
from typing import Final

from baobabgap.replication._messages import SeekElection
from baobabgap.replication._peer import Peer
from baobabgap.replication._peers import Peers
from baobabgap.replication._state import GroupState

_CHECK_PAUSE_S: Final = 0.005
_ELECTION_TIMEOUTS_TO_WAIT: Final = 2.0


class Handover:
    """Has the peer that is furthest seek election at once.

    Meanwhile this host refuses proposals, so that the peer can catch up.
    """

    def __init__(self, state: GroupState, peers: Peers) -> None:
        self._state: Final = state
        self._peers: Final = peers

    def run(self) -> bool:
        """Hand over; tell whether another host has taken leadership."""
        state = self._state
        with state.lock:
            target = self._furthest_peer()
            if not state.is_leader or target is None:
                return False
            state.transferring = True
        limit_s = _ELECTION_TIMEOUTS_TO_WAIT * state.election_timeout_s
        give_up_at = time.monotonic() + limit_s
        asked = False
        while time.monotonic() < give_up_at:
            with state.lock:
                if not state.is_leader and state.leader:
                    return True
                if not asked:
                    asked = self._ask(target)
            time.sleep(_CHECK_PAUSE_S)
        with state.lock:
            state.transferring = False
        return False

    def _ask(self, target: Peer) -> bool:
        """Ask the peer once it has all entries; tell whether asked."""
        state = self._state
        if not state.is_leader:
            return False
        if target.progress.durable < state.window.last_index:
            return False
        target.send(SeekElection(state.term))
        return True

    def _furthest_peer(self) -> Peer | None:
        peers = [peer for peer in self._peers if peer.counts]
        return max(peers, key=lambda peer: peer.progress.durable, default=None)
