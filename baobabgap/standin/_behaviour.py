"""How a stand-in upstream misbehaves."""

from dataclasses import dataclass
from typing import Annotated
from typing import Any
from typing import Final

from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import InvalidInput


@dataclass(frozen=True, slots=True)
class Behaviour:
    """The faults that are switched on; by default there are none."""

    __pydantic_config__ = ConfigDict(extra='forbid')

    # Reports an error for every task, at once.
    fails_every_task: bool = False
    # Every task takes this many times its true run time.
    slowness: Annotated[float, Field(gt=0, le=1000)] = 1.0
    # Answers nothing until the behaviour changes again.
    frozen: bool = False
    # Every task ends at once, whatever its run time.
    answers_at_once: bool = False
    # Starts a lease anew each time it is asked to, so that the agent
    # alone must keep a task from starting twice.
    forgetful: bool = False
    # Closes its port and is gone, without a word to the agent.
    vanished: bool = False

    @classmethod
    def from_document(cls, document: Any) -> 'Behaviour':
        """Validate decoded JSON; raise `InvalidInput` if it is wrong."""
        try:
            return _BEHAVIOUR.validate_python(document)
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            place = '.'.join(str(part) for part in detail['loc'])
            raise InvalidInput(
                f'{place}: {detail["msg"]}', step='behaviour'
            ) from error


_BEHAVIOUR: Final = TypeAdapter(Behaviour)
