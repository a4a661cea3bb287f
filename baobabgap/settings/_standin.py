"""Settings of the stand-in upstream."""

from dataclasses import dataclass
from typing import Annotated

from baobabgap.settings._limits import Limits
from baobabgap.settings._limits import NO_OTHER_KEYS


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """How the stand-in upstream behaves."""

    __pydantic_config__ = NO_OTHER_KEYS

    # The HTTP address of the agent to announce to, as host:port.
    agent_address: str = ''
    # Maximum number of concurrent tasks.
    slots: Annotated[int, Limits(ge=1, le=1024)] = 8
    processors: Annotated[float, Limits(gt=0)] = 32.0
    memory_mb: Annotated[int, Limits(gt=0)] = 65536
    accelerators: Annotated[int, Limits(ge=0)] = 0
    # Seed of the random run times and faults.
    seed: int = 1
