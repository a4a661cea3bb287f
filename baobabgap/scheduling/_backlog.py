"""How much work waits, and how much of it goes before a new job.

This answers a load with a backlog that is late already: what comes in
now goes before it, so it doesn't have to wait for all of it.
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
    """The waiting work of one service, by urgency, at one moment.

    An example, with all amounts in core-seconds::

        backlog = Backlog.from_plans(plans, now)
        backlog.ahead_core_s(new_plan)
    """

    def __init__(
        self, work: Iterable[tuple[Urgency, float]], looked_at: float
    ) -> None:
        self.looked_at: Final = looked_at
        ordered = sorted(work)
        self._urgencies = [urgency for urgency, _ in ordered]
        # What waits up to and with each of them.
        self._sums = list(accumulate(core_s for _, core_s in ordered))
        # Jobs that came in since, which are few.
        self._added: list[tuple[Urgency, float]] = []

    @classmethod
    def from_plans(cls, plans: Iterable[JobPlan], now: float) -> Self:
        """Look at what waits now."""
        return cls(
            (work for plan in plans for work in _waiting_work(plan, now)), now
        )

    def add(self, plan: JobPlan) -> None:
        """Count a job that has just come in."""
        self._added.extend(_waiting_work(plan, self.looked_at))

    @property
    def total_core_s(self) -> float:
        """All that waits."""
        before = self._sums[-1] if self._sums else 0.0
        return before + sum(core_s for _, core_s in self._added)

    def ahead_core_s(self, plan: JobPlan) -> float:
        """Return what goes before a job that isn't counted yet."""
        urgency = urgency_of(plan, 0, self.looked_at)
        count = bisect_right(self._urgencies, urgency)
        before = self._sums[count - 1] if count else 0.0
        return before + sum(
            core_s for other, core_s in self._added if other <= urgency
        )


def _waiting_work(
    plan: JobPlan, now: float
) -> Iterable[tuple[Urgency, float]]:
    for number, waiting in enumerate(plan.waiting_by_step):
        if waiting:
            core_s = len(waiting) * plan.task_core_s(number)
            yield urgency_of(plan, number, now), core_s
