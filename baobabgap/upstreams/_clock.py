"""Estimates the upstream's clock and bounds the end of its leases."""

from dataclasses import dataclass
import math
from typing import Final

from baobabgap.protocol import CLOCK_DRIFT

# Milliseconds that the upstream may take to end runs whose lease expired.
_STOP_SLACK_MS: Final = 100
# Milliseconds by which readings may seem inconsistent, as they are rounded.
_ROUNDING_MS: Final = 2
# Consecutive refused readings that agree with each other before they replace
# the ones before, and the seconds that they have to span.
_REPLACING_READINGS: Final = 3
_REPLACING_PERIOD_S: Final = 0.5
# The largest reading, which can be converted to seconds; milliseconds.
_LARGEST_MS: Final = 2**53
# What `remaining_ms` returns if no end of a lease is certain, milliseconds.
_NEVER_MS: Final = 2**53


@dataclass(frozen=True, slots=True)
class _Reading:
    """A reading of the upstream's clock.

    It was made between `sent_at` and `answered_at`, local times.
    """

    clock_ms: int
    sent_at: float
    answered_at: float

    def least_ms(self, at: float) -> float:
        """Return the least that the clock can show at a local time."""
        passed_s = max(0.0, at - self.answered_at)
        return self.clock_ms + 1000 * passed_s * (1 - CLOCK_DRIFT)

    def most_ms(self, at: float) -> float:
        """Return the most that the clock can show at a local time."""
        return self.clock_ms + 1000 * (at - self.sent_at) * (1 + CLOCK_DRIFT)


class _ClockBounds:
    """What consistent readings tell about the clock."""

    def __init__(self, first: _Reading) -> None:
        self.last = first
        # The readings that bound the clock most closely.
        self._lowest = first
        self._highest = first
        self._first: Final = first
        self.readings = 1

    @property
    def has_settled(self) -> bool:
        """Whether there are enough readings to replace others."""
        period_s = self.last.answered_at - self._first.answered_at
        return (
            self.readings >= _REPLACING_READINGS
            and period_s >= _REPLACING_PERIOD_S
        )

    def most_ms(self, at: float) -> float:
        """Return the most that the clock can show at a local time."""
        return self._highest.most_ms(at)

    def conflict(self, reading: _Reading) -> str:
        """Return why a reading can't be true if these are; or ''."""
        most_ms = self.most_ms(reading.answered_at)
        if reading.clock_ms > most_ms + _ROUNDING_MS:
            return f'at most {int(most_ms)} is possible'
        if reading.sent_at < self._lowest.answered_at:
            return ''
        least_ms = self._lowest.least_ms(reading.sent_at)
        if reading.clock_ms < least_ms - _ROUNDING_MS:
            return f'at least {int(least_ms)} is possible'
        return ''

    def add(self, reading: _Reading) -> None:
        """Add a reading that has no conflict."""
        self.readings += 1
        at = reading.answered_at
        if reading.most_ms(at) < self._highest.most_ms(at):
            self._highest = reading
        if reading.clock_ms > self._lowest.least_ms(at):
            self._lowest = reading
        if reading.clock_ms >= self.last.clock_ms:
            self.last = reading


@dataclass(frozen=True, slots=True, eq=False)
class SentLease:
    """A lease in a call to the upstream; equal to itself only."""

    # The end of the lease, milliseconds of the upstream's clock.
    until_ms: int


