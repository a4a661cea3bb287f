"""Claims: which incarnation of which entry owns each job.

The job of an evicted claim is never granted again: eviction raises the
client's floor to at least the job's time of issue, and an identifier
issued at or before the floor is refused as too old. Times of issue are
compared within one client only.
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

# An overflow evicts about the limit on claims divided by this, so that one
# search for the client with the most claims serves many evictions.
_OVERFLOW_DIVISOR: Final = 256
_JOB_SEPARATOR: Final = '\n'

# An outcome in compact form, as in the results of log commands: job, status
# and, if the job is owned, the fields of its owner.
OutcomeRow = Sequence[str]


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits on the number and the age of claims."""

    # Claims of all clients together.
    max_claims: int
    # Claims of one client.
    max_claims_per_client: int
    # Milliseconds of log time for which a claim is kept while its client
    # makes further claims.
    window_ms: int
    # Clients whose floor is kept.
    max_clients: int


class Claims:
    """All claims, changed by commands in the order of the log."""

    def __init__(self, limits: ClaimLimits) -> None:
        self._limits = limits
        self._client_by_name: dict[str, ClientClaims] = {}
        self._owners = Owners()
        self._kept_count = 0

    @property
    def kept_count(self) -> int:
        """The number of claims that are kept."""
        return self._kept_count

    def claim(self, command: ClaimCommand, now_ms: int) -> list[OutcomeRow]:
        """Grant the jobs that are unclaimed.

        `now_ms` is the log time. There is one row for each claim.
        """
        owner = Owner(
            command.owner, command.owner_incarnation, command.owner_address
        )
        owner_index = self._owners.acquire(owner)
        rows = [
            self._claim_one(
                job,
                KeptClaim(
                    owner_index,
                    token,
                    command.sequence,
                    now_ms,
                    _fixed_length_digest(digest),
                ),
            )
            for job, digest, token in command.claims
        ]
        self._owners.release(owner_index)
        return rows

    def look_up(self, query: LookupQuery) -> list[OutcomeRow]:
        """Return the outcome that each claim would have."""
        return [
            self._look_up_one(query.owner_incarnation, job, digest, token)
            for job, digest, token in query.claims
        ]

    def release(self, command: ReleaseCommand) -> None:
        """Remove claims of the owner that no later request has renewed."""
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
                self._note_removal(kept.owner_index)

    def _claim_one(self, job: str, wanted: KeptClaim) -> OutcomeRow:
        client, issued_ms = split_job(job)
        claims = self._client_by_name.get(client)
        if claims is None:
            if len(self._client_by_name) >= self._limits.max_clients:
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
        self._owners.retain(wanted.owner_index)
        self._kept_count += 1
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
            wanted = _fixed_length_digest(digest) if digest else kept.digest
            status = self._status(kept, incarnation, wanted, token)
            return (job, status.value, *self._owners.get(kept.owner_index))
        if issued_ms <= claims.floor_ms:
            return (job, ClaimStatus.WINDOW_PASSED.value)
        return (job, ClaimStatus.UNCLAIMED.value)

    def _status(
        self, kept: KeptClaim, incarnation: str, digest: bytes, token: int
    ) -> ClaimStatus:
        """Return the status of a further claim for a claimed job."""
        if kept.digest != digest:
            return ClaimStatus.CONFLICT
        owner = self._owners.get(kept.owner_index)
        if owner.incarnation == incarnation and kept.token == token:
            return ClaimStatus.GRANTED
        return ClaimStatus.OWNED

    def _make_room(
        self, claims: ClientClaims, issued_ms: int, now_ms: int
    ) -> bool:
        """Evict for one more claim; return whether it may be granted.

        A claim that is refused for its own age evicts nothing.
        """
        oldest = claims.oldest()
        is_full = (
            len(claims.claim_by_job) >= self._limits.max_claims_per_client
        )
        if is_full and oldest is not None and issued_ms <= oldest[0]:
            return False
        if issued_ms <= claims.floor_ms:
            return False
        if is_full:
            self._evict_oldest(claims)
        self._evict_expired(claims, issued_ms, now_ms)
        if self._kept_count >= self._limits.max_claims:
            self._evict_from_largest()
        return issued_ms > claims.floor_ms

    def _evict_expired(
        self, claims: ClientClaims, issued_ms: int, now_ms: int
    ) -> None:
        """Evict claims past the window that were issued before this one.

        Age alone never raises the floor to the time of the new claim:
        otherwise one job issued by a clock far ahead would make all later
        claims of the client too old.
        """
        cutoff_ms = now_ms - self._limits.window_ms
        oldest = claims.oldest()
        while oldest is not None and oldest[0] < issued_ms:
            kept = claims.get(oldest[1])
            if kept is None or kept.granted_ms >= cutoff_ms:
                return
            self._evict_oldest(claims)
            oldest = claims.oldest()

    def _evict_from_largest(self) -> None:
        _, name = max(
            (len(claims.claim_by_job), name)
            for name, claims in self._client_by_name.items()
        )
        claims = self._client_by_name[name]
        excess = 1 + self._limits.max_claims // _OVERFLOW_DIVISOR
        for _ in range(min(excess, len(claims.claim_by_job))):
            self._evict_oldest(claims)

    def _evict_oldest(self, claims: ClientClaims) -> None:
        packed = claims.evict_oldest()
        self._note_removal(KeptClaim.from_bytes(packed).owner_index)

    def _note_removal(self, owner_index: int) -> None:
        self._owners.release(owner_index)
        self._kept_count -= 1

    def to_document(self) -> list[Any]:
        """Return all claims as plain values for a snapshot."""
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
        """Replace all claims by a result of `to_document`."""
        owners, client_rows = document
        self._owners = Owners.from_document(owners)
        self._client_by_name = {}
        self._kept_count = 0
        size = CLAIM_LAYOUT.size
        for name, floor_ms, joined_jobs, joined_claims in client_rows:
            claims = ClientClaims(floor_ms)
            jobs = joined_jobs.split(_JOB_SEPARATOR) if joined_jobs else []
            for number, job in enumerate(jobs):
                packed = joined_claims[number * size : (number + 1) * size]
                claims.add(split_job(job)[1], job, packed)
            self._kept_count += len(jobs)
            self._client_by_name[name] = claims


def outcome_from_row(row: OutcomeRow) -> ClaimOutcome:
    """Convert the compact form of an outcome to a message."""
    job, status, *owner = row
    return ClaimOutcome(job, ClaimStatus(status), *owner)


def _fixed_length_digest(digest: bytes) -> bytes:
    """Return the digest, hashed unless it has `DIGEST_BYTES` bytes."""
    if len(digest) == DIGEST_BYTES:
        return digest
    return hashlib.sha256(digest).digest()
