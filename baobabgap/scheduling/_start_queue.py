"""The waiting steps of one service, in the order in which they start.

Answers the load of many waiting jobs: at any backlog, adding a job, taking
the next step and summing up the work ahead of a job each cost about the
same, since the order and the sums are updated as plans change instead of
being computed for each decision.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import heapq
import itertools
import math
from typing import Final
from typing import Self

from sortedcontainers import SortedDict
from sortedcontainers import SortedList

from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._urgency import Urgency
from baobabgap.scheduling._urgency import urgency_changes_at
from baobabgap.scheduling._urgency import urgency_of

# Width in seconds of the intervals of latest starts by which waiting work is
# summed up; a small part of the shortest objectives.
_INTERVAL_S: Final = 0.025
_LATENESS_VALUES: Final = 3


@dataclass(slots=True)
class WaitingStep:
    """A step with waiting tasks."""

    plan: JobPlan
    step: int
    # Number of the entry, in the order of arrival.
    number: int
    urgency: Urgency
    # Waiting work in core-seconds.
    core_s: float
    # Whether its tasks may start now.
    is_ready: bool

    @property
    def key(self) -> tuple[int, float, int]:
        """The place in the order of starts."""
        return (
            self.urgency.lateness,
            self.urgency.latest_start,
            self.number,
        )


class StartQueue:
    """Waiting steps by urgency, and the waiting work by urgency.

    Plans report their changes to the queue while they are in it. Callers
    first advance the queue to the present time::

        queue.add(plan, now)
        queue.advance(now)
        next_step = queue.first_after(None)
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._numbers = itertools.count()
        self._step_by_place: dict[tuple[str, int], WaitingStep] = {}
        # Keys of the steps that may start, with the steps by key.
        self._ready: SortedList = SortedList()
        self._ready_by_number: dict[int, WaitingStep] = {}
        # Times at which the urgency of a step changes.
        self._changes: list[tuple[float, int, tuple[str, int]]] = []
        # Waiting core-seconds by interval of latest starts, by lateness.
        self._work_by_interval: list[SortedDict] = [
            SortedDict() for _ in range(_LATENESS_VALUES)
        ]
        self._work_by_lateness = [0.0] * _LATENESS_VALUES
        # Jobs whose tasks must not start yet.
        self._held_ids: set[str] = set()
        # Number of steps that passes have looked at so far.
        self.examined = 0

    @classmethod
    def from_plans(cls, plans: Iterable[JobPlan], now: float) -> Self:
        """Create a queue of plans whose tasks may all start."""
        queue = cls()
        for plan in plans:
            queue.add(plan, now)
        return queue

    def __len__(self) -> int:
        """Return the number of steps that may start."""
        return len(self._ready)

    def add(self, plan: JobPlan, now: float, *, is_held: bool = False) -> None:
        """Add a plan, or let a held one start.

        The work of a held plan counts, but its tasks don't start.
        """
        self._now = max(self._now, now)
        if is_held:
            self._held_ids.add(plan.job.job_id)
        else:
            self._held_ids.discard(plan.job.job_id)
        plan.on_change = self._update
        self._update(plan)

    def remove(self, plan: JobPlan) -> None:
        """Remove a plan, if it is in the queue."""
        if plan.on_change == self._update:
            plan.on_change = _ignore_change
        self._held_ids.discard(plan.job.job_id)
        for step in range(len(plan.job.steps)):
            self._remove_step((plan.job.job_id, step))

    def advance(self, now: float) -> None:
        """Update the urgency of the steps for which it changes by time."""
        self._now = max(self._now, now)
        while self._changes and self._changes[0][0] < self._now:
            _, number, place = heapq.heappop(self._changes)
            waiting_step = self._step_by_place.get(place)
            if waiting_step is None or waiting_step.number != number:
                continue
            urgency = waiting_step.urgency
            self._update_step(waiting_step.plan, waiting_step.step)
            if waiting_step.urgency == urgency:
                # The plan has changed since, so that it holds for longer.
                self._schedule_change(waiting_step)

    def first_after(self, previous: WaitingStep | None) -> WaitingStep | None:
        """Return the step to start next, or None after the last one."""
        index = 0
        if previous is not None:
            index = self._ready.bisect_right(previous.key)
        if index >= len(self._ready):
            return None
        self.examined += 1
        return self._ready_by_number[self._ready[index][2]]

    @property
    def total_core_s(self) -> float:
        """The total waiting work in core-seconds."""
        return max(0.0, sum(self._work_by_lateness))

    @property
    def on_time_core_s(self) -> float:
        """The waiting work of jobs that can be on time or have begun."""
        return max(0.0, self._work_by_lateness[0])

    def ahead_core_s(self, plan: JobPlan) -> float:
        """Return the work that starts before a job not yet in the queue.

        In core-seconds, with latest starts rounded to a small interval.
        """
        urgency = urgency_of(plan, 0, self._now)
        ahead_core_s = sum(self._work_by_lateness[: urgency.lateness])
        work_by_interval = self._work_by_interval[urgency.lateness]
        limit = _interval(urgency)
        for interval, core_s in work_by_interval.items():
            if interval > limit:
                break
            ahead_core_s += core_s
        return max(0.0, ahead_core_s)

    def overrun_s(
        self, plan: JobPlan, cores: float, patience_part: float
    ) -> float:
        """Return by how much the most delayed job would start too late.

        Counts a job not yet in the queue that can be on time, and those
        that start after it and can be on time. A job starts too late if the
        work up to it takes `cores` longer than `patience_part` of the time
        until its latest start. Negative, in seconds, if all can start in
        time.
        """
        urgency = urgency_of(plan, 0, self._now)
        limit = _interval(urgency)
        work_by_interval = self._work_by_interval[0]
        core_s: float = plan.waiting_core_s + sum(
            work_by_interval[interval]
            for interval in work_by_interval.irange(None, limit)
        )
        overrun_s: float = core_s / cores - patience_part * (
            urgency.latest_start - self._now
        )
        for interval in work_by_interval.irange(limit + 1):
            core_s += work_by_interval[interval]
            patience_s = (interval + 1) * _INTERVAL_S - self._now
            overrun_s = max(
                overrun_s, core_s / cores - patience_part * patience_s
            )
        return overrun_s

    def _update(self, plan: JobPlan) -> None:
        for step in range(len(plan.job.steps)):
            self._update_step(plan, step)

    def _update_step(self, plan: JobPlan, step: int) -> None:
        place = (plan.job.job_id, step)
        known = self._step_by_place.get(place)
        waiting = len(plan.waiting_by_step[step])
        if not waiting:
            self._remove_step(place)
            return
        urgency = urgency_of(plan, step, self._now)
        core_s = waiting * plan.task_core_s(step)
        is_ready = plan.job.job_id not in self._held_ids and plan.is_ready(
            step
        )
        if known is None:
            known = WaitingStep(
                plan, step, next(self._numbers), urgency, 0.0, False
            )
            self._step_by_place[place] = known
            self._schedule_change(known)
        elif known.urgency != urgency:
            self._set_ready(known, False)
            self._add_work(known, -known.core_s)
            known.urgency = urgency
            self._schedule_change(known)
        self._add_work(known, core_s - known.core_s)
        self._set_ready(known, is_ready)

    def _remove_step(self, place: tuple[str, int]) -> None:
        known = self._step_by_place.pop(place, None)
        if known is not None:
            self._set_ready(known, False)
            self._add_work(known, -known.core_s)

    def _set_ready(self, waiting_step: WaitingStep, is_ready: bool) -> None:
        if waiting_step.is_ready == is_ready:
            return
        waiting_step.is_ready = is_ready
        if is_ready:
            self._ready.add(waiting_step.key)
            self._ready_by_number[waiting_step.number] = waiting_step
        else:
            self._ready.remove(waiting_step.key)
            del self._ready_by_number[waiting_step.number]

    def _schedule_change(self, waiting_step: WaitingStep) -> None:
        plan, step = waiting_step.plan, waiting_step.step
        at = urgency_changes_at(plan, step, self._now)
        if at < math.inf:
            place = (plan.job.job_id, step)
            heapq.heappush(self._changes, (at, waiting_step.number, place))

    def _add_work(self, waiting_step: WaitingStep, core_s: float) -> None:
        if not core_s:
            return
        waiting_step.core_s += core_s
        urgency = waiting_step.urgency
        work_by_interval = self._work_by_interval[urgency.lateness]
        interval = _interval(urgency)
        left = work_by_interval.get(interval, 0.0) + core_s
        if left > 1e-9:
            work_by_interval[interval] = left
        else:
            work_by_interval.pop(interval, None)
        self._work_by_lateness[urgency.lateness] += core_s
        if not work_by_interval:
            # Rounding errors don't build up.
            self._work_by_lateness[urgency.lateness] = 0.0


def _interval(urgency: Urgency) -> int:
    return int(urgency.latest_start // _INTERVAL_S)


def _ignore_change(plan: JobPlan) -> None:
    """Do nothing: the plan is in no queue."""
