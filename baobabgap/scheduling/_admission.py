"""Whether a new job can still be served in time.

This answers a load that lasts above the capacity: without a refusal each
job would wait a little longer than the one before, until all are late. It
answers the load after an outage too, when most upstreams are not back yet:
who is refused for what will be gone in a moment comes back too late.
"""

from dataclasses import dataclass
from typing import Final

from baobabgap.accepted import Step
from baobabgap.scheduling._backlog import Backlog
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._rooms import Room

# Seconds of waiting work that keep no job from being served.
_NO_WAIT_S: Final = 0.05
# The shortest pause that a refused caller is told, milliseconds.
_SHORTEST_RETRY_AFTER_MS: Final = 100
# The longest pause that a refused caller is told, milliseconds.
_LONGEST_RETRY_AFTER_MS: Final = 10_000


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job is refused before anything of it has run."""

    # Milliseconds after which the backlog should have passed.
    retry_after_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a new job would have to wait for, and how long it can.

    Work in core-seconds, times in seconds.
    """

    # Work that goes before the job.
    ahead_core_s: float
    # All work that waits in the job's service.
    total_core_s: float
    # How long the job may wait and be on time.
    on_time_patience_s: float
    # How long it may wait and still count.
    late_patience_s: float

    @classmethod
    def from_backlog(
        cls, backlog: Backlog, plan: JobPlan, now: float
    ) -> 'Prospect':
        """Look at a job that isn't counted in the backlog yet."""
        return cls(
            backlog.ahead_core_s(plan),
            backlog.total_core_s,
            plan.latest_start(0) - now,
            plan.late_limit(0) - now,
        )


def admit(
    rooms: list[Room],
    steps: tuple[Step, ...],
    prospect: Prospect,
    returning: int = 0,
) -> Refusal | None:
    """Refuse a job that can't be served, or not before it is worthless.

    A job is taken if what goes before it lets it be on time. Else it
    would go behind all that can be, and is taken only if even all that
    waits leaves it worth something. `returning` is the number of
    upstreams that are expected back at once; each counts like the open
    ones.
    """
    if rooms and not _could_ever_fit(rooms, steps):
        # Another upstream may come; the caller decides whether to wait.
        return Refusal(_LONGEST_RETRY_AFTER_MS, 'no upstream is large enough')
    cores = _open_cores(rooms, returning)
    if not cores:
        return None
    ahead_s = prospect.ahead_core_s / cores
    wait_s = prospect.total_core_s / cores
    if ahead_s <= max(prospect.on_time_patience_s, _NO_WAIT_S):
        # Late already, perhaps, but nothing keeps it from being served.
        return None
    if wait_s <= prospect.late_patience_s:
        return None
    return Refusal(
        retry_after(
            rooms, prospect.total_core_s, prospect.late_patience_s, returning
        ),
        f'{ahead_s:.1f} s of work go before it, {wait_s:.1f} s wait',
    )


def retry_after(
    rooms: list[Room],
    backlog_core_s: float,
    patience_s: float = 0.0,
    returning: int = 0,
) -> int:
    """Return the milliseconds after which a caller should come again.

    By then the backlog should have shrunk to what the job can bear.
    """
    cores = _open_cores(rooms, returning)
    if not cores:
        return _LONGEST_RETRY_AFTER_MS
    excess_s = max(0.0, backlog_core_s / cores - patience_s)
    return min(
        int(1000 * excess_s) + _SHORTEST_RETRY_AFTER_MS,
        _LONGEST_RETRY_AFTER_MS,
    )


def _open_cores(rooms: list[Room], returning: int) -> float:
    cores = [
        room.capacity.cpu_millicores / 1000 for room in rooms if room.is_open
    ]
    if not cores:
        return 0.0
    return sum(cores) * (1 + returning / len(cores))


def _could_ever_fit(rooms: list[Room], steps: tuple[Step, ...]) -> bool:
    return all(
        any(step.demand.fits_in(room.capacity) for room in rooms)
        for step in steps
    )
