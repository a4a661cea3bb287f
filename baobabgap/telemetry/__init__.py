"""Logs and metrics of a process."""

from baobabgap.telemetry._logs import log_event
from baobabgap.telemetry._logs import start_logging
from baobabgap.telemetry._metrics import Metrics

__all__ = ['Metrics', 'log_event', 'start_logging']
