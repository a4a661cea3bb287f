"""The deployment that faults are injected into."""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
import shutil
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import Self

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from tools.deployment_plan import DeploymentPlan
from tools.deployment_plan import HeldPorts
from tools.launcher import Launcher
from tools.launcher import LaunchError
from tools.launcher import read_json
from tools.matrix._addresses import RELAY_HOST
from tools.matrix._addresses import source_host
from tools.matrix._disk import disk_fault_file
from tools.matrix._disk import DiskFault
from tools.matrix._relay import Cut
from tools.matrix._relay import Relays

_TICKET_TIMEOUT_S: Final = 6.0
_PAGE_TIMEOUT_S: Final = 3.0
_POLL_INTERVAL_S: Final = 0.02
_READY_TIMEOUT_S: Final = 20.0
_MAX_START_ATTEMPTS: Final = 3
_COMMAND: Final = (sys.executable, '-m', 'tools.matrix._daemon')
_PLAN: Final = DeploymentPlan(
    control_hosts=3,
    entries=2,
    agents=3,
    slots=8,
    added_sync_delay_ms=4.0,
    extra_settings={
        'links': {'heartbeat_s': 0.25, 'silence_s': 1.0},
        'entry': {
            'drain_grace_s': 0.2,
            'agent_return_s': 3.0,
            'owner_return_s': 2.0,
            'http_threads': 64,
        },
        'control': {
            'election_timeout_s': 0.5,
            'member_heartbeat_s': 0.5,
            'member_silence_s': 1.5,
            'claim_wait_s': 3.0,
            'kept_tickets': 50,
        },
    },
)
_POLICY: Final = {
    'policy': {
        'default_quota': {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
    }
}


class WaitTimeout(Exception):
    """A condition was not met within its time limit."""


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float
) -> None:
    """Wait for a condition; raise `WaitTimeout` after `limit_s` seconds."""
    give_up_at = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise WaitTimeout(f'not within {limit_s:g} s: {what}')
        time.sleep(_POLL_INTERVAL_S)


