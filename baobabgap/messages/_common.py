"""Messages that travel on every link."""

from dataclasses import dataclass

from baobabgap.messages._codec import PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the sender's application, not just its host, is alive."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, in both directions.

    The receiver closes the link if the version is not its own.
    """

    # The sender's name from its settings.
    name: str
    # What the sender is: entry, agent, control or tool.
    role: str
    # Different at each start of the process.
    incarnation: str
    # Where the sender listens for internal links, as host:port, or empty.
    address: str = ''
    # The sender's availability zone.
    availability_zone: str = ''
    # The version of the protocol that the sender speaks.
    protocol_version: int = PROTOCOL_VERSION
