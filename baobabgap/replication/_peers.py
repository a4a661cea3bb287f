"""All peers of this host, kept in line with the membership."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Executor
import time
from typing import Final

from baobabgap.messages import Hello
from baobabgap.replication._peer import Peer
from baobabgap.replication._state import GroupState
from baobabgap.settings import ControlHost
from baobabgap.transport import LinkTiming


class Peers:
    """Starts and stops peers, and reads the leader's view of them.

    All methods run with the state's lock held.
    """

    def __init__(
        self,
        state: GroupState,
        configured: tuple[ControlHost, ...],
        make_peer: Callable[[ControlHost], Peer],
        own: Hello,
        timing: LinkTiming,
        pool: Executor,
    ) -> None:
        self._state: Final = state
        self._configured: Final = configured
        self._make_peer: Final = make_peer
        self._own: Final = own
        self._timing: Final = timing
        self._pool: Final = pool
        self._peer_by_name: dict[str, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peer_by_name.values()))

    def get(self, name: str) -> Peer | None:
        """Return the peer of that name."""
        return self._peer_by_name.get(name)

    def refresh(self) -> None:
        """Follow the membership, or the settings before there is one."""
        wanted = self._wanted()
        for name, peer in list(self._peer_by_name.items()):
            if wanted.get(name) != peer.host:
                peer.stop()
                del self._peer_by_name[name]
        for name, host in wanted.items():
            if name not in self._peer_by_name:
                peer = self._make_peer(host)
                peer.begin_to_lead()
                self._peer_by_name[name] = peer
                peer.start(self._own, self._timing, self._pool)

    def stop(self) -> None:
        """Close all links."""
        for peer in self:
            peer.stop()

    def wake(self) -> None:
        """Have all peers look for something to send."""
        for peer in self._peer_by_name.values():
            peer.wake()

    def begin_to_lead(self) -> None:
        """Start anew with all peers, in a new term."""
        for peer in self:
            peer.begin_to_lead()

    def ask_round(self, read_round: int) -> None:
        """Ask all peers to confirm a read round."""
        for peer in self:
            peer.confirm_round(read_round)

    def broadcast(self, message: object) -> None:
        """Send a message to every peer that has a link."""
        for peer in self:
            peer.send(message)

    def durable_by_voter(self) -> dict[str, int]:
        """Return how far the voters' stores have come, without the own."""
        return {
            peer.host.name: peer.progress.durable
            for peer in self
            if peer.counts
        }

    def confirmed_round_by_voter(self) -> dict[str, int]:
        """Return the read rounds that the voters have confirmed."""
        return {
            peer.host.name: peer.progress.confirmed_round
            for peer in self
            if peer.counts
        }

    def answering_voters(self) -> set[str]:
        """Return the voters, with this host, that answered lately."""
        since = time.monotonic() - self._state.election_timeout_s
        names = {
            peer.host.name
            for peer in self
            if peer.progress.answered_at >= since and self._may_count(peer)
        }
        if self._state.is_voter:
            names.add(self._state.own.name)
        return names

    def _may_count(self, peer: Peer) -> bool:
        """Count a link that is down until the time is over."""
        return peer.counts or peer.introduced is None

    def _wanted(self) -> dict[str, ControlHost]:
        members = self._state.membership.members
        hosts = [member.control_host for member in members]
        if not hosts:
            hosts = list(self._configured)
        own = self._state.own.name
        return {host.name: host for host in hosts if host.name != own}
