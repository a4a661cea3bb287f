"""Outgoing results, sent in batches when the scheduler's lock is freed."""

import threading
from types import TracebackType

from baobabgap.agent._links import EntryLink
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults


class ResultOutbox:
    """Holds a lock, and sends one message per entry before releasing it.

    An example::

        with outbox:
            outbox.add(link, result)
    """

    def __init__(self, lock: threading.RLock) -> None:
        self._lock = lock
        self._results_by_link: dict[EntryLink, list[TaskResult]] = {}

    def __enter__(self) -> None:
        self._lock.acquire()

    def __exit__(
        self,
        error_class: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        try:
            if self._results_by_link:
                self._send_all()
        finally:
            self._lock.release()

    def add(self, link: EntryLink, result: TaskResult) -> None:
        """Queue a result that is sent when the lock is released."""
        self._results_by_link.setdefault(link, []).append(result)

    def _send_all(self) -> None:
        for link, results in self._results_by_link.items():
            link.send(TaskResults(tuple(results)))
        self._results_by_link.clear()
