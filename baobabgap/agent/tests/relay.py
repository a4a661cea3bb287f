"""TCP relay that can silently drop the data of open connections."""

from concurrent.futures import ThreadPoolExecutor
import contextlib
import socket


class _RelayedConnection:
    """The two sockets of one relayed connection."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.drops_requests = False
        self.drops_replies = False


class Relay:
    """Relays connections to one port; can drop their data for good."""

    def __init__(self) -> None:
        self._target_port = 0
        self._connections: list[_RelayedConnection] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._pool = ThreadPoolExecutor(64)
        self._pool.submit(self._accept)

    @property
    def address(self) -> str:
        """The address at which the relay listens."""
        return f'127.0.0.1:{self._listener.getsockname()[1]}'

    def connect_to(self, port: int) -> None:
        """Relay new connections to this port."""
        self._target_port = port

    def drop_requests(self) -> None:
        """Drop all further requests on the connections open now."""
        for connection in self._connections:
            connection.drops_requests = True

    def drop_replies(self) -> None:
        """Drop all further replies on the connections open now."""
        for connection in self._connections:
            connection.drops_replies = True

    def close(self) -> None:
        """Close the port and all connections."""
        _shut_down(self._listener)
        for connection in self._connections:
            _shut_down(connection.client)
            _shut_down(connection.server)
        self._pool.shutdown(wait=True)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection(('127.0.0.1', self._target_port))
            connection = _RelayedConnection(client, server)
            self._connections.append(connection)
            self._pool.submit(self._forward_requests, connection)
            self._pool.submit(self._forward_replies, connection)

    def _forward_requests(self, connection: _RelayedConnection) -> None:
        while data := connection.client.recv(65536):
            if not connection.drops_requests:
                connection.server.sendall(data)
        connection.server.close()

    def _forward_replies(self, connection: _RelayedConnection) -> None:
        while data := connection.server.recv(65536):
            if not connection.drops_replies:
                connection.client.sendall(data)


def _shut_down(sock: socket.socket) -> None:
    """Close a socket and wake the thread that blocks on it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
