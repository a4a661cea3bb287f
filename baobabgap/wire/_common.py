"""Messages that every link uses."""

from dataclasses import dataclass

from baobabgap.wire._codec import PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender's application, not just its host, is alive."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, in both directions.

    The receiver closes the link if the protocol versions differ.
    """

    # The sender's name from its settings.
    name: str
    # The role of the sender: entry, agent, control or tool.
    role: str
    # Different at each start of the process.
    incarnation: str
    # Where the sender listens for internal links, as host:port, or empty.
    address: str = ''
    # The sender's availability zone.
    availability_zone: str = ''
    # The protocol version of the sender.
    protocol_version: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class LeaderHint:
    """The address of the leader; requests sent there save one hop."""

    # The leader's name.
    leader: str
    # Where it listens for internal links, as host:port.
    address: str
