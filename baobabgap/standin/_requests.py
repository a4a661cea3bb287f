"""Validated requests from an agent to a stand-in upstream."""

from dataclasses import dataclass
from typing import Annotated
from typing import Any
from typing import Final
from typing import TypeVar

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import InvalidInput

RequestType = TypeVar('RequestType')


@dataclass(frozen=True, slots=True)
class StartLease:
    """Starts one task and waits for its end."""

    # The job's and the task's identifiers, with a slash between.
    lease: Annotated[str, Field(pattern=r'^[^/]+/[^/]+$')]
    # The agent's incarnation.
    agent_incarnation: str
    # The upstream's incarnation that the agent addresses.
    upstream_incarnation: str
    # The owner of the task; opaque to the upstream.
    owner: str
    # The kind of task.
    kind: str
    # Seconds until the lease lapses unless it is renewed.
    lease_s: Annotated[float, Field(gt=0, le=600)]
    # The input of the task.
    payload: Any = None


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Extends leases and removes the acknowledged ones."""

    # The agent's incarnation.
    agent_incarnation: str
    # The leases to extend.
    leases: tuple[str, ...]
    # Seconds until they lapse.
    lease_s: Annotated[float, Field(gt=0, le=600)]
    # Ended leases that the agent no longer needs.
    acknowledged: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ControlLeases:
    """Stops, checkpoints or throttles leases."""

    # The agent's incarnation.
    agent_incarnation: str
    # The leases to act on.
    leases: tuple[str, ...]
    # The share of its speed that a throttled task retains.
    share: Annotated[float, Field(gt=0, le=1)] = 1.0


_ADAPTER_BY_CLASS: Final[dict[type, TypeAdapter[Any]]] = {
    request: TypeAdapter(request)
    for request in (StartLease, RenewLeases, ControlLeases)
}


def read_request(request_class: type[RequestType], body: bytes) -> RequestType:
    """Validate a JSON body; raise `InvalidInput` if it is invalid."""
    try:
        validated_request: RequestType = _ADAPTER_BY_CLASS[
            request_class
        ].validate_json(body)
    except ValidationError as error:
        detail = error.errors(include_url=False, include_input=False)[0]
        location = '.'.join(str(part) for part in detail['loc']) or 'body'
        raise InvalidInput(
            f'{location}: {detail["msg"]}', step='upstream'
        ) from error
    return validated_request
