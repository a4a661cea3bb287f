"""Simulates many members of a control group in one thread.

Each member speaks the real protocol over its own TCP connection, but has
no thread of its own and doesn't apply the changes that it receives.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import selectors
import socket
import threading
import time
from typing import Any
from typing import Final

from websockets.client import ClientProtocol
from websockets.frames import Frame
from websockets.frames import Opcode
from websockets.uri import parse_uri

from baobabgap.messages import Changes
from baobabgap.messages import decode
from baobabgap.messages import encode
from baobabgap.messages import Heartbeat
from baobabgap.messages import Hello
from baobabgap.messages import MemberReport
from baobabgap.messages import Subscribe

_READ_BYTES: Final = 65536
_SUBSCRIPTION: Final = (Subscribe(0, ('entry',)),)
_HEARTBEAT_FRAME: Final = encode([Heartbeat()])


@dataclass(eq=False, slots=True)
class _SimulatedMember:
    """A simulated member and its connection."""

    # The member's name.
    name: str
    # The TCP connection.
    link: socket.socket
    # The WebSocket protocol state.
    protocol: ClientProtocol
    # Time of the last send on the monotonic clock, in seconds.
    sent_at: float = field(default_factory=time.monotonic)


class SimulatedMembers:
    """Members that send heartbeats and acknowledge configuration changes.

    After its `Hello`, each sends `initial_messages`.
    """

    def __init__(
        self,
        port: int,
        heartbeat_s: float,
        initial_messages: Sequence[object] = _SUBSCRIPTION,
    ) -> None:
        self._port = port
        self._heartbeat_s = heartbeat_s
        self._initial_messages = initial_messages
        self._selector = selectors.DefaultSelector()
        self._members: list[_SimulatedMember] = []
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.version_by_name: dict[str, int] = {}
        self._thread = threading.Thread(target=self._run_loop, daemon=True)
        self._thread.start()

    def add(self, count: int) -> None:
        """Connect more members."""
        for number in range(count):
            name = f'agent-{len(self._members) + 1}'
            member = self._connect(name)
            with self._lock:
                self._members.append(member)
            self._selector.register(member.link, selectors.EVENT_READ, member)
            if number % 20 == 0:
                time.sleep(0.01)

    def count_with_version(self, version: int) -> int:
        """Return how many members have received the version or a newer one."""
        versions = list(self.version_by_name.values())
        return sum(1 for received in versions if received >= version)

    def close(self) -> None:
        """Close all connections."""
        self._stopping.set()
        self._thread.join(5.0)
        for member in self._members:
            member.link.close()

    def _connect(self, name: str) -> _SimulatedMember:
        link = socket.create_connection(('127.0.0.1', self._port))
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        uri = parse_uri(f'ws://127.0.0.1:{self._port}/')
        protocol = ClientProtocol(uri)
        protocol.send_request(protocol.connect())
        _flush(link, protocol)
        while protocol.state.name == 'CONNECTING':
            protocol.receive_data(link.recv(_READ_BYTES))
            protocol.events_received()
        member = _SimulatedMember(name, link, protocol)
        hello = Hello(name, 'agent', f'{name}-a', '10.0.0.1:4000', 'zone-a')
        self._send(member, [hello])
        self._send(member, self._initial_messages)
        return member

    def _run_loop(self) -> None:
        while not self._stopping.is_set():
            for key, _ in self._selector.select(timeout=0.1):
                self._receive(key.data)
            self._send_due_heartbeats()

    def _send_due_heartbeats(self) -> None:
        now = time.monotonic()
        with self._lock:
            members = list(self._members)
        for member in members:
            if now - member.sent_at >= self._heartbeat_s:
                self._send_frame(member, _HEARTBEAT_FRAME)

    def _receive(self, member: _SimulatedMember) -> None:
        member.protocol.receive_data(member.link.recv(_READ_BYTES))
        for event in member.protocol.events_received():
            if isinstance(event, Frame) and event.opcode is Opcode.BINARY:
                for message in decode(bytes(event.data), peer='control'):
                    self._handle(member, message)

    def _handle(self, member: _SimulatedMember, message: Any) -> None:
        if isinstance(message, Changes):
            self.version_by_name[member.name] = message.to_version
            self._send(member, [MemberReport(message.to_version)])

    def _send(
        self, member: _SimulatedMember, messages: Sequence[object]
    ) -> None:
        self._send_frame(member, encode(messages))

    def _send_frame(self, member: _SimulatedMember, frame: bytes) -> None:
        member.protocol.send_binary(frame)
        _flush(member.link, member.protocol)
        member.sent_at = time.monotonic()


def _flush(link: socket.socket, protocol: ClientProtocol) -> None:
    for data in protocol.data_to_send():
        link.sendall(data)
