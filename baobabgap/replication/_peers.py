"""The peers of this host, one for each other member of the group."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Executor
import time
from typing import Final

from baobabgap.replication._peer import Peer
from baobabgap.replication._state import GroupState
from baobabgap.settings import ControlHost
from baobabgap.transport import LinkTiming
from baobabgap.wire import Hello


class Peers:
    """Starts and stops peers, and aggregates their progress.

    All methods are called with the lock of `GroupState` held.
    """

    def __init__(
        self,
        state: GroupState,
        configured: tuple[ControlHost, ...],
        make_peer: Callable[[ControlHost], Peer],
        hello: Hello,
        timing: LinkTiming,
        pool: Executor,
    ) -> None:
        self._state: Final = state
        self._configured: Final = configured
        self._make_peer: Final = make_peer
        self._hello: Final = hello
        self._timing: Final = timing
        self._pool: Final = pool
        self._peer_by_name: dict[str, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peer_by_name.values()))

    def get(self, name: str) -> Peer | None:
        """Return the peer with this name, or None."""
        return self._peer_by_name.get(name)

    def refresh(self) -> None:
        """Start and stop peers to match the membership.

        Before the group is founded, the hosts of the settings are used.
        """
        wanted = self._wanted_hosts()
        for name, peer in list(self._peer_by_name.items()):
            if wanted.get(name) != peer.host:
                peer.stop()
                del self._peer_by_name[name]
        for name, host in wanted.items():
            if name not in self._peer_by_name:
                peer = self._make_peer(host)
                peer.reset_progress()
                self._peer_by_name[name] = peer
                peer.start(self._hello, self._timing, self._pool)

    def stop(self) -> None:
        """Close all links."""
        for peer in self:
            peer.stop()

    def wake(self) -> None:
        """Wake the sending tasks of all peers."""
        for peer in self._peer_by_name.values():
            peer.wake()

    def reset_progress(self) -> None:
        """Reset the progress of all peers for a new term."""
        for peer in self:
            peer.reset_progress()

    def broadcast_read_round(self, read_round: int) -> None:
        """Request all peers to confirm a read round."""
        for peer in self:
            peer.request_read_round(read_round)

    def broadcast(self, message: object) -> None:
        """Send a message to every connected peer."""
        for peer in self:
            peer.send(message)

    def durable_by_voter(self) -> dict[str, int]:
        """Return the durable index of each voter except this host."""
        return {
            peer.host.name: peer.progress.durable_index
            for peer in self
            if peer.is_voting
        }

    def confirmed_round_by_voter(self) -> dict[str, int]:
        """Return the confirmed round of each voter except this host."""
        return {
            peer.host.name: peer.progress.confirmed_round
            for peer in self
            if peer.is_voting
        }

    def answering_voters(self) -> set[str]:
        """Return the voters that answered within the election timeout.

        This host is included if it is a voter.
        """
        since = time.monotonic() - self._state.election_timeout_s
        names = {
            peer.host.name
            for peer in self
            if peer.progress.answered_at >= since and self._may_be_voting(peer)
        }
        if self._state.is_voter:
            names.add(self._state.own_host.name)
        return names

    def linked_voters(self) -> set[str]:
        """Return the voters that this host has a link to, and itself."""
        names = {
            peer.host.name
            for peer in self
            if peer.introduction is not None and peer.is_voting
        }
        if self._state.is_voter:
            names.add(self._state.own_host.name)
        return names

    def _may_be_voting(self, peer: Peer) -> bool:
        """Return whether the peer is a voter, or may be one while offline.

        The store of a peer without a link is unknown; the peer counts
        until the election timeout since its last answer has expired.
        """
        return peer.is_voting or peer.introduction is None

    def _wanted_hosts(self) -> dict[str, ControlHost]:
        members = self._state.membership.members
        hosts = [member.control_host for member in members]
        if not hosts:
            hosts = list(self._configured)
        own_name = self._state.own_host.name
        return {host.name: host for host in hosts if host.name != own_name}
