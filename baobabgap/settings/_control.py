"""Settings of the control role."""

from dataclasses import dataclass
from typing import Annotated

from baobabgap.settings._limits import Limits
from baobabgap.settings._limits import NO_OTHER_KEYS


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """How a control host maintains the replicated log."""

    __pydantic_config__ = NO_OTHER_KEYS

    # The folder for all durable state.
    data_folder: str = 'var/control'
    # Whether a host without data may found the control group. Set it to
    # false once the deployment has run, so that a host which lost its disk
    # never founds a second group.
    may_found: bool = True
    # Milliseconds added to each sync, to simulate a slower disk.
    added_sync_delay_ms: Annotated[float, Limits(ge=0, le=1000)] = 0.0
    # Seconds without a leader after which a host seeks election; each
    # host waits a random time between one and two times this value.
    election_timeout_s: Annotated[float, Limits(gt=0, le=30)] = 1.0
    # Maximum number of claims kept, over all clients.
    kept_claims: Annotated[int, Limits(ge=1)] = 200_000
    # Maximum number of claims kept for one client.
    kept_claims_per_client: Annotated[int, Limits(ge=1)] = 100_000
    # Seconds for which a claim is kept while its client makes new ones.
    claim_window_s: Annotated[float, Limits(gt=0)] = 900.0
    # Maximum number of clients whose claims, or at least the issue time up
    # to which their claims were evicted, are kept.
    kept_clients: Annotated[int, Limits(ge=1)] = 50_000
    # Maximum number of accepted tickets kept with their content.
    kept_tickets: Annotated[int, Limits(ge=1)] = 4_000
    # Maximum size of a ticket, in bytes of JSON.
    largest_ticket_bytes: Annotated[int, Limits(ge=1024)] = 1024 * 1024
    # Maximum number of departed members kept, for subscribers that have
    # not seen the change yet.
    kept_gone_members: Annotated[int, Limits(ge=0)] = 4_000
    # Seconds between heartbeats on a link with an agent.
    member_heartbeat_s: Annotated[float, Limits(gt=0, le=60)] = 10.0
    # Seconds of silence after which a link with an agent is closed.
    member_silence_s: Annotated[float, Limits(gt=0, le=300)] = 25.0
    # Seconds within which a member whose link was lost may reconnect to
    # any control host before it is considered dead.
    return_grace_s: Annotated[float, Limits(gt=0, le=60)] = 1.5
    # Milliseconds for which changes are batched before they are sent.
    change_pause_ms: Annotated[float, Limits(ge=0, le=5000)] = 50.0
    # Timeout of a member's claim, in seconds.
    claim_wait_s: Annotated[float, Limits(gt=0, le=60)] = 8.0
    # Timeout of any other request of a member, in seconds.
    request_wait_s: Annotated[float, Limits(gt=0, le=60)] = 8.0
