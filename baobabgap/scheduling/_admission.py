"""Admission control: whether a new job can still be served in time.

Under contention, a job that would make others late is admitted only while
its queue has had no more than it is due, see `QueueShares`. That applies
where queues of one service differ in priority.

Under sustained overload without refusals, each job would wait longer than
the one before, until all are late. Just after an outage, when most
upstreams have not returned yet, a job must not be refused because of a
backlog that will soon have cleared: its retry would come too late.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
import math
from typing import Final

from baobabgap.jobmodel import Step
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._run_times import RunTimes
from baobabgap.scheduling._shares import QueueShares
from baobabgap.scheduling._start_queue import StartQueue
from baobabgap.scheduling._target_pool import TargetPool

# Expected wait that never causes a refusal.
_NEGLIGIBLE_WAIT_S: Final = 0.05
# Part of the time until the latest start of a job that the work before it
# may take; the rest is for wrong estimates and for jobs that come later but
# start before.
_PATIENCE_PART: Final = 0.35
# Part of the capacity that jobs that are late already can expect.
_LATE_WORK_PART: Final = 0.5
# Bounds of the retry delay given to a refused caller.
_SHORTEST_RETRY_AFTER_MS: Final = 100
_LONGEST_RETRY_AFTER_MS: Final = 10_000


class RefusalKind(Enum):
    """Why a job is refused."""

    # No upstream is large enough.
    TOO_LARGE = 'too_large'
    # The work ahead of it makes it too late to be useful.
    TOO_LATE = 'too_late'
    # Its queue has had its share, and others would be late.
    SHARE = 'share'
    # All availability zones of its service are evacuated.
    EVACUATED = 'evacuated'


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a job, none of whose tasks has run."""

    # Milliseconds after which the backlog should have cleared.
    retry_after_ms: int
    reason: str
    # Kind of reason, by which refusals are counted.
    kind: RefusalKind


@dataclass(frozen=True, slots=True)
class AdmissionInput:
    """The backlog that a new job meets, and how long the job can wait.

    Work is in core-seconds, times are in seconds.
    """

    # Waiting work that starts before the job.
    ahead_core_s: float
    # All waiting work of the job's service.
    total_core_s: float
    # How long the job may wait and still end on time.
    on_time_patience_s: float
    # How long it may wait and still be worth running.
    late_patience_s: float
    # By how much a job that can be on time would start too late if this one
    # is admitted; negative if all can start in time, or if the job's queue
    # has had no more than it is due.
    overrun_s: float = -math.inf

    @classmethod
    def from_queue(
        cls, queue: StartQueue, plan: JobPlan, now: float
    ) -> 'AdmissionInput':
        """Build the input for a job that is not in the queue yet."""
        queue.advance(now)
        return cls(
            queue.ahead_core_s(plan),
            queue.total_core_s,
            plan.latest_start(0) - now,
            plan.latest_useful_start(0) - now,
        )

    def with_shares(
        self,
        queue: StartQueue,
        shares: QueueShares,
        plan: JobPlan,
        cores: float,
    ) -> 'AdmissionInput':
        """Add what the job does to others if its queue has had its share.

        Without contention or priorities, or for a job that is late already,
        the input stays as it is.
        """
        is_contended = len(queue) > 0 and self.on_time_patience_s > 0
        if not cores or not is_contended or not shares.has_priorities:
            return self
        if shares.is_due(plan, cores):
            return self
        return replace(
            self, overrun_s=queue.overrun_s(plan, cores, _PATIENCE_PART)
        )


def admit(
    pool: TargetPool,
    steps: tuple[Step, ...],
    admission_input: AdmissionInput,
    returning: int = 0,
) -> Refusal | None:
    """Refuse a job that can't be served, or only too late to be useful.

    A job is admitted if the work ahead of it lets it be on time, unless it
    would make others late and its queue has had its share. A job that can't
    be on time would start after all jobs that can be, and is admitted
    only if it is still worth running after the whole backlog.
    `returning` is the number of upstreams expected back shortly; each
    counts with the average capacity of the open ones. Returns None if the
    job is admitted.
    """
    if pool.target_by_name and not _could_ever_fit(pool, steps):
        # A larger upstream may join; the caller decides whether to wait.
        return Refusal(
            _LONGEST_RETRY_AFTER_MS,
            'no upstream is large enough',
            RefusalKind.TOO_LARGE,
        )
    cores = _open_cores(pool, returning)
    if not cores:
        return None
    ahead_s = admission_input.ahead_core_s / cores
    wait_s = admission_input.total_core_s / cores
    if ahead_s <= max(admission_input.on_time_patience_s, _NEGLIGIBLE_WAIT_S):
        # A job that is late already is served too if it need not wait.
        if admission_input.overrun_s <= 0:
            return None
        return Refusal(
            retry_after(
                pool, admission_input.total_core_s, returning=returning
            ),
            'its queue has had its share, and others would start '
            f'{admission_input.overrun_s:.2f} s too late',
            RefusalKind.SHARE,
        )
    if wait_s <= admission_input.late_patience_s:
        return None
    return Refusal(
        retry_after(
            pool,
            admission_input.total_core_s,
            admission_input.late_patience_s,
            returning,
        ),
        f'{ahead_s:.1f} s of work go before it, {wait_s:.1f} s wait',
        RefusalKind.TOO_LATE,
    )


def usable_cores(
    pool: TargetPool,
    shares: QueueShares,
    run_times: RunTimes,
    returning: int = 0,
) -> float:
    """Return the open cores that whole tasks of average demand can use.

    Less if tasks take longer than expected.
    """
    cores = _open_cores(pool, returning)
    return cores * pool.usable_part(shares.task_cores) / run_times.work_factor


def without_prospect(
    plans: Iterable[JobPlan],
    queue: StartQueue,
    shares: QueueShares,
    cores: float,
    now: float,
) -> list[JobPlan]:
    """Return the jobs that can't start any more while it is useful.

    None of `plans` has begun. Where queues differ in priority, a late job
    is given up as soon as the work before it leaves it no chance.
    """
    if not cores or not shares.has_priorities:
        return [plan for plan in plans if now > plan.latest_useful_start(0)]
    queue.advance(now)
    late = [plan for plan in plans if now > plan.latest_start(0)]
    late.sort(key=lambda plan: plan.latest_start(0))
    ahead_core_s = queue.on_time_core_s
    found = []
    for plan in late:
        patience_s = plan.latest_useful_start(0) - now
        wait_s = ahead_core_s / (_LATE_WORK_PART * cores)
        if patience_s < 0 or wait_s > max(patience_s, _NEGLIGIBLE_WAIT_S):
            found.append(plan)
        else:
            ahead_core_s += plan.waiting_core_s
    return found


def retry_after(
    pool: TargetPool,
    backlog_core_s: float,
    patience_s: float = 0.0,
    returning: int = 0,
) -> int:
    """Return the milliseconds after which a caller should retry.

    By then the wait should have shrunk to the job's patience.
    """
    cores = _open_cores(pool, returning)
    if not cores:
        return _LONGEST_RETRY_AFTER_MS
    excess_s = max(0.0, backlog_core_s / cores - patience_s)
    return min(
        int(1000 * excess_s) + _SHORTEST_RETRY_AFTER_MS,
        _LONGEST_RETRY_AFTER_MS,
    )


def _open_cores(pool: TargetPool, returning: int) -> float:
    if not pool.open_count:
        return 0.0
    return pool.open_cores * (1 + returning / pool.open_count)


def _could_ever_fit(pool: TargetPool, steps: tuple[Step, ...]) -> bool:
    return all(pool.could_fit(step.demand) for step in steps)
