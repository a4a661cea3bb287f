"""Whether the runs of an upstream hang more often than by chance.

Answers the load of an upstream that hangs a part of its runs and ends the
others as usual: its successes, which come first, must not hide the runs that
never end. Overdue runs are rare on a sound upstream.
"""

from dataclasses import dataclass
from typing import Final

# Part of one overdue run that a success makes up for.
_SUCCESS_CREDIT: Final = 0.1
# Overdue runs, less the credit of successes, that make an upstream suspect.
_OVERDUE_TO_SUSPECT: Final = 2.5
# The same for one that has been suspect lately.
_OVERDUE_TO_SUSPECT_AGAIN: Final = 0.9
# Successes in a row after which an earlier suspicion is forgotten.
_SUCCESSES_TO_FORGET: Final = 40


@dataclass(slots=True)
class HangSuspicion:
    """Counts overdue runs against successes."""

    _overdue: float = 0.0
    _successes_in_row: int = 0
    # Whether it has been suspect, and not ended many runs in a row since.
    was_suspect: bool = False

    def note_done(self) -> None:
        """Record a successful run."""
        self._overdue = max(0.0, self._overdue - _SUCCESS_CREDIT)
        self._successes_in_row += 1
        if self._successes_in_row >= _SUCCESSES_TO_FORGET:
            self.was_suspect = False

    def note_overdue(self) -> bool:
        """Record an overdue run; return whether the upstream is suspect."""
        self._overdue += 1
        self._successes_in_row = 0
        limit = (
            _OVERDUE_TO_SUSPECT_AGAIN
            if self.was_suspect
            else _OVERDUE_TO_SUSPECT
        )
        if self._overdue < limit:
            return False
        self._overdue = 0.0
        self.was_suspect = True
        return True

    def forget(self) -> None:
        """Forget all, as the fault hardly lies in the upstream."""
        self._overdue = 0.0
        self.was_suspect = False
