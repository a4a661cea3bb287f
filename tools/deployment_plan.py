"""Plans a local deployment: its processes, ports and settings."""

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import random
import socket
from typing import Any
from typing import Final

_HOST: Final = '127.0.0.1'
# Below the kernel's ephemeral port range, so that no outgoing connection
# takes a port between its selection and its use.
_LOWEST_PORT: Final = 15_000
_HIGHEST_PORT: Final = 32_000
_ZONES: Final = ('catania', 'palermo', 'agrigento')
_RACK_SIZE: Final = 3


@dataclass(frozen=True, slots=True)
class PlannedProcess:
    """A process and its settings, in the form that is written to YAML."""

    name: str
    role: str
    http_address: str
    settings: dict[str, Any]


class HeldPorts:
    """Allocates free ports, and holds them until it is closed.

    Each port is bound but doesn't listen. No other program that looks for a
    free port finds it, while a server that sets `SO_REUSEADDR`, as those of
    a daemon do, can listen there, also after a restart.
    """

    def __init__(self) -> None:
        self._rng = random.SystemRandom()
        self._holders: list[socket.socket] = []

    def allocate(self) -> int:
        """Return a free port that nobody holds."""
        while True:
            port = self._rng.randrange(_LOWEST_PORT, _HIGHEST_PORT)
            holder = socket.socket()
            try:
                holder.bind((_HOST, port))
            except OSError:
                holder.close()
                continue
            # Only after it is bound: it must not share the port of another.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._holders.append(holder)
            return port

    def close(self) -> None:
        """Give all ports back."""
        for holder in self._holders:
            holder.close()
        self._holders.clear()


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """The number of processes of each role, and their settings."""

    control_hosts: int = 3
    entries: int = 2
    # Each agent has its own stand-in upstream.
    agents: int = 11
    slots: int = 8
    added_sync_delay_ms: float = 4.0
    # Merged into the section of the same name in each process's settings.
    extra_settings: dict[str, dict[str, Any]] = field(default_factory=dict)

    def processes(
        self, folder: Path, ports: HeldPorts
    ) -> list[PlannedProcess]:
        """Return the processes with their settings, on ports held for them.

        Control hosts come first, then entries, agents and stand-ins.
        """
        control_hosts: list[dict[str, Any]] = [
            {'name': f'control-{n}', 'host': _HOST, 'port': ports.allocate()}
            for n in _one_to(self.control_hosts)
        ]
        planned = []
        for n, host in zip(
            _one_to(self.control_hosts), control_hosts, strict=True
        ):
            control = {
                'data_folder': str(folder / f'control-{n}'),
                'added_sync_delay_ms': self.added_sync_delay_ms,
            }
            planned.append(
                self._process(
                    'control',
                    n,
                    ports.allocate(),
                    internal_port=host['port'],
                    control_hosts=control_hosts,
                    control=control,
                )
            )
        for n in _one_to(self.entries):
            planned.append(
                self._process(
                    'entry',
                    n,
                    ports.allocate(),
                    internal_port=ports.allocate(),
                    control_hosts=control_hosts,
                )
            )
        stand_ins = []
        for n in _one_to(self.agents):
            agent = self._process(
                'agent', n, ports.allocate(), control_hosts=control_hosts
            )
            stand_in = {
                'agent_address': agent.http_address,
                'slots': self.slots,
                'seed': n,
            }
            planned.append(agent)
            stand_ins.append(
                self._process(
                    'stand-in', n, ports.allocate(), stand_in=stand_in
                )
            )
        return planned + stand_ins

    def _process(
        self,
        role: str,
        number: int,
        http_port: int,
        *,
        internal_port: int = 0,
        **sections: Any,
    ) -> PlannedProcess:
        name = f'{role}-{number}'
        settings: dict[str, Any] = {
            'role': role,
            'name': name,
            'place': {
                'availability_zone': _ZONES[number % len(_ZONES)],
                'rack': f'rack-{number // _RACK_SIZE}',
            },
            'listen': {
                'host': _HOST,
                'http_port': http_port,
                'internal_port': internal_port,
            },
            **sections,
        }
        for section, values in self.extra_settings.items():
            settings[section] = {**settings.get(section, {}), **values}
        return PlannedProcess(name, role, f'{_HOST}:{http_port}', settings)


def _one_to(count: int) -> range:
    return range(1, count + 1)
