"""The faults that a stand-in upstream can simulate."""

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
    """The enabled faults; none by default."""

    __pydantic_config__ = ConfigDict(extra='forbid')

    # Reports an error for every task immediately.
    fails_every_task: bool = False
    # Factor by which the run time of every task is multiplied.
    slowness: Annotated[float, Field(gt=0, le=1000)] = 1.0
    # Answers nothing until the behaviour changes again.
    frozen: bool = False
    # Every task ends immediately, regardless of its run time.
    answers_at_once: bool = False
    # Starts a lease again on each request, so that only the agent
    # prevents a task from starting twice.
    forgetful: bool = False
    # Closes its port without notifying the agent.
    vanished: bool = False

    @classmethod
    def from_document(cls, document: Any) -> 'Behaviour':
        """Validate decoded JSON; raise `InvalidInput` if it is invalid."""
        try:
            return _BEHAVIOUR_ADAPTER.validate_python(document)
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            location = '.'.join(str(part) for part in detail['loc'])
            raise InvalidInput(
                f'{location}: {detail["msg"]}', step='behaviour'
            ) from error


_BEHAVIOUR_ADAPTER: Final = TypeAdapter(Behaviour)
