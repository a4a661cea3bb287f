"""Logs as trees of eliot actions, and the time lines read from them.

Apart from `telemetry`, as only the standalone product logs actions.
"""

from baobabgap.timeline._action_log import start_logging
from baobabgap.timeline._records import LogRecord
from baobabgap.timeline._records import read_records
from baobabgap.timeline._timeline import JobSummary
from baobabgap.timeline._timeline import summarize_jobs
from baobabgap.timeline._timeline import Timeline
from baobabgap.timeline._timeline import TimelineEvent

__all__ = [
    'JobSummary',
    'LogRecord',
    'read_records',
    'start_logging',
    'summarize_jobs',
    'Timeline',
    'TimelineEvent',
]
