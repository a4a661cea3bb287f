"""Refusal of starts on an upstream whose availability zone is evacuated."""

from baobabgap.protocol import UpstreamState
from baobabgap.protocol import ZoneEvacuated
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class ZoneGate:
    """What the leader of the current link has said of evacuated zones.

    The leader repeats it on each link before it orders any start, and orders
    of earlier links are void, so that nothing needs to be kept. Not safe for
    use by several threads.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._version_by_zone: dict[str, int] = {}

    def begin_link(self) -> None:
        """Forget what an earlier leader or link has said."""
        self._version_by_zone = {}

    def note(self, message: ZoneEvacuated) -> None:
        """Apply a message of the current leader."""
        if message.is_evacuated:
            self._version_by_zone[message.zone] = message.version
        else:
            self._version_by_zone.pop(message.zone, None)
        log_event(
            'zone_evacuation_told',
            zone=message.zone,
            is_evacuated=message.is_evacuated,
            version=message.version,
            fence=message.fence,
        )

    def refuses(self, upstream: UpstreamState | None, starts: int) -> bool:
        """Return whether starts must be refused; log it if so."""
        if upstream is None or (
            upstream.availability_zone not in self._version_by_zone
        ):
            return False
        self._metrics.count(
            'baobabgap_starts_not_made_total{reason="evacuated"}', starts
        )
        log_event(
            'starts_not_made',
            zone=upstream.availability_zone,
            version=self._version_by_zone[upstream.availability_zone],
            starts=starts,
        )
        return True
