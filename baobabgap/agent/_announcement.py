"""How an upstream announces itself to its agent."""

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
    """What the upstream used a while ago."""

    __pydantic_config__ = _STRICT

    # Tasks that ran.
    running: Annotated[int, Field(ge=0)] = 0
    # How old this report is, in seconds.
    lag_s: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself about every second."""

    __pydantic_config__ = _STRICT

    # The upstream's name.
    name: Name
    # Different at each start of the upstream.
    incarnation: Annotated[str, Field(min_length=1, max_length=80)]
    # Where it serves the agent, as host:port.
    address: Address
    # How many tasks it runs at once.
    slots: Annotated[int, Field(ge=1, le=1024, strict=True)]
    # All that tasks may use together, and the largest task.
    capacity: TaskSize
    # The rack that it stands in.
    rack: str = ''
    # What it used a while ago.
    usage: Usage = Usage()
    # Whether it is about to leave and takes no new tasks.
    leaving: bool = False

    @classmethod
    def from_json(cls, body: bytes) -> 'Announcement':
        """Validate a JSON body; raise `InvalidInput` if it is wrong."""
        try:
            return _ANNOUNCEMENT.validate_json(body)
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            place = '.'.join(str(part) for part in detail['loc']) or 'body'
            raise InvalidInput(
                f'{place}: {detail["msg"]}', step='announce'
            ) from error


_ANNOUNCEMENT: Final = TypeAdapter(Announcement)
