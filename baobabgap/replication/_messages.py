"""Messages between control hosts.

The host that opened a link sends requests; the other host answers on the
same link. Entries are sent as one opaque blob, so that the cost of the
message codec does not depend on their number.
"""

from dataclasses import dataclass

from baobabgap.wire import register


@dataclass(frozen=True, slots=True)
class Introduce:
    """The first message of both sides; identifies the sender's store."""

    # The sender's name.
    name: str
    # The identity of the sender's data folder.
    store: str
    # The group that the sender belongs to; empty if it has none.
    group: str
    # The control hosts in the sender's settings, as name=host:port.
    configured: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate requests a vote or, with `pre_vote`, a pre-vote."""

    # The group of the candidate.
    group: str
    # The term in which the candidate leads if it wins.
    term: int
    # The store of the candidate.
    store: str
    # The index of the candidate's last entry.
    last_index: int
    # The term of that entry.
    last_term: int
    # Whether this is a pre-vote, which does not bind the voter.
    pre_vote: bool
    # Whether the leader requested this election.
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteAnswer:
    """The answer to `VoteRequest`."""

    # The term in the request.
    asked_term: int
    # The sender's current term.
    term: int
    # Whether the vote is granted.
    granted: bool
    # Copied from the request.
    pre_vote: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries that follow one that the receiver should have.

    A message without entries is a heartbeat.
    """

    # The group of the leader.
    group: str
    # The leader's term.
    term: int
    # The leader's name.
    leader: str
    # The index of the entry before the first one sent.
    previous_index: int
    # The term of that entry.
    previous_term: int
    # The leader's commit index.
    commit: int
    # The latest read round to confirm, or 0 for none.
    read_round: int
    # The output of `encode_entries`.
    entries: bytes


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """How far the receiver's durable log matches the leader's."""

    # The sender's term.
    term: int
    # Whether the receiver had the entry before the first one sent.
    accepted: bool
    # If accepted, the last durable index that matches the leader's log;
    # otherwise the last index at which the logs may match.
    index: int
    # Copied from the request.
    read_round: int


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a snapshot for a host that lacks compacted entries."""

    # The group of the leader.
    group: str
    # The leader's term.
    term: int
    # The leader's name.
    leader: str
    # The last index that the snapshot covers.
    index: int
    # The term of that entry.
    index_term: int
    # The encoded membership at that entry.
    membership: bytes
    # The offset of this part in the state, in bytes.
    offset: int
    # The size of the whole state, in bytes.
    state_bytes: int
    # The bytes of this part.
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """The answer to `SnapshotPart`."""

    # The sender's term.
    term: int
    # The last index that the snapshot covers.
    index: int
    # The number of consecutive bytes received so far.
    received_bytes: int
    # Whether the whole snapshot is installed and durable.
    installed: bool


@dataclass(frozen=True, slots=True)
class SeekElection:
    """The leader asks the receiver to start an election immediately."""

    # The leader's term.
    term: int


register(
    AppendAnswer,
    AppendEntries,
    Introduce,
    SeekElection,
    SnapshotAnswer,
    SnapshotPart,
    VoteAnswer,
    VoteRequest,
)
