"""A TCP relay that can stop forwarding without closing connections."""

import socket
import threading


class SilenceableRelay:
    """Forwards connections to one port of this machine.

    Connections that are open when `silence` is called stay open, but
    discard all further bytes in the given directions. Later connections
    are not affected.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._server = socket.create_server(('127.0.0.1', 0))
        self._lock = threading.Lock()
        self._sockets: list[socket.socket] = []
        self._silence_events: list[
            tuple[threading.Event, threading.Event]
        ] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """The port that the relay listens on."""
        return int(self._server.getsockname()[1])

    def silence(self, *, to_host: bool = True, to_member: bool = True) -> None:
        """Discard further bytes of the open connections."""
        with self._lock:
            for host_event, member_event in self._silence_events:
                if to_host:
                    host_event.set()
                if to_member:
                    member_event.set()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        with self._lock:
            for open_socket in self._sockets:
                open_socket.close()

    def _accept(self) -> None:
        while True:
            try:
                member, _ = self._server.accept()
            except OSError:
                return
            try:
                host = socket.create_connection(('127.0.0.1', self._target))
            except OSError:
                # The host may be down for a while; accept further connections.
                member.close()
                continue
            silence_events = (threading.Event(), threading.Event())
            with self._lock:
                self._sockets += [member, host]
                self._silence_events.append(silence_events)
            for source, destination, silence_event in (
                (member, host, silence_events[0]),
                (host, member, silence_events[1]),
            ):
                threading.Thread(
                    target=_forward,
                    args=(source, destination, silence_event),
                    daemon=True,
                ).start()


def _forward(
    source: socket.socket,
    destination: socket.socket,
    silence_event: threading.Event,
) -> None:
    try:
        while data := source.recv(65536):
            if not silence_event.is_set():
                destination.sendall(data)
        destination.shutdown(socket.SHUT_WR)
    except OSError:
        return
