"""The threads of the HTTP server, started as connections need them."""

from collections.abc import Callable
import threading
from typing import Any
from typing import Final

from cheroot.workers.threadpool import ThreadPool
from cheroot.workers.threadpool import WorkerThread

from baobabgap.telemetry import log_event


class GrowingThreadPool(ThreadPool):
    """Starts a thread for a connection only if all others are busy.

    To start hundreds of threads takes longer than all else that a process
    does at its start; most of the time few of them have work.
    """

    # Set by the base class, whose type stub leaves it out.
    _threads: list[threading.Thread]

    def __init__(self, server: Any, most_threads: int) -> None:
        super().__init__(server, min=1, max=most_threads)
        self._lock = threading.Lock()
        # Connections that wait for a thread or that one is serving.
        self._unfinished = 0
        # Threads that have taken a connection.
        self._takers: set[int] = set()
        # The base class has the method of its queue as an attribute.
        self._next: Final[Callable[[], Any]] = self.get
        self.get = self._take

    def start(self) -> None:
        """Start no thread yet."""

    def put(self, obj: Any) -> None:
        """Queue a connection, with one more thread if all are busy."""
        with self._lock:
            self._unfinished += 1
            if len(self._threads) < min(self._unfinished, self.max):
                self._start_thread()
        super().put(obj)

    def _start_thread(self) -> None:
        worker = _new_worker(self.server)
        try:
            worker.start()
        except RuntimeError as error:
            # The host has no room for another thread: the connection waits
            # for one of those that run.
            log_event('server_thread_not_started', error=str(error))
            return
        self._threads.append(worker)

    def _take(self) -> Any:
        """Return the next connection, once the last one is served."""
        thread = threading.get_ident()
        with self._lock:
            if thread in self._takers:
                self._takers.remove(thread)
                self._unfinished -= 1
        connection = self._next()
        with self._lock:
            self._takers.add(thread)
        return connection


def _new_worker(server: Any) -> threading.Thread:
    return WorkerThread(server)  # type: ignore[no-untyped-call]
