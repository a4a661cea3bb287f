"""What an agent asks of its upstream, and what it is told."""

from dataclasses import dataclass
from typing import Any

from baobabgap.messages import TaskOutcome


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """What the upstream says of one lease."""

    # The job's and the task's identifiers, with a slash between.
    lease: str
    # The owner that the agent named at the start.
    owner: str
    # running, done, failed, stopped, lapsed or revoked.
    state: str
    # What the task returned, or why it has not.
    value: Any
    # Milliseconds from start to end.
    run_time_ms: float

    @property
    def outcome(self) -> TaskOutcome | None:
        """How the task ended, or None while it runs."""
        match self.state:
            case 'running':
                return None
            case 'done':
                return TaskOutcome.DONE
            case 'revoked':
                return TaskOutcome.NOT_STARTED
            case _:
                return TaskOutcome.FAILED

    @property
    def result(self) -> Any:
        """The value, or why there is none, for the entry."""
        match self.state:
            case 'stopped':
                return 'stopped at the upstream after its start'
            case 'lapsed':
                return 'stopped by the upstream: its lease was not renewed'
            case _:
                return self.value


@dataclass(frozen=True, slots=True)
class LeaseListing:
    """All leases that the upstream remembers."""

    # The upstream's incarnation.
    incarnation: str
    # The incarnation of the agent that it takes starts from.
    bound_agent: str
    # For each agent incarnation that it was bound to, whether that one
    # has served no upstream process but this.
    sole_by_agent: dict[str, bool]
    # Running leases, and ended ones that were not acknowledged.
    leases: tuple[LeaseReport, ...]
    # False if some that were not acknowledged have been forgotten.
    complete: bool


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """What became of the leases that were to be renewed."""

    # The upstream's incarnation.
    incarnation: str
    # Those that run on.
    running: tuple[str, ...]
    # Those that have ended.
    ended: tuple[LeaseReport, ...]
    # Those that the upstream has never heard of.
    unknown: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The upstream did not start the task, and never will."""

    # Why, for a person.
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamUnreachable:
    """The request was never sent, so the task has not started."""

    # Why, for a person.
    reason: str


@dataclass(frozen=True, slots=True)
class StartUnknown:
    """The request got no usable answer: nobody knows if it started."""

    # Why, for a person.
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """One task to start at the upstream."""

    # The job's and the task's identifiers, with a slash between.
    lease: str
    # Whose task it is, kept by the upstream for an agent that restarts.
    owner: str
    # The sort of work.
    kind: str
    # The task's own input.
    payload: Any
    # Seconds until the lease lapses unless it is renewed.
    lease_s: float


@dataclass(frozen=True, slots=True)
class StoppedLeases:
    """The answer to a request to stop leases."""

    # What became of each.
    leases: tuple[LeaseReport, ...]
