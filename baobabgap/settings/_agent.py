"""Settings of the agent role."""

from dataclasses import dataclass
from typing import Annotated

from baobabgap.settings._limits import Limits
from baobabgap.settings._limits import NO_OTHER_KEYS


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """How an agent monitors its upstream."""

    __pydantic_config__ = NO_OTHER_KEYS

    # Seconds between checks that the upstream's application is alive.
    upstream_check_s: Annotated[float, Limits(gt=0, le=10)] = 0.5
    # Seconds without a successful check after which the upstream is
    # considered silent.
    upstream_silence_s: Annotated[float, Limits(gt=0, le=60)] = 2.0
    # Seconds without renewal after which the upstream stops a task; an
    # agent that restarts within this time loses no running task.
    lease_s: Annotated[float, Limits(gt=0, le=60)] = 5.0
    # Consecutive failures after which the upstream gets no new tasks.
    failures_before_ejection: Annotated[int, Limits(ge=1)] = 5
