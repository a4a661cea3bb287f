"""Starts, watches and ends real daemon processes, for tests and the bench.

Use a launcher as a context manager: whatever happens inside, all that it
started is ended, by process id::

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
from baobabgap.web import WebClient
from tools.deployment_plan import DeploymentPlan
from tools.deployment_plan import PlannedProcess

_DAEMON: Final = (sys.executable, '-m', 'baobabgap.daemon')
_ROOT: Final = Path(__file__).resolve().parent.parent
_READY_PATH: Final = '/ready'
# Stand-ins have no path of their own for it.
_READY_PATH_BY_ROLE: Final = {'stand-in': '/stand-in/counts'}
_READY_LIMIT_S: Final = 30.0
_STOP_LIMIT_S: Final = 10.0
_POLL_PAUSE_S: Final = 0.05
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


class LaunchError(Exception):
    """A process that did not start, become ready or end in time."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process has used so far."""

    # Seconds of processor time, user and system together.
    processor_s: float
    # Resident memory now, in bytes.
    resident_bytes: int


class Launcher:
    """The processes of one deployment on this machine."""

    def __init__(
        self,
        processes: Sequence[PlannedProcess],
        folder: Path,
        command: Sequence[str] = _DAEMON,
    ) -> None:
        self._planned_by_name = {
            planned.name: planned for planned in processes
        }
        self._folder = folder
        self._command = tuple(command)
        self._running_by_name: dict[str, subprocess.Popen[bytes]] = {}

    @classmethod
    def from_plan(
        cls, plan: DeploymentPlan, command: Sequence[str] = _DAEMON
    ) -> Self:
        """Make a temporary folder for the settings, state and logs."""
        folder = Path(tempfile.mkdtemp(prefix='baobabgap-'))
        return cls(plan.processes(folder), folder, command)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    @property
    def folder(self) -> Path:
        """Where settings, state and logs of the processes are."""
        return self._folder

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all planned processes, in order of start."""
        return tuple(self._planned_by_name)

    def names_with_role(self, role: str) -> tuple[str, ...]:
        """The names of the planned processes of one role."""
        return tuple(
            planned.name
            for planned in self._planned_by_name.values()
            if planned.role == role
        )

    def http_address(self, name: str) -> str:
        """Where the process listens for HTTP, as host:port."""
        return self._planned_by_name[name].http_address

    def pid(self, name: str) -> int:
        """The process id of a running process."""
        return self._running_by_name[name].pid

    def write_settings(self) -> None:
        """Write the settings file of every planned process."""
        for name, planned in self._planned_by_name.items():
            text = yaml.safe_dump(planned.settings)
            self._settings_file(name).write_text(text)

    def is_running(self, name: str) -> bool:
        """Tell whether the process was started and has not been ended."""
        return name in self._running_by_name

    def start_all(self) -> None:
        """Start every planned process."""
        self.write_settings()
        for name in self._planned_by_name:
            self.start(name)

    def start(self, name: str) -> None:
        """Start one process that isn't running; its settings are there."""
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
        """Wait until these processes, or all, say that they are."""
        give_up_at = time.monotonic() + limit_s
        for name in self.names if names is None else names:
            while not self.is_ready(name):
                if self._running_by_name[name].poll() is not None:
                    raise LaunchError(f'{name} ended: {self.output(name)}')
                if time.monotonic() > give_up_at:
                    raise LaunchError(f'{name} is not ready after {limit_s} s')
                time.sleep(_POLL_PAUSE_S)

    def is_ready(self, name: str) -> bool:
        """Ask the process once whether it is ready."""
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
        """Send a signal to one process that this launcher started."""
        self._running_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End one process at once, without any chance to clean up."""
        process = self._running_by_name.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, limit_s: float = _STOP_LIMIT_S) -> int:
        """Ask one process to stop, wait, and return its exit status."""
        process = self._running_by_name[name]
        process.terminate()
        try:
            status = process.wait(limit_s)
        except subprocess.TimeoutExpired as error:
            raise LaunchError(f'{name} runs on after {limit_s} s') from error
        del self._running_by_name[name]
        return status

    def freeze(self, name: str) -> None:
        """Stop one process from running until it is thawed."""
        self.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process run on."""
        self.send_signal(name, signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kill the process if it runs, and start it with its old settings."""
        if name in self._running_by_name:
            self.kill(name)
        self.start(name)

    def usage(self, name: str) -> ProcessUsage:
        """Read what a running process has used so far."""
        folder = Path('/proc') / str(self.pid(name))
        # The command's name, in brackets, may hold spaces.
        fields = (folder / 'stat').read_text().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        resident = _status_field(folder / 'status', 'VmRSS')
        return ProcessUsage(ticks / _TICKS_PER_SECOND, resident * 1024)

    def output(self, name: str, longest: int = 2000) -> str:
        """The end of what the process printed."""
        path = self._folder / f'{name}.out'
        return path.read_text(errors='replace')[-longest:]

    def _settings_file(self, name: str) -> Path:
        return self._folder / f'{name}.yaml'

    def close(self) -> None:
        """End all that still runs and remove the folder."""
        processes = list(self._running_by_name.values())
        self._running_by_name.clear()
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def _status_field(path: Path, key: str) -> int:
    for line in path.read_text().splitlines():
        name, _, value = line.partition(':')
        if name == key:
            return int(value.split()[0])
    return 0


def read_text(address: str, path: str, timeout_s: float = 5.0) -> str:
    """Get one page of text from a process."""
    client = WebClient(address)
    try:
        response = client.request('GET', path, timeout_s=timeout_s)
        return response.body.decode('utf-8')
    finally:
        client.close()


def read_json(address: str, path: str, timeout_s: float = 5.0) -> Any:
    """Get one JSON document from a process."""
    client = WebClient(address)
    try:
        return client.request('GET', path, timeout_s=timeout_s).document()
    finally:
        client.close()
