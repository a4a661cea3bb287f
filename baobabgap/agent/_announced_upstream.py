"""The announced upstream and the offer derived from it."""

import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap.agent._announcement import Announcement
from baobabgap.agent._directory import EntryDirectory
from baobabgap.agent._health import UpstreamHealth
from baobabgap.agent._monitor import UpstreamMonitor
from baobabgap.jobs import TaskSize
from baobabgap.messages import UpstreamOffer

# Earlier upstream incarnations whose announcements are still refused.
_KEPT_EARLIER_INCARNATIONS: Final = 1000


class AnnouncedUpstream:
    """Combines announcement, health and slot limit into an offer."""

    def __init__(
        self,
        health: UpstreamHealth,
        monitor: UpstreamMonitor,
        directory: EntryDirectory,
        availability_zone: str,
    ) -> None:
        self._health = health
        self._monitor = monitor
        self._directory = directory
        self._availability_zone = availability_zone
        self._lock = threading.Lock()
        self._announcement: Announcement | None = None
        self._earlier_incarnations: dict[str, None] = {}
        self._earlier_upstreams = 0
        self._is_stopping = False

    def announce(self, announcement: Announcement) -> dict[str, Any]:
        """Handle an announcement; return the document of the answer.

        Raises `InvalidInput` if it comes from another upstream, or from an
        upstream process that a newer one has replaced.
        """
        with self._lock:
            self._check_identity(announcement)
            self._announcement = announcement
            self._monitor.set_upstream(announcement)
            return {
                'agent_incarnation': self._monitor.incarnation,
                'earlier_upstreams': self._earlier_upstreams,
            }

    def stop_accepting(self) -> None:
        """Accept no new tasks from now on: the agent is about to stop."""
        self._is_stopping = True

    def offer(self) -> UpstreamOffer:
        """Return the current offer for the entries."""
        announcement = self._announcement
        if announcement is None:
            return _empty_offer('no upstream has announced itself')
        slots = announcement.slots
        limit = self._directory.limit_of(announcement.name)
        if limit is not None:
            slots = min(slots, limit)
        usable = self._health.usable_slots(slots, time.monotonic())
        reason = (
            self._find_blocking_reason(announcement, slots) or usable.reason
        )
        return UpstreamOffer(
            announcement.name,
            usable.slots if not reason else slots,
            announcement.capacity,
            not reason,
            reason,
            announcement.rack,
        )

    def _find_blocking_reason(
        self, announcement: Announcement, slots: int
    ) -> str:
        if self._is_stopping:
            return 'the agent is about to stop'
        if announcement.leaving:
            return 'the upstream is leaving'
        if not self._monitor.is_adopted:
            return 'the upstream is not bound to the agent yet'
        if slots == 0:
            return 'a ticket has taken the upstream out of use'
        zone = self._availability_zone
        ticket = self._directory.ticket_of_evacuation(zone)
        if ticket is not None:
            return f'{zone} is evacuated by ticket {ticket}'
        return ''

    def _check_identity(self, announcement: Announcement) -> None:
        known = self._announcement
        if known is None or known.incarnation == announcement.incarnation:
            return
        if announcement.name != known.name:
            raise InvalidInput(
                f'this agent serves {known.name}, not {announcement.name}',
                step='announce',
                peer=announcement.address,
            )
        if announcement.incarnation in self._earlier_incarnations:
            raise InvalidInput(
                f'a newer process of {known.name} has announced itself',
                step='announce',
                peer=announcement.address,
            )
        self._earlier_incarnations[known.incarnation] = None
        self._earlier_upstreams += 1
        if len(self._earlier_incarnations) > _KEPT_EARLIER_INCARNATIONS:
            oldest = next(iter(self._earlier_incarnations))
            del self._earlier_incarnations[oldest]


def _empty_offer(reason: str) -> UpstreamOffer:
    return UpstreamOffer('', 0, TaskSize(0.0, 0, 0), False, reason)
