"""Collects events from several threads."""

import threading

from tools.history._events import History
from tools.history._events import JobContent
from tools.history._events import JobRequest
from tools.history._events import Started
from tools.history._events import TicketPut
from tools.history._events import TicketRead
from tools.history._events import VersionRead

_Event = (
    JobContent | JobRequest | Started | TicketPut | TicketRead | VersionRead
)


class Recorder:
    """Collects the events of one run."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events: list[_Event] = []

    def record(self, event: _Event) -> None:
        """Add one event."""
        with self._lock:
            self._events.append(event)

    def history(self) -> History:
        """Return all events so far, by kind."""
        with self._lock:
            events = list(self._events)
        return History(
            contents=tuple(e for e in events if isinstance(e, JobContent)),
            requests=tuple(e for e in events if isinstance(e, JobRequest)),
            starts=tuple(e for e in events if isinstance(e, Started)),
            puts=tuple(e for e in events if isinstance(e, TicketPut)),
            reads=tuple(e for e in events if isinstance(e, TicketRead)),
            versions=tuple(e for e in events if isinstance(e, VersionRead)),
        )
