"""Announcements that an upstream sends to its agent."""

from dataclasses import dataclass
from typing import Annotated
from typing import Final

from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import InvalidInput
from baobabgap.jobs import TaskSize

_STRICT: Final = ConfigDict(extra='forbid')

Name = Annotated[str, Field(pattern=r'^[a-z][a-z0-9-]{0,39}$')]
Address = Annotated[str, Field(pattern=r'^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$')]


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of the upstream, as of `lag_s` seconds ago."""

    __pydantic_config__ = _STRICT

    # Number of running tasks.
    running: Annotated[int, Field(ge=0)] = 0
    # Age of this report, in seconds.
    lag_s: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """State that an upstream reports about once a second."""

    __pydantic_config__ = _STRICT

    # The upstream's name.
    name: Name
    # Different at each start of the upstream.
    incarnation: Annotated[str, Field(min_length=1, max_length=80)]
    # Address at which it serves the agent, as host:port.
    address: Address
    # Maximum number of tasks that run at once.
    slots: Annotated[int, Field(ge=1, le=1024, strict=True)]
    # Total resources of all running tasks, and the largest task size.
    capacity: TaskSize
    # Name of its rack.
    rack: str = ''
    # Recent resource usage.
    usage: Usage = Usage()
    # Whether it is about to stop and accepts no new tasks.
    leaving: bool = False

    @classmethod
    def from_json(cls, body: bytes) -> 'Announcement':
        """Validate a JSON body; raise `InvalidInput` if it is wrong."""
        try:
            return _ANNOUNCEMENT.validate_json(body)
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            location = '.'.join(str(part) for part in detail['loc']) or 'body'
            raise InvalidInput(
                f'{location}: {detail["msg"]}', step='announce'
            ) from error


_ANNOUNCEMENT: Final = TypeAdapter(Announcement)
