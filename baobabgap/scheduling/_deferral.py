"""Which waiting jobs start soon, and which certainly don't.

Answers the load of a leader that is lost while more work waits than starts
at once. What waits far back has certainly not begun if its entry was told
so, and then needs neither wait for the end of a takeover nor be answered as
possibly begun.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._urgency import urgency_of

# Seconds of work of all open cores that count as starting soon: several
# times the interval between two decisions.
_SOON_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class WaitingJobs:
    """Waiting jobs in the order of their starts, divided."""

    soon: tuple[JobPlan, ...]
    later: tuple[JobPlan, ...]

    @classmethod
    def from_plans(
        cls, plans: Iterable[JobPlan], now: float, open_cores: float
    ) -> 'WaitingJobs':
        """Divide waiting jobs of one service.

        A job that not every upstream can run counts as starting soon at any
        place in the order, as jobs before it may have to wait for longer.
        Without an open core the order says nothing, so that all do.
        """
        soon: list[JobPlan] = []
        later: list[JobPlan] = []
        ahead_core_s = 0.0
        for plan in sorted(
            plans, key=lambda plan: (urgency_of(plan, 0, now), plan.arrived_at)
        ):
            if _is_constrained(plan):
                soon.append(plan)
                continue
            is_soon = not open_cores or ahead_core_s < _SOON_S * open_cores
            (soon if is_soon else later).append(plan)
            ahead_core_s += waiting_core_s(plan)
        return cls(tuple(soon), tuple(later))


def waiting_core_s(plan: JobPlan) -> float:
    """Return the expected work of the waiting tasks in core-seconds."""
    return sum(
        len(waiting) * plan.task_core_s(step)
        for step, waiting in enumerate(plan.waiting_by_step)
    )


def _is_constrained(plan: JobPlan) -> bool:
    return any(
        step.required_label
        or step.most_per_upstream
        or step.demand.accelerators
        for step in plan.job.steps
    )
