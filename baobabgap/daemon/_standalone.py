"""All roles in one process with a stand-in upstream, for evaluation."""

from collections.abc import Sequence
from dataclasses import replace

from baobabgap.agent import Agent
from baobabgap.control import ControlHostProcess
from baobabgap.entry import Entry
from baobabgap.settings import ControlHost
from baobabgap.settings import Listen
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.standin import StandInUpstream
from baobabgap.tasks import EssentialTasks


class Standalone:
    """One control host, entry, agent and stand-in upstream together.

    The entry listens on the HTTP port of the settings; all other ports
    are free ones on the same host.
    """

    def __init__(self, settings: Settings) -> None:
        host = settings.listen.host
        shared_settings = replace(settings, listen=Listen(host))
        self._control = ControlHostProcess.from_settings(
            replace(
                shared_settings,
                role=Role.CONTROL,
                name='control-1',
                control_hosts=(ControlHost('control-1', host, 0),),
            )
        )
        control_host = ControlHost(
            'control-1', host, self._control.internal_port
        )
        shared_settings = replace(
            shared_settings, control_hosts=(control_host,)
        )
        self._entry = Entry.from_settings(
            replace(
                shared_settings,
                role=Role.ENTRY,
                name='entry-1',
                listen=Listen(host, 0, settings.listen.http_port),
            )
        )
        self._agent = Agent.from_settings(
            replace(shared_settings, role=Role.AGENT, name='agent-1')
        )
        agent_address = f'{host}:{self._agent.http_port}'
        self._upstream = StandInUpstream.from_settings(
            replace(
                shared_settings,
                role=Role.STAND_IN,
                name='upstream-1',
                stand_in=replace(
                    shared_settings.stand_in, agent_address=agent_address
                ),
            )
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> 'Standalone':
        """Build all roles and bind their ports."""
        return cls(settings)

    @property
    def http_port(self) -> int:
        """The HTTP port for clients and operators."""
        return self._entry.http_port

    @property
    def task_groups(self) -> Sequence[EssentialTasks]:
        """The tasks without which one of the roles can't work."""
        return [
            *self._control.task_groups,
            *self._entry.task_groups,
            *self._agent.task_groups,
            *self._upstream.task_groups,
        ]

    def start(self) -> None:
        """Start the roles, each after those it depends on."""
        self._control.start()
        self._entry.start()
        self._agent.start()
        self._upstream.start()

    def stop(self) -> None:
        """Stop the roles, each before those it depends on."""
        self._entry.stop()
        self._agent.stop()
        self._upstream.stop()
        self._control.stop()
