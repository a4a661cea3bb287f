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
        self._links = [
            *(
                self._link(f'entry-{number}', ENTRY_ROLE, calls.session)
                for number, calls in enumerate(self.entries)
            ),
            *(
                self._link(f'agent-{number}', AGENT_ROLE, agent.session)
                for number, agent in enumerate(self._agents)
            ),
        ]

    def start(self) -> None:
        """Start agents and links."""
        for number, agent in enumerate(self._agents):
            self.announce(number)
            agent.start()
        for link in self._links:
            link.start()

    def stop(self) -> None:
        """Stop links and agents."""
        for link in self._links:
            link.stop()
        for agent in self._agents:
            agent.stop()

    def announce(self, number: int) -> None:
        """Announce the current instance of an upstream to its agent."""
        upstream = self.upstreams[number]
        state = describe_upstream(number, upstream.born_ms, _CORES)
        self._agents[number].announce(
            replace(state, availability_zone=upstream.zone)
        )

    def _link(
        self, name: str, role: str, session: Callable[..., None]
    ) -> LeaderLink:
        return make_link(
            name, role, session, self._pool, self._group.addresses
        )
