"""Steps in the life cycle of a job at which faults are injected."""

from enum import StrEnum
import threading


class InjectionPoint(StrEnum):
    """A step; it is reported when it has just begun."""

    # A stored job is about to be sent to the leader.
    ACCEPT = 'accept'
    # An upstream has received an order to start a run.
    ORDER = 'order'
    # A run has ended and the control group hasn't recorded its end.
    NOTE_END = 'note-end'
    # A cancellation is about to be sent to the leader.
    CANCEL = 'cancel'
    # A configuration is about to be sent to the leader.
    PUT = 'put'
    # A host has just become leader.
    TAKE_OVER = 'take-over'


class InjectionPoints:
    """Lets one thread wait for points that other threads report."""

    def __init__(self) -> None:
        self._event_by_point = {
            point: threading.Event() for point in InjectionPoint
        }

    def report(self, point: InjectionPoint) -> None:
        """Report that a point is reached; never blocks."""
        self._event_by_point[point].set()

    def wait_for_next(self, point: InjectionPoint, limit_s: float) -> bool:
        """Wait for the next report; return False after `limit_s` seconds."""
        event = self._event_by_point[point]
        event.clear()
        return event.wait(limit_s)
