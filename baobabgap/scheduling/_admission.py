"""Admission control: whether a new job can still be served in time.

Under sustained overload without refusals, each job would wait longer than
the one before, until all are late. Just after an outage, when most
upstreams have not returned yet, a job must not be refused because of a
backlog that will soon have cleared: its retry would come too late.
"""

from dataclasses import dataclass
from typing import Final

from baobabgap.jobmodel import Step
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._start_queue import StartQueue
from baobabgap.scheduling._target_pool import TargetPool

# Expected wait that never causes a refusal.
_NEGLIGIBLE_WAIT_S: Final = 0.05
# Bounds of the retry delay given to a refused caller.
_SHORTEST_RETRY_AFTER_MS: Final = 100
_LONGEST_RETRY_AFTER_MS: Final = 10_000


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a job, none of whose tasks has run."""

    # Milliseconds after which the backlog should have cleared.
    retry_after_ms: int
    reason: str


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


def admit(
    pool: TargetPool,
    steps: tuple[Step, ...],
    admission_input: AdmissionInput,
    returning: int = 0,
) -> Refusal | None:
    """Refuse a job that can't be served, or only too late to be useful.

    A job is admitted if the work ahead of it lets it be on time.
    Otherwise it would start after all jobs that can be on time, and is
    admitted only if it is still worth running after the whole backlog.
    `returning` is the number of upstreams expected back shortly; each
    counts with the average capacity of the open ones. Returns None if the
    job is admitted.
    """
    if pool.target_by_name and not _could_ever_fit(pool, steps):
        # A larger upstream may join; the caller decides whether to wait.
        return Refusal(_LONGEST_RETRY_AFTER_MS, 'no upstream is large enough')
    cores = _open_cores(pool, returning)
    if not cores:
        return None
    ahead_s = admission_input.ahead_core_s / cores
    wait_s = admission_input.total_core_s / cores
    if ahead_s <= max(admission_input.on_time_patience_s, _NEGLIGIBLE_WAIT_S):
        # A job that is late already is served too if it need not wait.
        return None
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
    )


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
