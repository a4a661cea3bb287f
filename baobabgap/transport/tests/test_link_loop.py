"""Tests of the link loop: what one link does must not harm the others."""

from concurrent.futures import ThreadPoolExecutor
import itertools
import os
from queue import Queue
import socket
import threading
import time
from typing import Any
import unittest
from unittest.mock import patch

from baobabgap import ConnectionLost
from baobabgap import ProtocolMismatch
from baobabgap.messages import CancelJobs
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.transport._link_loop import LinkLoop
from baobabgap.transport._link_socket import connect
from baobabgap.wire import encode
from baobabgap.wire import Hello
from baobabgap.wire import LeaderHint

_WAIT_S = 20.0
_TIMING = LinkTiming(0.05, 1.0)


class LinkLoopTest(unittest.TestCase):
    """Links share one thread; each fails and ends on its own."""

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown)
        self.errors: Queue[Exception] = Queue()
        self.accepted: Queue[Connection] = Queue()
        self.may_close = threading.Event()
        self.listener = Listener(
            '127.0.0.1',
            0,
            lambda: _hello('listener'),
            _TIMING,
            self.pool,
            self._keep_open,
            self.errors.put,
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)
        self.addCleanup(self.may_close.set)

    def _keep_open(self, connection: Connection) -> None:
        self.accepted.put(connection)
        self.may_close.wait(_WAIT_S)

    def _dial(self, timing: LinkTiming = _TIMING) -> Connection:
        link = dial(self._address, _hello('dialler'), timing)
        self.addCleanup(link.close)
        return link

    @property
    def _address(self) -> str:
        return f'127.0.0.1:{self.listener.port}'

    def _assert_works(self, link: Connection, accepted: Connection) -> None:
        message = CancelJobs(('job',))
        link.send(message)
        self.assertEqual(message, next(accepted.messages()))

    def test_idle_link_outlives_the_silence_limit(self) -> None:
        link = self._dial()
        accepted = self.accepted.get(timeout=_WAIT_S)
        time.sleep(2 * _TIMING.silence_s)
        self.assertFalse(link.is_closed or accepted.is_closed)
        self._assert_works(link, accepted)

    def test_silent_peer_ends_only_its_own_link(self) -> None:
        link = self._dial()
        accepted = self.accepted.get(timeout=_WAIT_S)
        silent = connect(self._address, _WAIT_S)
        self.addCleanup(silent.close)
        silent.send(_encoded_hello())
        waiting = self.accepted.get(timeout=_WAIT_S)
        began_at = time.monotonic()
        with self.assertRaisesRegex(ConnectionLost, 'silent'):
            next(waiting.messages())
        self.assertLess(time.monotonic() - began_at, 3 * _TIMING.silence_s)
        self._assert_works(link, accepted)

    def test_many_links_need_no_thread_each(self) -> None:
        threads_before = threading.active_count()
        links = [self._dial() for _ in range(20)]
        for _ in links:
            self.accepted.get(timeout=_WAIT_S)
        # The sessions of the accepted links wait in the pool.
        self.assertLessEqual(
            threading.active_count() - threads_before, len(links) + 2
        )

    def test_last_message_before_a_close_arrives(self) -> None:
        # The listener closes with bytes of the dialler still unread.
        for _ in range(30):
            link = self._dial()
            accepted = self.accepted.get(timeout=_WAIT_S)
            link.send(CancelJobs(('unread' * 1000,)))
            accepted.send(LeaderHint('leader', '127.0.0.1:1'))
            accepted.flush_and_close()
            received = next(link.messages())
            self.assertEqual(LeaderHint('leader', '127.0.0.1:1'), received)
            with self.assertRaises(ConnectionLost):
                next(link.messages())

    def test_local_close_ends_a_waiting_receiver(self) -> None:
        link = self._dial()
        receiving = self.pool.submit(next, link.messages())
        time.sleep(0.05)
        link.close()
        with self.assertRaises(ConnectionLost):
            receiving.result(timeout=_WAIT_S)

    def test_stopped_listener_closes_its_links(self) -> None:
        link = self._dial()
        accepted = self.accepted.get(timeout=_WAIT_S)
        receiving = self.pool.submit(next, accepted.messages())
        self.listener.stop()
        with self.assertRaises(ConnectionLost):
            receiving.result(timeout=_WAIT_S)
        with self.assertRaises(ConnectionLost):
            next(link.messages())
        with self.assertRaises(ConnectionLost):
            self._dial()

    def test_stopped_listener_still_tells_its_port(self) -> None:
        port = self.listener.port
        self.listener.stop()
        self.assertEqual(port, self.listener.port)

    def test_receiver_that_falls_behind_loses_nothing(self) -> None:
        link = self._dial(LinkTiming(0.05, 0.5))
        accepted = self.accepted.get(timeout=_WAIT_S)
        sent = [CancelJobs((f'{n}', 'x' * 4_000)) for n in range(1_500)]
        for message in sent:
            link.send(message)
            time.sleep(0.0001)
        time.sleep(1.0)
        received = accepted.messages()
        for message in sent:
            self.assertEqual(message, next(received))

    def test_no_wakeup_is_lost_among_many_senders(self) -> None:
        # Without heartbeats, a lost wakeup would leave the messages queued.
        timing = LinkTiming(1000.0, 1000.0)
        links = [self._dial(timing) for _ in range(8)]
        accepted_links = [self.accepted.get(timeout=_WAIT_S) for _ in links]

        def send_slowly(link: Connection) -> None:
            for number in range(1000):
                link.send(CancelJobs((f'{number}',)))
                if number % 10 == 0:
                    time.sleep(0.0005)

        def receive_all(accepted: Connection) -> int:
            messages = accepted.messages()
            return sum(1 for _ in itertools.islice(messages, 1000))

        receiving = [self.pool.submit(receive_all, a) for a in accepted_links]
        for link in links:
            self.pool.submit(send_slowly, link)
        for future in receiving:
            self.assertEqual(1000, future.result(timeout=_WAIT_S))

    def test_message_that_cannot_be_encoded_ends_only_its_link(self) -> None:
        link = self._dial()
        accepted = self.accepted.get(timeout=_WAIT_S)
        broken = self._dial()
        other: Any = object()
        broken.send(other)
        with self.assertRaises(ConnectionLost):
            next(broken.messages())
        self._assert_works(link, accepted)

    def test_malformed_bytes_end_only_their_connection(self) -> None:
        link = self._dial()
        accepted = self.accepted.get(timeout=_WAIT_S)
        cases = {
            'no HTTP': b'\x00\xff' * 400,
            'no upgrade': b'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
            'endless line': b'G' * 100_000,
            'nothing': b'',
        }
        for name, sent in cases.items():
            with self.subTest(name):
                with socket.create_connection(
                    ('127.0.0.1', self.listener.port), _WAIT_S
                ) as peer:
                    peer.sendall(sent)
                error = self.errors.get(timeout=_WAIT_S)
                self.assertIsInstance(error, ConnectionLost)
                self._assert_works(link, accepted)

    def test_malformed_frame_is_refused_and_ends_its_link(self) -> None:
        link = self._dial()
        accepted = self.accepted.get(timeout=_WAIT_S)
        for frame in (b'', b'\xff', b'\x81\x82\x61a\xa0', b'\x00' * 50):
            with self.subTest(frame):
                peer = connect(self._address, _WAIT_S)
                self.addCleanup(peer.close)
                peer.send(_encoded_hello())
                waiting = self.accepted.get(timeout=_WAIT_S)
                peer.send(frame)
                with self.assertRaises(ProtocolMismatch):
                    next(waiting.messages())
                self.assertTrue(waiting.is_closed)
                self._assert_works(link, accepted)