class LeaseClock:
    """The last reading of the upstream's clock, and its latest lease.

    Local times are seconds of `boottime_clock`, which also counts the time for
    which the host is suspended.

    A reading that can't be true if the ones before are is refused: a later
    clock would make leases seem lapsed that still hold, and would renew them
    beyond the leader's authority. If the ones before were false, readings
    that agree with each other replace them.
    """

    def __init__(self, started_at: float, longest_lease_s: float) -> None:
        self._started_at: Final = started_at
        self._longest_lease_ms: Final = int(1000 * longest_lease_s)
        self._bounds: _ClockBounds | None = None
        # Refused readings that agree with each other.
        self._rival: _ClockBounds | None = None
        # The latest end of any lease that the upstream may have got. Until
        # the first reading, it counts from the start: an earlier process of
        # this agent may have sent one just before.
        self._latest_lease_end_ms = self._longest_lease_ms
        # The same of calls without an answer, which the upstream may get late.
        self._latest_unanswered_ms = 0
        # Leases in calls that are being sent.
        self._leases_in_flight: set[SentLease] = set()
        # How often other readings replaced those by which leases were sent.
        self.replacements = 0
        # Whether leases were sent by a clock that may have been too late.
        self._is_end_unknown = False

    @property
    def is_known(self) -> bool:
        """Whether two readings agree, so that leases may be sent."""
        return self._bounds is not None and self._bounds.readings > 1

    @property
    def last_read_ms(self) -> int:
        """The last reading in milliseconds, a lower bound of the clock."""
        return self._bounds.last.clock_ms if self._bounds else 0

    @property
    def _read_at(self) -> float:
        if self._bounds is None:
            return self._started_at
        return self._bounds.last.answered_at

    def record_reading(
        self,
        clock_ms: int,
        answered_at: float,
        sent_at: float = -math.inf,
    ) -> str:
        """Record a reading from an answer that arrived at `answered_at`.

        The upstream read its clock no later than that, which may be long
        after the call was sent at `sent_at`. A reading lower than the last
        one is ignored. Returns why a reading is refused, or ''.
        """
        if not 0 <= clock_ms <= _LARGEST_MS:
            return f'must be from 0 to {_LARGEST_MS}'
        reading = _Reading(clock_ms, sent_at, answered_at)
        bounds = self._bounds
        if bounds is None:
            self._begin(reading)
            return ''
        conflict = bounds.conflict(reading)
        if not conflict:
            bounds.add(reading)
            self._rival = None
            return ''
        if not self.is_known:
            # No lease was sent by the one before, which may be the false one.
            self._begin(reading)
            return conflict
        if self._rival is None or self._rival.conflict(reading):
            self._rival = _ClockBounds(reading)
            return conflict
        self._rival.add(reading)
        if self._rival.has_settled:
            self._replace_bounds(self._rival, answered_at)
        return conflict

    def _begin(self, reading: _Reading) -> None:
        self._bounds = _ClockBounds(reading)
        # An earlier process may have renewed the lease just before.
        self._latest_lease_end_ms = self._longest_lease_ms + reading.clock_ms

    def _replace_bounds(self, bounds: _ClockBounds, now: float) -> None:
        """Use other readings than those by which leases were sent.

        The upstream limits each lease to the longest from the time at which
        it gets it. A call without an answer may arrive later, so that its
        lease counts up to its full end.
        """
        if bounds.last.clock_ms > self.estimate_ms(now):
            # If the readings before are the true ones, a lease that arrives
            # late has no known end.
            self._is_end_unknown = True
        self.replacements += 1
        self._bounds, self._rival = bounds, None
        self._latest_lease_end_ms = max(
            self._longest_end_ms(now), self._latest_unanswered_ms
        )

    def _longest_end_ms(self, now: float) -> int:
        """Return the latest end of any lease that was received by `now`."""
        if self._bounds is None:
            return _NEVER_MS
        most_ms = min(float(_NEVER_MS), self.most_ms(now))
        return math.ceil(most_ms) + self._longest_lease_ms

    def most_ms(self, now: float) -> float:
        """Return the most that the clock can show at local time `now`."""
        if self._bounds is None:
            return 0.0
        return self._bounds.most_ms(now) + _ROUNDING_MS

    def estimate_ms(self, now: float) -> int:
        """Return the reading of the clock at local time `now`, or less."""
        return self.last_read_ms + int(1000 * (now - self._read_at))

    def begin_lease(self, until_ms: int) -> SentLease:
        """Record a lease up to `until_ms`; call this before sending it.

        Pass the result to `settle_lease` once the call has ended.
        """
        lease = SentLease(until_ms)
        self._leases_in_flight.add(lease)
        return lease

    def settle_lease(
        self,
        lease: SentLease,
        *,
        was_delivered: bool,
        answered_at: float | None = None,
    ) -> None:
        """Record whether the upstream may have got a lease that was sent.

        A call without an answer may have been delivered. Leases of an
        earlier incarnation are ignored. `answered_at` is None unless the
        call was sent once and answered.
        """
        if lease not in self._leases_in_flight:
            return
        self._leases_in_flight.discard(lease)
        if not was_delivered:
            return
        until_ms = lease.until_ms
        if answered_at is None:
            self._latest_unanswered_ms = max(
                self._latest_unanswered_ms, until_ms
            )
        else:
            until_ms = min(until_ms, self._longest_end_ms(answered_at))
        self._latest_lease_end_ms = max(self._latest_lease_end_ms, until_ms)

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
        if self._is_end_unknown:
            return _NEVER_MS
        lease_end_ms = max(
            [
                self._latest_lease_end_ms,
                *(lease.until_ms for lease in self._leases_in_flight),
            ]
        )
        longest_ms = lease_end_ms - self.last_read_ms + _STOP_SLACK_MS
        return math.floor(
            longest_ms * (1 + CLOCK_DRIFT) - 1000 * (now - self._read_at)
        )
