"""Test deployment of an agent, a stand-in upstream and fake entries."""

from typing import Any

from baobabgap.agent import Agent
from baobabgap.agent.tests.fake_entry import FakeEntry
from baobabgap.agent.tests.relay import Relay
from baobabgap.messages import Changes
from baobabgap.messages import ConfigurationEntry
from baobabgap.settings import Settings
from baobabgap.settingsfile import settings_from_document
from baobabgap.standin import StandInUpstream

_CONTROL_HOSTS = [{'name': 'control-1', 'host': '127.0.0.1', 'port': 9}]


class Deployment:
    """Starts the processes of a deployment, and stops all of them."""

    def __init__(
        self,
        slots: int = 4,
        entries: int = 1,
        relay: Relay | None = None,
    ) -> None:
        self.slots = slots
        self.entries = [
            FakeEntry(f'entry-{letter}') for letter in 'abcdef'[:entries]
        ]
        self._version = 0
        self.agent = self.start_agent()
        self.upstream = self.start_upstream(relay)

    @property
    def entry(self) -> FakeEntry:
        """The first entry."""
        return self.entries[0]

    def start_agent(self, http_port: int = 0) -> Agent:
        """Start an agent and pass it the entries' addresses."""
        self.agent = Agent.from_settings(agent_settings(http_port))
        self.agent.start()
        self.apply()
        return self.agent

    def start_upstream(self, relay: Relay | None = None) -> StandInUpstream:
        """Start a stand-in upstream that announces itself to the agent.

        With a relay, it announces the address of the relay.
        """
        settings = settings_from_document(
            {
                'role': 'stand-in',
                'name': 'upstream-1',
                'stand_in': {
                    'agent_address': f'127.0.0.1:{self.agent.http_port}',
                    'slots': self.slots,
                },
            },
            source='test',
        )
        self.upstream = StandInUpstream.from_settings(settings)
        if relay is not None:
            relay.connect_to(self.upstream.http_port)
            self.upstream.advertise(relay.address)
        self.upstream.start()
        return self.upstream

    def apply(self, **state_by_key: Any) -> None:
        """Pass the agent all entries and the given configuration."""
        self._version += 1
        self.agent.directory.apply(
            Changes(
                0,
                self._version,
                tuple(entry.member for entry in self.entries),
                tuple(
                    ConfigurationEntry(key, self._version, value)
                    for key, value in state_by_key.items()
                ),
            )
        )

    def stop(self) -> None:
        """Stop all processes."""
        for entry in self.entries:
            entry.acknowledges = True
        self.upstream.stop()
        self.agent.stop()
        for entry in self.entries:
            entry.stop()


def agent_settings(http_port: int = 0) -> Settings:
    """Return settings of an agent with short check intervals."""
    return settings_from_document(
        {
            'role': 'agent',
            'name': 'agent-1',
            'control_hosts': _CONTROL_HOSTS,
            'listen': {'http_port': http_port},
            'agent': {
                'upstream_check_s': 0.25,
                'upstream_silence_s': 1.25,
                'lease_s': 3.0,
            },
        },
        source='test',
    )
