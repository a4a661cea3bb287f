"""Requests to the upstream and its answers."""

from dataclasses import dataclass
from typing import Any

from baobabgap.messages import TaskOutcome


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """State of one lease at the upstream."""

    # The identifiers of the job and the task, as `job/task`.
    lease: str
    # The owner that the agent specified at the start.
    owner: str
    # One of running, done, failed, stopped, lapsed or revoked.
    state: str
    # The return value of the task, or the reason why there is none.
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
        """The value for the entry, or the reason why there is none."""
        match self.state:
            case 'stopped':
                return 'stopped at the upstream after its start'
            case 'lapsed':
                return 'stopped by the upstream: its lease was not renewed'
            case _:
                return self.value


@dataclass(frozen=True, slots=True)
class LeaseListing:
    """All leases that the upstream has records of."""

    # The upstream's incarnation.
    incarnation: str
    # The incarnation of the agent whose start requests it accepts.
    bound_agent: str
    # For each agent incarnation that it was bound to, whether that agent
    # has served no other upstream process.
    sole_by_agent: dict[str, bool]
    # Running leases, and ended ones that are not acknowledged.
    leases: tuple[LeaseReport, ...]
    # False if the upstream has dropped leases that were not acknowledged.
    complete: bool


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """Result of a request to renew leases."""

    # The upstream's incarnation.
    incarnation: str
    # Leases that were renewed and still run.
    running: tuple[str, ...]
    # Leases that have ended.
    ended: tuple[LeaseReport, ...]
    # Leases that the upstream has no record of.
    unknown: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The upstream refused to start the task and will not start it."""

    # The reason, as text for people.
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamUnreachable:
    """The request was never sent, so the task has not started."""

    # The reason, as text for people.
    reason: str


@dataclass(frozen=True, slots=True)
class StartUnknown:
    """The request got no valid answer: the task may have started."""

    # The reason, as text for people.
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """One task to start at the upstream."""

    # The identifiers of the job and the task, as `job/task`.
    lease: str
    # Owner of the task; the upstream stores it for a restarted agent.
    owner: str
    # The kind of work.
    kind: str
    # The input of the task.
    payload: Any
    # Seconds until the lease lapses unless it is renewed.
    lease_s: float


@dataclass(frozen=True, slots=True)
class StoppedLeases:
    """Result of a request to stop leases."""

    # The state of each lease after the request.
    leases: tuple[LeaseReport, ...]
