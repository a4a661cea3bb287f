"""Durations that the leader and the agents must agree on."""

from dataclasses import dataclass
import time
from typing import Final

# How much slower than real time an upstream's clock may go.
CLOCK_DRIFT: Final = 0.02


def boot_time() -> float:
    """Return seconds on a clock that counts suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long permissions last, in seconds."""

    # The longest lease that an upstream takes.
    longest_lease_s: float = 1.0
    # An agent may renew its upstream's lease for this long without a word
    # from a leader: longer than a restart of the whole control group, so
    # that no change of leader interrupts a task.
    authority_s: float = 4.0
    # A leader may grant authority for this long after a majority has
    # confirmed it.
    confirmation_s: float = 0.4
    # What an upstream takes to stop runs whose lease has lapsed.
    stop_s: float = 0.05

    @property
    def lapse_s(self) -> float:
        """Seconds after which authority granted now has surely lapsed."""
        return self.authority_s * (1 + CLOCK_DRIFT) + 2 * self.stop_s

    @property
    def takeover_s(self) -> float:
        """Seconds after which nothing granted by earlier leaders holds.

        An earlier leader may grant until its last confirmation is too old,
        which is at most `confirmation_s` after the election.
        """
        return self.confirmation_s + self.lapse_s
