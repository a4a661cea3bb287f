"""Steps of a job's way at which a fault can strike."""

from enum import StrEnum
import threading


class Moment(StrEnum):
    """What has just begun when it is reported."""

    # A stored job is on its way to the leader.
    ACCEPT = 'accept'
    # An upstream has got an order to start.
    ORDER = 'order'
    # An upstream has an end that isn't noted.
    NOTE_END = 'note-end'
    # A cancel is on its way to the leader.
    CANCEL = 'cancel'
    # A configuration is on its way to the leader.
    PUT = 'put'
    # A host has just begun to lead.
    TAKE_OVER = 'take-over'


class Moments:
    """Lets one task wait for what others report."""

    def __init__(self) -> None:
        self._event_by_moment = {
            moment: threading.Event() for moment in Moment
        }

    def reach(self, moment: Moment) -> None:
        """Report a moment; cheap, and never blocks."""
        self._event_by_moment[moment].set()

    def wait_for_next(self, moment: Moment, limit_s: float) -> bool:
        """Wait for a moment that is yet to come; tell whether it came."""
        event = self._event_by_moment[moment]
        event.clear()
        return event.wait(limit_s)
