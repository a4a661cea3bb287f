"""A TCP relay that can lose track of the connections that it carries."""

from concurrent.futures import ThreadPoolExecutor
import contextlib
import socket


class _Pair:
    """One carried connection."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.mutes_requests = False
        self.mutes_replies = False


class Relay:
    """Carries connections to one port; some may go silent for good."""

    def __init__(self) -> None:
        self._target_port = 0
        self._pairs: list[_Pair] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._pool = ThreadPoolExecutor(64)
        self._pool.submit(self._accept)

    @property
    def address(self) -> str:
        """Where the relay listens."""
        return f'127.0.0.1:{self._listener.getsockname()[1]}'

    def connect_to(self, port: int) -> None:
        """Carry new connections to this port."""
        self._target_port = port

    def mute_requests(self) -> None:
        """Forward nothing more of what the connections of now send."""
        for pair in self._pairs:
            pair.mutes_requests = True

    def mute_replies(self) -> None:
        """Forward no more replies on the connections of now."""
        for pair in self._pairs:
            pair.mutes_replies = True

    def close(self) -> None:
        """Close the port and all connections."""
        _end(self._listener)
        for pair in self._pairs:
            _end(pair.near)
            _end(pair.far)
        self._pool.shutdown(wait=True)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(('127.0.0.1', self._target_port))
            pair = _Pair(near, far)
            self._pairs.append(pair)
            self._pool.submit(self._carry_requests, pair)
            self._pool.submit(self._carry_replies, pair)

    def _carry_requests(self, pair: _Pair) -> None:
        while data := pair.near.recv(65536):
            if not pair.mutes_requests:
                pair.far.sendall(data)
        pair.far.close()

    def _carry_replies(self, pair: _Pair) -> None:
        while data := pair.far.recv(65536):
            if not pair.mutes_replies:
                pair.near.sendall(data)


def _end(closing: socket.socket) -> None:
    """Close a socket, and wake the thread that waits for it."""
    with contextlib.suppress(OSError):
        closing.shutdown(socket.SHUT_RDWR)
    closing.close()
