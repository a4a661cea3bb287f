"""Rows of an upstream's lists that can't be read."""

from collections import Counter
from collections.abc import Iterable
import math


class UnreadableRows:
    """Decides which runs such rows may stand for.

    Another writer may have put a row there that never becomes readable. A
    run that began after the row was first listed is another one. A row that
    is listed while no lease holds stands for no run, as nothing runs then.

    Times are seconds of one clock. Not safe for use by several threads.
    """

    def __init__(self) -> None:
        # When each row was first listed, by its text and its number among
        # rows with the same text.
        self._first_listed_at: dict[tuple[str, int], float] = {}

    def note_listed(
        self, rows: Iterable[str], answered_at: float, *, is_idle: bool
    ) -> None:
        """Record the rows of one answer, which came at `answered_at`.

        `is_idle` states that certainly nothing ran on the upstream.
        """
        listed_at = -math.inf if is_idle else answered_at
        known = self._first_listed_at
        numbers: Counter[str] = Counter()
        self._first_listed_at = {}
        for row in rows:
            key = (row, numbers[row])
            numbers[row] += 1
            self._first_listed_at[key] = min(
                known.get(key, math.inf), listed_at
            )

    def may_hide(self, began_at: float | None) -> bool:
        """Return whether a row may stand for a run.

        `began_at` is when its start was sent; None if that is unknown.
        """
        latest = max(self._first_listed_at.values(), default=-math.inf)
        if began_at is None:
            return latest > -math.inf
        return latest >= began_at
