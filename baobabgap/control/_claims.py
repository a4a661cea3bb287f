"""The claims: which incarnation of which entry owns each job.

A claim is kept for ever in the sense that matters: once it is evicted,
its client's floor is at or above the job's time of issue, so that the
same identifier is refused as too old and never granted again. Times of
issue are compared within one client only.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import heapq
from typing import Any
from typing import Final
from typing import NamedTuple

from baobabgap.control._commands import ClaimCommand
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import ReleaseCommand
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import ClaimStatus

_NO_FLOOR: Final = -1
_OWNERS_REMEMBERED: Final = 1024
# One overflow evicts this fraction of all claims, so that the search for
# the client that has the most is paid once for many evictions.
_OVERFLOW_FRACTION: Final = 256

# The compact form of an outcome in the log's results.
OutcomeRow = Sequence[str]


class Owner(NamedTuple):
    """Who owns a claim; one object is shared by all its claims."""

    # The entry's name.
    name: str
    # The entry's incarnation.
    incarnation: str
    # The entry's address for internal links.
    address: str


class _KeptClaim(NamedTuple):
    """One claim; a tuple, since there are hundreds of thousands."""

    # The digest of the job's content.
    digest: bytes
    # Who owns it.
    owner: Owner
    # The owner's fencing token.
    token: int
    # The number of the owner's last request for it.
    sequence: int
    # Log time of the grant in milliseconds.
    granted_ms: int


class _ClientClaims:
    """The claims of one client, lowest time of issue first."""

    __slots__ = ('claim_by_job', 'floor_ms', 'queue')

    def __init__(self, floor_ms: int = _NO_FLOOR) -> None:
        self.claim_by_job: dict[str, _KeptClaim] = {}
        # Jobs issued at or before this are not granted any more.
        self.floor_ms = floor_ms
        # Pairs of time of issue and job; may hold released jobs.
        self.queue: list[tuple[int, str]] = []

    def add(self, issued_ms: int, job: str, claim: _KeptClaim) -> None:
        self.claim_by_job[job] = claim
        heapq.heappush(self.queue, (issued_ms, job))

    def release(self, job: str) -> None:
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

    def evict_lowest(self) -> None:
        lowest = self.lowest()
        if lowest is not None:
            heapq.heappop(self.queue)
            self.floor_ms = max(self.floor_ms, lowest[0])
            del self.claim_by_job[lowest[1]]


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """How many claims are kept, and for how long."""

    # All clients together.
    kept: int
    # For one client.
    kept_per_client: int
    # Milliseconds of log time while the client goes on to claim.
    window_ms: int
    # Clients whose floor is kept.
    clients: int


class Claims:
    """All claims, changed by commands in the order of the log."""

    def __init__(self, limits: ClaimLimits) -> None:
        self._limits = limits
        self._client_by_name: dict[str, _ClientClaims] = {}
        self._owner_by_key: dict[Owner, Owner] = {}
        self._kept = 0

    @property
    def kept(self) -> int:
        """How many claims are kept."""
        return self._kept

    def claim(self, command: ClaimCommand, now_ms: int) -> list[OutcomeRow]:
        """Grant what is free; `now_ms` is the log time."""
        owner = self._intern(
            Owner(
                command.owner,
                command.owner_incarnation,
                command.owner_address,
            )
        )
        return [
            self._claim_one(
                _KeptClaim(digest, owner, token, command.sequence, now_ms),
                job,
            )
            for job, digest, token in command.claims
        ]

    def look_up(self, query: LookupQuery) -> list[OutcomeRow]:
        """Tell what claims would meet."""
        return [
            self._look_up_one(query.owner_incarnation, job, digest, token)
            for job, digest, token in query.claims
        ]

    def release(self, command: ReleaseCommand) -> None:
        """Forget claims of the owner that no later request renewed."""
        for job in command.jobs:
            client, _ = split_job(job)
            claims = self._client_by_name.get(client)
            kept = claims.claim_by_job.get(job) if claims else None
            if claims is None or kept is None:
                continue
            if kept.owner.incarnation != command.owner_incarnation:
                continue
            if kept.sequence < command.sequence:
                claims.release(job)
                self._kept -= 1

    def _claim_one(self, wanted: _KeptClaim, job: str) -> OutcomeRow:
        client, issued_ms = split_job(job)
        claims = self._client_by_name.get(client)
        if claims is None:
            if len(self._client_by_name) >= self._limits.clients:
                return (job, ClaimStatus.WINDOW_PASSED.value)
            claims = _ClientClaims()
            self._client_by_name[client] = claims
        kept = claims.claim_by_job.get(job)
        if kept is not None:
            status = _status(
                kept, wanted.owner.incarnation, wanted.digest, wanted.token
            )
            if status is ClaimStatus.GRANTED:
                sequence = max(kept.sequence, wanted.sequence)
                claims.claim_by_job[job] = kept._replace(sequence=sequence)
            return (job, status.value, *kept.owner)
        self._make_room(claims, issued_ms, wanted.granted_ms)
        if issued_ms <= claims.floor_ms:
            return (job, ClaimStatus.WINDOW_PASSED.value)
        claims.add(issued_ms, job, wanted)
        self._kept += 1
        return (job, ClaimStatus.GRANTED.value, *wanted.owner)

    def _look_up_one(
        self, incarnation: str, job: str, digest: bytes, token: int
    ) -> OutcomeRow:
        client, issued_ms = split_job(job)
        claims = self._client_by_name.get(client)
        if claims is None:
            return (job, ClaimStatus.UNCLAIMED.value)
        kept = claims.claim_by_job.get(job)
        if kept is not None:
            status = _status(kept, incarnation, digest or kept.digest, token)
            return (job, status.value, *kept.owner)
        if issued_ms <= claims.floor_ms:
            return (job, ClaimStatus.WINDOW_PASSED.value)
        return (job, ClaimStatus.UNCLAIMED.value)

    def _make_room(
        self, claims: _ClientClaims, issued_ms: int, now_ms: int
    ) -> None:
        """Evict what is too old or too much before one claim is added."""
        before = len(claims.claim_by_job)
        while len(claims.claim_by_job) >= self._limits.kept_per_client:
            claims.evict_lowest()
        # Age alone never lifts the floor to the time of the new claim, so
        # that a job issued by a clock far ahead does no lasting harm.
        oldest_ms = now_ms - self._limits.window_ms
        lowest = claims.lowest()
        while lowest is not None and lowest[0] < issued_ms:
            if claims.claim_by_job[lowest[1]].granted_ms >= oldest_ms:
                break
            claims.evict_lowest()
            lowest = claims.lowest()
        self._kept -= before - len(claims.claim_by_job)
        if self._kept >= self._limits.kept:
            self._evict_from_largest()

    def _evict_from_largest(self) -> None:
        _, name = max(
            (len(claims.claim_by_job), name)
            for name, claims in self._client_by_name.items()
        )
        claims = self._client_by_name[name]
        excess = 1 + self._limits.kept // _OVERFLOW_FRACTION
        for _ in range(min(excess, len(claims.claim_by_job))):
            claims.evict_lowest()
            self._kept -= 1

    def _intern(self, owner: Owner) -> Owner:
        if len(self._owner_by_key) >= _OWNERS_REMEMBERED:
            self._owner_by_key.clear()
        return self._owner_by_key.setdefault(owner, owner)

    def to_document(self) -> list[Any]:
        """Return everything as plain values for a snapshot."""
        index_by_owner: dict[Owner, int] = {}
        clients = [
            [
                name,
                claims.floor_ms,
                [
                    [
                        job,
                        kept.digest,
                        index_by_owner.setdefault(
                            kept.owner, len(index_by_owner)
                        ),
                        kept.token,
                        kept.sequence,
                        kept.granted_ms,
                    ]
                    for job, kept in claims.claim_by_job.items()
                ],
            ]
            for name, claims in self._client_by_name.items()
        ]
        return [[list(owner) for owner in index_by_owner], clients]

    def restore(self, document: list[Any]) -> None:
        """Replace everything by what `to_document` has returned."""
        owner_rows, client_rows = document
        owners = [self._intern(Owner(*row)) for row in owner_rows]
        self._client_by_name = {}
        self._kept = 0
        for name, floor_ms, rows in client_rows:
            claims = _ClientClaims(floor_ms)
            for job, digest, owner, token, sequence, granted_ms in rows:
                kept = _KeptClaim(
                    digest, owners[owner], token, sequence, granted_ms
                )
                claims.add(split_job(job)[1], job, kept)
            self._kept += len(rows)
            self._client_by_name[name] = claims


def split_job(job: str) -> tuple[str, int]:
    """Return client and time of issue of a valid job identifier."""
    client, issued, _ = job.split('.', 2)
    return client, int(issued)


def outcome_from_row(row: OutcomeRow) -> ClaimOutcome:
    """Turn the log's compact result into a message."""
    job, status, *owner = row
    return ClaimOutcome(job, ClaimStatus(status), *owner)


def _status(
    kept: _KeptClaim, incarnation: str, digest: bytes, token: int
) -> ClaimStatus:
    """Tell what a claim of a job that is claimed already meets."""
    if kept.digest != digest:
        return ClaimStatus.CONFLICT
    if kept.owner.incarnation == incarnation and kept.token == token:
        return ClaimStatus.GRANTED
    return ClaimStatus.OWNED
