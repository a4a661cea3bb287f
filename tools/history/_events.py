"""Events that callers, operators and stand-in upstreams observe.

Times are seconds on the monotonic clock of the recording process.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer held all values of a job."""

    # The identifier in the answer.
    job: str
    # Pairs of task and value, in the order of the answer.
    values: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Failed:
    """The job was reported as failed; tasks ran or may have run."""

    # The code of the failure.
    code: str
    # `yes` or `unknown`.
    ran: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The job was reported as not run."""

    # The code of the refusal.
    code: str


@dataclass(frozen=True, slots=True)
class Pending:
    """The job had not ended yet."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No response arrived; the request may have been executed."""


JobOutcome = Whole | Failed | Refused | Pending | NoAnswer


class JobAction(StrEnum):
    """What a caller requests."""

    SUBMIT = 'submit'
    FETCH = 'fetch'
    CANCEL = 'cancel'


@dataclass(frozen=True, slots=True)
class JobRequest:
    """One request about a job and its outcome."""

    action: JobAction
    # The name of the entry that received the request.
    entry: str
    # The job's identifier.
    job: str
    # Read just before the request was sent.
    began_s: float
    # Read when the response had arrived or the wait for it had ended.
    ended_s: float
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class JobContent:
    """The tasks of a job as its caller submits them."""

    # The job's identifier.
    job: str
    # Pairs of task and payload, in the order submitted.
    tasks: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Started:
    """A task that a stand-in upstream has started."""

    # The name of the stand-in.
    upstream: str
    # The job's identifier.
    job: str
    # The task's identifier.
    task: str
    # How many times the stand-in started it.
    times: int = 1


@dataclass(frozen=True, slots=True)
class Accepted:
    """A ticket was accepted."""

    # The version from which it is in force.
    version: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Another ticket was accepted under the number."""

    # The accepted content, as canonical JSON.
    winner: str


@dataclass(frozen=True, slots=True)
class TurnedDown:
    """A ticket was refused as stale or invalid."""

    # `stale` or `invalid`.
    status: str


@dataclass(frozen=True, slots=True)
class TicketUnknown:
    """The outcome of a ticket is unknown."""


TicketResult = Accepted | Lost | TurnedDown | TicketUnknown


@dataclass(frozen=True, slots=True)
class TicketPut:
    """One request to accept a ticket and its outcome."""

    # The name of the entry that received the request.
    entry: str
    # The ticket's number.
    number: int
    # What it sets, as canonical JSON.
    content: str
    # Read just before the request was sent.
    began_s: float
    # Read when the response had arrived or the wait for it had ended.
    ended_s: float
    result: TicketResult


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """A ticket as the tickets page shows it."""

    # The ticket's number.
    number: int
    # The version from which it is in force.
    version: int
    # What it sets, as canonical JSON.
    content: str


@dataclass(frozen=True, slots=True)
class TicketRead:
    """One read of the tickets page."""

    # The reader's name; the reads of one reader do not overlap.
    reader: str
    # Read just before the request was sent.
    began_s: float
    # The newest ticket number.
    newest: int
    # All tickets, in the order of their numbers.
    tickets: tuple[ReadTicket, ...]


@dataclass(frozen=True, slots=True)
class VersionRead:
    """One read of the configuration version in force in a process."""

    # The process's instance; a restart makes a new one.
    process: str
    # Read just before the request was sent.
    began_s: float
    version: int


@dataclass(frozen=True, slots=True)
class History:
    """All events of one run, by kind."""

    contents: tuple[JobContent, ...] = ()
    requests: tuple[JobRequest, ...] = ()
    starts: tuple[Started, ...] = ()
    puts: tuple[TicketPut, ...] = ()
    reads: tuple[TicketRead, ...] = ()
    versions: tuple[VersionRead, ...] = ()


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule by a history."""

    # The rule's name.
    rule: str
    # What is wrong.
    message: str
    # The events that show the violation.
    events: tuple[Any, ...]
