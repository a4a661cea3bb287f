"""Settings of the control role."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict
from pydantic import Field


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """How a control host keeps the replicated log."""

    __pydantic_config__ = ConfigDict(extra='forbid')

    # The one folder for durable state.
    data_folder: str = 'var/control'
    # Milliseconds added to each sync, to imitate a slower disk.
    added_sync_delay_ms: Annotated[float, Field(ge=0, le=1000)] = 0.0
    # Seconds without a leader after which a host seeks election; each
    # host waits between once and twice this long.
    election_timeout_s: Annotated[float, Field(gt=0, le=30)] = 1.0
