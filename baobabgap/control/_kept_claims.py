"""Storage of claims: packed, and ordered by the time of issue."""

import heapq
from struct import Struct
from typing import Final
from typing import NamedTuple

_NO_FLOOR: Final = -1
# Claims are kept packed: there are hundreds of thousands of them, and
# joining packed claims for a snapshot blocks the log only briefly.
CLAIM_LAYOUT: Final = Struct('>Iqqq32s')
DIGEST_BYTES: Final = 32


class KeptClaim(NamedTuple):
    """One claim, unpacked."""

    # The owner's index in `Owners`.
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
        """Unpack a result of `to_bytes`."""
        return cls._make(CLAIM_LAYOUT.unpack(packed))

    def to_bytes(self) -> bytes:
        """Pack the claim by `CLAIM_LAYOUT`."""
        return CLAIM_LAYOUT.pack(*self)


class ClientClaims:
    """The claims of one client, ordered by the time of issue."""

    __slots__ = ('claim_by_job', 'floor_ms', 'issue_heap')

    def __init__(self, floor_ms: int = _NO_FLOOR) -> None:
        # Packed by `KeptClaim.to_bytes`.
        self.claim_by_job: dict[str, bytes] = {}
        # Jobs issued at or before this time are no longer granted.
        self.floor_ms = floor_ms
        # A heap of pairs of time of issue and job. Released jobs are removed
        # lazily.
        self.issue_heap: list[tuple[int, str]] = []

    def add(self, issued_ms: int, job: str, packed: bytes) -> None:
        """Add a claim, packed by `KeptClaim.to_bytes`."""
        self.claim_by_job[job] = packed
        heapq.heappush(self.issue_heap, (issued_ms, job))

    def get(self, job: str) -> KeptClaim | None:
        """Return the claim of a job, or None."""
        packed = self.claim_by_job.get(job)
        return None if packed is None else KeptClaim.from_bytes(packed)

    def release(self, job: str) -> None:
        """Remove a claim without raising the floor."""
        del self.claim_by_job[job]
        if len(self.issue_heap) > 2 * len(self.claim_by_job) + 64:
            self.issue_heap = [
                pair
                for pair in self.issue_heap
                if pair[1] in self.claim_by_job
            ]
            heapq.heapify(self.issue_heap)

    def oldest(self) -> tuple[int, str] | None:
        """Return time of issue and job of the oldest claim, or None."""
        while self.issue_heap:
            if self.issue_heap[0][1] in self.claim_by_job:
                return self.issue_heap[0]
            heapq.heappop(self.issue_heap)
        return None

    def evict_oldest(self) -> bytes:
        """Remove the oldest claim, raise the floor and return it packed."""
        oldest = self.oldest()
        assert oldest is not None
        heapq.heappop(self.issue_heap)
        self.floor_ms = max(self.floor_ms, oldest[0])
        return self.claim_by_job.pop(oldest[1])


def split_job(job: str) -> tuple[str, int]:
    """Return client and time of issue in ms of a valid job identifier."""
    client, issued, _ = job.split('.', 2)
    return client, int(issued)
