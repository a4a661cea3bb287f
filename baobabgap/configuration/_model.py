"""Data model of the configuration: quotas, policy, limits, evacuations."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated
from typing import Any
from typing import Final

from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import InvalidInput

_STRICT: Final = ConfigDict(extra='forbid')

POLICY_KEY: Final = 'policy'
QUOTA_PREFIX: Final = 'quota/'
UPSTREAM_PREFIX: Final = 'upstream/'
EVACUATION_PREFIX: Final = 'evacuation/'


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """Rate limit of one team over the whole deployment."""

    __pydantic_config__ = _STRICT

    # Task starts per second, averaged over the burst.
    tasks_per_second: Annotated[float, Field(gt=0)]
    # Tasks that may start at once after an idle period.
    burst_tasks: Annotated[int, Field(ge=1)] = 1000


class PlacementPolicy(StrEnum):
    """How an entry chooses the upstream of a task."""

    # Spend slot tokens; wait in the entry while there are none.
    TOKENS = 'tokens'
    # Any upstream; tasks queue there. A baseline without load information.
    RANDOM = 'random'
    # The least loaded by the last report. A baseline with stale load
    # information.
    LEAST_REPORTED = 'least_reported'


class OrderPolicy(StrEnum):
    """Which waiting task gets the next free slot."""

    # The one whose stretch would grow most, by learned run times.
    VIRTUAL_DEADLINE = 'virtual_deadline'
    # The one that arrived first.
    FIRST_COME = 'first_come'


@dataclass(frozen=True, slots=True)
class Policy:
    """How the whole deployment admits, orders and places tasks."""

    __pydantic_config__ = _STRICT

    placement: PlacementPolicy = PlacementPolicy.TOKENS
    order: OrderPolicy = OrderPolicy.VIRTUAL_DEADLINE
    # How many of its own run times a job may wait before it is urgent.
    stretch_weight: Annotated[float, Field(ge=0, le=100)] = 2.0
    # Idle tokens move between entries when their counts differ by this
    # many. A lower value reduces response times and sends more messages;
    # a higher value does the reverse.
    rebalance_tokens: Annotated[int, Field(ge=1, le=10_000)] = 4
    # Milliseconds between reports of an entry to its peers.
    report_pause_ms: Annotated[float, Field(ge=0.1, le=1000)] = 4.0
    # Share of the time to the deadline that the expected wait and run
    # may fill before a job is refused.
    admission_slack: Annotated[float, Field(gt=0, le=2)] = 0.9
    # The quota of teams without their own; None refuses unknown teams.
    default_quota: TeamQuota | None = None


@dataclass(frozen=True, slots=True)
class UpstreamLimit:
    """Limit on the use of one upstream."""

    __pydantic_config__ = _STRICT

    # Maximum number of concurrent tasks; 0 takes the upstream out of use.
    slots: Annotated[int, Field(ge=0, le=1024)]


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """Whether tasks may start in one availability zone."""

    __pydantic_config__ = _STRICT

    # Whether nothing more starts there; what runs ends by itself.
    evacuated: bool


_POLICY_ADAPTER: Final = TypeAdapter(Policy)
_QUOTA_ADAPTER: Final = TypeAdapter(TeamQuota)
_LIMIT_ADAPTER: Final = TypeAdapter(UpstreamLimit)
_EVACUATION_ADAPTER: Final = TypeAdapter(ZoneEvacuation)


@dataclass(frozen=True, slots=True)
class Configuration:
    """The full configuration at one version.

    Built from the state of all keys, as the control group sends it::

        Configuration.from_state(7, {'quota/rowing': {...}})
    """

    # The version of the control log that set this configuration.
    version: int
    # Quotas by the team's name.
    quota_by_team: dict[str, TeamQuota]
    # Limits by the upstream's name.
    limit_by_upstream: dict[str, UpstreamLimit]
    # The policy in force.
    policy: Policy
    # Availability zones in which nothing may start.
    evacuated_zones: frozenset[str] = frozenset()

    @classmethod
    def from_state(
        cls, version: int, state_by_key: dict[str, Any]
    ) -> 'Configuration':
        """Validate the state of all keys; raise `InvalidInput` if invalid."""
        quota_by_team: dict[str, TeamQuota] = {}
        limit_by_upstream: dict[str, UpstreamLimit] = {}
        policy = Policy()
        evacuated_zones: set[str] = set()
        for key, value in state_by_key.items():
            validated = validate_state(key, value)
            match validated:
                case Policy():
                    policy = validated
                case TeamQuota():
                    quota_by_team[key.removeprefix(QUOTA_PREFIX)] = validated
                case UpstreamLimit():
                    name = key.removeprefix(UPSTREAM_PREFIX)
                    limit_by_upstream[name] = validated
                case ZoneEvacuation(evacuated=True):
                    evacuated_zones.add(key.removeprefix(EVACUATION_PREFIX))
        return cls(
            version,
            quota_by_team,
            limit_by_upstream,
            policy,
            frozenset(evacuated_zones),
        )

    def quota_of(self, team: str) -> TeamQuota | None:
        """Return the team's quota, or None if the team is unknown."""
        return self.quota_by_team.get(team, self.policy.default_quota)


def validate_state(
    key: str, value: Any
) -> Policy | TeamQuota | UpstreamLimit | ZoneEvacuation:
    """Validate the state that a ticket sets for one key.

    Raises `InvalidInput` with the key and the reason.
    """
    try:
        if key == POLICY_KEY:
            return _POLICY_ADAPTER.validate_python(value)
        if key.startswith(QUOTA_PREFIX) and key != QUOTA_PREFIX:
            return _QUOTA_ADAPTER.validate_python(value)
        if key.startswith(UPSTREAM_PREFIX) and key != UPSTREAM_PREFIX:
            return _LIMIT_ADAPTER.validate_python(value)
        if key.startswith(EVACUATION_PREFIX) and key != EVACUATION_PREFIX:
            return _EVACUATION_ADAPTER.validate_python(value)
    except ValidationError as error:
        detail = error.errors(include_url=False, include_input=False)[0]
        location = '.'.join([key, *(str(part) for part in detail['loc'])])
        raise InvalidInput(
            f'{location}: {detail["msg"]}', step='ticket'
        ) from error
    raise InvalidInput(
        f'{key}: unknown key; allowed are policy, quota/TEAM, '
        'upstream/NAME and evacuation/ZONE',
        step='ticket',
    )
