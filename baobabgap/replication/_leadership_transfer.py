"""Planned transfer of leadership to another host."""

import time
from typing import Final

from baobabgap.replication._messages import SeekElection
from baobabgap.replication._peer import Peer
from baobabgap.replication._peers import Peers
from baobabgap.replication._state import GroupState

_POLL_INTERVAL_S: Final = 0.005
_ELECTION_TIMEOUTS_TO_WAIT: Final = 2.0


class LeadershipTransfer:
    """Has the most up-to-date peer start an election immediately.

    This host refuses proposals meanwhile, so that the peer can catch up.
    """

    def __init__(self, state: GroupState, peers: Peers) -> None:
        self._state: Final = state
        self._peers: Final = peers

    def run(self) -> bool:
        """Transfer leadership; return whether another host became leader."""
        state = self._state
        with state.lock:
            target = self._most_up_to_date_peer()
            if not state.is_leader or target is None:
                return False
            state.transferring = True
        limit_s = _ELECTION_TIMEOUTS_TO_WAIT * state.election_timeout_s
        deadline = time.monotonic() + limit_s
        requested = False
        while time.monotonic() < deadline:
            with state.lock:
                if not state.is_leader and state.leader:
                    return True
                if not requested:
                    requested = self._request_election(target)
            time.sleep(_POLL_INTERVAL_S)
        with state.lock:
            state.transferring = False
        return False

    def _request_election(self, target: Peer) -> bool:
        """Request an election if the peer has all entries.

        Returns whether it was requested.
        """
        state = self._state
        if not state.is_leader:
            return False
        if target.progress.durable_index < state.window.last_index:
            return False
        target.send(SeekElection(state.term))
        return True

    def _most_up_to_date_peer(self) -> Peer | None:
        peers = [peer for peer in self._peers if peer.is_voting]
        return max(
            peers, key=lambda peer: peer.progress.durable_index, default=None
        )
