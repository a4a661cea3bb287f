"""Decides which ends that an upstream lists are believed."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from baobabgap.protocol import EndRow
from baobabgap.telemetry import log_event

# The largest number that is believed.
_LARGEST_NUMBER: Final = 2**53
# An end that leaves out at most this many numbers, or is the first one, is
# believed once a second answer lists it.
_SMALL_GAP: Final = 1000
# Seconds for which all answers have to list any other end.
_LARGE_GAP_PERIOD_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class _Listing:
    """Since when and how often answers have listed an end."""

    since: float
    answers: int


class EndNumbers:
    """The numbers of the ends of one incarnation of the upstream.

    The upstream numbers its ends from 1 and lists each until it is
    acknowledged, when it forgets all ends up to its number. Acknowledging an
    end with a false number would lose all the ends below it. So an end that
    leaves out numbers is believed only once it is listed again.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._listing_by_row: dict[EndRow, _Listing] = {}

    @property
    def open_rows(self) -> frozenset[EndRow]:
        """The ends in the last answer that aren't believed yet."""
        return frozenset(self._listing_by_row)

    def believed_rows(
        self, rows: Sequence[EndRow], now: float
    ) -> tuple[EndRow, ...]:
        """Return the ends to believe of those that an answer lists."""
        listing_by_row: dict[EndRow, _Listing] = {}
        believed = []
        for row in sorted(rows, key=lambda row: row.number):
            if row.number <= self._highest + 1:
                listing = None
            else:
                listing = self._listing_of(row, now)
            if listing is None or self._is_confirmed(row, listing, now):
                self._highest = max(self._highest, row.number)
                believed.append(row)
            else:
                listing_by_row[row] = listing
        self._listing_by_row = listing_by_row
        return tuple(believed)

    def _listing_of(self, row: EndRow, now: float) -> _Listing:
        earlier = self._listing_by_row.get(row)
        if earlier is not None:
            return _Listing(earlier.since, earlier.answers + 1)
        log_event(
            'end_not_believed',
            number=row.number,
            job=row.task.job_id,
            task=f'{row.task.step}.{row.task.index}',
            run=row.run,
            reason=f'the highest number was {self._highest}',
        )
        return _Listing(now, 1)

    def _is_confirmed(
        self, row: EndRow, listing: _Listing, now: float
    ) -> bool:
        if row.number > _LARGEST_NUMBER or listing.answers == 1:
            return False
        if not self._highest or row.number - self._highest <= _SMALL_GAP:
            return True
        return now - listing.since >= _LARGE_GAP_PERIOD_S
