"""Lease durations shared by the leader and the agents."""

from dataclasses import dataclass
import time
from typing import Final

# The fraction by which an upstream's clock may be slower than real time.
CLOCK_DRIFT: Final = 0.02


def boottime_clock() -> float:
    """Return seconds on a clock that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of leases and of the authority to renew them, seconds."""

    # The longest lease that an upstream accepts.
    longest_lease_s: float = 1.0
    # How long an agent may renew its upstream's lease without hearing from
    # a leader. Longer than a restart of the whole control group, so that a
    # change of leader doesn't interrupt tasks.
    authority_s: float = 4.0
    # How long a leader may grant authority after a majority has confirmed
    # that it leads.
    confirmation_s: float = 0.4
    # The time that an upstream needs to stop runs whose lease has lapsed.
    stop_s: float = 0.05
    # How long a call without an answer may still be carried out.
    late_call_s: float = 15.0

    @property
    def lapse_s(self) -> float:
        """Seconds after which authority granted now has certainly lapsed."""
        return self.authority_s * (1 + CLOCK_DRIFT) + 2 * self.stop_s

    @property
    def late_run_s(self) -> float:
        """Seconds after which a start without an answer runs nothing.

        The next incarnation of an upstream may carry it out, whose clock
        doesn't limit its lease.
        """
        return self.late_call_s + self.longest_lease_s

    @property
    def takeover_s(self) -> float:
        """Seconds after which all grants of earlier leaders have lapsed.

        An earlier leader may grant authority until its last confirmation
        expires, at most `confirmation_s` after the election.
        """
        return self.confirmation_s + self.lapse_s
