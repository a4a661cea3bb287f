"""A link that ends while it is being opened."""

from concurrent.futures import ThreadPoolExecutor
import unittest

from websockets.exceptions import ConnectionClosedError

from baobabgap import ConnectionLost
from baobabgap.messages import Hello
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming


class ClosedSocket:
    """A socket whose peer has gone right after the handshake."""

    def send(self, message: bytes) -> None:
        raise ConnectionClosedError(None, None)

    def recv(self, timeout: float | None = None) -> str | bytes:
        raise ConnectionClosedError(None, None)

    def close(self, code: int = 1000, reason: str = '') -> None:
        """Nothing to close."""


class OpenLinkTest(unittest.TestCase):
    def test_peer_gone_before_hello_is_a_lost_connection(self) -> None:
        with ThreadPoolExecutor() as pool:
            with self.assertRaises(ConnectionLost):
                Connection.open_link(
                    ClosedSocket(),
                    Hello(name='one', role='control', incarnation='1'),
                    LinkTiming(),
                    pool,
                )
