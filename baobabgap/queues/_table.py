"""Lookup of the queue of a request."""

from collections import defaultdict
from dataclasses import dataclass

from baobabgap.queues._model import JobQueue
from baobabgap.queues._model import QueueConfiguration
from baobabgap.queues._model import Service


@dataclass(frozen=True, slots=True)
class QueueMatch:
    """The queue of a path, and the path after the queue's prefix."""

    queue: JobQueue
    # The job's identifier, or empty if the path is that of the queue.
    rest: str


class QueueTable:
    """Index of one configuration by host and path prefix.

    The longest matching prefix wins::

        table = QueueTable.from_configuration(configuration)
        match = table.find('desk.example', '/entries/5c0e7a21d94b36f8')
    """

    def __init__(
        self,
        configuration: QueueConfiguration,
        queues_by_host: dict[str, list[JobQueue]],
        service_by_name: dict[str, Service],
    ) -> None:
        self.configuration = configuration
        self.service_by_name = service_by_name
        self._queues_by_host = queues_by_host

    @classmethod
    def from_configuration(
        cls, configuration: QueueConfiguration
    ) -> 'QueueTable':
        """Build the index; host names are case-insensitive."""
        queues_by_host: dict[str, list[JobQueue]] = defaultdict(list)
        for queue in configuration.queues:
            queues_by_host[_normalize_host(queue.host)].append(queue)
        for queues in queues_by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        return cls(
            configuration,
            dict(queues_by_host),
            {service.name: service for service in configuration.services},
        )

    def find(self, host: str, path: str) -> QueueMatch | None:
        """Return the queue with the longest matching prefix, or None.

        `host` is the value of a Host header; its port is ignored.
        """
        for queue in self._queues_by_host.get(_normalize_host(host), ()):
            if path.startswith(queue.path_prefix):
                return QueueMatch(queue, path[len(queue.path_prefix) :])
        return None


def _normalize_host(host: str) -> str:
    """Return the host of a Host header in lower case, without its port.

    An IPv6 address may stand in brackets, which are removed.
    """
    if host.startswith('['):
        return host[1:].partition(']')[0].lower()
    if host.count(':') > 1:
        return host.lower()
    return host.partition(':')[0].lower()
