"""Keeps links to the entries that this one has to dial."""

from collections.abc import Callable
from concurrent.futures import Executor

from baobabgap._exceptions import BaobabgapError
from baobabgap.messages import Changes
from baobabgap.messages import Hello
from baobabgap.messages import MemberRecord
from baobabgap.transport import Connection
from baobabgap.transport import Dialer
from baobabgap.transport import LinkTiming


class PeerDialers:
    """One dialer for each living entry with a greater name.

    Of two entries the one with the smaller name dials, so that there is
    one link for each pair.
    """

    def __init__(
        self,
        own: Hello,
        timing: LinkTiming,
        pool: Executor,
        session: Callable[[Connection], None],
        on_error: Callable[[BaobabgapError], None],
    ) -> None:
        self._own = own
        self._timing = timing
        self._pool = pool
        self._session = session
        self._on_error = on_error
        self._dialer_by_address: dict[str, Dialer] = {}

    def take_members(self, changes: Changes) -> None:
        """Follow the membership of the entries."""
        if changes.from_version == 0:
            self._drop_missing(changes.members)
        for member in changes.members:
            if member.role != 'entry' or member.name <= self._own.name:
                continue
            if member.alive:
                self._dial(member.address)
            else:
                self._drop(member.address)

    def stop(self) -> None:
        """Close all links and dial no more."""
        for address in list(self._dialer_by_address):
            self._drop(address)

    def _dial(self, address: str) -> None:
        if address in self._dialer_by_address:
            return
        dialer = Dialer(
            address,
            self._own,
            self._timing,
            self._pool,
            self._session,
            self._on_error,
        )
        self._dialer_by_address[address] = dialer
        dialer.start()

    def _drop(self, address: str) -> None:
        dialer = self._dialer_by_address.pop(address, None)
        if dialer is not None:
            dialer.stop()

    def _drop_missing(self, members: tuple[MemberRecord, ...]) -> None:
        living = {member.address for member in members if member.alive}
        for address in set(self._dialer_by_address) - living:
            self._drop(address)
