"""Estimates the upstream's clock and bounds the end of its leases."""

from dataclasses import dataclass
import math
from typing import Final

from baobabgap.protocol import CLOCK_DRIFT

# Milliseconds that the upstream may take to end runs whose lease expired.
_STOP_SLACK_MS: Final = 100


@dataclass(frozen=True, slots=True, eq=False)
class SentLease:
    """A lease in a call to the upstream; equal to itself only."""

    # The end of the lease, milliseconds of the upstream's clock.
    until_ms: int


class LeaseClock:
    """The last reading of the upstream's clock, and its latest lease.

    Local times are seconds of `boottime_clock`, which also counts the time for
    which the host is suspended.
    """

    def __init__(self, started_at: float, longest_lease_s: float) -> None:
        self._clock_ms = 0
        # Until the first reading, the latest lease counts from the start: an
        # earlier process of this agent may have sent one just before.
        self._read_at = started_at
        # The latest end of any lease that the upstream may have got.
        self._latest_lease_end_ms = int(1000 * longest_lease_s)
        # Leases in calls that are being sent.
        self._leases_in_flight: set[SentLease] = set()
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether the clock has been read at least once."""
        return self._is_known

    @property
    def last_read_ms(self) -> int:
        """The last reading in milliseconds, a lower bound of the clock."""
        return self._clock_ms

    def record_reading(self, clock_ms: int, answered_at: float) -> None:
        """Record a reading from an answer that arrived at `answered_at`.

        The upstream read its clock no later than that, which may be long
        after the call was sent. A reading lower than the last one is
        ignored.
        """
        if not self._is_known:
            # An earlier process may have renewed the lease just before.
            self._latest_lease_end_ms += clock_ms
            self._is_known = True
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at = answered_at

    def estimate_ms(self, now: float) -> int:
        """Return the reading of the clock at local time `now`, or less."""
        return self._clock_ms + int(1000 * (now - self._read_at))

    def begin_lease(self, until_ms: int) -> SentLease:
        """Record a lease up to `until_ms`; call this before sending it.

        Pass the result to `settle_lease` once the call has ended.
        """
        lease = SentLease(until_ms)
        self._leases_in_flight.add(lease)
        return lease

    def settle_lease(self, lease: SentLease, *, was_delivered: bool) -> None:
        """Record whether the upstream may have got a lease that was sent.

        A call without an answer may have been delivered. Leases of an
        earlier incarnation are ignored.
        """
        if lease not in self._leases_in_flight:
            return
        self._leases_in_flight.discard(lease)
        if was_delivered:
            self._latest_lease_end_ms = max(
                self._latest_lease_end_ms, lease.until_ms
            )

    def has_lapsed(self, now: float) -> bool:
        """Return whether every lease that was sent has certainly expired.

        Allows for a slow clock of the upstream and for the time that it
        takes to end runs.
        """
        return self.remaining_ms(now) < 0

    def remaining_ms(self, now: float) -> int:
        """Return for how long a lease that was sent may still hold.

        In milliseconds of local time; negative once all have expired.
        """
        lease_end_ms = max(
            [
                self._latest_lease_end_ms,
                *(lease.until_ms for lease in self._leases_in_flight),
            ]
        )
        longest_ms = lease_end_ms - self._clock_ms + _STOP_SLACK_MS
        return math.floor(
            longest_ms * (1 + CLOCK_DRIFT) - 1000 * (now - self._read_at)
        )
