"""What change tickets set: quotas, policy and limits of upstreams."""

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


@dataclass(frozen=True, slots=True)
class TeamQuota:
    """How much one team may ask of the whole deployment."""

    __pydantic_config__ = _STRICT

    # Task starts a second, averaged over the burst.
    tasks_per_second: Annotated[float, Field(gt=0)]
    # Tasks that may start at once after a quiet time.
    burst_tasks: Annotated[int, Field(ge=1)] = 1000


class PlacementPolicy(StrEnum):
    """How an entry chooses the upstream of a task."""

    # Spend slot tokens; wait in the entry while there are none.
    TOKENS = 'tokens'
    # Any upstream, queueing there: the baseline without knowledge.
    RANDOM = 'random'
    # The least loaded by the last report: the baseline with stale facts.
    LEAST_REPORTED = 'least_reported'


class OrderPolicy(StrEnum):
    """Which waiting task gets the next free slot."""

    # The one whose stretch would suffer most, by learned run times.
    VIRTUAL_DEADLINE = 'virtual_deadline'
    # The one that arrived first.
    FIRST_COME = 'first_come'


@dataclass(frozen=True, slots=True)
class Policy:
    """How tasks are admitted, ordered and placed; in force everywhere."""

    __pydantic_config__ = _STRICT

    placement: PlacementPolicy = PlacementPolicy.TOKENS
    order: OrderPolicy = OrderPolicy.VIRTUAL_DEADLINE
    # How many of its own run times a job may wait before it is urgent.
    stretch_weight: Annotated[float, Field(ge=0, le=100)] = 2.0
    # Idle tokens move between entries when their counts differ by this
    # many: small spends messages for response time, large the reverse.
    rebalance_tokens: Annotated[int, Field(ge=1, le=10_000)] = 4
    # Milliseconds between two reports of an entry to its peers.
    report_pause_ms: Annotated[float, Field(ge=0.1, le=1000)] = 4.0
    # Share of the time to the deadline that the expected wait and run
    # may fill before a job is refused.
    admission_slack: Annotated[float, Field(gt=0, le=2)] = 0.9
    # The quota of a team without one; None refuses unknown teams.
    default_quota: TeamQuota | None = None


@dataclass(frozen=True, slots=True)
class UpstreamLimit:
    """How much of one upstream may be used."""

    __pydantic_config__ = _STRICT

    # Tasks at once, at most; 0 takes the upstream out of use.
    slots: Annotated[int, Field(ge=0, le=1024)]


_POLICY: Final = TypeAdapter(Policy)
_QUOTA: Final = TypeAdapter(TeamQuota)
_LIMIT: Final = TypeAdapter(UpstreamLimit)


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one version.

    Built from the state of all keys, as the control group hands it out::

        Configuration.from_state(7, {'quota/rowing': {...}})
    """

    # The version of the control log that set it.
    version: int
    # Quotas by the team's name.
    quota_by_team: dict[str, TeamQuota]
    # Limits by the upstream's name.
    limit_by_upstream: dict[str, UpstreamLimit]
    # The policy in force.
    policy: Policy

    @classmethod
    def from_state(
        cls, version: int, state_by_key: dict[str, Any]
    ) -> 'Configuration':
        """Validate the state of all keys; raise `InvalidInput` if wrong."""
        quota_by_team: dict[str, TeamQuota] = {}
        limit_by_upstream: dict[str, UpstreamLimit] = {}
        policy = Policy()
        for key, value in state_by_key.items():
            checked = validate_state(key, value)
            match checked:
                case Policy():
                    policy = checked
                case TeamQuota():
                    quota_by_team[key.removeprefix(QUOTA_PREFIX)] = checked
                case UpstreamLimit():
                    name = key.removeprefix(UPSTREAM_PREFIX)
                    limit_by_upstream[name] = checked
        return cls(version, quota_by_team, limit_by_upstream, policy)

    def quota_of(self, team: str) -> TeamQuota | None:
        """Return the team's quota, or None if the team is unknown."""
        return self.quota_by_team.get(team, self.policy.default_quota)


def validate_state(key: str, value: Any) -> Policy | TeamQuota | UpstreamLimit:
    """Validate what a ticket sets for one key.

    Raises `InvalidInput` with the key and the reason.
    """
    try:
        if key == POLICY_KEY:
            return _POLICY.validate_python(value)
        if key.startswith(QUOTA_PREFIX) and key != QUOTA_PREFIX:
            return _QUOTA.validate_python(value)
        if key.startswith(UPSTREAM_PREFIX) and key != UPSTREAM_PREFIX:
            return _LIMIT.validate_python(value)
    except ValidationError as error:
        detail = error.errors(include_url=False, include_input=False)[0]
        place = '.'.join([key, *(str(part) for part in detail['loc'])])
        raise InvalidInput(
            f'{place}: {detail["msg"]}', step='ticket'
        ) from error
    raise InvalidInput(
        f'{key}: unknown key; allowed are policy, quota/TEAM and '
        'upstream/NAME',
        step='ticket',
    )
