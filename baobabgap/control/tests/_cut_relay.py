"""A TCP relay that can go silent without closing anything."""

import socket
import threading


class CutRelay:
    """Passes connections on to one port of this machine.

    Connections that are open when `silence` is called pass no more bytes
    in the directions named, and stay open; new ones work.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._server = socket.create_server(('127.0.0.1', 0))
        self._lock = threading.Lock()
        self._sockets: list[socket.socket] = []
        self._gates: list[tuple[threading.Event, threading.Event]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self._server.getsockname()[1])

    def silence(self, *, to_host: bool = True, to_member: bool = True) -> None:
        """Hold back what the open connections carry from now on."""
        with self._lock:
            for host_gate, member_gate in self._gates:
                if to_host:
                    host_gate.set()
                if to_member:
                    member_gate.set()

    def close(self) -> None:
        """Close everything."""
        self._server.close()
        with self._lock:
            for each in self._sockets:
                each.close()

    def _accept(self) -> None:
        while True:
            try:
                member, _ = self._server.accept()
            except OSError:
                return
            try:
                host = socket.create_connection(('127.0.0.1', self._target))
            except OSError:
                # The host is down for now; the relay lives on.
                member.close()
                continue
            gates = (threading.Event(), threading.Event())
            with self._lock:
                self._sockets += [member, host]
                self._gates.append(gates)
            for source, destination, gate in (
                (member, host, gates[0]),
                (host, member, gates[1]),
            ):
                threading.Thread(
                    target=_pass_on,
                    args=(source, destination, gate),
                    daemon=True,
                ).start()


def _pass_on(
    source: socket.socket, destination: socket.socket, gate: threading.Event
) -> None:
    try:
        while data := source.recv(65536):
            if not gate.is_set():
                destination.sendall(data)
        destination.shutdown(socket.SHUT_WR)
    except OSError:
        return
