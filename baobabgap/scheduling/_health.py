"""Health of an upstream, judged by the runs on it."""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from baobabgap.scheduling._hang_suspicion import HangSuspicion

# Weight of a new run in the exponential moving average of slowness.
_SMOOTHING_FACTOR: Final = 0.1
# Multiple of its kind's run time from which an upstream counts as slow, and
# not just as one of a slower kind.
_SLOW_UPSTREAM_FACTOR: Final = 1.9
# Failures without a success in between that suspend an upstream: a single
# one may be the task's own fault.
_FAILURES_TO_SUSPEND: Final = 2
# Each suspension is twice as long as the one before, up to the longest.
_FIRST_SUSPENSION_S: Final = 1.0
_LONGEST_SUSPENSION_S: Final = 8.0
# Time without new runs for an upstream that has refused a start.
_REFUSED_PAUSE_S: Final = 0.1
# Concurrent runs on an upstream on trial after a suspension.
_TRIAL_RUNS: Final = 1
# Multiple of the expected run time from which a run is overdue; it allows
# for rough estimates.
_OVERDUE_FACTOR: Final = 3.0
# Multiple of the longest successful run of the same step, if there is one.
_SIBLING_OVERDUE_FACTOR: Final = 2.0
# Added to every limit for clock error, queueing and wake-up latency.
_OVERDUE_SLACK_S: Final = 0.25


@dataclass(slots=True)
class TargetHealth:
    """Run statistics of one incarnation of an upstream."""

    # Moving average of observed over expected run time; 1.0 is healthy.
    slowness: float = 1.0
    failures_in_row: int = 0
    hangs: HangSuspicion = field(default_factory=HangSuspicion)
    suspensions: int = 0
    suspended_until: float = 0.0
    refused_until: float = 0.0
    # Whether no run has succeeded since the last suspension.
    on_trial: bool = False

    def note_done(self, run_s: float, expected_s: float) -> None:
        """Record a successful run."""
        self.failures_in_row = 0
        self.hangs.note_done()
        self.on_trial = False
        if not self.hangs.was_suspect:
            self.suspensions = 0
        ratio = run_s / max(expected_s, 0.001)
        self.slowness += _SMOOTHING_FACTOR * (min(ratio, 20.0) - self.slowness)

    def forget_slowness(self) -> None:
        """Learn the run time factor anew."""
        self.slowness = 1.0

    def note_failed(self, now: float) -> bool:
        """Record a failed run; return whether it causes a suspension."""
        self.failures_in_row += 1
        if self.on_trial or self.failures_in_row >= _FAILURES_TO_SUSPEND:
            return self._suspend(now)
        return False

    def note_refused(self, now: float) -> None:
        """Record a refused start, and pause further starts."""
        self.refused_until = now + _REFUSED_PAUSE_S

    def note_overdue(self, now: float) -> bool:
        """Record an overdue run; return whether it causes a suspension."""
        is_suspect = self.hangs.note_overdue()
        return (self.on_trial or is_suspect) and self._suspend(now)

    @property
    def slowdown(self) -> float:
        """The run time factor against its kind; 1 unless clearly slow."""
        return self.slowness if self.slowness >= _SLOW_UPSTREAM_FACTOR else 1.0

    def accepts_run(self, running: int, now: float) -> bool:
        """Return whether the upstream may get one more run."""
        if now < max(self.suspended_until, self.refused_until):
            return False
        return not self.on_trial or running < _TRIAL_RUNS

    def lift_suspension(self) -> None:
        """End the suspension or trial and reset the fault counts."""
        self.suspended_until = 0.0
        self.on_trial = False
        self.hangs.forget()
        self.failures_in_row = 0

    def is_suspended(self, now: float) -> bool:
        """Return whether the upstream is suspended at `now`."""
        return now < self.suspended_until

    def _suspend(self, now: float) -> bool:
        if self.is_suspended(now):
            return False
        pause_s = min(
            _FIRST_SUSPENSION_S * 2**self.suspensions, _LONGEST_SUSPENSION_S
        )
        self.suspensions += 1
        self.suspended_until = now + pause_s
        self.on_trial = True
        return True


def is_overdue(
    run_s: float,
    expected_s: float,
    sibling_s: float | None,
    overdue_before: int = 0,
) -> bool:
    """Return whether a run has taken far longer than expected.

    `sibling_s` is the longest successful run of the same step, or None.
    Each earlier overdue run of the task doubles the limit, so that a task
    whose estimate is too low can finish in the end.
    """
    if sibling_s is None:
        limit_s = _OVERDUE_FACTOR * expected_s
    else:
        limit_s = max(expected_s, _SIBLING_OVERDUE_FACTOR * sibling_s)
    return run_s > 2.0**overdue_before * limit_s + _OVERDUE_SLACK_S
