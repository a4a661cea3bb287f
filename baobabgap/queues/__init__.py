"""Configuration of queues, services and request limits, and its index."""

from baobabgap.queues._model import JobQueue
from baobabgap.queues._model import QueueConfiguration
from baobabgap.queues._model import RequestLimits
from baobabgap.queues._model import Service
from baobabgap.queues._table import QueueMatch
from baobabgap.queues._table import QueueTable

__all__ = [
    'JobQueue',
    'QueueConfiguration',
    'QueueMatch',
    'QueueTable',
    'RequestLimits',
    'Service',
]
