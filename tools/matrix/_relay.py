"""TCP relays that can drop all data from or to one process.

`baobabgap.control.tests._silenceable_relay` silences all open connections.
These relays identify the connecting process by its source address, so that
one process is cut off from all others, on new connections too. A connection
that has lost data stays open and silent; connections opened after the cut
has ended work.
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
    """The directions in which a process is cut off from all others."""

    # The source address of the process's own connections.
    source: str
    # The port that the process listens on for links.
    port: int
    # Whether data sent to the process is dropped.
    inbound: bool
    # Whether data sent by the process is dropped.
    outbound: bool

    def drops(self, sender: str | int, receiver: str | int) -> bool:
        """Tell whether data from `sender` to `receiver` is dropped.

        Each is a source address or a listening port.
        """
        own = (self.source, self.port)
        return (self.outbound and sender in own) or (
            self.inbound and receiver in own
        )


class Relays:
    """A relay in front of each listening port of a deployment."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cuts: tuple[Cut, ...] = ()
        self._sockets: list[socket.socket] = []

    def add(self, port: int) -> None:
        """Start to relay connections to this port."""
        server = socket.create_server((RELAY_HOST, port), backlog=128)
        self._track(server)
        self._start_thread(self._accept, server, port)

    def cut(self, cut: Cut) -> None:
        """Start to drop data as `cut` says."""
        self._cuts = (*self._cuts, cut)

    def heal(self) -> None:
        """End all cuts; connections opened from now on work."""
        self._cuts = ()

    def close(self) -> None:
        """Close all listeners and connections."""
        with self._lock:
            for each in self._sockets:
                _shut_down(each)

    def _track(self, *sockets: socket.socket) -> None:
        with self._lock:
            self._sockets += sockets

    def _start_thread(
        self, task: Callable[..., None], *arguments: Any
    ) -> None:
        threading.Thread(target=task, args=arguments, daemon=True).start()

    def _accept(self, server: socket.socket, port: int) -> None:
        while True:
            try:
                client, (source, _) = server.accept()
            except OSError:
                return
            try:
                target = socket.create_connection((LISTEN_HOST, port))
            except OSError:
                client.close()
                continue
            self._track(client, target)
            self._start_thread(self._forward, client, target, source, port)
            self._start_thread(self._forward, target, client, port, source)

    def _forward(
        self,
        source: socket.socket,
        destination: socket.socket,
        sender: str | int,
        receiver: str | int,
    ) -> None:
        is_silenced = False
        try:
            while data := source.recv(_READ_BYTES):
                is_silenced = is_silenced or any(
                    cut.drops(sender, receiver) for cut in self._cuts
                )
                if not is_silenced:
                    destination.sendall(data)
        except OSError:
            pass
        if not is_silenced:
            _shut_down(destination)


def _shut_down(closing: socket.socket) -> None:
    try:
        closing.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    closing.close()
