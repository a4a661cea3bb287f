"""Maintains the links that this entry dials to other entries."""

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
    """Runs one dialer for each live entry with a greater name.

    Of two entries the one with the smaller name dials, so that each pair
    has one link.
    """

    def __init__(
        self,
        hello: Hello,
        timing: LinkTiming,
        executor: Executor,
        session: Callable[[Connection], None],
        on_error: Callable[[BaobabgapError], None],
    ) -> None:
        self._hello = hello
        self._timing = timing
        self._executor = executor
        self._session = session
        self._on_error = on_error
        self._dialer_by_address: dict[str, Dialer] = {}

    def update_members(self, changes: Changes) -> None:
        """Start and stop dialers after a membership change."""
        if changes.from_version == 0:
            self._drop_missing(changes.members)
        for member in changes.members:
            if member.role != 'entry' or member.name <= self._hello.name:
                continue
            if member.alive:
                self._dial(member.address)
            else:
                self._drop(member.address)

    def stop(self) -> None:
        """Stop all dialers and close their links."""
        for address in list(self._dialer_by_address):
            self._drop(address)

    def _dial(self, address: str) -> None:
        if address in self._dialer_by_address:
            return
        dialer = Dialer(
            address,
            self._hello,
            self._timing,
            self._executor,
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
        live_addresses = {member.address for member in members if member.alive}
        for address in set(self._dialer_by_address) - live_addresses:
            self._drop(address)
