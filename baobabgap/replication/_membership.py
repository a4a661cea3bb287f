"""The members of the group and the quorum of its voters."""

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
    # The IP address that it listens on.
    host: str
    # The port for internal links.
    port: int
    # The identity of the data folder that the group accepts from this
    # host; empty until it has accepted one.
    store: str
    # Whether it counts toward a quorum; otherwise it is a learner.
    voter: bool

    @classmethod
    def from_control_host(
        cls, control_host: ControlHost, store: str, voter: bool
    ) -> 'Member':
        """Make a member from a control host of the settings."""
        return cls(
            control_host.name,
            control_host.host,
            control_host.port,
            store,
            voter,
        )

    @property
    def control_host(self) -> ControlHost:
        """The name and the address, in the form of the settings."""
        return ControlHost(self.name, self.host, self.port)


@dataclass(frozen=True, slots=True)
class Membership:
    """The members of the group, in force from one log entry on.

    The voters' stores in two successive memberships differ by at most
    one, so that any majority of one and any majority of the other share
    a store.
    """

    # The random identifier of the group; empty until it is founded.
    group: str
    # All members.
    members: tuple[Member, ...]

    @classmethod
    def empty(cls) -> 'Membership':
        """Return the membership of a host with an empty data folder."""
        return cls('', ())

    @classmethod
    def from_bytes(cls, data: bytes) -> 'Membership':
        """Decode the output of `to_bytes`."""
        if not data:
            return cls.empty()
        group, members = cbor2.loads(data)
        return cls(group, tuple(Member(*fields) for fields in members))

    def to_bytes(self) -> bytes:
        """Encode for an entry or a snapshot."""
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
        """Return the member with this name, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def is_voting_store(self, name: str, store: str) -> bool:
        """Return whether this store of this host counts toward a quorum.

        A host that lost its disk returns with a new store. It must not
        count, since it has lost its votes and entries.
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
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, names: Collection[str]) -> bool:
        """Return whether the named voters form a majority."""
        count = sum(1 for member in self.voters if member.name in names)
        return count >= self.quorum

    def with_member(self, changed: Member) -> 'Membership':
        """Return a copy with one member added or replaced."""
        others = tuple(
            member for member in self.members if member.name != changed.name
        )
        return replace(self, members=(*others, changed))

    def without_member(self, name: str) -> 'Membership':
        """Return a copy without one member."""
        others = tuple(
            member for member in self.members if member.name != name
        )
        return replace(self, members=others)
