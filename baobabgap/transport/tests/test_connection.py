"""Tests of links: opening, order of messages, non-blocking sends."""

from concurrent.futures import ThreadPoolExecutor
from queue import Queue
import threading
import unittest
from unittest.mock import create_autospec

from websockets.exceptions import ConnectionClosedError

from baobabgap import ConnectionLost
from baobabgap.messages import CancelJobs
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener
from baobabgap.transport._link_socket import LinkSocket
from baobabgap.wire import Hello

_WAIT_S = 20.0
_TIMING = LinkTiming(0.2, 3.0)


class OpenLinkTest(unittest.TestCase):
    """Opening a link reports each failure as an error of the package.

    If the peer closes the WebSocket before `Hello`, the library raises
    its own exception, which callers don't handle.
    """

    def test_peer_closing_before_hello_raises_connection_lost(self) -> None:
        closed_socket = create_autospec(LinkSocket, instance=True)
        closed_socket.send.side_effect = ConnectionClosedError(None, None)
        with self.assertRaises(ConnectionLost):
            Connection.open_link(
                closed_socket,
                Hello(name='one', role='control', incarnation='1'),
                LinkTiming(),
            )


class SendingTest(unittest.TestCase):
    """Messages arrive in order, and a peer that never reads blocks no sender.

    Order could get lost where messages are batched into frames. A sender
    would block when the socket's buffer is full.
    """

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(16)
        self.addCleanup(self.pool.shutdown)
        self.accepted: Queue[Connection] = Queue()
        self.may_close = threading.Event()
        listener = Listener(
            '127.0.0.1',
            0,
            lambda: _hello('b'),
            _TIMING,
            self.pool,
            self._hold_open,
        )
        listener.start()
        self.addCleanup(listener.stop)
        address = f'127.0.0.1:{listener.port}'
        self.link = dial(address, _hello('a'), _TIMING)
        self.addCleanup(self.link.close)
        self.addCleanup(self.may_close.set)

    def _hold_open(self, connection: Connection) -> None:
        self.accepted.put(connection)
        self.may_close.wait(_WAIT_S)

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

    def test_peer_that_never_reads_blocks_no_sender(self) -> None:
        def send_many() -> None:
            for _ in range(10_000):
                self.link.send(CancelJobs(('x' * 4_000,)))

        done = self.pool.submit(send_many)
        self.assertIsNone(done.result(timeout=_WAIT_S))


def _hello(name: str) -> Hello:
    return Hello(name=name, role='entry', incarnation='1')
