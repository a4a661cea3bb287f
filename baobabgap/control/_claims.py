"""The claims: which incarnation of which entry owns each job.

A claim is kept for ever in the sense that matters: once it is evicted,
its client's floor is at or above the job's time of issue, so that the
same identifier is refused as too old and never granted again. Times of
issue are compared within one client only.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import hashlib
from typing import Any
from typing import Final

from baobabgap.control._commands import ClaimCommand
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import ReleaseCommand
from baobabgap.control._kept_claims import CLAIM_LAYOUT
from baobabgap.control._kept_claims import ClientClaims
from baobabgap.control._kept_claims import DIGEST_BYTES
from baobabgap.control._kept_claims import KeptClaim
from baobabgap.control._kept_claims import split_job
from baobabgap.control._owners import Owner
from baobabgap.control._owners import Owners
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import ClaimStatus

# One overflow evicts this fraction of all claims, so that the search for
# the client that has the most is paid once for many evictions.
_OVERFLOW_FRACTION: Final = 256
_JOB_SEPARATOR: Final = '\n'

# The compact form of an outcome in the log's results.
OutcomeRow = Sequence[str]


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
        self._client_by_name: dict[str, ClientClaims] = {}
        self._owners = Owners()
        self._kept = 0

    @property
    def kept(self) -> int:
        """How many claims are kept."""
        return self._kept

    def claim(self, command: ClaimCommand, now_ms: int) -> list[OutcomeRow]:
        """Grant what is free; `now_ms` is the log time."""
        owner = Owner(
            command.owner, command.owner_incarnation, command.owner_address
        )
        owner_index = self._owners.begin_use(owner)
        rows = [
            self._claim_one(
                job,
                KeptClaim(
                    owner_index,
                    token,
                    command.sequence,
                    now_ms,
                    _fixed(digest),
                ),
            )
            for job, digest, token in command.claims
        ]
        self._owners.release(owner_index)
        return rows

    def look_up(self, query: LookupQuery) -> list[OutcomeRow]:
        """Tell what claims would meet."""
        return [
            self._look_up_one(query.owner_incarnation, job, digest, token)
            for job, digest, token in query.claims
        ]

    def release(self, command: ReleaseCommand) -> None:
        """Forget claims of the owner that no later request renewed."""
        for job in command.jobs:
            claims = self._client_by_name.get(split_job(job)[0])
            kept = claims.get(job) if claims else None
            if claims is None or kept is None:
                continue
            owner = self._owners.get(kept.owner_index)
            if owner.incarnation != command.owner_incarnation:
                continue
            if kept.sequence < command.sequence:
                claims.release(job)
                self._forget(kept.owner_index)

    def _claim_one(self, job: str, wanted: KeptClaim) -> OutcomeRow:
        client, issued_ms = split_job(job)
        claims = self._client_by_name.get(client)
        if claims is None:
            if len(self._client_by_name) >= self._limits.clients:
                return (job, ClaimStatus.WINDOW_PASSED.value)
            claims = ClientClaims()
            self._client_by_name[client] = claims
        owner = self._owners.get(wanted.owner_index)
        kept = claims.get(job)
        if kept is not None:
            status = self._status(
                kept, owner.incarnation, wanted.digest, wanted.token
            )
            if status is ClaimStatus.GRANTED:
                sequence = max(kept.sequence, wanted.sequence)
                renewed = kept._replace(sequence=sequence)
                claims.claim_by_job[job] = renewed.to_bytes()
            return (job, status.value, *self._owners.get(kept.owner_index))
        if not self._make_room(claims, issued_ms, wanted.granted_ms):
            return (job, ClaimStatus.WINDOW_PASSED.value)
        claims.add(issued_ms, job, wanted.to_bytes())
        self._owners.use(wanted.owner_index)
        self._kept += 1
        return (job, ClaimStatus.GRANTED.value, *owner)

    def _look_up_one(
        self, incarnation: str, job: str, digest: bytes, token: int
    ) -> OutcomeRow:
        client, issued_ms = split_job(job)
        claims = self._client_by_name.get(client)
        if claims is None:
            return (job, ClaimStatus.UNCLAIMED.value)
        kept = claims.get(job)
        if kept is not None:
            wanted = _fixed(digest) if digest else kept.digest
            status = self._status(kept, incarnation, wanted, token)
            return (job, status.value, *self._owners.get(kept.owner_index))
        if issued_ms <= claims.floor_ms:
            return (job, ClaimStatus.WINDOW_PASSED.value)
        return (job, ClaimStatus.UNCLAIMED.value)

    def _status(
        self, kept: KeptClaim, incarnation: str, digest: bytes, token: int
    ) -> ClaimStatus:
        """Tell what a claim of a job that is claimed already meets."""
        if kept.digest != digest:
            return ClaimStatus.CONFLICT
        owner = self._owners.get(kept.owner_index)
        if owner.incarnation == incarnation and kept.token == token:
            return ClaimStatus.GRANTED
        return ClaimStatus.OWNED

    def _make_room(
        self, claims: ClientClaims, issued_ms: int, now_ms: int
    ) -> bool:
        """Evict for one more claim; tell whether it may be granted.

        A claim that is refused for its own age evicts nothing.
        """
        lowest = claims.lowest()
        is_full = len(claims.claim_by_job) >= self._limits.kept_per_client
        if is_full and lowest is not None and issued_ms <= lowest[0]:
            return False
        if issued_ms <= claims.floor_ms:
            return False
        if is_full:
            self._evict_lowest(claims)
        self._evict_aged(claims, issued_ms, now_ms)
        if self._kept >= self._limits.kept:
            self._evict_from_largest()
        return issued_ms > claims.floor_ms

    def _evict_aged(
        self, claims: ClientClaims, issued_ms: int, now_ms: int
    ) -> None:
        """Evict claims that are too old and were issued before this one.

        Age alone never lifts the floor to the time of the new claim, so
        that a job issued by a clock far ahead does no lasting harm.
        """
        oldest_ms = now_ms - self._limits.window_ms
        lowest = claims.lowest()
        while lowest is not None and lowest[0] < issued_ms:
            kept = claims.get(lowest[1])
            if kept is None or kept.granted_ms >= oldest_ms:
                return
            self._evict_lowest(claims)
            lowest = claims.lowest()

    def _evict_from_largest(self) -> None:
        _, name = max(
            (len(claims.claim_by_job), name)
            for name, claims in self._client_by_name.items()
        )
        claims = self._client_by_name[name]
        excess = 1 + self._limits.kept // _OVERFLOW_FRACTION
        for _ in range(min(excess, len(claims.claim_by_job))):
            self._evict_lowest(claims)

    def _evict_lowest(self, claims: ClientClaims) -> None:
        packed = claims.evict_lowest()
        self._forget(KeptClaim.from_bytes(packed).owner_index)

    def _forget(self, owner_index: int) -> None:
        self._owners.release(owner_index)
        self._kept -= 1

    def to_document(self) -> list[Any]:
        """Return everything as plain values for a snapshot."""
        clients = [
            [
                name,
                claims.floor_ms,
                _JOB_SEPARATOR.join(claims.claim_by_job),
                b''.join(claims.claim_by_job.values()),
            ]
            for name, claims in self._client_by_name.items()
        ]
        return [self._owners.to_document(), clients]

    def restore(self, document: list[Any]) -> None:
        """Replace everything by what `to_document` has returned."""
        owners, client_rows = document
        self._owners = Owners.from_document(owners)
        self._client_by_name = {}
        self._kept = 0
        size = CLAIM_LAYOUT.size
        for name, floor_ms, joined_jobs, joined_claims in client_rows:
            claims = ClientClaims(floor_ms)
            jobs = joined_jobs.split(_JOB_SEPARATOR) if joined_jobs else []
            for number, job in enumerate(jobs):
                packed = joined_claims[number * size : (number + 1) * size]
                claims.add(split_job(job)[1], job, packed)
            self._kept += len(jobs)
            self._client_by_name[name] = claims


def outcome_from_row(row: OutcomeRow) -> ClaimOutcome:
    """Turn the log's compact result into a message."""
    job, status, *owner = row
    return ClaimOutcome(job, ClaimStatus(status), *owner)


def _fixed(digest: bytes) -> bytes:
    """Return a digest of the length in which digests are kept."""
    if len(digest) == DIGEST_BYTES:
        return digest
    return hashlib.sha256(digest).digest()
