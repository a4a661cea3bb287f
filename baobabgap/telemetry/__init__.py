"""Logs, metrics and time lines."""

from baobabgap.telemetry._bounded_sink import BoundedSink
from baobabgap.telemetry._logs import log_event
from baobabgap.telemetry._logs import start_bounded_logging
from baobabgap.telemetry._logs import start_logging
from baobabgap.telemetry._metrics import Metrics
from baobabgap.telemetry._records import LogRecord
from baobabgap.telemetry._records import read_records
from baobabgap.telemetry._timeline import JobSummary
from baobabgap.telemetry._timeline import summarize_jobs
from baobabgap.telemetry._timeline import Timeline
from baobabgap.telemetry._timeline import TimelineEvent

__all__ = [
    'BoundedSink',
    'JobSummary',
    'log_event',
    'LogRecord',
    'Metrics',
    'read_records',
    'start_bounded_logging',
    'start_logging',
    'summarize_jobs',
    'Timeline',
    'TimelineEvent',
]
