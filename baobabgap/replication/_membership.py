"""Who belongs to the group, and whose word counts toward a quorum."""

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import replace

import cbor2

from baobabgap.settings import ControlHost


@dataclass(frozen=True, slots=True)
class Member:
    """One host of the group."""

    # The host's name from its settings.
    name: str
    # The IP number that it listens on.
    host: str
    # The port for internal links.
    port: int
    # The identity of the data folder that counts; empty if none does yet.
    store: str
    # Whether it counts toward a quorum; if not it only follows.
    voter: bool

    @classmethod
    def from_control_host(
        cls, control_host: ControlHost, store: str, voter: bool
    ) -> 'Member':
        """Take the address from the settings."""
        return cls(
            control_host.name,
            control_host.host,
            control_host.port,
            store,
            voter,
        )

    @property
    def control_host(self) -> ControlHost:
        """The name and the address as the settings write them."""
        return ControlHost(self.name, self.host, self.port)


@dataclass(frozen=True, slots=True)
class Membership:
    """The members from one entry of the log on.

    The stores of the voters of two successive memberships differ by one
    at most, so that any two majorities of them share a store.
    """

    # Random, drawn when the group was founded; empty before that.
    group: str
    # All members.
    members: tuple[Member, ...]

    @classmethod
    def empty(cls) -> 'Membership':
        """Return what a host with an empty data folder knows."""
        return cls('', ())

    @classmethod
    def from_bytes(cls, data: bytes) -> 'Membership':
        """Unpack what `to_bytes` packed."""
        if not data:
            return cls.empty()
        group, members = cbor2.loads(data)
        return cls(group, tuple(Member(*fields) for fields in members))

    def to_bytes(self) -> bytes:
        """Pack for an entry or a snapshot."""
        if not self.group:
            return b''
        fields = [
            [
                member.name,
                member.host,
                member.port,
                member.store,
                member.voter,
            ]
            for member in self.members
        ]
        return cbor2.dumps([self.group, fields])

    def member(self, name: str) -> Member | None:
        """Return the member of that name."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def counts(self, name: str, store: str) -> bool:
        """Tell whether this store of this host counts toward a quorum.

        A host that lost its disk comes back with another store. It must
        not count as if it remembered its votes and entries.
        """
        member = self.member(name)
        if member is None or not member.voter:
            return False
        return member.store == store

    @property
    def voters(self) -> tuple[Member, ...]:
        """The members that count toward a quorum."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, names: Collection[str]) -> bool:
        """Tell whether the named voters are a majority."""
        count = sum(1 for member in self.voters if member.name in names)
        return count >= self.quorum

    def with_member(self, changed: Member) -> 'Membership':
        """Return a membership with one member added or replaced."""
        others = tuple(
            member for member in self.members if member.name != changed.name
        )
        return replace(self, members=(*others, changed))

    def without_member(self, name: str) -> 'Membership':
        """Return a membership without one member."""
        others = tuple(
            member for member in self.members if member.name != name
        )
        return replace(self, members=others)