def _hello(name: str) -> Hello:
    return Hello(name=name, role='entry', incarnation='1')


def _encoded_hello() -> bytes:
    return encode([_hello('raw')])


class FakeLink:
    """A link whose visits are counted."""

    def __init__(self) -> None:
        self.visits: Queue[float] = Queue()

    def fileno(self) -> int:
        return 0

    def wanted_events(self) -> int:
        return 0

    def handle_readable(self, now: float) -> None:
        pass

    def handle_due(self, now: float) -> float | None:
        self.visits.put(now)
        return now + 1000.0

    def flush(self, now: float) -> None:
        self.visits.put(now)

    def fail(self, reason: str) -> None:
        pass


class WakeupTest(unittest.TestCase):
    """A request that comes while the loop wakes up must not be the last."""

    def test_request_during_a_wakeup_leaves_the_loop_wakeable(self) -> None:
        loop, first, second = LinkLoop(), FakeLink(), FakeLink()

        def read_after_request(descriptor: int, size: int) -> bytes:
            if not requested.is_set():
                requested.set()
                loop.request_visit(second)
            return os_read(descriptor, size)

        requested, os_read = threading.Event(), os.read
        with patch('os.read', read_after_request):
            loop.request_visit(first)
            first.visits.get(timeout=_WAIT_S)
            second.visits.get(timeout=_WAIT_S)
        for link in (first, second):
            loop.request_visit(link)
            link.visits.get(timeout=_WAIT_S)
