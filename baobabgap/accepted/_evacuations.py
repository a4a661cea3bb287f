"""Availability zones that get no new runs, by the operator's order."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self


@dataclass(frozen=True, slots=True)
class ZoneState:
    """Whether an availability zone is evacuated, and since which order."""

    zone: str
    # The log index of the order that made it so.
    version: int
    is_evacuated: bool


class EvacuatedZones:
    """The evacuated zones with the log indexes of the orders.

    The last order in the log wins. An order that changes nothing keeps the
    index of the one in force, so that a repeated order is not a new one.
    """

    def __init__(self, version_by_zone: Mapping[str, int]) -> None:
        self._version_by_zone = dict(version_by_zone)

    @classmethod
    def from_rows(cls, rows: Iterable[tuple[str, int]]) -> Self:
        """Create it from the rows in a snapshot."""
        return cls(dict(rows))

    def rows(self) -> tuple[tuple[str, int], ...]:
        """Return zones and versions, as stored in a snapshot."""
        return tuple(sorted(self._version_by_zone.items()))

    @property
    def version_by_zone(self) -> dict[str, int]:
        """A copy of the zones with the versions of their orders."""
        return dict(self._version_by_zone)

    def begin(self, zone: str, index: int) -> ZoneState | None:
        """Evacuate a zone; return the change, or None if there is none."""
        if zone in self._version_by_zone:
            return None
        self._version_by_zone[zone] = index
        return ZoneState(zone, index, is_evacuated=True)

    def end(self, zone: str, index: int) -> ZoneState | None:
        """Take a zone back; return the change, or None if there is none."""
        if self._version_by_zone.pop(zone, None) is None:
            return None
        return ZoneState(zone, index, is_evacuated=False)

    def changes_since(
        self, earlier: 'EvacuatedZones', index: int
    ) -> list[ZoneState]:
        """Return what differs from an earlier state.

        `index` becomes the version of the zones that were taken back.
        """
        ended = earlier.version_by_zone.keys() - self._version_by_zone.keys()
        return [
            *(ZoneState(zone, index, False) for zone in sorted(ended)),
            *(
                ZoneState(zone, version, True)
                for zone, version in self.rows()
                if earlier.version_by_zone.get(zone) != version
            ),
        ]
