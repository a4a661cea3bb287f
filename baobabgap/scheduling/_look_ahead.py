"""What the placement of a service remembers of the tasks that wait.

Answers the load of tasks of different demand on upstreams of different
speed. While the most urgent step waits for capacity, less urgent tasks may
use what it can't use: gaps that are too small, and upstreams on which it
would be late. Each pass looks at a few steps behind it.
"""

from dataclasses import dataclass
import math
from typing import Final

from baobabgap.jobmodel import Demand
from baobabgap.scheduling._start_queue import WaitingStep
from baobabgap.scheduling._targets import PlacementTarget

# Steps behind the one that waits at which a pass looks.
LOOK_AHEAD_STEPS: Final = 4
# Shortest expected wait in seconds during which gaps are filled. Before the
# end of a shorter one, the capacity is better left to the step that waits.
_SHORTEST_FILLED_WAIT_S: Final = 0.05
# Largest demand that fills gaps, as a share of the demand that waits.
_LARGEST_FILLER_SHARE: Final = 0.4
# Seconds for which an expectation of what a step waits for is used.
_EXPECTATION_AGE_S: Final = 0.02
# Passes after which one looks at the waiting steps, even if there is no room
# for the smallest demand seen.
_PASSES_BETWEEN_LOOKS: Final = 8
# Steps after which the largest demand seen is forgotten, at the latest after
# twice as many.
_REMEMBERED_STEPS: Final = 256
# Overhead of a job on top of its run time, and the fraction by which run
# times often exceed the expected one.
_MARGIN_S: Final = 0.02
_MARGIN_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Claim:
    """What the most urgent step without a place waits for."""

    job_id: str
    step: int
    demand: Demand
    # When its demand is expected to fit somewhere; infinity if unknown.
    fits_at: float
    # The slowest targets that it waits for.
    most_slowness: float
    made_at: float

    def is_current(self, first: WaitingStep, now: float) -> bool:
        """Return whether it is a recent claim of the step that waits."""
        is_its = self.job_id == first.plan.job.job_id and (
            self.step == first.step
        )
        valid_until = max(self.fits_at, self.made_at + _EXPECTATION_AGE_S)
        return is_its and now <= valid_until

    def leaves_gap_for(self, demand: Demand) -> bool:
        """Return whether a demand is so much smaller that gaps are its place.

        Among like demands, filling gaps only lets the later task go first.
        """
        return (
            demand.cpu_millicores
            <= _LARGEST_FILLER_SHARE * self.demand.cpu_millicores
        )

    def is_long(self, now: float) -> bool:
        """Return whether the wait is long enough to fill gaps meanwhile."""
        return self.fits_at - now >= _SHORTEST_FILLED_WAIT_S

    def permits(
        self, target: PlacementTarget, run: WaitingStep, now: float
    ) -> bool:
        """Return whether a task may start on a target beside the claim.

        Either the claim isn't for such a target, or the task is expected to
        end before the demand of the claim fits there, or leaves enough.
        """
        if target.slowness > self.most_slowness:
            return True
        if not self.is_long(now):
            return False
        fits_at = target.free_at(self.demand, now)
        expected_s = run.plan.expected_s[run.step]
        if now + expected_s * target.slowness <= fits_at:
            return True
        left = target.free_by(fits_at, now).minus(demand_of(run))
        return self.demand.fits_in(left)


class LookAhead:
    """State of one service's placement that outlasts a pass."""

    def __init__(self) -> None:
        self.claim: Claim | None = None
        # Where the last look at the steps behind the first one ended.
        self.looked_at: WaitingStep | None = None
        # Number of starts beside a claim so far.
        self.starts_beside = 0
        self._smallest_millicores = 0
        self._passes_to_look = 0
        self._largest_millicores = 0
        self._largest_before = 0
        self._steps_to_forget = _REMEMBERED_STEPS

    @property
    def largest_millicores(self) -> int:
        """The processors of the largest demand seen lately."""
        return max(self._largest_millicores, self._largest_before)

    def note_demand(self, demand: Demand) -> None:
        """Record the demand of a waiting step."""
        if self._steps_to_forget == 0:
            self._largest_before = self._largest_millicores
            self._largest_millicores = 0
            self._steps_to_forget = _REMEMBERED_STEPS
        self._steps_to_forget -= 1
        self._largest_millicores = max(
            self._largest_millicores, demand.cpu_millicores
        )

    def is_look_due(self, largest_free_millicores: int) -> bool:
        """Return whether a step behind the first one may fit somewhere."""
        self._passes_to_look -= 1
        return (
            largest_free_millicores >= self._smallest_millicores
            or self._passes_to_look < 0
        )

    def note_look(
        self, last: WaitingStep | None, smallest_millicores: int
    ) -> None:
        """Record where a look ended, and the smallest demand that it saw."""
        self.looked_at = last
        self._smallest_millicores = smallest_millicores
        self._passes_to_look = _PASSES_BETWEEN_LOOKS


def demand_of(waiting_step: WaitingStep) -> Demand:
    """Return what each task of a step occupies."""
    return waiting_step.plan.job.steps[waiting_step.step].demand


def on_time_slowness(waiting_step: WaitingStep, now: float) -> float:
    """Return the largest run time factor with which the job is on time.

    Infinity for a job that is late already.
    """
    if waiting_step.urgency.lateness:
        return math.inf
    expected_s = waiting_step.plan.expected_s[waiting_step.step]
    left_s = waiting_step.urgency.latest_start + expected_s - now - _MARGIN_S
    return left_s / max((1 + _MARGIN_SHARE) * expected_s, 0.001)
