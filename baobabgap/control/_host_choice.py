"""Which control host a member dials next, and when."""

import random
from typing import Final
import zlib

from baobabgap.settings import Settings

_FIRST_PAUSE_S: Final = 0.05
# Seconds for which an address is not moved to after a link was lost.
_DISTRUST_S: Final = 5.0
_LONGEST_PAUSE_S: Final = 1.0


class HostChoice:
    """Goes round the control hosts, from a place that the name decides.

    Members spread over the hosts in this way. The pause between attempts
    grows until a link has carried something.
    """

    def __init__(
        self,
        addresses: list[str],
        name: str,
        first_pause_s: float,
        longest_pause_s: float,
    ) -> None:
        self._addresses = addresses
        self._next = zlib.crc32(name.encode())
        self._first_pause_s = first_pause_s
        self._longest_pause_s = longest_pause_s
        self._pause_s = first_pause_s
        self._preferred = ''
        self._leader = ''
        self._leader_address = ''
        self._lost_at_by_address: dict[str, float] = {}

    @classmethod
    def from_settings(cls, settings: Settings, role: str) -> 'HostChoice':
        """Build the choice of one member."""
        addresses = [host.address for host in settings.control_hosts]
        first_pause_s = _FIRST_PAUSE_S
        longest_pause_s = _LONGEST_PAUSE_S
        if role == 'agent':
            # Agents are many: they don't all come back at once.
            first_pause_s = settings.control.return_grace_s / 2
            longest_pause_s = settings.control.member_heartbeat_s
        return cls(addresses, settings.name, first_pause_s, longest_pause_s)

    def prefer(self, address: str) -> None:
        """Have this address dialled next, once."""
        self._preferred = address

    def note_leader(self, name: str, address: str) -> None:
        """Remember where the host at the other end sees the leader.

        It says so once; who distrusts the address then moves later.
        """
        self._leader = name
        self._leader_address = address

    def forget_leader(self) -> None:
        """Drop what the host at the other end of an old link has said."""
        self._leader = self._leader_address = ''

    def leader_to_move_to(self, peer: str, now: float) -> str:
        """Return the leader's address if a link to `peer` should move.

        Empty if `peer` leads, if no leader is known, or while a link to
        the leader has failed of late.
        """
        if not self._leader_address or self._leader == peer:
            return ''
        if not self.trusts(self._leader_address, now):
            return ''
        return self._leader_address

    def note_lost(self, address: str, now: float) -> None:
        """Remember that a link to this address failed just now."""
        self._lost_at_by_address[address] = now

    def trusts(self, address: str, now: float) -> bool:
        """Tell whether no link to this address has failed of late.

        A host may go on naming a leader that has frozen; a member that
        has just lost it would waste the time in which it has to be back.
        """
        lost_at = self._lost_at_by_address.get(address)
        return lost_at is None or now - lost_at > _DISTRUST_S

    def next_address(self) -> str:
        """Return the address to dial now."""
        if self._preferred:
            address = self._preferred
            self._preferred = ''
            return address
        self._next += 1
        return self._addresses[self._next % len(self._addresses)]

    def pause_after(self, *, was_useful: bool) -> float:
        """Return how long to wait before the next attempt."""
        if was_useful:
            self._pause_s = self._first_pause_s
        pause_s = self._pause_s * random.uniform(0.2, 1.0)
        self._pause_s = min(2 * self._pause_s, self._longest_pause_s)
        return pause_s
