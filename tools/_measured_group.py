"""Control hosts as processes of their own, for measurements."""

from dataclasses import dataclass
import json
import os
import signal
import socket
import subprocess
import sys
from typing import Any
from typing import Final

from baobabgap.control import ControlHostProcess
from baobabgap.settings import settings_from_document

_STOP_LIMIT_S: Final = 20.0


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process has used so far."""

    # Processor time of all its threads, in seconds.
    cpu_s: float
    # Threads at the moment.
    threads: int
    # Resident memory at the moment.
    memory_mb: float


@dataclass(frozen=True, slots=True)
class MeasuredHost:
    """One control host that runs."""

    # The host's name.
    name: str
    # The process identifier.
    pid: int
    # Where members dial.
    internal_port: int
    # Where metrics are served.
    http_port: int


class MeasuredGroup:
    """The processes of a group, started and stopped together."""

    def __init__(self, document_by_name: dict[str, Any]) -> None:
        self._document_by_name = document_by_name
        self._child_by_name: dict[str, subprocess.Popen[str]] = {}
        self._host_by_name: dict[str, MeasuredHost] = {}

    @property
    def hosts(self) -> list[MeasuredHost]:
        """The hosts, in the order of their names."""
        return list(self._host_by_name.values())

    @classmethod
    def start(
        cls, folder: str, hosts: int, added_sync_delay_ms: float
    ) -> 'MeasuredGroup':
        """Start hosts with their data in sub-folders."""
        port_by_name = {
            f'control-{number}': _free_port() for number in range(1, hosts + 1)
        }
        listed = [
            {'name': name, 'host': '127.0.0.1', 'port': port}
            for name, port in port_by_name.items()
        ]
        group = cls(
            {
                name: {
                    'role': 'control',
                    'name': name,
                    'listen': {'internal_port': port},
                    'control_hosts': listed,
                    'control': {
                        'data_folder': f'{folder}/{name}',
                        'added_sync_delay_ms': added_sync_delay_ms,
                    },
                }
                for name, port in port_by_name.items()
            }
        )
        for name in port_by_name:
            group.restart(name)
        return group

    def restart(self, name: str) -> None:
        """Start a host that does not run, on its own data."""
        child = _start_child(self._document_by_name[name])
        assert child.stdout is not None
        internal_port, http_port = json.loads(child.stdout.readline())
        self._child_by_name[name] = child
        self._host_by_name[name] = MeasuredHost(
            name, child.pid, internal_port, http_port
        )

    def kill(self, name: str) -> None:
        """End a host at once."""
        child = self._child_by_name[name]
        child.kill()
        child.communicate()

    def freeze(self, name: str) -> None:
        """Hold a host up until it is thawed."""
        self._child_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen host go on."""
        self._child_by_name[name].send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Stop all hosts as planned."""
        for child in self._child_by_name.values():
            if child.poll() is not None:
                continue
            try:
                child.communicate('stop\n', timeout=_STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                child.kill()
                child.communicate()


def process_usage(pid: int) -> ProcessUsage:
    """Read what a process has used so far."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    with open(f'/proc/{pid}/statm', encoding='ascii') as file:
        resident_pages = int(file.read().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(
        cpu_s=ticks / os.sysconf('SC_CLK_TCK'),
        threads=int(fields[17]),
        memory_mb=resident_pages * os.sysconf('SC_PAGE_SIZE') / 2**20,
    )


def run_host(document: str) -> None:
    """Be one host, until a line comes in."""
    settings = settings_from_document(
        json.loads(document), source='the command line'
    )
    host = ControlHostProcess.from_settings(settings)
    host.start()
    print(json.dumps([host.internal_port, host.http_port]), flush=True)
    sys.stdin.readline()
    host.stop()


def _start_child(document: object) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'tools._measured_group',
            json.dumps(document),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


if __name__ == '__main__':
    run_host(sys.argv[1])
