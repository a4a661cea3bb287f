"""What a host tells about its part in the group."""

from dataclasses import dataclass
from enum import StrEnum


class GroupRole(StrEnum):
    """The part that a host plays at the moment."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of the group as this host knows it."""

    # The host's name from its settings.
    name: str
    # Where it listens for internal links, as host:port.
    address: str
    # The identity of its data folder; empty if not known yet.
    store: str
    # Whether it counts toward a quorum.
    voter: bool
    # The last index known to be durable there; 0 if not known here.
    durable: int


@dataclass(frozen=True, slots=True)
class LogStatus:
    """A moment in the life of one host's log."""

    # This host's name.
    name: str
    # The part that this host plays.
    role: GroupRole
    # The leader's name as far as known here, or empty.
    leader: str
    # The current term.
    term: int
    # The last index known to be committed.
    commit: int
    # The last index that the machine has applied.
    applied: int
    # The first index still held as an entry.
    first_index: int
    # The last index held as an entry.
    last_index: int
    # The last index that is durable on this host.
    durable: int
    # The members by the membership in force here.
    members: tuple[MemberStatus, ...]
    # Bytes of all files in the data folder.
    disk_bytes: int
    # Whether the storage takes writes at the moment.
    storage_ok: bool
