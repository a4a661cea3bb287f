"""Events and metrics of a process."""

from baobabgap.telemetry._bounded_sink import BoundedSink
from baobabgap.telemetry._logs import log_event
from baobabgap.telemetry._logs import send_events_to
from baobabgap.telemetry._logs import start_bounded_logging
from baobabgap.telemetry._metrics import Metrics

__all__ = [
    'BoundedSink',
    'log_event',
    'Metrics',
    'send_events_to',
    'start_bounded_logging',
]