class Deployment:
    """Real processes with relays on all links and injectable disk faults.

    Use it as a context manager, which ends all processes and relays.
    """

    def __init__(self, launcher: Launcher, relays: Relays) -> None:
        self.launcher: Final = launcher
        self.controls: Final = launcher.names_with_role('control')
        self.entries: Final = launcher.names_with_role('entry')
        self.agents: Final = launcher.names_with_role('agent')
        self._relays = relays
        self._port_by_name: dict[str, int] = {}
        self._last_ticket = 0
        self.accepted_state_by_number: dict[int, dict[str, Any]] = {}

    @classmethod
    def start(cls) -> Self:
        """Start all processes and wait until jobs can run.

        Retries if another program has taken one of the chosen ports.
        """
        for _ in range(_MAX_START_ATTEMPTS - 1):
            try:
                return cls._start_once()
            except (LaunchError, OSError):
                time.sleep(_POLL_INTERVAL_S)
        return cls._start_once()

    @classmethod
    def _start_once(cls) -> Self:
        folder = Path(tempfile.mkdtemp(prefix='baobabgap-matrix-'))
        planned = []
        ports = {}
        held_ports = HeldPorts()
        for process in _PLAN.processes(folder, held_ports):
            listen = process.settings['listen']
            for host in process.settings.get('control_hosts', ()):
                host['host'] = RELAY_HOST
            if process.role in ('control', 'entry'):
                ports[process.name] = listen['internal_port']
            if process.role == 'entry':
                listen['host'] = RELAY_HOST
                address = f'{RELAY_HOST}:{listen["http_port"]}'
                process = replace(process, http_address=address)
            planned.append(process)
        relays = Relays()
        launcher = Launcher(planned, folder, _COMMAND, held_ports)
        deployment = cls(launcher, relays)
        deployment._port_by_name = ports
        try:
            for port in ports.values():
                relays.add(port)
            deployment.launcher.start_all()
            deployment.launcher.wait_until_ready(limit_s=_READY_TIMEOUT_S)
            deployment.put_ticket('entry-1', _POLICY)
        except BaseException:
            deployment.close()
            raise
        return deployment

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """End all processes and relays."""
        self.launcher.close()
        self._relays.close()

    # Faults

    def cut(self, name: str, *, inbound: bool, outbound: bool) -> None:
        """Drop what a process receives or sends, but keep its links open."""
        port = self._port_by_name.get(name, -1)
        self._relays.cut(Cut(source_host(name), port, inbound, outbound))

    def heal_cuts(self) -> None:
        """Stop dropping data on new links."""
        self._relays.heal()

    def set_disk_fault(self, name: str, fault: DiskFault | None) -> None:
        """Set or clear the fault of a control host's disk."""
        path = disk_fault_file(self.data_folder(name))
        if fault is None:
            path.unlink(missing_ok=True)
        else:
            path.write_text(fault)

    def lose_disk(self, name: str) -> None:
        """Kill a control host and empty its data folder."""
        self.kill(name)
        shutil.rmtree(self.data_folder(name), ignore_errors=True)

    def kill(self, name: str) -> None:
        """Kill a process if it is running."""
        if self.launcher.is_running(name):
            self.launcher.kill(name)

    def data_folder(self, name: str) -> Path:
        """Return the folder that holds a control host's log."""
        return self.launcher.folder / name

    def output_file(self, name: str) -> Path:
        """Return the file that holds the output of a process."""
        return self.launcher.folder / f'{name}.out'

    # Requests

    def health(self, name: str) -> dict[str, Any]:
        """Return a control host's health page; empty without an answer."""
        address = self.launcher.http_address(name)
        try:
            page = read_json(address, '/health', _PAGE_TIMEOUT_S)
        except (ConnectionLost, ValueError):
            return {}
        return page if isinstance(page, dict) else {}

    def page(self, entry: str, topic: str) -> dict[str, Any]:
        """Return a page of the control group; empty without an answer."""
        address = self.launcher.http_address(entry)
        client = WebClient(address)
        try:
            response = client.request(
                'GET', f'/v1/control/{topic}', timeout_s=_PAGE_TIMEOUT_S
            )
            page = response.document() if response.status == 200 else {}
        except (ConnectionLost, ValueError):
            return {}
        finally:
            client.close()
        return page if isinstance(page, dict) else {}

    def gauge(self, name: str, gauge: str) -> float:
        """Return a gauge of a process; -1 without an answer."""
        client = WebClient(self.launcher.http_address(name))
        try:
            response = client.request(
                'GET', '/metrics', timeout_s=_PAGE_TIMEOUT_S
            )
        except ConnectionLost:
            return -1.0
        finally:
            client.close()
        for line in response.body.decode().splitlines():
            key, _, value = line.partition(' ')
            if key == gauge:
                return float(value)
        return -1.0

    def wait_for_leader(self, limit_s: float = 20.0) -> str:
        """Wait until a control host leads, and return its name."""
        found: list[str] = []

        def leader_is_known() -> bool:
            for name in self.controls:
                if not self.launcher.is_running(name):
                    continue
                log = self.health(name).get('log', {})
                if log.get('role') == 'leader':
                    found.append(name)
                    return True
            return False

        wait_until(leader_is_known, 'a leader', limit_s)
        return found[-1]

    def next_ticket_number(self) -> int:
        """Return an unused ticket number."""
        self._last_ticket += 1
        return self._last_ticket

    def put_ticket(
        self, entry: str, state: dict[str, Any], limit_s: float = 30.0
    ) -> int:
        """Put a ticket until its outcome is known; return its number.

        Without an answer, the ticket is sent again unchanged. Raises
        `WaitTimeout` if it is not accepted within `limit_s` seconds.
        """
        number = self.next_ticket_number()
        give_up_at = time.monotonic() + limit_s
        entry_index = self.entries.index(entry)
        while time.monotonic() < give_up_at:
            name = self.entries[entry_index % len(self.entries)]
            status = self._try_ticket(name, number, state)
            if status == 'accepted':
                self.accepted_state_by_number[number] = state
                return number
            if status:
                raise WaitTimeout(f'ticket {number} is {status}')
            entry_index += 1
            time.sleep(0.1)
        raise WaitTimeout(f'ticket {number} has no outcome')

    def _try_ticket(
        self, entry: str, number: int, state: dict[str, Any]
    ) -> str:
        client = WebClient(self.launcher.http_address(entry))
        body = {'number': number, 'state': state}
        try:
            response = client.request(
                'POST', '/v1/tickets', body, timeout_s=_TICKET_TIMEOUT_S
            )
            return str(response.document().get('status', ''))
        except (ConnectionLost, ValueError):
            return ''
        finally:
            client.close()
