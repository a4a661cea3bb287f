"""Reports of the runs that ended with their upstream."""

from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from baobabgap.protocol import CRASHED
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsGone
from baobabgap.protocol import UpstreamState
from baobabgap.telemetry import log_event
from baobabgap.upstreams._run_table import TrackedRun

# Latest crashes that each new leader is told, and for how many seconds.
_KEPT_CRASHES: Final = 16
_RETENTION_S: Final = 300.0


class CrashReports:
    """The latest crashes of the upstream, over all its incarnations.

    A leader needs them to judge which task makes upstreams crash, and loses
    its own record when it fails. Not safe for use by several threads.
    """

    def __init__(self) -> None:
        # With the times at which they were found.
        self._crashes: deque[tuple[float, RunsGone]] = deque(
            maxlen=_KEPT_CRASHES
        )

    def latest(self, now: float) -> tuple[RunsGone, ...]:
        """Return the latest crashes, the oldest first."""
        return tuple(
            crash
            for found_at, crash in self._crashes
            if now - found_at < _RETENTION_S
        )

    def add(
        self, upstream: UpstreamState, rows: tuple[RunRow, ...], now: float
    ) -> None:
        """Add a crash that ended the given runs."""
        crash = RunsGone(upstream.instance, upstream.born_ms, rows, CRASHED)
        self._crashes.append((now, crash))


def rows_with_ages(
    runs: Iterable[TrackedRun], ended_at: float
) -> tuple[RunRow, ...]:
    """Return the runs that the upstream may have had, with their ages.

    Omits those whose start was not sent. `ended_at` is the time of the
    upstream's last sign of life, in seconds of `boottime_clock`.
    """
    return tuple(
        RunRow(
            run.task,
            run.run,
            run.is_confirmed,
            run.demand,
            run.age_ms(ended_at),
        )
        for run in runs
        if run.is_confirmed or run.began_at is not None
    )


def log_lost_runs(
    upstream: UpstreamState,
    rows: Sequence[RunRow],
    reason: str,
    unanswered_ms: int,
    lease_left_ms: int,
) -> None:
    """Log runs that ended with their upstream, the latest start first.

    `unanswered_ms` is the time since the upstream's last sign of life,
    `lease_left_ms` how long its lease may still have held.
    """
    age_by_run = {
        f'{row.task.job_id}.{row.task.step}.{row.task.index}#{row.run}': (
            row.age_ms
        )
        for row in sorted(rows, key=_age_order)
    }
    log_event(
        'runs_lost',
        instance=upstream.instance,
        born_ms=upstream.born_ms,
        draining=upstream.is_draining,
        reason=reason,
        unanswered_ms=unanswered_ms,
        lease_left_ms=lease_left_ms,
        ages_ms=age_by_run,
    )


def _age_order(row: RunRow) -> float:
    return float('inf') if row.age_ms is None else row.age_ms
