"""Links: opened, kept in order, and never blocking a sender."""

from concurrent.futures import ThreadPoolExecutor
from queue import Queue
from socket import socket as Socket
import threading
import unittest

from websockets.exceptions import ConnectionClosedError

from baobabgap import ConnectionLost
from baobabgap.messages import CancelJobs
from baobabgap.messages import Hello
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener

_WAIT_S = 20.0
_TIMING = LinkTiming(0.2, 3.0)


class ClosedSocket:
    """A socket whose peer has gone right after the handshake."""

    def __init__(self) -> None:
        self.socket = Socket()

    def send(self, message: bytes) -> None:
        raise ConnectionClosedError(None, None)

    def recv(self, timeout: float | None = None) -> str | bytes:
        raise ConnectionClosedError(None, None)

    def close(self, code: int = 1000, reason: str = '') -> None:
        self.socket.close()


class OpenLinkTest(unittest.TestCase):
    def test_peer_gone_before_hello_is_a_lost_connection(self) -> None:
        closed = ClosedSocket()
        self.addCleanup(closed.close)
        with ThreadPoolExecutor() as pool:
            with self.assertRaises(ConnectionLost):
                Connection.open_link(
                    closed,
                    Hello(name='one', role='control', incarnation='1'),
                    LinkTiming(),
                    pool,
                )


class SendingTest(unittest.TestCase):
    """What is sent arrives in order, and a deaf peer blocks nobody."""

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(16)
        self.addCleanup(self.pool.shutdown)
        self.accepted: Queue[Connection] = Queue()
        self.closing = threading.Event()
        listener = Listener(
            '127.0.0.1', 0, lambda: _hello('b'), _TIMING, self.pool, self._keep
        )
        listener.start()
        self.addCleanup(listener.stop)
        address = f'127.0.0.1:{listener.port}'
        self.link = dial(address, _hello('a'), _TIMING, self.pool)
        self.addCleanup(self.link.close)
        self.addCleanup(self.closing.set)

    def _keep(self, connection: Connection) -> None:
        self.accepted.put(connection)
        self.closing.wait(_WAIT_S)

    def test_order_is_kept_between_small_and_large(self) -> None:
        sent = [
            CancelJobs((f'{number}', 'x' * (20_000 if number % 7 == 0 else 9)))
            for number in range(300)
        ]
        for message in sent:
            self.link.send(message)
        received = self.accepted.get(timeout=_WAIT_S).messages()
        for message in sent:
            self.assertEqual(message, next(received))

    def test_peer_that_reads_nothing_blocks_no_sender(self) -> None:
        def send_much() -> None:
            for _ in range(10_000):
                self.link.send(CancelJobs(('x' * 4_000,)))

        done = self.pool.submit(send_much)
        self.assertIsNone(done.result(timeout=_WAIT_S))


def _hello(name: str) -> Hello:
    return Hello(name=name, role='entry', incarnation='1')
