"""TCP relays that can fall silent between named processes.

`baobabgap.control.tests._silenceable_relay` mutes whatever is open; these also
know who dialled, so that one process is cut off from all others, on new
connections too. What was cut stays open and silent for good; connections
made after the cut has healed work.
"""

from collections.abc import Callable
from dataclasses import dataclass
import socket
import threading
from typing import Any
from typing import Final

from tools.matrix._addresses import LISTEN_HOST
from tools.matrix._addresses import RELAY_HOST

_READ_BYTES: Final = 65_536


@dataclass(frozen=True, slots=True)
class Cut:
    """Directions in which one process is cut off from all others."""

    # The address that the process dials from.
    source: str
    # The port that it listens on for links.
    port: int
    # Whether nothing reaches it.
    inbound: bool
    # Whether nothing of its own reaches others.
    outbound: bool

    def drops(self, sender: str | int, receiver: str | int) -> bool:
        """Tell whether bytes between these ends are lost."""
        own = (self.source, self.port)
        return (self.outbound and sender in own) or (
            self.inbound and receiver in own
        )


class Relays:
    """One relay before each listening port of a deployment."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cuts: tuple[Cut, ...] = ()
        self._sockets: list[socket.socket] = []

    def add(self, port: int) -> None:
        """Relay connections to this port from now on."""
        server = socket.create_server((RELAY_HOST, port), backlog=128)
        self._keep(server)
        self._start(self._accept, server, port)

    def cut(self, cut: Cut) -> None:
        """Drop bytes from now on."""
        self._cuts = (*self._cuts, cut)

    def heal(self) -> None:
        """Let new connections pass."""
        self._cuts = ()

    def close(self) -> None:
        """Close everything."""
        with self._lock:
            for each in self._sockets:
                _end(each)

    def _keep(self, *sockets: socket.socket) -> None:
        with self._lock:
            self._sockets += sockets

    def _start(self, task: Callable[..., None], *arguments: Any) -> None:
        threading.Thread(target=task, args=arguments, daemon=True).start()

    def _accept(self, server: socket.socket, port: int) -> None:
        while True:
            try:
                near, (source, _) = server.accept()
            except OSError:
                return
            try:
                far = socket.create_connection((LISTEN_HOST, port))
            except OSError:
                near.close()
                continue
            self._keep(near, far)
            self._start(self._carry, near, far, source, port)
            self._start(self._carry, far, near, port, source)

    def _carry(
        self,
        source: socket.socket,
        destination: socket.socket,
        sender: str | int,
        receiver: str | int,
    ) -> None:
        is_muted = False
        try:
            while data := source.recv(_READ_BYTES):
                is_muted = is_muted or any(
                    cut.drops(sender, receiver) for cut in self._cuts
                )
                if not is_muted:
                    destination.sendall(data)
        except OSError:
            pass
        if not is_muted:
            _end(destination)


def _end(closing: socket.socket) -> None:
    try:
        closing.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    closing.close()
