"""Events of this process, sent to the destination that it has chosen."""

from collections.abc import Callable
import sys
import time
from typing import Any

from baobabgap.telemetry._bounded_sink import BoundedSink

EventWriter = Callable[[str, dict[str, Any]], None]


def _discard(event: str, fields: dict[str, Any]) -> None:
    """Discard an event of a process that does not log."""


class _ProcessLog:
    """The destination of the events of this process."""

    write: EventWriter = staticmethod(_discard)


def send_events_to(writer: EventWriter) -> None:
    """Have `writer` get the name and the fields of each event."""
    _ProcessLog.write = staticmethod(writer)


def start_bounded_logging(process: str, role: str) -> BoundedSink:
    """Write events to standard output without blocking."""
    sink = BoundedSink(sys.stdout.buffer)
    sink.add_fields(process=process, role=role)

    def write(event: str, fields: dict[str, Any]) -> None:
        fields['timestamp'] = time.time()
        fields['message_type'] = event
        fields['process'] = process
        fields['role'] = role
        sink(fields)

    send_events_to(write)
    return sink


def log_event(event: str, /, **fields: Any) -> None:
    """Log one event; safe to call from any thread."""
    _ProcessLog.write(event, fields)
