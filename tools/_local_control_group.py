"""Runs the control hosts of a group as separate local processes."""

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
from baobabgap.settingsfile import settings_from_document

_STOP_LIMIT_S: Final = 20.0


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process."""

    # Processor time of all threads since the start, in seconds.
    cpu_s: float
    # Current number of threads.
    threads: int
    # Current resident memory, in MiB.
    memory_mb: float


@dataclass(frozen=True, slots=True)
class LocalControlHost:
    """A running control host."""

    # The host's name.
    name: str
    # The process identifier.
    pid: int
    # The port that members connect to.
    internal_port: int
    # The port that serves metrics.
    http_port: int


class LocalControlGroup:
    """A control group of local processes."""

    def __init__(self, settings_by_name: dict[str, Any]) -> None:
        self._settings_by_name = settings_by_name
        self._process_by_name: dict[str, subprocess.Popen[str]] = {}
        self._host_by_name: dict[str, LocalControlHost] = {}

    @property
    def hosts(self) -> list[LocalControlHost]:
        """The hosts, in the order of their first start."""
        return list(self._host_by_name.values())

    @classmethod
    def start(
        cls, folder: str, hosts: int, added_sync_delay_ms: float
    ) -> 'LocalControlGroup':
        """Start the hosts, each with its data in a subfolder of `folder`."""
        port_by_name = {
            f'control-{number}': _free_port() for number in range(1, hosts + 1)
        }
        control_hosts = [
            {'name': name, 'host': '127.0.0.1', 'port': port}
            for name, port in port_by_name.items()
        ]
        group = cls(
            {
                name: {
                    'role': 'control',
                    'name': name,
                    'listen': {'internal_port': port},
                    'control_hosts': control_hosts,
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
        """Start a host that isn't running, with its existing data."""
        process = _start_process(self._settings_by_name[name])
        assert process.stdout is not None
        internal_port, http_port = json.loads(process.stdout.readline())
        self._process_by_name[name] = process
        self._host_by_name[name] = LocalControlHost(
            name, process.pid, internal_port, http_port
        )

    def kill(self, name: str) -> None:
        """Kill a host and wait until it has ended."""
        process = self._process_by_name[name]
        process.kill()
        process.communicate()

    def freeze(self, name: str) -> None:
        """Suspend a host by SIGSTOP until `thaw`."""
        self._process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended host by SIGCONT."""
        self._process_by_name[name].send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Stop all running hosts cleanly; kill those that take too long."""
        for process in self._process_by_name.values():
            if process.poll() is not None:
                continue
            try:
                process.communicate('stop\n', timeout=_STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.communicate()


def process_usage(pid: int) -> ProcessUsage:
    """Read the resource usage of a process from /proc."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    with open(f'/proc/{pid}/statm', encoding='ascii') as file:
        resident_pages = int(file.read().split()[1])
    cpu_ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(
        cpu_s=cpu_ticks / os.sysconf('SC_CLK_TCK'),
        threads=int(fields[17]),
        memory_mb=resident_pages * os.sysconf('SC_PAGE_SIZE') / 2**20,
    )


def run_host(document: str) -> None:
    """Run one host until a line arrives on standard input."""
    settings = settings_from_document(
        json.loads(document), source='the command line'
    )
    host = ControlHostProcess.from_settings(settings)
    host.start()
    print(json.dumps([host.internal_port, host.http_port]), flush=True)
    sys.stdin.readline()
    host.stop()


def _start_process(document: object) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'tools._local_control_group',
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
