"""Tests of the server's threads with callers that arrive at the same time."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
import threading
import time
from typing import Any
import unittest
from unittest.mock import patch

from cheroot.workers.threadpool import WorkerThread

from baobabgap.web import WebServer
from baobabgap.webclient import WebClient

_TIMEOUT_S = 20.0
_MOST_THREADS = 6


class _HeldApplication:
    """Holds each request until `released` is set."""

    def __init__(self) -> None:
        self.released = threading.Event()
        self.lock = threading.Lock()
        self.serving = 0
        self.threads: set[int] = set()

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        with self.lock:
            self.serving += 1
            self.threads.add(threading.get_ident())
        self.released.wait(_TIMEOUT_S)
        with self.lock:
            self.serving -= 1
        start_response('200 OK', [('Content-Length', '2')])
        return [b'{}']


class GrowingThreadsTest(unittest.TestCase):
    """A call never waits while the server may have one more thread."""

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(32)
        self.addCleanup(self.pool.shutdown)
        self.application = _HeldApplication()
        self.server = WebServer(
            '127.0.0.1', 0, self.application, _MOST_THREADS, 1000
        )
        self.server.start(self.pool)
        self.addCleanup(self.server.stop)
        self.addCleanup(self.application.released.set)

    def call(self) -> int:
        client = WebClient(f'127.0.0.1:{self.server.port}')
        try:
            response = client.request('GET', '/', timeout_s=_TIMEOUT_S)
            return response.status
        finally:
            client.close()

    def wait_until_serving(self, count: int) -> None:
        give_up_at = time.monotonic() + _TIMEOUT_S
        while self.application.serving < count:
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.01)

    def test_starts_threads_up_to_the_limit_and_queues_the_rest(self) -> None:
        calls = []
        for count in range(1, _MOST_THREADS + 1):
            calls.append(self.pool.submit(self.call))
            self.wait_until_serving(count)
        calls += [self.pool.submit(self.call) for _ in range(4)]
        time.sleep(0.2)
        self.assertEqual(_MOST_THREADS, self.application.serving)
        self.application.released.set()
        self.assertEqual(
            [200] * len(calls), [call.result(_TIMEOUT_S) for call in calls]
        )
        self.assertEqual(_MOST_THREADS, len(self.application.threads))

    def test_calls_are_served_if_no_more_threads_can_be_started(self) -> None:
        self.application.released.set()
        self.assertEqual(200, self.call())
        with patch.object(
            WorkerThread, 'start', side_effect=RuntimeError('no room')
        ):
            calls = [self.pool.submit(self.call) for _ in range(5)]
            for call in calls:
                self.assertEqual(200, call.result(_TIMEOUT_S))

    def test_reuses_a_thread_that_has_served(self) -> None:
        self.application.released.set()
        for _ in range(20):
            self.assertEqual(200, self.call())
            time.sleep(0.01)
        self.assertLessEqual(len(self.application.threads), 2)


if __name__ == '__main__':
    unittest.main()
