"""How claims are kept: packed, and in the order of their issue."""

import heapq
from struct import Struct
from typing import Final
from typing import NamedTuple

_NO_FLOOR: Final = -1
# Claims are kept packed: there are hundreds of thousands of them, and a
# snapshot that joins packed claims holds up the log only for a moment.
CLAIM_LAYOUT: Final = Struct('>Iqqq32s')
DIGEST_BYTES: Final = 32


class KeptClaim(NamedTuple):
    """One claim, unpacked."""

    # The index of its owner.
    owner_index: int
    # The owner's fencing token.
    token: int
    # The number of the owner's last request for it.
    sequence: int
    # Log time of the grant in milliseconds.
    granted_ms: int
    # The digest of the job's content.
    digest: bytes

    @classmethod
    def from_bytes(cls, packed: bytes) -> 'KeptClaim':
        """Unpack what `to_bytes` has packed."""
        return cls._make(CLAIM_LAYOUT.unpack(packed))

    def to_bytes(self) -> bytes:
        """Pack the claim into the form in which it is kept."""
        return CLAIM_LAYOUT.pack(*self)


class ClientClaims:
    """The claims of one client, lowest time of issue first."""

    __slots__ = ('claim_by_job', 'floor_ms', 'queue')

    def __init__(self, floor_ms: int = _NO_FLOOR) -> None:
        # Packed claims.
        self.claim_by_job: dict[str, bytes] = {}
        # Jobs issued at or before this are not granted any more.
        self.floor_ms = floor_ms
        # Pairs of time of issue and job; may hold released jobs.
        self.queue: list[tuple[int, str]] = []

    def add(self, issued_ms: int, job: str, packed: bytes) -> None:
        """Keep a claim."""
        self.claim_by_job[job] = packed
        heapq.heappush(self.queue, (issued_ms, job))

    def get(self, job: str) -> KeptClaim | None:
        """Return the claim of a job, or None."""
        packed = self.claim_by_job.get(job)
        return None if packed is None else KeptClaim.from_bytes(packed)

    def release(self, job: str) -> None:
        """Forget a claim without a trace."""
        del self.claim_by_job[job]
        if len(self.queue) > 2 * len(self.claim_by_job) + 64:
            self.queue = [
                pair for pair in self.queue if pair[1] in self.claim_by_job
            ]
            heapq.heapify(self.queue)

    def lowest(self) -> tuple[int, str] | None:
        """Return the kept claim that was issued first."""
        while self.queue:
            if self.queue[0][1] in self.claim_by_job:
                return self.queue[0]
            heapq.heappop(self.queue)
        return None

    def evict_lowest(self) -> bytes:
        """Forget the claim that was issued first, and return it."""
        lowest = self.lowest()
        assert lowest is not None
        heapq.heappop(self.queue)
        self.floor_ms = max(self.floor_ms, lowest[0])
        return self.claim_by_job.pop(lowest[1])


def split_job(job: str) -> tuple[str, int]:
    """Return client and time of issue of a valid job identifier."""
    client, issued, _ = job.split('.', 2)
    return client, int(issued)
