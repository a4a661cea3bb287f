"""What callers, operators and stand-in upstreams have seen.

Times are seconds of the monotonic clock of the one process that records.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


@dataclass(frozen=True, slots=True)
class Whole:
    """All values of a job were told."""

    # The identifier that the answer names.
    job: str
    # Pairs of task and value, in the order told.
    values: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Failed:
    """The job was reported as failed; some task ran, or may have."""

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
    """The end was not known yet."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No response came; the request may have been carried out."""


JobOutcome = Whole | Failed | Refused | Pending | NoAnswer


class JobAction(StrEnum):
    """What a caller asks."""

    SUBMIT = 'submit'
    FETCH = 'fetch'
    CANCEL = 'cancel'


@dataclass(frozen=True, slots=True)
class JobRequest:
    """One request about a job and what came of it."""

    # What was asked.
    action: JobAction
    # The entry that was asked.
    entry: str
    # The job's identifier.
    job: str
    # When the request was about to be sent.
    began_s: float
    # When its response had come, or was no longer waited for.
    ended_s: float
    # What came of it.
    outcome: JobOutcome


@dataclass(frozen=True, slots=True)
class JobContent:
    """What the caller of a job has made."""

    # The job's identifier.
    job: str
    # Pairs of task and payload, in the order submitted.
    tasks: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Started:
    """A task that a stand-in upstream has started."""

    # The stand-in.
    upstream: str
    # The job's identifier.
    job: str
    # The task's identifier.
    task: str
    # How often it was started there.
    times: int = 1


@dataclass(frozen=True, slots=True)
class Accepted:
    """A ticket was accepted."""

    # The version from which it is in force.
    version: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Another ticket has the number."""

    # The content that won, as canonical JSON.
    winner: str


@dataclass(frozen=True, slots=True)
class TurnedDown:
    """A ticket was stale or invalid."""

    # `stale` or `invalid`.
    status: str


@dataclass(frozen=True, slots=True)
class TicketUnknown:
    """It isn't known what became of a ticket."""


TicketResult = Accepted | Lost | TurnedDown | TicketUnknown


@dataclass(frozen=True, slots=True)
class TicketPut:
    """One request to accept a ticket."""

    # The entry that was asked.
    entry: str
    # The ticket's number.
    number: int
    # What it sets, as canonical JSON.
    content: str
    # When the request was about to be sent.
    began_s: float
    # When its response had come, or was no longer waited for.
    ended_s: float
    # What came of it.
    result: TicketResult


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """A ticket as a page shows it."""

    # The ticket's number.
    number: int
    # The version from which it is in force.
    version: int
    # What it sets, as canonical JSON.
    content: str


@dataclass(frozen=True, slots=True)
class TicketRead:
    """One reading of the page of tickets."""

    # Who read; one reader reads one page after the other.
    reader: str
    # When the request was about to be sent.
    began_s: float
    # The newest number.
    newest: int
    # All tickets, by number.
    tickets: tuple[ReadTicket, ...]


@dataclass(frozen=True, slots=True)
class VersionRead:
    """One reading of the configuration version in force in a process."""

    # The process; one that was restarted counts as another.
    process: str
    # When the request was about to be sent.
    began_s: float
    # The version.
    version: int


@dataclass(frozen=True, slots=True)
class History:
    """All that was recorded in one run."""

    contents: tuple[JobContent, ...] = ()
    requests: tuple[JobRequest, ...] = ()
    starts: tuple[Started, ...] = ()
    puts: tuple[TicketPut, ...] = ()
    reads: tuple[TicketRead, ...] = ()
    versions: tuple[VersionRead, ...] = ()


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a history breaks."""

    # The rule's name.
    rule: str
    # What is wrong.
    message: str
    # The events concerned.
    events: tuple[Any, ...]
