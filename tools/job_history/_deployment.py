"""Entries, agents and upstreams, which run in this process."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial
from typing import Final

from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.dispatch.tests.deployment import make_link
from baobabgap.leaderlink import LeaderCalls
from baobabgap.leaderlink import LeaderLink
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import ENTRY_ROLE
from baobabgap.protocol import LeaseTiming
from baobabgap.telemetry import Metrics
from baobabgap.upstreams import RunAgent
from tools.job_history._control_group import ControlGroup
from tools.job_history._injection_points import InjectionPoints
from tools.job_history._recorded_upstream import RecordedUpstream

_ENTRIES: Final = 2
_UPSTREAMS: Final = 3
_CORES: Final = 6


class Members:
    """Two entries and three agents with their upstreams."""

    def __init__(
        self,
        group: ControlGroup,
        pool: ThreadPoolExecutor,
        points: InjectionPoints,
        seed: int,
    ) -> None:
        self._group = group
        self._pool = pool
        self.upstreams = [
            RecordedUpstream(
                100 * seed + number,
                f'zone-{number}',
                points,
                partial(self.announce, number),
            )
            for number in range(_UPSTREAMS)
        ]
        self.entries = [LeaderCalls() for _ in range(_ENTRIES)]
        self._agents = [
            RunAgent(upstream, LeaseTiming(), pool, Metrics())
            for upstream in self.upstreams
        ]
        self._entry_links = [
            self._entry_link(number) for number in range(_ENTRIES)
        ]
        self._agent_links = [
            self._agent_link(number) for number in range(_UPSTREAMS)
        ]

    def start(self) -> None:
        """Start agents and links."""
        for number, agent in enumerate(self._agents):
            self.announce(number)
            agent.start()
        for link in (*self._entry_links, *self._agent_links):
            link.start()

    def stop(self) -> None:
        """Stop links and agents."""
        for link in (*self._entry_links, *self._agent_links):
            link.stop()
        for agent in self._agents:
            agent.stop()

    def kill_entry(self, number: int) -> None:
        """End an entry without notice to the leader."""
        self.entries[number].stop()
        self._entry_links[number].stop()

    def start_entry(self, number: int) -> None:
        """Start a new process of an entry that was killed."""
        self.entries[number] = LeaderCalls()
        self._entry_links[number] = self._entry_link(number)
        self._entry_links[number].start()

    def kill_agent(self, number: int) -> None:
        """End an agent; its upstream runs on until its lease lapses."""
        self._agent_links[number].stop()
        self._agents[number].stop()

    def start_agent(self, number: int) -> None:
        """Start a new process of an agent that was killed."""
        agent = RunAgent(
            self.upstreams[number], LeaseTiming(), self._pool, Metrics()
        )
        self._agents[number] = agent
        agent.start()
        self.connect_agent(number)
        self.announce(number)

    def cut_agent(self, number: int) -> None:
        """End an agent's link to the leader; it goes on otherwise."""
        self._agent_links[number].stop()

    def connect_agent(self, number: int) -> None:
        """Let an agent look for the leader again."""
        self._agent_links[number] = self._agent_link(number)
        self._agent_links[number].start()

    def announce(self, number: int) -> None:
        """Announce the current instance of an upstream to its agent."""
        upstream = self.upstreams[number]
        state = describe_upstream(number, upstream.born_ms, _CORES)
        self._agents[number].announce(
            replace(state, availability_zone=upstream.zone)
        )

    def _entry_link(self, number: int) -> LeaderLink:
        return self._link(
            f'entry-{number}', ENTRY_ROLE, self.entries[number].session
        )

    def _agent_link(self, number: int) -> LeaderLink:
        return self._link(
            f'agent-{number}', AGENT_ROLE, self._agents[number].session
        )

    def _link(
        self, name: str, role: str, session: Callable[..., None]
    ) -> LeaderLink:
        return make_link(
            name, role, session, self._pool, self._group.addresses
        )
