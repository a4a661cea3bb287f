"""Structured logs: one JSON line per event, written by eliot."""

from pathlib import Path
import sys
from typing import Any

from eliot import add_destinations
from eliot import add_global_fields
from eliot import FileDestination
from eliot import log_message

from baobabgap.telemetry._bounded_sink import BoundedSink


def start_logging(log_file: str, process: str, role: str) -> None:
    """Send all log messages of this process to a file or standard error.

    Every line names the process so that the lines of several files can
    be merged into one timeline.
    """
    add_global_fields(process=process, role=role)
    if log_file:
        Path(log_file).parent.mkdir(parents=True, exist_ok=True)
        stream: Any = open(log_file, 'ab', buffering=0)
    else:
        stream = sys.stderr
    add_destinations(FileDestination(file=stream))


def start_bounded_logging(process: str, role: str) -> BoundedSink:
    """Write log messages to standard output without blocking."""
    sink = BoundedSink(sys.stdout.buffer)
    sink.add_fields(process=process, role=role)
    add_global_fields(process=process, role=role)
    add_destinations(sink)
    return sink


def log_event(event: str, /, **fields: Any) -> None:
    """Log one event within the current eliot action, if there is one."""
    log_message(message_type=event, **fields)
