"""Following the upstream's clock, and when its lease has surely lapsed."""

from typing import Final

from baobabgap.dispatch import CLOCK_DRIFT

# Milliseconds that the upstream may take to end runs without a lease.
_STOP_SLACK_MS: Final = 100


class LeaseClock:
    """The upstream's clock as read last, and the latest lease given.

    Local times are seconds on a clock that goes on while the host is
    suspended.
    """

    def __init__(self, began_at: float, longest_lease_s: float) -> None:
        self._clock_ms = 0
        # Before any reading, leases count from the beginning: an earlier
        # process of this agent may have given one just before.
        self._read_at = began_at
        # The latest end of a lease that was sent, answered or not.
        self._horizon_ms = int(1000 * longest_lease_s)
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Tell whether the clock was ever read."""
        return self._is_known

    @property
    def last_read_ms(self) -> int:
        """The last reading: the clock is at least there."""
        return self._clock_ms

    def note_reading(self, clock_ms: int, asked_at: float) -> None:
        """Take a reading from the answer to a call sent at `asked_at`.

        The clock stood there no earlier than `asked_at`.
        """
        if not self._is_known:
            # An earlier process may have renewed the lease until now.
            self._horizon_ms += clock_ms
            self._is_known = True
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._read_at = asked_at

    def estimate_ms(self, now: float) -> int:
        """Return about where the clock stands."""
        return self._clock_ms + int(1000 * (now - self._read_at))

    def note_lease(self, until_ms: int) -> None:
        """A lease up to `until_ms` is about to be sent."""
        self._horizon_ms = max(self._horizon_ms, until_ms)

    def has_lapsed(self, now: float) -> bool:
        """Tell whether no lease that was sent can hold any more."""
        rest_ms = self._horizon_ms - self._clock_ms + _STOP_SLACK_MS
        return 1000 * (now - self._read_at) > rest_ms * (1 + CLOCK_DRIFT)
