"""Refusal of starts on an upstream whose availability zone is evacuated."""

import time

from baobabgap.protocol import Authority
from baobabgap.protocol import UpstreamState
from baobabgap.protocol import ZoneEvacuated
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class ZoneGate:
    """What the leader of the current link has said of evacuated zones.

    The leader repeats it on each link before it orders any start, and orders
    of earlier links are void, so that nothing needs to be kept. Each grant of
    authority repeats the state of the upstream's zone. Not safe for use by
    several threads.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._version_by_zone: dict[str, int] = {}
        # When the link began, and each zone's state was last told since then,
        # monotonic clock.
        self._linked_at = time.monotonic()
        self._told_at_by_zone: dict[str, float] = {}

    def begin_link(self) -> None:
        """Forget what an earlier leader or link has said."""
        self._version_by_zone = {}
        self._linked_at = time.monotonic()
        self._told_at_by_zone = {}

    def note(self, message: ZoneEvacuated) -> None:
        """Apply a message of the current leader."""
        self._set(message.zone, message.version * message.is_evacuated)
        log_event(
            'zone_evacuation_told',
            zone=message.zone,
            is_evacuated=message.is_evacuated,
            version=message.version,
            fence=message.fence,
        )

    def compare(self, authority: Authority) -> None:
        """Apply what a grant of authority tells, if it differs.

        Both messages come over one link in the order in which they were sent,
        so that no other message under way would end a difference.
        """
        zone, version = authority.zone, authority.evacuation_version
        held_version = self._version_by_zone.get(zone, 0)
        if not zone or version == held_version:
            return
        held_since = self._told_at_by_zone.get(zone, self._linked_at)
        self._metrics.count('baobabgap_zone_states_corrected_total')
        log_event(
            'zone_state_corrected',
            zone=zone,
            believed_version=held_version,
            version=version,
            fence=authority.fence,
            believed_ms=round(1000 * (time.monotonic() - held_since)),
        )
        self._set(zone, version)

    def _set(self, zone: str, version: int) -> None:
        """Note the state of a zone; version 0 if it isn't evacuated."""
        self._told_at_by_zone[zone] = time.monotonic()
        if version:
            self._version_by_zone[zone] = version
        else:
            self._version_by_zone.pop(zone, None)

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
