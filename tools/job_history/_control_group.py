"""Control hosts as processes that faults can be injected into."""

from dataclasses import asdict
import json
from pathlib import Path
import queue
import signal
import subprocess
import sys
import threading
from typing import Any
from typing import Final
from typing import Self

from baobabgap.dispatch.tests.deployment import free_port
from baobabgap.dispatch.tests.deployment import HOST
from baobabgap.settings import Links
from tools.matrix import disk_fault_file
from tools.matrix import DiskFault

ANSWER_TIMEOUT_S: Final = 5.0
_START_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 20.0
_LINKS: Final = Links(heartbeat_s=0.2, silence_s=1.0)


class ControlProcess:
    """A control host process; its standard output goes to a file."""

    def __init__(self, name: str, document: Any, folder: Path) -> None:
        self.name: Final = name
        self._document = json.dumps(document)
        self._log = folder / f'{name}.out'
        self._disk_fault_file = disk_fault_file(folder / name)
        self._child: subprocess.Popen[str] | None = None
        self._answers: queue.Queue[list[Any]] = queue.Queue()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the process and wait until it answers."""
        answers: queue.Queue[list[Any]] = queue.Queue()
        with self._log.open('ab') as log:
            child = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'tools.job_history._control_daemon',
                    self._document,
                ],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=subprocess.PIPE,
                text=True,
            )
        self._child, self._answers = child, answers
        threading.Thread(
            target=_read_answers, args=(child, answers), daemon=True
        ).start()
        answers.get(timeout=_START_TIMEOUT_S)

    def ask(self, *request: Any) -> list[Any]:
        """Return the answer to one request, or the reason for a failure."""
        with self._lock:
            child, answers = self._child, self._answers
            if child is None or child.stdin is None:
                return ['failed', 'not running']
            try:
                child.stdin.write(json.dumps(request) + '\n')
                child.stdin.flush()
                return answers.get(timeout=ANSWER_TIMEOUT_S)
            except (OSError, ValueError, queue.Empty) as error:
                # A late answer must not be read as that of a later request.
                self._answers = queue.Queue()
                return ['failed', repr(error)]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._child is not None:
            self._child.send_signal(number)

    def set_disk_fault(self, fault: DiskFault | None) -> None:
        """Set or clear the fault of the disk."""
        if fault is None:
            self._disk_fault_file.unlink(missing_ok=True)
        else:
            self._disk_fault_file.write_text(fault)

    def kill(self) -> None:
        """Kill the process."""
        child, self._child = self._child, None
        if child is not None:
            child.kill()
            child.wait()

    def stop(self) -> None:
        """Shut the process down gracefully; kill it after a time limit."""
        child, self._child = self._child, None
        if child is None or child.stdin is None:
            return
        try:
            child.stdin.close()
            child.wait(_STOP_TIMEOUT_S)
        except (OSError, subprocess.TimeoutExpired):
            child.kill()
            child.wait()


class ControlGroup:
    """A group of control hosts; a context manager that stops them."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 3,
        links: Links = _LINKS,
        election_timeout_s: float = 0.4,
    ) -> None:
        host_documents = [
            {'name': f'control-{n}', 'host': HOST, 'port': free_port()}
            for n in range(hosts)
        ]
        self.addresses = tuple(
            f'{host["host"]}:{host["port"]}' for host in host_documents
        )
        self.processes = tuple(
            ControlProcess(
                str(host['name']),
                {
                    'role': 'control',
                    'name': host['name'],
                    'listen': {
                        'host': HOST,
                        'internal_port': host['port'],
                    },
                    'control_hosts': host_documents,
                    'links': asdict(links),
                    'control': {
                        'data_folder': str(folder / str(host['name'])),
                        'election_timeout_s': election_timeout_s,
                    },
                },
                folder,
            )
            for host in host_documents
        )

    def __enter__(self) -> Self:
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *exception: object) -> None:
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.stop()

    def find_leader(self) -> ControlProcess | None:
        """Return the leader, the only host that answers reads, or None."""
        for process in self.processes:
            if process.ask('read')[0] == 'done':
                return process
        return None


def _read_answers(
    child: subprocess.Popen[str], answers: queue.Queue[list[Any]]
) -> None:
    assert child.stderr is not None
    for line in child.stderr:
        if line.startswith('['):
            answers.put(json.loads(line))
