"""Selects the control host that a member dials next, with backoff."""

import random
from typing import Final
import zlib

from baobabgap.settings import Settings

_INITIAL_BACKOFF_S: Final = 0.05
# Seconds after the loss of a link for which no link moves to its address.
_LOST_HOST_COOLDOWN_S: Final = 5.0
_MAX_BACKOFF_S: Final = 1.0


class HostSelector:
    """Selects control hosts in turn, beginning at a hash of the name.

    The hash spreads members over the hosts. The delay between attempts
    doubles until a link has delivered a message.
    """

    def __init__(
        self,
        addresses: list[str],
        name: str,
        initial_backoff_s: float,
        max_backoff_s: float,
    ) -> None:
        self._addresses = addresses
        self._next_index = zlib.crc32(name.encode())
        self._initial_backoff_s = initial_backoff_s
        self._max_backoff_s = max_backoff_s
        self._backoff_s = initial_backoff_s
        self._preferred_address = ''
        self._leader = ''
        self._leader_address = ''
        self._lost_at_by_address: dict[str, float] = {}

    @classmethod
    def from_settings(cls, settings: Settings, role: str) -> 'HostSelector':
        """Build the selector of one member."""
        addresses = [host.address for host in settings.control_hosts]
        initial_backoff_s = _INITIAL_BACKOFF_S
        max_backoff_s = _MAX_BACKOFF_S
        if role == 'agent':
            # There are many agents; they must not all reconnect at once.
            initial_backoff_s = settings.control.return_grace_s / 2
            max_backoff_s = settings.control.member_heartbeat_s
        return cls(addresses, settings.name, initial_backoff_s, max_backoff_s)

    def prefer(self, address: str) -> None:
        """Return this address from the next call of `next_address`."""
        self._preferred_address = address

    def note_leader(self, name: str, address: str) -> None:
        """Remember the leader that the connected host has named.

        The host names it only once: if its address is in cooldown, the
        link moves there later.
        """
        self._leader = name
        self._leader_address = address

    def forget_leader(self) -> None:
        """Forget the leader named by the host of a link that has ended."""
        self._leader = self._leader_address = ''

    def leader_to_move_to(self, peer: str, now: float) -> str:
        """Return the leader's address if a link to `peer` should move.

        Empty if `peer` leads, if no leader is known, or while the leader's
        address is in cooldown.
        """
        if not self._leader_address or self._leader == peer:
            return ''
        if not self.may_move_to(self._leader_address, now):
            return ''
        return self._leader_address

    def note_lost(self, address: str, now: float) -> None:
        """Record at `now` that a link to this address was lost."""
        self._lost_at_by_address[address] = now

    def may_move_to(self, address: str, now: float) -> bool:
        """Return whether the address is out of cooldown.

        A host may go on naming a leader that has frozen. A member that
        has just lost its link to that leader would spend its grace period
        for reconnecting on another attempt there.
        """
        lost_at = self._lost_at_by_address.get(address)
        return lost_at is None or now - lost_at > _LOST_HOST_COOLDOWN_S

    def next_address(self) -> str:
        """Return the address to dial next."""
        if self._preferred_address:
            address = self._preferred_address
            self._preferred_address = ''
            return address
        self._next_index += 1
        return self._addresses[self._next_index % len(self._addresses)]

    def next_delay(self, *, received_any: bool) -> float:
        """Return the seconds to wait before the next attempt.

        `received_any` tells whether the last link delivered a message.
        """
        if received_any:
            self._backoff_s = self._initial_backoff_s
        delay_s = self._backoff_s * random.uniform(0.2, 1.0)
        self._backoff_s = min(2 * self._backoff_s, self._max_backoff_s)
        return delay_s
