"""Messages between control hosts, all on the link that one has dialled.

The dialling host sends requests, the other one answers on the same link.
Entries travel as one opaque blob, so that their number costs nothing in
the codec.
"""

from dataclasses import dataclass

from baobabgap.messages import register


@dataclass(frozen=True, slots=True)
class Introduce:
    """Sent by both sides first: which store the sender keeps."""

    # The sender's name.
    name: str
    # The identity of the sender's data folder.
    store: str
    # The group that the sender belongs to; empty if it remembers none.
    group: str
    # The control hosts of the sender's settings, as name=host:port.
    configured: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote, or whether it would get one."""

    # The group of the candidate.
    group: str
    # The term that the candidate leads if it wins.
    term: int
    # The store of the candidate.
    store: str
    # The candidate's last index.
    last_index: int
    # The term of that entry.
    last_term: int
    # Whether this is only the question, which binds nobody.
    pre_vote: bool
    # Whether the leader itself asked for this election.
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteAnswer:
    """The answer to `VoteRequest`."""

    # The term that was asked for.
    asked_term: int
    # The sender's own term.
    term: int
    # Whether the candidate has the vote.
    granted: bool
    # Copied from the request.
    pre_vote: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries that follow on one that the receiver should have.

    Without entries it is a heartbeat.
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
    # The latest read round; 0 if this message confirms none.
    read_round: int
    # Packed by `encode_entries`.
    entries: bytes


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """What the receiver holds durably, as far as it agrees."""

    # The sender's term.
    term: int
    # Whether the receiver had the entry before the first one sent.
    accepted: bool
    # If accepted, the last durable index that agrees with the leader's
    # log; else the last index at which the logs may agree.
    index: int
    # Copied from the message that is answered.
    read_round: int


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One piece of a snapshot for a host that is far behind."""

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
    # Where in the state this piece belongs.
    offset: int
    # The size of the whole state.
    state_bytes: int
    # The piece.
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """The receiver has taken a piece."""

    # The sender's term.
    term: int
    # The last index that the snapshot covers.
    index: int
    # How many bytes it has in order.
    received_bytes: int
    # Whether the whole snapshot is in force and durable.
    installed: bool


@dataclass(frozen=True, slots=True)
class SeekElection:
    """The leader asks the receiver to take over at once."""

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
