"""The interface between the run agent and a client of its upstream."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from baobabgap.jobmodel import TaskId
from baobabgap.protocol import EndRow
from baobabgap.protocol import RunOrder


class StartOutcome(StrEnum):
    """The result of a call that starts a run."""

    STARTED = 'started'
    # The same, by a repeated call: one before it got no answer, and may still
    # be carried out by the next incarnation of the upstream.
    STARTED_BY_REPETITION = 'started by repetition'
    # The upstream has seen the fence of a later leader.
    SUPERSEDED = 'superseded'
    # This run or a later one of the task was stopped or has ended there.
    OLD = 'old'
    # The call's lease had expired when it arrived.
    LATE = 'late'
    # The upstream lacks the capacity for the run.
    NO_ROOM = 'room'
    # The upstream refuses work for now; the call had no effect.
    UNHEALTHY = 'unhealthy'
    # Another incarnation of the upstream answered.
    OTHER_LIFE = 'other_life'
    # The upstream rejected the call as malformed.
    INVALID = 'invalid'
    # There was no answer: the call may still take effect, even later.
    UNANSWERED = 'unanswered'
    # No connection could be opened: the call has certainly had no effect.
    NOT_DELIVERED = 'not delivered'

    @property
    def has_started(self) -> bool:
        """Whether the upstream has confirmed that it has the run."""
        return self in (
            StartOutcome.STARTED,
            StartOutcome.STARTED_BY_REPETITION,
        )


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that the upstream reports as running."""

    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """The answer of an upstream to a poll."""

    # The upstream's clock at the time of its answer, milliseconds.
    clock_ms: int
    # Start of this incarnation of the upstream, milliseconds since 1970; 0
    # if the answer lacks it.
    born_ms: int
    running: tuple[ActiveRun, ...]
    # Ended runs that have not been acknowledged, oldest first.
    ended: tuple[EndRow, ...]
    # Rows of either list that couldn't be read, in a form to compare them by.
    # Each may stand for any run.
    unreadable_rows: tuple[str, ...] = ()
    # Whether the poll was sent twice, and one of both has no answer.
    was_repeated: bool = False


class UpstreamSuperseded(Exception):
    """The upstream has seen the fence of a later leader."""


class CallNotDelivered(Exception):
    """No connection could be opened, so the call had no effect."""


class UpstreamNotListening(CallNotDelivered):
    """The connection was refused: no process listens at the address."""


class UpstreamClient(Protocol):
    """Calls the upstream on this host; safe for use by several threads.

    `instance` is the identity that the upstream must have to accept the
    call; empty to accept any. Times are on the upstream's clock.
    """

    def start(
        self, instance: str, order: RunOrder, fence: int, lease_until_ms: int
    ) -> tuple[StartOutcome, int]:
        """Start a run.

        Returns the outcome and the upstream's clock in milliseconds, or 0
        if the answer lacks it. The outcome covers all calls that were sent:
        none is `STARTED` while an earlier one is without an answer.
        """

    def stop(self, instance: str, task: TaskId, run: int, fence: int) -> bool:
        """Stop a run.

        Returns whether the upstream with this identity answered.
        """

    def poll(
        self,
        instance: str,
        fence: int,
        acknowledged_number: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> UpstreamReport | None:
        """Renew the lease of all runs, and list running and ended ones.

        The upstream may forget ended runs up to number
        `acknowledged_number`. With `lease_until_ms` 0 nothing is renewed.
        Waits up to `wait_ms` for a run to end. Returns None if there was no
        answer, or if another incarnation answered.

        Raises:
            CallNotDelivered: The upstream has certainly not got the call.
            UpstreamSuperseded: The upstream has seen a later fence.
        """
