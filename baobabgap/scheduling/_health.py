"""Judging an upstream by its own runs."""

from dataclasses import dataclass
from typing import Final

# The share of a new run in the moving average of slowness.
_WEIGHT: Final = 0.1
# An upstream is slow, and not just of a slower kind, from this multiple of
# what its kind takes.
_SICK_SLOWNESS: Final = 1.9
# Runs that hang in a row, with none done between, that suspend an upstream.
_HANGS_TO_SUSPEND: Final = 3
# Failures in a row, with no success between, that suspend an upstream: one
# may be the task's own fault.
_FAILURES_TO_SUSPEND: Final = 2
# Seconds of the first suspension; each further one is twice as long.
_FIRST_SUSPENSION_S: Final = 1.0
_LONGEST_SUSPENSION_S: Final = 8.0
# Seconds for which an upstream that has refused a start gets none.
_REFUSED_PAUSE_S: Final = 0.1
# Runs that a suspended upstream gets at a time when it is tried again.
_TRIAL_RUNS: Final = 1
# Multiples of the expected run time from which a run counts as overdue:
# estimates are rough.
_OVERDUE_FACTOR: Final = 3.0
# The same where tasks of its step have shown how long they take.
_OVERDUE_AMONG_SIBLINGS: Final = 2.0
# Seconds that a run may take longer in any case: clocks, queues, wakes.
_OVERDUE_SLACK_S: Final = 0.25


@dataclass(slots=True)
class RoomHealth:
    """How one life of an upstream has done so far."""

    # Observed over expected run time; 1.0 is sound.
    slowness: float = 1.0
    failures_in_row: int = 0
    hangs_in_row: int = 0
    suspensions: int = 0
    suspended_until: float = 0.0
    refused_until: float = 0.0
    # Whether it has not succeeded since its last suspension.
    on_trial: bool = False

    def note_done(self, run_s: float, expected_s: float) -> None:
        """Take note of a run that was done."""
        self.failures_in_row = 0
        self.hangs_in_row = 0
        self.on_trial = False
        self.suspensions = 0
        ratio = run_s / max(expected_s, 0.001)
        self.slowness += _WEIGHT * (min(ratio, 20.0) - self.slowness)

    def note_failed(self, now: float) -> bool:
        """Take note of a failed run; tell whether it is suspended now."""
        self.failures_in_row += 1
        if self.on_trial or self.failures_in_row >= _FAILURES_TO_SUSPEND:
            return self._suspend(now)
        return False

    def note_refused(self, now: float) -> None:
        """The upstream has refused a start: ask it again a little later."""
        self.refused_until = now + _REFUSED_PAUSE_S

    def note_overdue(self, now: float) -> bool:
        """Take note of a run that hangs; tell whether it suspends."""
        self.hangs_in_row += 1
        if self.on_trial or self.hangs_in_row >= _HANGS_TO_SUSPEND:
            return self._suspend(now)
        return False

    @property
    def sickness(self) -> float:
        """How much longer runs take than on others of its kind, or 1."""
        return self.slowness if self.slowness >= _SICK_SLOWNESS else 1.0

    def may_take(self, running: int, now: float) -> bool:
        """Tell whether the upstream may get one more run."""
        if now < max(self.suspended_until, self.refused_until):
            return False
        return not self.on_trial or running < _TRIAL_RUNS

    def pardon(self) -> None:
        """Take the upstream for sound until it shows otherwise."""
        self.suspended_until = 0.0
        self.on_trial = False
        self.hangs_in_row = 0
        self.failures_in_row = 0

    def is_suspended(self, now: float) -> bool:
        """Tell whether the upstream gets nothing for now."""
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
    """Tell whether a run has taken far longer than it should.

    `sibling_s` is the longest run of a task of the same step that is
    done, or None. Each run of the task that was overdue before doubles
    the time: a task that is only longer than it seemed must end once.
    """
    if sibling_s is None:
        most_s = _OVERDUE_FACTOR * expected_s
    else:
        most_s = max(expected_s, _OVERDUE_AMONG_SIBLINGS * sibling_s)
    return run_s > 2.0**overdue_before * most_s + _OVERDUE_SLACK_S
