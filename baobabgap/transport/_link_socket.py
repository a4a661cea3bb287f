"""A TCP connection that carries WebSocket frames.

The opening handshake and the exchange of `Hello` block, within a timeout.
Afterwards the socket doesn't block, and the link loop of the process reads
and writes it.
"""

from collections import deque
import socket
import threading
import time
from typing import Final

from websockets.client import ClientProtocol
from websockets.exceptions import ConnectionClosedError
from websockets.exceptions import InvalidHandshake
from websockets.frames import Frame
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from baobabgap.wire import MAXIMUM_FRAME_BYTES

_READ_BYTES: Final = 65536
_LISTEN_BACKLOG: Final = 512
_DATA_OPCODES: Final = (Opcode.BINARY, Opcode.TEXT, Opcode.CONT)


class LinkSocket:
    """Sends and receives binary WebSocket messages over one connection.

    `send` and `recv` block and serve the opening of a link. `enqueue`,
    `flush` and `read` never block and serve the link loop; one thread at a
    time may use them.
    """

    def __init__(
        self,
        connection: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
    ) -> None:
        self._socket: Final = connection
        self._protocol: Final = protocol
        self._received: deque[bytes] = deque()
        # Parts of a message whose last frame hasn't arrived yet.
        self._parts: list[bytes] = []
        self._unsent = bytearray()
        self._is_at_eof = False
        self._close_lock = threading.Lock()
        self._is_closed = False

    @property
    def is_ended(self) -> bool:
        """Whether nothing more can be received from the peer."""
        protocol = self._protocol
        return (
            self._is_at_eof
            or protocol.close_rcvd is not None
            or protocol.parser_exc is not None
        )

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait until the socket accepts them."""
        return bool(self._unsent)

    def fileno(self) -> int:
        """Return the file descriptor, for a selector."""
        return self._socket.fileno()

    def set_nonblocking(self) -> None:
        """Never block from now on."""
        self._socket.setblocking(False)

    def send(self, message: bytes) -> None:
        """Send one message; raise `ConnectionClosed` or `OSError`."""
        self.enqueue(message)
        self._send_unsent()

    def recv(self, timeout: float | None = None) -> bytes:
        """Receive one message; raise `TimeoutError` or `ConnectionClosed`."""
        give_up_at = None if timeout is None else time.monotonic() + timeout
        while not self._received:
            if self.is_ended:
                raise self._closed_error()
            if give_up_at is not None:
                left_s = give_up_at - time.monotonic()
                if left_s <= 0:
                    raise TimeoutError('no message in time')
                self._socket.settimeout(left_s)
            self._read_once()
        return self._received.popleft()

    def enqueue(self, message: bytes) -> None:
        """Queue one message; raise `ConnectionClosed` if the link ended."""
        if self._protocol.state is not State.OPEN:
            raise self._closed_error()
        self._protocol.send_binary(message)
        self._collect_output()

    def enqueue_close(self) -> None:
        """Queue the closing frame, unless the closing has begun already."""
        if self._protocol.state is State.OPEN:
            self._protocol.send_close(1000)
            self._collect_output()

    def flush(self) -> None:
        """Send as many queued bytes as the socket accepts."""
        while self._unsent:
            try:
                sent = self._socket.send(self._unsent)
            except BlockingIOError:
                return
            del self._unsent[:sent]

    def read(self) -> list[bytes]:
        """Return the messages that have arrived; raise `OSError`."""
        try:
            self._read_once()
        except BlockingIOError:
            pass
        messages = list(self._received)
        self._received.clear()
        return messages

    def close(self) -> None:
        """Close the connection."""
        with self._close_lock:
            if not self._is_closed:
                self._is_closed = True
                self._socket.close()

    def open(self, timeout_s: float) -> None:
        """Complete the opening handshake, or close the connection.

        Raises `OSError`, `TimeoutError` or `InvalidHandshake`.
        """
        give_up_at = time.monotonic() + timeout_s
        protocol = self._protocol
        try:
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if isinstance(protocol, ClientProtocol):
                protocol.send_request(protocol.connect())
                self._collect_output()
            while protocol.state is State.CONNECTING:
                left_s = give_up_at - time.monotonic()
                if left_s <= 0:
                    raise TimeoutError('no opening handshake in time')
                self._socket.settimeout(left_s)
                self._send_unsent()
                if protocol.handshake_exc is not None:
                    raise InvalidHandshake(str(protocol.handshake_exc))
                if self._is_at_eof:
                    raise ConnectionResetError('closed during the handshake')
                self._read_once()
            self._send_unsent()
        except BaseException:
            self.close()
            raise

    def _closed_error(self) -> ConnectionClosedError:
        return ConnectionClosedError(
            self._protocol.close_rcvd, self._protocol.close_sent
        )

    def _send_unsent(self) -> None:
        data = bytes(self._unsent)
        self._unsent.clear()
        self._socket.sendall(data)

    def _read_once(self) -> None:
        try:
            data = self._socket.recv(_READ_BYTES)
        except ConnectionError:
            data = b''
        if data:
            self._protocol.receive_data(data)
        elif not self._is_at_eof:
            self._is_at_eof = True
            self._protocol.receive_eof()
        for event in self._protocol.events_received():
            match event:
                case Frame(opcode=opcode) if opcode in _DATA_OPCODES:
                    self._add_part(event)
                case Request():
                    self._accept(event)
        self._collect_output()

    def _accept(self, request: Request) -> None:
        if isinstance(self._protocol, ServerProtocol):
            self._protocol.send_response(self._protocol.accept(request))

    def _add_part(self, frame: Frame) -> None:
        self._parts.append(bytes(frame.data))
        if frame.fin:
            self._received.append(b''.join(self._parts))
            self._parts.clear()

    def _collect_output(self) -> None:
        for data in self._protocol.data_to_send():
            self._unsent += data


def connect(
    address: str,
    timeout_s: float,
    source_address: tuple[str, int] | None = None,
) -> LinkSocket:
    """Open a connection to `host:port` and perform the opening handshake.

    Raises `OSError`, `TimeoutError` or `InvalidHandshake`.
    """
    host, _, port = address.rpartition(':')
    began_at = time.monotonic()
    connection = socket.create_connection(
        (host, int(port)), timeout_s, source_address
    )
    protocol = ClientProtocol(
        parse_uri(f'ws://{address}/'), max_size=MAXIMUM_FRAME_BYTES
    )
    link_socket = LinkSocket(connection, protocol)
    link_socket.open(timeout_s - (time.monotonic() - began_at))
    return link_socket


def listen(host: str, port: int) -> socket.socket:
    """Open a listening TCP socket; raise `OSError`."""
    return socket.create_server((host, port), backlog=_LISTEN_BACKLOG)


def accept_handshake(
    connection: socket.socket, timeout_s: float
) -> LinkSocket:
    """Perform the opening handshake of an accepted connection.

    Raises `OSError`, `TimeoutError` or `InvalidHandshake`.
    """
    link_socket = LinkSocket(
        connection, ServerProtocol(max_size=MAXIMUM_FRAME_BYTES)
    )
    link_socket.open(timeout_s)
    return link_socket
