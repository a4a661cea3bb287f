"""Settings of the stand-in upstream."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict
from pydantic import Field


@dataclass(frozen=True, slots=True)
class StandInSettings:
    """How the stand-in upstream behaves."""

    __pydantic_config__ = ConfigDict(extra='forbid')

    # The HTTP address of the agent to announce to, as host:port.
    agent_address: str = ''
    # Maximum number of concurrent tasks.
    slots: Annotated[int, Field(ge=1, le=1024)] = 8
    processors: Annotated[float, Field(gt=0)] = 32.0
    memory_mb: Annotated[int, Field(gt=0)] = 65536
    accelerators: Annotated[int, Field(ge=0)] = 0
    # Seed of the random run times and faults.
    seed: int = 1
