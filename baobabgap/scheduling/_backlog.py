"""The work that waits, and the part of it that starts before a new job.

Jobs that can still be on time start before late ones. While the backlog is
late already, a new job therefore waits for only a part of it.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate
from typing import Final
from typing import Self

from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._planner import Urgency
from baobabgap.scheduling._planner import urgency_of


class Backlog:
    """The waiting work of one service, ordered by urgency, at one time.

    All amounts are in core-seconds::

        backlog = Backlog.from_plans(plans, now)
        backlog.ahead_core_s(new_plan)
    """

    def __init__(
        self, work: Iterable[tuple[Urgency, float]], observed_at: float
    ) -> None:
        self.observed_at: Final = observed_at
        ordered = sorted(work)
        self._urgencies = [urgency for urgency, _ in ordered]
        # Cumulative work up to and including each urgency.
        self._sums = list(accumulate(core_s for _, core_s in ordered))
        # Work of the few jobs added since; not sorted.
        self._added_work: list[tuple[Urgency, float]] = []

    @classmethod
    def from_plans(cls, plans: Iterable[JobPlan], now: float) -> Self:
        """Sum up the tasks of the plans that wait at `now`."""
        return cls(
            (work for plan in plans for work in _waiting_work(plan, now)), now
        )

    def add(self, plan: JobPlan) -> None:
        """Add the work of a newly admitted job."""
        self._added_work.extend(_waiting_work(plan, self.observed_at))

    @property
    def total_core_s(self) -> float:
        """The total waiting work."""
        before = self._sums[-1] if self._sums else 0.0
        return before + sum(core_s for _, core_s in self._added_work)

    def ahead_core_s(self, plan: JobPlan) -> float:
        """Return the work that starts before a job not yet in the backlog."""
        urgency = urgency_of(plan, 0, self.observed_at)
        count = bisect_right(self._urgencies, urgency)
        before = self._sums[count - 1] if count else 0.0
        return before + sum(
            core_s for other, core_s in self._added_work if other <= urgency
        )


def _waiting_work(
    plan: JobPlan, now: float
) -> Iterable[tuple[Urgency, float]]:
    for number, waiting in enumerate(plan.waiting_by_step):
        if waiting:
            core_s = len(waiting) * plan.task_core_s(number)
            yield urgency_of(plan, number, now), core_s
