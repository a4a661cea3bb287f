"""Starts, monitors and stops daemon processes for tests and benchmarks.

A launcher is a context manager. On exit, also after an error, it kills
all processes that it started, by process id::

    with Launcher.from_plan(DeploymentPlan(agents=4)) as launcher:
        launcher.start_all()
        launcher.wait_until_ready()
        launcher.kill('agent-1')
        launcher.restart('agent-1')
"""

from collections.abc import Sequence
from dataclasses import dataclass
import os
from pathlib import Path
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import Self

import yaml

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from tools.deployment_plan import DeploymentPlan
from tools.deployment_plan import HeldPorts
from tools.deployment_plan import PlannedProcess

_DAEMON: Final = (sys.executable, '-m', 'baobabgap.daemon')
_ROOT: Final = Path(__file__).resolve().parent.parent
_READY_PATH: Final = '/ready'
# Stand-ins have no readiness path.
_READY_PATH_BY_ROLE: Final = {'stand-in': '/stand-in/counts'}
_READY_LIMIT_S: Final = 30.0
_STOP_LIMIT_S: Final = 10.0
_POLL_PAUSE_S: Final = 0.05
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


class LaunchError(Exception):
    """Raised if a process doesn't start, become ready or stop in time."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process."""

    # User and system processor time since the start, in seconds.
    processor_s: float
    # Current resident memory, in bytes.
    resident_bytes: int


class Launcher:
    """The processes of one deployment on this machine."""

    def __init__(
        self,
        processes: Sequence[PlannedProcess],
        folder: Path,
        command: Sequence[str] = _DAEMON,
        ports: HeldPorts | None = None,
    ) -> None:
        self._planned_by_name = {
            planned.name: planned for planned in processes
        }
        self._folder = folder
        self._command = tuple(command)
        self._ports = ports
        self._running_by_name: dict[str, subprocess.Popen[bytes]] = {}

    @classmethod
    def from_plan(
        cls, plan: DeploymentPlan, command: Sequence[str] = _DAEMON
    ) -> Self:
        """Build a launcher with a temporary folder for settings and state."""
        folder = Path(tempfile.mkdtemp(prefix='baobabgap-'))
        ports = HeldPorts()
        return cls(plan.processes(folder, ports), folder, command, ports)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    @property
    def folder(self) -> Path:
        """The folder with settings, state and logs of the processes."""
        return self._folder

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all planned processes, in start order."""
        return tuple(self._planned_by_name)

    def names_with_role(self, role: str) -> tuple[str, ...]:
        """Return the names of the planned processes of one role."""
        return tuple(
            planned.name
            for planned in self._planned_by_name.values()
            if planned.role == role
        )

    def http_address(self, name: str) -> str:
        """Return the HTTP address of a process, as host:port."""
        return self._planned_by_name[name].http_address

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running_by_name[name].pid

    def write_settings(self) -> None:
        """Write the settings file of every planned process."""
        for name, planned in self._planned_by_name.items():
            text = yaml.safe_dump(planned.settings)
            self._settings_file(name).write_text(text)

    def is_running(self, name: str) -> bool:
        """Return whether the process was started and not ended since."""
        return name in self._running_by_name

    def start_all(self) -> None:
        """Start every planned process."""
        self.write_settings()
        for name in self._planned_by_name:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a process that isn't running, by its settings file."""
        settings_file = self._settings_file(name)
        output = self._folder / f'{name}.out'
        with output.open('ab') as stream:
            self._running_by_name[name] = subprocess.Popen(
                [*self._command, '--settings', str(settings_file)],
                cwd=_ROOT,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def wait_until_ready(
        self,
        names: Sequence[str] | None = None,
        limit_s: float = _READY_LIMIT_S,
    ) -> None:
        """Wait until these processes, or all, are ready.

        Raises `LaunchError` if one exits or isn't ready in time.
        """
        deadline = time.monotonic() + limit_s
        for name in self.names if names is None else names:
            while not self.is_ready(name):
                if self._running_by_name[name].poll() is not None:
                    raise LaunchError(
                        f'{name} exited before it was ready: '
                        f'{self.output(name)}'
                    )
                if time.monotonic() > deadline:
                    raise LaunchError(f'{name} is not ready after {limit_s} s')
                time.sleep(_POLL_PAUSE_S)

    def is_ready(self, name: str) -> bool:
        """Return whether the process responds that it is ready."""
        role = self._planned_by_name[name].role
        path = _READY_PATH_BY_ROLE.get(role, _READY_PATH)
        client = WebClient(self.http_address(name))
        try:
            answer = client.request('GET', path, timeout_s=1.0)
        except ConnectionLost:
            return False
        finally:
            client.close()
        return answer.status == 200

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this launcher started."""
        self._running_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process by SIGKILL and wait until it has ended."""
        process = self._running_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, limit_s: float = _STOP_LIMIT_S) -> int:
        """Stop a process by SIGTERM and return its exit status.

        Raises `LaunchError` if it still runs after the limit.
        """
        process = self._running_by_name[name]
        process.terminate()
        try:
            status = process.wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise LaunchError(
                f'{name} still runs {limit_s} s after SIGTERM'
            ) from error
        del self._running_by_name[name]
        return status

    def freeze(self, name: str) -> None:
        """Suspend a process by SIGSTOP until `thaw`."""
        self.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process by SIGCONT."""
        self.send_signal(name, signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kill the process if it runs, and start it with the same settings."""
        if name in self._running_by_name:
            self.kill(name)
        self.start(name)

    def usage(self, name: str) -> ProcessUsage:
        """Read the resource usage of a running process from /proc."""
        folder = Path('/proc') / str(self.pid(name))
        # The command's name, in brackets, may hold spaces.
        fields = (folder / 'stat').read_text().rpartition(')')[2].split()
        cpu_ticks = int(fields[11]) + int(fields[12])
        resident_kib = _status_field(folder / 'status', 'VmRSS')
        return ProcessUsage(cpu_ticks / _TICKS_PER_SECOND, resident_kib * 1024)

    def output(self, name: str, max_characters: int = 2000) -> str:
        """Return the last characters that the process printed."""
        path = self._folder / f'{name}.out'
        return path.read_text(errors='replace')[-max_characters:]

    def _settings_file(self, name: str) -> Path:
        return self._folder / f'{name}.yaml'

    def close(self) -> None:
        """Kill all running processes; give back their ports and folder."""
        processes = list(self._running_by_name.values())
        self._running_by_name.clear()
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait()
        if self._ports is not None:
            self._ports.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def _status_field(path: Path, key: str) -> int:
    for line in path.read_text().splitlines():
        name, _, value = line.partition(':')
        if name == key:
            return int(value.split()[0])
    return 0


def read_json(address: str, path: str, timeout_s: float = 5.0) -> Any:
    """Get one JSON document from a process."""
    client = WebClient(address)
    try:
        return client.request('GET', path, timeout_s=timeout_s).document()
    finally:
        client.close()
