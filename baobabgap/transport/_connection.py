"""One link between two processes: typed messages over a WebSocket.

Sending never blocks the caller: messages go to a queue that one task
drains, and messages queued at the same time share a frame. Receiving is
an iterator that raises `ConnectionLost` when the peer closes the link or
has sent nothing, not even a heartbeat, for the silence limit.
"""

from collections.abc import Iterator
from concurrent.futures import Executor
from dataclasses import dataclass
from queue import Empty
from queue import SimpleQueue
import random
import threading
from typing import Any
from typing import Final
from typing import Protocol

from websockets.exceptions import ConnectionClosed

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.messages import decode
from baobabgap.messages import encode
from baobabgap.messages import Heartbeat
from baobabgap.messages import Hello
from baobabgap.messages import PROTOCOL_VERSION
from baobabgap.transport._traffic import PROCESS_TRAFFIC

_MAXIMUM_MESSAGES_IN_FRAME: Final = 256
# Idle links send mostly this frame, so it is encoded only once.
_HEARTBEAT: Final = Heartbeat()
_HEARTBEAT_FRAME: Final = encode([_HEARTBEAT])


class WebSocket(Protocol):
    """The methods of a synchronous WebSocket that this module uses."""

    def send(self, message: bytes) -> None:
        """Send one binary message."""

    def recv(self, timeout: float | None = None) -> str | bytes:
        """Receive one message, or raise `TimeoutError`."""

    def close(self, code: int = 1000, reason: str = '') -> None:
        """Close the connection."""


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Heartbeat interval and silence limit of a link."""

    # Seconds without an outgoing message before a heartbeat is sent.
    heartbeat_s: float = 0.5
    # Seconds without any message after which the link counts as lost.
    silence_s: float = 2.0


class Connection:
    """A link whose `Hello` messages have been exchanged.

    Both the dialling and the accepting side create one with
    `open_link`::

        connection = Connection.open_link(socket, own_hello, timing, pool)
        connection.send(SlotGrant(epoch=1, tokens=8))
        for message in connection.messages():
            ...
    """

    def __init__(
        self,
        socket: WebSocket,
        peer: Hello,
        timing: LinkTiming,
    ) -> None:
        self.peer: Final = peer
        self._socket = socket
        self._timing = timing
        self._outgoing: SimpleQueue[Any] = SimpleQueue()
        self._closed = threading.Event()

    @classmethod
    def open_link(
        cls,
        socket: WebSocket,
        own_hello: Hello,
        timing: LinkTiming,
        pool: Executor,
    ) -> 'Connection':
        """Exchange `Hello` messages and start the sending task.

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
        pool.submit(connection._send_loop)
        return connection

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed or lost the link."""
        return self._closed.is_set()

    def use_timing(self, timing: LinkTiming) -> None:
        """Change the timing; the peer must use the same values."""
        self._timing = timing

    def send(self, *messages: object) -> None:
        """Queue messages; they are dropped if the link is closed."""
        for message in messages:
            self._outgoing.put(message)

    def close(self) -> None:
        """Close the link, which the peer notices at once."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._outgoing.put(None)
        # A frozen peer never answers the closing handshake, so a thread of
        # its own waits for it.
        closer = threading.Thread(target=self._socket.close, daemon=True)
        closer.start()

    def flush_and_close(self, timeout_s: float = 2.0) -> None:
        """Send the queued messages within the timeout, then close."""
        flushed = threading.Event()
        self._outgoing.put(flushed)
        flushed.wait(timeout_s)
        self.close()

    def messages(self) -> Iterator[Any]:
        """Yield messages, without heartbeats, until the link is lost."""
        while True:
            frame = self._receive_frame()
            messages = self._decode(frame)
            PROCESS_TRAFFIC.count_received(messages, len(frame))
            for message in messages:
                if not isinstance(message, Heartbeat):
                    yield message

    def _receive_frame(self) -> bytes:
        try:
            frame = self._socket.recv(timeout=self._timing.silence_s)
        except TimeoutError:
            reason = f'silent for {self._timing.silence_s} s'
        except ConnectionClosed as error:
            reason = str(error)
        else:
            if isinstance(frame, bytes):
                return frame
            reason = 'text frame on a binary link'
        self.close()
        raise ConnectionLost(reason, step='receive', peer=self.peer.name)

    def _send_loop(self) -> None:
        while not self._closed.is_set():
            batch, flushed = self._pop_batch()
            try:
                if batch:
                    self._send_frame(batch)
            except (ConnectionClosed, OSError):
                self.close()
            for event in flushed:
                event.set()

    def _pop_batch(self) -> tuple[list[object], list[threading.Event]]:
        batch: list[object] = []
        flushed: list[threading.Event] = []
        try:
            item = self._outgoing.get(timeout=self._heartbeat_pause_s())
        except Empty:
            return [_HEARTBEAT], flushed
        while True:
            if isinstance(item, threading.Event):
                flushed.append(item)
            elif item is not None:
                batch.append(item)
            if len(batch) >= _MAXIMUM_MESSAGES_IN_FRAME:
                return batch, flushed
            try:
                item = self._outgoing.get_nowait()
            except Empty:
                return batch, flushed

    def _decode(self, frame: bytes) -> list[Any]:
        if frame == _HEARTBEAT_FRAME:
            return [_HEARTBEAT]
        return decode(frame, peer=self.peer.name)

    def _heartbeat_pause_s(self) -> float:
        """Return a random pause, so that links don't send at the same time."""
        return self._timing.heartbeat_s * random.uniform(0.8, 1.0)

    def _send_frame(self, batch: list[object]) -> None:
        is_heartbeat = len(batch) == 1 and batch[0] is _HEARTBEAT
        frame = _HEARTBEAT_FRAME if is_heartbeat else encode(batch)
        self._socket.send(frame)
        PROCESS_TRAFFIC.count_sent(len(frame))


def _receive_hello(socket: WebSocket, timing: LinkTiming) -> Hello:
    try:
        frame = socket.recv(timeout=timing.silence_s)
    except (TimeoutError, ConnectionClosed) as error:
        raise ConnectionLost(
            f'no Hello received: {error}', step='hello'
        ) from error
    if not isinstance(frame, bytes):
        raise ProtocolMismatch('received text instead of Hello', step='hello')
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
