"""The order of starts.

When more tasks wait than fit, jobs that can still be on time, or that have
begun, start before those that are late already, and among them the one with
the earliest latest start. A job that has begun can't be refused any more: if
it waits behind new ones, its caller gets no answer and the work is lost.
"""

from dataclasses import dataclass
import math
from typing import Final

from baobabgap.scheduling._job_plan import JobPlan

# Overhead of a job on top of its run time: messages and wake-ups between the
# start order and the answer.
_MARGIN_S: Final = 0.02
# Fraction by which run times often exceed the expected one.
_MARGIN_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of the order of starts; the smallest starts first."""

    # 0 if the job can be on time or has begun, 1 if late, 2 if no longer worth
    # running.
    lateness: int
    # Time at which the tasks must start for the job to be on time, seconds.
    latest_start: float


def urgency_of(plan: JobPlan, step: int, now: float) -> Urgency:
    """Return the sort key of a step's tasks in the order of starts."""
    return _urgency_and_change(plan, step, now)[0]


def urgency_changes_at(plan: JobPlan, step: int, now: float) -> float:
    """Return the time after which the urgency at `now` no longer holds.

    Infinity if it holds until the plan itself changes.
    """
    return _urgency_and_change(plan, step, now)[1]


def _urgency_and_change(
    plan: JobPlan, step: int, now: float
) -> tuple[Urgency, float]:
    latest_start = plan.latest_start(step)
    margin_s = _MARGIN_S + _MARGIN_SHARE * plan.expected_s[step]
    first_until = max(
        latest_start - margin_s, plan.begun_and_awaited_until(step)
    )
    if now <= first_until:
        return Urgency(0, latest_start), first_until
    useful_until = plan.latest_useful_start(step)
    if now <= useful_until:
        return Urgency(1, latest_start), useful_until
    return Urgency(2, latest_start), math.inf
