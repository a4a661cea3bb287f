"""What the operator configures: queues, services and request limits."""

from dataclasses import dataclass
from dataclasses import field

from baobabgap.messages import register


@dataclass(frozen=True, slots=True)
class JobQueue:
    """Where jobs enter, and how they are treated."""

    name: str
    # Requests match by this Host header and the longest path prefix.
    host: str
    path_prefix: str
    # The pool of upstreams that runs the tasks.
    service: str
    # 0 is the most urgent.
    priority: int
    # Failed runs of one task after which its job fails.
    attempts: int
    # A job is on time within this multiple of its longest chain of work,
    stretch: float
    # and this many milliseconds more.
    latency_allowance_ms: int
    # Milliseconds within which a request should be answered.
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of upstreams."""

    name: str
    # Whether its upstreams refuse a start that exceeds their capacity.
    guards_capacity: bool


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller's connection may use."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    # Milliseconds for the head of a request.
    header_timeout_ms: int = 3_000
    # Milliseconds that a kept-alive connection may stay idle.
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """One whole configuration; the highest version is in force.

    Build an index of it with `QueueTable.from_configuration`.
    """

    version: int
    # The operator's own document, kept byte for byte for reading back.
    source: bytes
    queues: tuple[JobQueue, ...]
    services: tuple[Service, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)


register(QueueConfiguration)
