"""The processes of one run, with relays to the control group."""

from pathlib import Path
import tempfile
import threading
from typing import Final
from typing import Self

from baobabgap.control.tests._silenceable_relay import SilenceableRelay
from tools.deployment_plan import DeploymentPlan
from tools.deployment_plan import HeldPorts
from tools.deployment_plan import PlannedProcess
from tools.history._events import Started
from tools.launcher import Launcher
from tools.launcher import read_json

_PLAN: Final = DeploymentPlan(
    control_hosts=3,
    entries=2,
    agents=3,
    slots=8,
    added_sync_delay_ms=1.0,
    extra_settings={
        'links': {'heartbeat_s': 0.1, 'silence_s': 0.6},
        'entry': {
            'http_threads': 64,
            'drain_grace_s': 0.2,
            'drain_limit_s': 6.0,
            'agent_return_s': 2.0,
            'owner_return_s': 1.0,
        },
        'agent': {
            'upstream_check_s': 0.25,
            'upstream_silence_s': 1.0,
            'lease_s': 2.0,
        },
        'control': {
            'election_timeout_s': 0.4,
            'member_heartbeat_s': 0.2,
            'member_silence_s': 1.0,
            'return_grace_s': 0.5,
            'claim_wait_s': 2.0,
            'request_wait_s': 2.0,
        },
    },
)
_MEMBER_ROLES: Final = ('entry', 'agent')


class Deployment:
    """Three control hosts, two entries, three agents with stand-ins.

    Each entry and agent connects to each control host through its own
    relay. Use it as a context manager.
    """

    def __init__(
        self,
        launcher: Launcher,
        relays_by_member: dict[str, list[SilenceableRelay]],
    ) -> None:
        self.launcher = launcher
        self._relays_by_member = relays_by_member
        self._lock = threading.Lock()
        self._generation_by_name: dict[str, int] = {}

    @classmethod
    def start(cls) -> Self:
        """Start all processes and wait until they are ready."""
        folder = Path(tempfile.mkdtemp(prefix='baobabgap-'))
        ports = HeldPorts()
        processes = _PLAN.processes(folder, ports)
        relays = {
            process.name: _add_relays(process)
            for process in processes
            if process.role in _MEMBER_ROLES
        }
        launcher = Launcher(processes, folder, ports=ports)
        deployment = cls(launcher, relays)
        try:
            deployment.launcher.start_all()
            deployment.launcher.wait_until_ready()
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
        for relays in self._relays_by_member.values():
            for relay in relays:
                relay.close()

    @property
    def entries(self) -> tuple[str, ...]:
        """The names of the entries."""
        return self.launcher.names_with_role('entry')

    def silence_control_links(
        self, member: str, *, to_host: bool, to_member: bool
    ) -> None:
        """Drop further data on the member's open links to control hosts."""
        for relay in self._relays_by_member[member]:
            relay.silence(to_host=to_host, to_member=to_member)

    def instance_name(self, name: str) -> str:
        """Return a name of the running process that changes on restart."""
        with self._lock:
            return f'{name}#{self._generation_by_name.get(name, 0)}'

    def start_again(self, name: str) -> None:
        """Start a process that has ended."""
        with self._lock:
            generation = self._generation_by_name.get(name, 0)
            self._generation_by_name[name] = generation + 1
        self.launcher.start(name)

    def outputs_of_unready(self) -> dict[str, str]:
        """Return the output of the processes that aren't ready."""
        return {
            name: self.launcher.output(name)
            for name in self.launcher.names
            if not self.launcher.is_ready(name)
        }

    def starts(self) -> list[Started]:
        """Return the task starts that the stand-ins report."""
        found = []
        for name in self.launcher.names_with_role('stand-in'):
            address = self.launcher.http_address(name)
            counts = read_json(address, '/stand-in/counts')
            times_by_lease = counts['starts_of_repeated']
            for job, task in counts['started']:
                times = times_by_lease.get(f'{job}/{task}', 1)
                found.append(Started(name, job, task, times))
        return found


def _add_relays(member: PlannedProcess) -> list[SilenceableRelay]:
    """Configure a member to reach the control hosts through new relays."""
    relays = []
    hosts = []
    for host in member.settings['control_hosts']:
        relay = SilenceableRelay(host['port'])
        relays.append(relay)
        hosts.append({**host, 'port': relay.port})
    member.settings['control_hosts'] = hosts
    return relays
