"""Describes a local deployment and the settings of its processes."""

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import random
import socket
from typing import Any
from typing import Final

_HOST: Final = '127.0.0.1'
# Below the range that the kernel picks from, so that no outgoing
# connection takes a port between its choice and its use.
_LOWEST_PORT: Final = 15_000
_HIGHEST_PORT: Final = 32_000
_ZONES: Final = ('catania', 'palermo', 'agrigento')
_RACK_SIZE: Final = 3


@dataclass(frozen=True, slots=True)
class PlannedProcess:
    """One process and its settings, as they are written to YAML."""

    name: str
    role: str
    http_address: str
    settings: dict[str, Any]


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """How many processes of each role, and how they are set."""

    control_hosts: int = 3
    entries: int = 2
    # Each with its own stand-in upstream.
    agents: int = 11
    slots: int = 8
    added_sync_delay_ms: float = 4.0
    # Merged into the `entry`, `agent`, ... sections of each process.
    extra_settings: dict[str, dict[str, Any]] = field(default_factory=dict)

    def processes(self, folder: Path) -> list[PlannedProcess]:
        """Choose free ports and write down all settings.

        Control hosts come first, then entries, agents and stand-ins.
        """
        ports = _Ports()
        control_hosts: list[dict[str, Any]] = [
            {'name': f'control-{n}', 'host': _HOST, 'port': ports.take()}
            for n in _numbers(self.control_hosts)
        ]
        planned = []
        for n, host in zip(
            _numbers(self.control_hosts), control_hosts, strict=True
        ):
            control = {
                'data_folder': str(folder / f'control-{n}'),
                'added_sync_delay_ms': self.added_sync_delay_ms,
            }
            planned.append(
                self._process(
                    'control',
                    n,
                    ports.take(),
                    internal_port=host['port'],
                    control_hosts=control_hosts,
                    control=control,
                )
            )
        for n in _numbers(self.entries):
            planned.append(
                self._process(
                    'entry',
                    n,
                    ports.take(),
                    internal_port=ports.take(),
                    control_hosts=control_hosts,
                )
            )
        stand_ins = []
        for n in _numbers(self.agents):
            agent = self._process(
                'agent', n, ports.take(), control_hosts=control_hosts
            )
            stand_in = {
                'agent_address': agent.http_address,
                'slots': self.slots,
                'seed': n,
            }
            planned.append(agent)
            stand_ins.append(
                self._process('stand-in', n, ports.take(), stand_in=stand_in)
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


class _Ports:
    """Hands out ports that were free when asked for, each once."""

    def __init__(self) -> None:
        self._chance = random.SystemRandom()
        self._taken: set[int] = set()

    def take(self) -> int:
        """Return a free port."""
        while True:
            port = self._chance.randrange(_LOWEST_PORT, _HIGHEST_PORT)
            if port in self._taken or not _is_free(port):
                continue
            self._taken.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True


def _numbers(count: int) -> range:
    return range(1, count + 1)
