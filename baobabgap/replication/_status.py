"""The status that a host reports about itself and its group."""

from dataclasses import dataclass
from enum import StrEnum


class GroupRole(StrEnum):
    """The role of a host in the current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of the group, as known to this host."""

    # The host's name from its settings.
    name: str
    # Where it listens for internal links, as host:port.
    address: str
    # The identity of its data folder; empty if not known yet.
    store: str
    # Whether it counts toward a quorum, by a committed membership.
    voter: bool
    # The last index known to be durable there; 0 if unknown.
    durable: int


@dataclass(frozen=True, slots=True)
class LogStatus:
    """The status of one host's log at one point in time."""

    # This host's name.
    name: str
    # The role of this host.
    role: GroupRole
    # The name of the leader, or empty if unknown.
    leader: str
    # The current term.
    term: int
    # The last index known to be committed.
    commit: int
    # The last index that the state machine has applied.
    applied: int
    # The index of the first entry that is not compacted.
    first_index: int
    # The index of the last entry.
    last_index: int
    # The last index that is durable on this host.
    durable: int
    # The members in the membership in force on this host.
    members: tuple[MemberStatus, ...]
    # The size of all files in the data folder.
    disk_bytes: int
    # Whether the storage currently accepts writes.
    storage_ok: bool
