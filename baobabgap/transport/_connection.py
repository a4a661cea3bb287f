"""One link between two processes: typed messages over a WebSocket.

Sending never blocks the caller: messages go to a queue that the link loop
of the process drains, and messages queued at the same time share a frame.
Receiving is an iterator that raises `ConnectionLost` when the peer closes
the link or has sent nothing, not even a heartbeat, for the silence limit.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from queue import SimpleQueue
import random
import selectors
import threading
import time
from typing import Any
from typing import Final
from typing import Protocol

from websockets.exceptions import ConnectionClosed

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.transport._link_loop import PROCESS_LOOP
from baobabgap.transport._traffic import PROCESS_TRAFFIC
from baobabgap.wire import decode
from baobabgap.wire import encode
from baobabgap.wire import Heartbeat
from baobabgap.wire import Hello
from baobabgap.wire import PROTOCOL_VERSION

_MAXIMUM_MESSAGES_IN_FRAME: Final = 256
# Idle links send mostly this frame, so it is encoded only once.
_HEARTBEAT: Final = Heartbeat()
_HEARTBEAT_FRAME: Final = encode([_HEARTBEAT])
# Frames that may wait for the receiver; while more do, the peer's frames stay
# in the socket.
_MAXIMUM_RECEIVED_FRAMES: Final = 256
# Seconds until the socket of a closed link is closed if the peer does not
# answer the closing frame.
_CLOSING_TIMEOUT_S: Final = 2.0


class OpeningSocket(Protocol):
    """What opening a link needs of a socket."""

    def send(self, message: bytes) -> None:
        """Send one binary message."""

    def recv(self, timeout: float | None = None) -> bytes:
        """Receive one message, or raise `TimeoutError`."""

    def close(self) -> None:
        """Close the connection."""


class WebSocket(OpeningSocket, Protocol):
    """What an open link needs of a socket; the methods do not block."""

    @property
    def is_ended(self) -> bool:
        """Whether the peer has ended the connection."""

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait until the socket accepts them."""

    def fileno(self) -> int:
        """Return the file descriptor, or -1 once it is closed."""

    def set_nonblocking(self) -> None:
        """Never block from now on."""

    def enqueue(self, message: bytes) -> None:
        """Queue one message."""

    def enqueue_close(self) -> None:
        """Queue the closing frame."""

    def flush(self) -> None:
        """Send as many queued bytes as the socket accepts."""

    def read(self) -> list[bytes]:
        """Return the messages that have arrived."""


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Heartbeat interval and silence limit of a link."""

    # Seconds without an outgoing message before a heartbeat is sent.
    heartbeat_s: float = 0.5
    # Seconds without any message after which the link counts as lost.
    silence_s: float = 2.0


@dataclass(frozen=True, slots=True)
class _LinkEnd:
    """Follows the last received frame of a link."""

    reason: str


class Connection:
    """A link whose `Hello` messages have been exchanged.

    Both the dialling and the accepting side create one with
    `open_link`::

        connection = Connection.open_link(socket, own_hello, timing)
        connection.send(SlotGrant(epoch=1, tokens=8))
        for message in connection.messages():
            ...

    The link loop calls the methods of `LoopedLink`; all others may be
    called by any thread.
    """

    def __init__(
        self,
        socket: WebSocket,
        peer: Hello,
        timing: LinkTiming,
    ) -> None:
        self.peer: Final = peer
        self._socket: Final = socket
        self._timing = timing
        self._outgoing: deque[object] = deque()
        self._received: SimpleQueue[bytes | _LinkEnd] = SimpleQueue()
        self._closed = threading.Event()
        self._end_lock = threading.Lock()
        self._end: _LinkEnd | None = None
        self._is_visit_requested = False
        # Whether the loop leaves frames in the socket until the receiver has
        # caught up.
        self._is_reading_paused = False
        now = time.monotonic()
        self._heard_at = now
        self._next_heartbeat_at = now
        self._close_socket_at: float | None = None

    @classmethod
    def open_link(
        cls,
        socket: WebSocket,
        own_hello: Hello,
        timing: LinkTiming,
    ) -> 'Connection':
        """Exchange `Hello` messages and have the link loop serve the link.

        Raises `ConnectionLost` if the link ends meanwhile, and
        `ProtocolMismatch` if the peer sends no valid `Hello`.
        """
        try:
            socket.send(encode([own_hello]))
        except (ConnectionClosed, OSError) as error:
            raise ConnectionLost(
                f'cannot send Hello: {error}', step='hello'
            ) from error
        peer = _receive_hello(socket, timing)
        connection = cls(socket, peer, timing)
        socket.set_nonblocking()
        PROCESS_LOOP.request_visit(connection)
        return connection

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed or lost the link."""
        return self._closed.is_set()

    @property
    def heard_at(self) -> float:
        """When the peer was last heard, on the monotonic clock."""
        return self._heard_at

    def use_timing(self, timing: LinkTiming) -> None:
        """Change the timing; the peer must use the same values."""
        self._timing = timing

    def send(self, *messages: object) -> None:
        """Queue messages; they are dropped if the link is closed."""
        if self._closed.is_set():
            return
        self._outgoing.extend(messages)
        self._request_visit()

    def close(self) -> None:
        """Close the link, which the peer notices at once."""
        self._end_link('closed by this side')
        self._request_visit()

    def flush_and_close(self, timeout_s: float = 2.0) -> None:
        """Send the queued messages within the timeout, then close."""
        flushed = threading.Event()
        self.send(flushed)
        if not self._closed.is_set():
            flushed.wait(timeout_s)
        self.close()

    def messages(self) -> Iterator[Any]:
        """Yield messages, without heartbeats, until the link is lost."""
        while True:
            frame = self._next_frame()
            messages = self._decode(frame)
            PROCESS_TRAFFIC.count_received(messages, len(frame))
            for message in messages:
                if not isinstance(message, Heartbeat):
                    yield message

    def _next_frame(self) -> bytes:
        item = self._received.get()
        if isinstance(item, _LinkEnd):
            # Kept for the next caller.
            self._received.put(item)
            raise ConnectionLost(
                item.reason, step='receive', peer=self.peer.name
            )
        if (
            self._is_reading_paused
            and self._received.qsize() < _MAXIMUM_RECEIVED_FRAMES / 2
        ):
            self._is_reading_paused = False
            self._request_visit()
        return item

    def _decode(self, frame: bytes) -> list[Any]:
        try:
            return decode(frame, peer=self.peer.name)
        except ProtocolMismatch:
            self.close()
            raise

    def _request_visit(self) -> None:
        if not self._is_visit_requested:
            self._is_visit_requested = True
            PROCESS_LOOP.request_visit(self)

    def _end_link(self, reason: str) -> None:
        """Note that the link has ended; the first reason counts."""
        with self._end_lock:
            if self._end is not None:
                return
            self._end = _LinkEnd(reason)
        self._closed.set()
        self._received.put(self._end)

    # The methods of `LoopedLink`, which only the link loop calls.

    def fileno(self) -> int:
        """Return the file descriptor, or -1 once it is closed."""
        return self._socket.fileno()

    def wanted_events(self) -> int:
        """Return the selector's events to wait for."""
        events = 0
        if not self._is_reading_paused or self._closed.is_set():
            events |= selectors.EVENT_READ
        if self._socket.has_unsent:
            events |= selectors.EVENT_WRITE
        return events

    def handle_readable(self, now: float) -> None:
        """Queue the frames that have arrived for the receiver."""
        try:
            frames = self._socket.read()
        except OSError as error:
            self._finish(str(error))
            return
        if self._closed.is_set():
            frames = []
        elif frames:
            self._heard_at = now
        for frame in frames:
            if frame == _HEARTBEAT_FRAME:
                PROCESS_TRAFFIC.count_received((_HEARTBEAT,), len(frame))
            else:
                self._received.put(frame)
        if self._received.qsize() > _MAXIMUM_RECEIVED_FRAMES:
            self._is_reading_paused = True
        if self._socket.is_ended:
            # Answers the peer's closing frame, if there was one.
            self._flush_socket()
            self._finish('the peer closed the link')

    def handle_due(self, now: float) -> float | None:
        """Send a heartbeat or end the link, as far as it is due."""
        self._flush_messages(now)
        if self._close_socket_at is not None and now >= self._close_socket_at:
            self._finish('closed')
        if self._socket.fileno() < 0:
            return None
        if self._closed.is_set():
            return now + self._timing.heartbeat_s
        if self._is_reading_paused:
            self._heard_at = now
        if now >= self._silent_at:
            # After a pause of this process, frames may wait to be read.
            self.handle_readable(now)
        if now >= self._silent_at:
            self._end_link(f'silent for {self._timing.silence_s} s')
            self._begin_closing(now)
            return now + self._timing.heartbeat_s
        if now >= self._next_heartbeat_at:
            self._send_heartbeat(now)
        return min(self._silent_at, self._next_heartbeat_at)

    def flush(self, now: float) -> None:
        """Send what is queued, as far as the peer accepts it."""
        self._flush_messages(now)

    def fail(self, reason: str) -> None:
        """End the link at once."""
        self._finish(reason)

    @property
    def _silent_at(self) -> float:
        return self._heard_at + self._timing.silence_s

    def _send_heartbeat(self, now: float) -> None:
        if self._socket.has_unsent:
            # The peer hasn't read what was sent before.
            self._next_heartbeat_at = now + self._timing.heartbeat_s
            return
        self._send_frame([_HEARTBEAT], now)
        self._flush_socket()

    def _flush_messages(self, now: float) -> None:
        # Cleared first: a message that is queued from now on may miss this
        # visit.
        self._is_visit_requested = False
        self._flush_socket()
        if self._closed.is_set():
            self._release_waiting()
            self._begin_closing(now)
            return
        flushed: list[threading.Event] = []
        while self._outgoing and not self._socket.has_unsent:
            batch = self._pop_batch(flushed)
            if batch:
                self._send_frame(batch, now)
                self._flush_socket()
        if self._socket.has_unsent:
            self._outgoing.extendleft(reversed(flushed))
            return
        for event in flushed:
            event.set()

    def _pop_batch(self, flushed: list[threading.Event]) -> list[object]:
        batch: list[object] = []
        while self._outgoing and len(batch) < _MAXIMUM_MESSAGES_IN_FRAME:
            item = self._outgoing.popleft()
            if isinstance(item, threading.Event):
                flushed.append(item)
            else:
                batch.append(item)
        return batch

    def _release_waiting(self) -> None:
        """Let those go on who wait for messages that can't be sent."""
        while self._outgoing:
            item = self._outgoing.popleft()
            if isinstance(item, threading.Event):
                item.set()

    def _send_frame(self, batch: list[object], now: float) -> None:
        is_heartbeat = len(batch) == 1 and batch[0] is _HEARTBEAT
        frame = _HEARTBEAT_FRAME if is_heartbeat else encode(batch)
        try:
            self._socket.enqueue(frame)
        except ConnectionClosed as error:
            self._finish(str(error))
            return
        PROCESS_TRAFFIC.count_sent(len(frame))
        # A random pause, so that links don't send at the same time.
        self._next_heartbeat_at = (
            now + self._timing.heartbeat_s * random.uniform(0.8, 1.0)
        )

    def _flush_socket(self) -> None:
        if self._socket.fileno() < 0:
            return
        try:
            self._socket.flush()
        except OSError as error:
            self._finish(str(error))

    def _begin_closing(self, now: float) -> None:
        """Send the closing frame and wait for the peer to close.

        Closing the socket at once would discard what the peer has yet to
        read, if something that it sent is still unread here.
        """
        if self._close_socket_at is None and self._socket.fileno() >= 0:
            self._close_socket_at = now + _CLOSING_TIMEOUT_S
            self._socket.enqueue_close()
            self._flush_socket()

    def _finish(self, reason: str) -> None:
        """End the link and close the socket."""
        self._end_link(reason)
        self._socket.close()
        self._release_waiting()


def _receive_hello(socket: OpeningSocket, timing: LinkTiming) -> Hello:
    try:
        frame = socket.recv(timeout=timing.silence_s)
    except (TimeoutError, ConnectionClosed, OSError) as error:
        raise ConnectionLost(
            f'no Hello received: {error}', step='hello'
        ) from error
    messages = decode(frame, peer='unknown')
    if len(messages) != 1 or not isinstance(messages[0], Hello):
        raise ProtocolMismatch('the first message must be Hello', step='hello')
    hello = messages[0]
    if hello.protocol_version != PROTOCOL_VERSION:
        raise ProtocolMismatch(
            f'protocol version {hello.protocol_version}; '
            f'this process supports {PROTOCOL_VERSION} only',
            step='hello',
            peer=hello.name,
        )
    return hello
