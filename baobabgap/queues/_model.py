"""Configuration model: queues, services and request limits."""

from dataclasses import dataclass
from dataclasses import field

from baobabgap.wire import register


@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue that requests submit jobs to, and the policy for its jobs."""

    name: str
    # A request matches by its Host header and the longest path prefix.
    host: str
    path_prefix: str
    # The pool of upstreams that runs the tasks.
    service: str
    # 0 is the most urgent.
    priority: int
    # Failed runs of one task after which its job fails.
    attempts: int
    # A job is on time if it ends within this multiple of its critical path
    # plus the latency allowance.
    stretch: float
    latency_allowance_ms: int
    # Time within which a request should be answered.
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of upstreams."""

    name: str
    # Whether its upstreams refuse a start that exceeds their capacity.
    guards_capacity: bool


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on each connection of a caller."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    # Time in which the header of a request must arrive.
    header_timeout_ms: int = 3_000
    # Time for which a kept-alive connection may stay idle.
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """One complete configuration; the highest version is active.

    Build an index of it with `QueueTable.from_configuration`.
    """

    version: int
    # The operator's document, stored byte for byte so that it can be read
    # back.
    source: bytes
    queues: tuple[JobQueue, ...]
    services: tuple[Service, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)


register(QueueConfiguration)
