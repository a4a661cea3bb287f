"""Whether a new job can still be served in time.

This answers a load that lasts above the capacity: without a refusal each
job would wait a little longer than the one before, until all are late.
"""

from dataclasses import dataclass
from typing import Final

from baobabgap.accepted import Step
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


def admit(
    rooms: list[Room],
    steps: tuple[Step, ...],
    backlog_core_s: float,
    patience_s: float,
) -> Refusal | None:
    """Refuse a job that can't be served, or not before it is worthless.

    `backlog_core_s` is the work that waits or runs in the job's service,
    `patience_s` how long the job may wait and still count.
    """
    if rooms and not _could_ever_fit(rooms, steps):
        # Another upstream may come; the caller decides whether to wait.
        return Refusal(_LONGEST_RETRY_AFTER_MS, 'no upstream is large enough')
    cores = _open_cores(rooms)
    if not cores:
        return None
    wait_s = backlog_core_s / cores
    if wait_s <= max(patience_s, _NO_WAIT_S):
        # Late already, perhaps, but nothing keeps it from being served.
        return None
    return Refusal(
        retry_after(rooms, backlog_core_s, patience_s),
        f'{wait_s:.1f} s of work wait',
    )


def retry_after(
    rooms: list[Room], backlog_core_s: float, patience_s: float = 0.0
) -> int:
    """Return the milliseconds after which a caller should come again.

    By then the backlog should have shrunk to what the job can bear.
    """
    cores = _open_cores(rooms)
    if not cores:
        return _LONGEST_RETRY_AFTER_MS
    excess_s = max(0.0, backlog_core_s / cores - patience_s)
    return min(
        int(1000 * excess_s) + _SHORTEST_RETRY_AFTER_MS,
        _LONGEST_RETRY_AFTER_MS,
    )


def _open_cores(rooms: list[Room]) -> float:
    return sum(
        room.capacity.cpu_millicores / 1000 for room in rooms if room.is_open
    )


def _could_ever_fit(rooms: list[Room], steps: tuple[Step, ...]) -> bool:
    return all(
        any(step.demand.fits_in(room.capacity) for room in rooms)
        for step in steps
    )
