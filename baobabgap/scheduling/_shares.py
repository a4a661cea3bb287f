"""The part of its work that each queue is due, and what it has had.

Answers the load of queues that together ask for more than the upstreams can
run, so that some jobs have to be refused. Without shares the queues whose
jobs can wait longest lose most, as all others start before them.
"""

from dataclasses import dataclass
import math
from typing import Final

from baobabgap.scheduling._job_plan import JobPlan

# Time constant in seconds of the moving averages.
_AVERAGING_S: Final = 1.0
# Seconds for which averages and due parts are used before they are computed
# anew, which looks at every queue.
_REFRESH_S: Final = 0.01
# Jobs of a queue in the average below which it is forgotten.
_FORGOTTEN_JOBS: Final = 0.001
# Part of its work that a queue is due, relative to a queue of the next more
# urgent priority.
_PRIORITY_FACTOR: Final = 0.95
# Part of what a job exceeds an average one by that the credit must cover.
# Smaller jobs are preferred by it, as more of them are served.
_COVERED_PART: Final = 0.75
# Largest credit or debt of a queue: in seconds of the work that it asks for,
# and at least in average jobs.
_LARGEST_CREDIT_S: Final = 0.3
_LARGEST_CREDIT_JOBS: Final = 4.0


@dataclass(frozen=True, slots=True)
class QueueShare:
    """What one queue asks for, is due and has had, in cores."""

    asked_cores: float
    due_cores: float
    had_cores: float


@dataclass(slots=True)
class _QueueUse:
    """Jobs and work in core-seconds of one queue, in the recent past."""

    priority: int
    jobs: float = 0.0
    asked: float = 0.0
    had: float = 0.0
    # Work that it was due but has not had; negative if it has had more.
    credit: float = 0.0

    @property
    def asked_cores(self) -> float:
        """The work that is asked for in core-seconds per second."""
        return self.asked / _AVERAGING_S

    @property
    def mean_core_s(self) -> float:
        """The work of an average job."""
        return self.asked / self.jobs if self.jobs else 0.0

    @property
    def largest_credit(self) -> float:
        """The bound of its credit and debt."""
        return max(
            _LARGEST_CREDIT_S * self.asked_cores,
            _LARGEST_CREDIT_JOBS * self.mean_core_s,
        )

    def add_credit(self, core_s: float) -> None:
        """Change the credit within its bounds."""
        limit = self.largest_credit
        self.credit = max(-limit, min(limit, self.credit + core_s))


class QueueShares:
    """Work that the queues of one service ask for, are due and have had.

    Under contention each queue is due the same part of the work that it
    asks for, less for one of lower priority, and never more than all of it.
    For example, of two queues of the same priority that ask for 100 and 300
    of 200 cores, they are due 50 and 150.
    """

    def __init__(self) -> None:
        self._use_by_queue: dict[str, _QueueUse] = {}
        self._part_by_queue: dict[str, float] = {}
        self._refreshed_at = -math.inf
        # Work and time of the tasks asked for, for their average demand.
        self._task_core_s = 0.0
        self._task_s = 0.0

    @property
    def has_priorities(self) -> bool:
        """Whether queues that are in use differ in priority."""
        priorities = {use.priority for use in self._use_by_queue.values()}
        return len(priorities) > 1

    @property
    def task_cores(self) -> float:
        """The average cores of a running task; 0 if none was asked for."""
        return self._task_core_s / self._task_s if self._task_s else 0.0

    def note_asked(self, plan: JobPlan, cores: float, now: float) -> None:
        """Record the arrival of a job while `cores` are usable."""
        is_stale = now >= self._refreshed_at + _REFRESH_S
        if is_stale:
            self._decay(now)
        job, core_s = plan.job, self._counted_core_s(plan, cores)
        use = self._use_by_queue.setdefault(job.queue, _QueueUse(job.priority))
        use.priority = job.priority
        use.jobs += 1
        use.asked += core_s
        self._task_core_s += core_s
        self._task_s += core_s / _mean_task_cores(plan)
        if is_stale or job.queue not in self._part_by_queue:
            self._part_by_queue = self._due_parts(cores)
        use.add_credit(core_s * self._part_by_queue[job.queue])

    def note_admitted(self, plan: JobPlan, cores: float) -> None:
        """Record that a job was admitted."""
        self._charge(plan, self._counted_core_s(plan, cores))

    def note_withdrawn(self, plan: JobPlan, cores: float) -> None:
        """Record that an admitted job was refused before it had begun."""
        self._charge(plan, -self._counted_core_s(plan, cores))

    def is_due(self, plan: JobPlan, cores: float) -> bool:
        """Return whether a queue may have one more job.

        It may have all its work, or has credit for part of what the job
        exceeds an average one by, or the job is so large that no credit
        could cover that. A job below the average may put it in debt.
        """
        use = self._use_by_queue.get(plan.job.queue)
        if use is None or self._part_by_queue[plan.job.queue] >= 1:
            return True
        needed = _COVERED_PART * (
            self._counted_core_s(plan, cores) - use.mean_core_s
        )
        return use.credit >= min(needed, use.largest_credit)

    def share_by_queue(
        self, cores: float, now: float
    ) -> dict[str, QueueShare]:
        """Return what each queue asks for, is due and has had."""
        self._decay(now)
        self._part_by_queue = self._due_parts(cores)
        return {
            name: QueueShare(
                use.asked_cores,
                self._part_by_queue[name] * use.asked_cores,
                use.had / _AVERAGING_S,
            )
            for name, use in self._use_by_queue.items()
        }

    def _counted_core_s(self, plan: JobPlan, cores: float) -> float:
        """Return the work of a job, as far as it counts.

        A sender's numbers must not use up what all queues are due for long.
        """
        return min(plan.waiting_core_s, cores * _AVERAGING_S)

    def _charge(self, plan: JobPlan, core_s: float) -> None:
        use = self._use_by_queue.get(plan.job.queue)
        if use is not None:
            use.had = max(0.0, use.had + core_s)
            use.add_credit(-core_s)

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._refreshed_at - now) / _AVERAGING_S)
        for name, use in list(self._use_by_queue.items()):
            use.jobs *= factor
            use.asked *= factor
            use.had *= factor
            use.credit *= factor
            if use.jobs < _FORGOTTEN_JOBS:
                del self._use_by_queue[name]
        self._task_core_s *= factor
        self._task_s *= factor
        self._refreshed_at = max(self._refreshed_at, now)

    def _due_parts(self, cores: float) -> dict[str, float]:
        """Return the part of its work that each queue is due, up to 1."""
        uses = self._use_by_queue.values()
        ranks = sorted({use.priority for use in uses})
        weight_by_priority = {
            priority: _PRIORITY_FACTOR**rank
            for rank, priority in enumerate(ranks)
        }
        left = cores
        weighted = sum(
            use.asked_cores * weight_by_priority[use.priority] for use in uses
        )
        part_by_queue = {}
        # What queues that get all leave over goes to those after them.
        for name, use in sorted(
            self._use_by_queue.items(), key=lambda item: item[1].priority
        ):
            weight = weight_by_priority[use.priority]
            level = left / weighted if weighted > 0 else math.inf
            part_by_queue[name] = min(1.0, level * weight)
            left -= part_by_queue[name] * use.asked_cores
            weighted -= weight * use.asked_cores
        return part_by_queue


def _mean_task_cores(plan: JobPlan) -> float:
    """Return the average demand of the steps of a job, at least little."""
    steps = plan.job.steps
    millicores = sum(step.demand.cpu_millicores for step in steps)
    return max(1, millicores) / 1000 / len(steps)
