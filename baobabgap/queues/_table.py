"""Lookup of the queue of a request."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from baobabgap.queues._model import JobQueue
from baobabgap.queues._model import QueueConfiguration


@dataclass(frozen=True, slots=True)
class QueueMatch:
    """The queue of a path, and the path after the queue's prefix."""

    queue: JobQueue
    # The job's identifier, or empty if the path is that of the queue.
    rest: str


# Removed queues that are remembered, the latest ones.
_MOST_REMOVED_QUEUES: Final = 1000


class QueueTable:
    """Index of one configuration by host and path prefix.

    The longest matching prefix wins::

        table = QueueTable.from_configuration(configuration)
        match = table.find('desk.example', '/entries/5c0e7a21d94b36f8')
    """

    def __init__(
        self,
        configuration: QueueConfiguration,
        removed: tuple[JobQueue, ...] = (),
    ) -> None:
        self.configuration: Final = configuration
        self.service_by_name: Final = {
            service.name: service for service in configuration.services
        }
        # Queues of earlier configurations, the latest one last.
        self._removed: Final = removed
        self._queues_by_host: Final = _index(configuration.queues)
        self._removed_by_host: Final = _index(removed)

    @classmethod
    def from_configuration(
        cls,
        configuration: QueueConfiguration,
        earlier: 'QueueTable | None' = None,
    ) -> 'QueueTable':
        """Build the index; host names are case-insensitive.

        `earlier` is the table that was in use before: the new one remembers
        the queues that the configuration has removed.
        """
        if earlier is None:
            return cls(configuration)
        present = {_key(queue) for queue in configuration.queues}
        removed_by_key = {
            _key(queue): queue
            for queue in (*earlier._removed, *earlier.configuration.queues)
            if _key(queue) not in present
        }
        removed = tuple(removed_by_key.values())[-_MOST_REMOVED_QUEUES:]
        return cls(configuration, removed)

    def find(self, host: str, path: str) -> QueueMatch | None:
        """Return the queue with the longest matching prefix, or None.

        `host` is the value of a Host header; its port is ignored.
        """
        return _find(self._queues_by_host, host, path)

    def find_removed(self, host: str, path: str) -> QueueMatch | None:
        """Return the queue that a path had before its removal, or None.

        Jobs that were accepted before are still served.
        """
        return _find(self._removed_by_host, host, path)


def _key(queue: JobQueue) -> tuple[str, str]:
    return _normalize_host(queue.host), queue.path_prefix


def _index(queues: Iterable[JobQueue]) -> dict[str, list[JobQueue]]:
    """Return the queues by host, the longest prefixes first."""
    queues_by_host: dict[str, list[JobQueue]] = defaultdict(list)
    for queue in queues:
        queues_by_host[_normalize_host(queue.host)].append(queue)
    for of_host in queues_by_host.values():
        of_host.sort(key=lambda queue: -len(queue.path_prefix))
    return dict(queues_by_host)


def _find(
    queues_by_host: dict[str, list[JobQueue]], host: str, path: str
) -> QueueMatch | None:
    for queue in queues_by_host.get(_normalize_host(host), ()):
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
