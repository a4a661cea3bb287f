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
    # Whether an empty host may found the group; false once the deployment
    # has run, so that a host which lost its disk never founds another.
    may_found: bool = True
    # Milliseconds added to each sync, to imitate a slower disk.
    added_sync_delay_ms: Annotated[float, Field(ge=0, le=1000)] = 0.0
    # Seconds without a leader after which a host seeks election; each
    # host waits between once and twice this long.
    election_timeout_s: Annotated[float, Field(gt=0, le=30)] = 1.0
    # Claims that are kept, all clients together.
    kept_claims: Annotated[int, Field(ge=1)] = 200_000
    # Claims that are kept for one client.
    kept_claims_per_client: Annotated[int, Field(ge=1)] = 100_000
    # Seconds that a claim is kept while its client goes on to claim.
    claim_window_s: Annotated[float, Field(gt=0)] = 900.0
    # Clients whose claims, or at least their floor, are kept.
    kept_clients: Annotated[int, Field(ge=1)] = 50_000
    # Accepted tickets that are kept with their content.
    kept_tickets: Annotated[int, Field(ge=1)] = 4_000
    # The largest accepted ticket, in bytes of JSON.
    largest_ticket_bytes: Annotated[int, Field(ge=1024)] = 1024 * 1024
    # Members that left or died that are kept for those who missed it.
    kept_gone_members: Annotated[int, Field(ge=0)] = 4_000
    # Seconds between heartbeats on a link with an agent.
    member_heartbeat_s: Annotated[float, Field(gt=0, le=60)] = 10.0
    # Seconds of silence after which a link with an agent is given up.
    member_silence_s: Annotated[float, Field(gt=0, le=300)] = 25.0
    # Seconds in which a member whose link was lost may come back to any
    # control host before it is taken for dead.
    return_grace_s: Annotated[float, Field(gt=0, le=60)] = 1.5
    # Milliseconds for which changes are gathered before they are sent.
    change_pause_ms: Annotated[float, Field(ge=0, le=5000)] = 50.0
    # Seconds after which a member gives up a claim.
    claim_wait_s: Annotated[float, Field(gt=0, le=60)] = 8.0
    # Seconds after which a member gives up any other request.
    request_wait_s: Annotated[float, Field(gt=0, le=60)] = 8.0
