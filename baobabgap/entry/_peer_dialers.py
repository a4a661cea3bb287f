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
        # The dialer of each peer, with the address that it dials.
        self._dialer_by_name: dict[str, tuple[str, Dialer]] = {}

    def update_members(self, changes: Changes) -> None:
        """Start and stop dialers after a membership change."""
        if changes.from_version == 0:
            self._drop_missing(changes.members)
        for member in changes.members:
            if member.role != 'entry' or member.name <= self._hello.name:
                continue
            if member.alive:
                self._dial(member.name, member.address)
            else:
                self._drop(member.name)

    def stop(self) -> None:
        """Stop all dialers and close their links."""
        for name in list(self._dialer_by_name):
            self._drop(name)

    def _dial(self, name: str, address: str) -> None:
        current = self._dialer_by_name.get(name)
        if current is not None and current[0] == address:
            return
        # The peer may have returned at another address.
        self._drop(name)
        dialer = Dialer(
            address,
            self._hello,
            self._timing,
            self._executor,
            self._session,
            self._on_error,
        )
        self._dialer_by_name[name] = (address, dialer)
        dialer.start()

    def _drop(self, name: str) -> None:
        current = self._dialer_by_name.pop(name, None)
        if current is not None:
            current[1].stop()

    def _drop_missing(self, members: tuple[MemberRecord, ...]) -> None:
        live_names = {member.name for member in members if member.alive}
        for name in set(self._dialer_by_name) - live_names:
            self._drop(name)
