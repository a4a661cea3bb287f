"""What the run agent needs of a client of its upstream."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from baobabgap.accepted import TaskId
from baobabgap.dispatch import EndRow
from baobabgap.dispatch import RunOrder


class StartOutcome(StrEnum):
    """What became of an order to start a run."""

    STARTED = 'started'
    # The order came from a leader that has been superseded.
    SUPERSEDED = 'superseded'
    # The run, or a later one, has been stopped or has ended there.
    OLD = 'old'
    # The order's lease had passed when it arrived.
    LATE = 'late'
    # There is no room for it.
    NO_ROOM = 'room'
    # The upstream refuses work for now; it has done nothing.
    UNHEALTHY = 'unhealthy'
    # Another life of the upstream answers.
    OTHER_LIFE = 'other_life'
    # The order makes no sense to the upstream.
    INVALID = 'invalid'
    # There was no answer: the order may be carried out, also later.
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class HeldRun:
    """A run that the upstream lists."""

    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class Holding:
    """What an upstream says of itself."""

    # The upstream's clock when it answered, milliseconds.
    clock_ms: int
    # When this life of the upstream began, milliseconds since 1970; 0 if
    # it didn't say.
    born_ms: int
    running: tuple[HeldRun, ...]
    # Ends that have not been acknowledged, oldest first.
    ended: tuple[EndRow, ...]


class UpstreamSuperseded(Exception):
    """The upstream has seen the fence of a later leader."""


class UpstreamClient(Protocol):
    """Calls the upstream on this host; may be used by several tasks.

    `instance` names the life of the upstream that is meant; empty for
    whichever is there. Times are on the upstream's clock.
    """

    def start(
        self, instance: str, order: RunOrder, fence: int, lease_until_ms: int
    ) -> tuple[StartOutcome, int]:
        """Start a run; return also the clock, or 0 if it isn't known."""

    def stop(self, instance: str, task: TaskId, run: int, fence: int) -> bool:
        """Stop a run; tell whether this life of the upstream answered."""

    def hold(
        self,
        instance: str,
        fence: int,
        noted: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> Holding | None:
        """Renew the lease of all runs and list them.

        `noted` is the highest number of an end that may be forgotten;
        with `lease_until_ms` 0 nothing is renewed. Waits up to `wait_ms`
        for a new end. Returns None if there was no answer, or another life
        answered. Raises `UpstreamSuperseded`.
        """
