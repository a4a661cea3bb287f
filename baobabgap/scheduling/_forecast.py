"""When the runs of an upstream are expected to end.

Answers the load of tasks that wait for capacity: whether it is better to
wait for one upstream than for another depends on what ends there, and when.
Run times are rough estimates, so that an expectation that has passed says
little but that the run is a longer one.
"""

import bisect
from dataclasses import dataclass
from dataclasses import field
import math
from typing import Final
from typing import Self

from baobabgap.jobmodel import Demand

# A run that has passed its expected end is expected to last for this share
# of its age more.
_OVERRUN_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True, order=True)
class ExpectedRun:
    """A run with its expected end; times in seconds."""

    ends_at: float
    started_at: float
    demand: Demand = field(compare=False)

    @classmethod
    def from_start(
        cls, started_at: float, expected_s: float, demand: Demand
    ) -> Self:
        """Create a run that starts, or is found, at a time."""
        return cls(started_at + expected_s, started_at, demand)

    def expected_end(self, now: float) -> float:
        """Return when the run is expected to end, at the earliest `now`."""
        if now < self.ends_at:
            return self.ends_at
        return now + _OVERRUN_SHARE * (now - self.started_at)


class RunForecast:
    """The runs of one upstream by their expected ends.

    Adding and removing a run costs about the same at any number of runs
    that one upstream can have::

        forecast.add(ExpectedRun.from_start(now, 0.4, demand))
        forecast.free_at(large_demand, free, now)
    """

    def __init__(self) -> None:
        # In the order of the ends that were expected at their starts.
        self._runs: list[ExpectedRun] = []

    def add(self, run: ExpectedRun) -> None:
        """Add a run that occupies capacity from now on."""
        bisect.insort(self._runs, run)

    def remove(self, run: ExpectedRun) -> None:
        """Remove a run, or one with equal times and an equal demand."""
        index = bisect.bisect_left(self._runs, run)
        while self._runs[index] != run or (
            self._runs[index].demand != run.demand
        ):
            index += 1
        del self._runs[index]

    def free_at(self, demand: Demand, free: Demand, now: float) -> float:
        """Return when a demand is expected to fit; `free` is free now.

        Infinity if it doesn't fit even after the end of all known runs.
        """
        if demand.fits_in(free):
            return now
        for ends_at, released in self._ends(now):
            free = free.plus(released)
            if demand.fits_in(free):
                return ends_at
        return math.inf

    def free_by(self, time: float, free: Demand, now: float) -> Demand:
        """Return what is expected to be free at a time; `free` is now."""
        for ends_at, released in self._ends(now):
            if ends_at > time:
                break
            free = free.plus(released)
        return free

    def _ends(self, now: float) -> list[tuple[float, Demand]]:
        """Return the expected ends of the runs with what they release."""
        ends = [(run.expected_end(now), run.demand) for run in self._runs]
        if self._runs and self._runs[0].ends_at <= now:
            ends.sort(key=lambda end: end[0])
        return ends
