"""All roles in one process, with a stand-in upstream, for a first look."""

from dataclasses import replace

from baobabgap.agent import Agent
from baobabgap.control import ControlHostProcess
from baobabgap.entry import Entry
from baobabgap.settings import ControlHost
from baobabgap.settings import Listen
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.standin import StandInUpstream


class Standalone:
    """One control host, entry, agent and stand-in upstream together.

    The entry's HTTP port is that of the settings; all other ports are
    chosen freely on the same host.
    """

    def __init__(self, settings: Settings) -> None:
        host = settings.listen.host
        inner = replace(settings, listen=Listen(host))
        self._control = ControlHostProcess.from_settings(
            replace(
                inner,
                role=Role.CONTROL,
                name='control-1',
                control_hosts=(ControlHost('control-1', host, 0),),
            )
        )
        control_host = ControlHost(
            'control-1', host, self._control.internal_port
        )
        inner = replace(inner, control_hosts=(control_host,))
        self._entry = Entry.from_settings(
            replace(
                inner,
                role=Role.ENTRY,
                name='entry-1',
                listen=Listen(host, 0, settings.listen.http_port),
            )
        )
        self._agent = Agent.from_settings(
            replace(inner, role=Role.AGENT, name='agent-1')
        )
        agent_address = f'{host}:{self._agent.http_port}'
        self._upstream = StandInUpstream.from_settings(
            replace(
                inner,
                role=Role.STAND_IN,
                name='upstream-1',
                stand_in=replace(inner.stand_in, agent_address=agent_address),
            )
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> 'Standalone':
        """Build all roles and bind their ports."""
        return cls(settings)

    @property
    def http_port(self) -> int:
        """Where callers and operators connect."""
        return self._entry.http_port

    def start(self) -> None:
        """Start the roles, each after the ones that it needs."""
        self._control.start()
        self._entry.start()
        self._agent.start()
        self._upstream.start()

    def stop(self) -> None:
        """Stop the roles, each before the ones that it needs."""
        self._entry.stop()
        self._agent.stop()
        self._upstream.stop()
        self._control.stop()
