"""Checks the history of a run against what the control group promises."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from baobabgap.messages import ClaimStatus
from baobabgap.messages import TicketStatus


@dataclass(frozen=True, slots=True)
class ClaimEvent:
    """How one claim ended at the entry that made it."""

    # The job's identifier.
    job: str
    # The entry's name.
    entry: str
    # The entry's token.
    token: int
    # The outcome, or None if the claim failed.
    status: ClaimStatus | None
    # The owner that the outcome names, or empty.
    owner: str = ''
    # If it failed: whether it was said to have changed nothing.
    unchanged: bool = False


@dataclass(frozen=True, slots=True)
class TicketEvent:
    """How one ticket ended at the tool that put it."""

    # The ticket's number.
    number: int
    # What told this ticket from others with its number.
    content: str
    # The outcome, or None if the request failed.
    status: TicketStatus | None
    # When the answer came, on the checker's monotonic clock.
    answered_at: float
    # If it failed: whether it was said to have changed nothing.
    unchanged: bool = False


@dataclass(frozen=True, slots=True)
class ReadEvent:
    """The newest ticket that a reader saw."""

    # The reader's name.
    reader: str
    # The number of the newest ticket.
    number: int
    # When the read began, on the checker's monotonic clock.
    began_at: float
    # Whether the read passed the leader's read barrier.
    is_linearizable: bool


@dataclass(frozen=True, slots=True)
class FinalState:
    """What the group says once all faults are over."""

    # The owner's name by job.
    owner_by_job: dict[str, str]
    # What tells the accepted ticket, by its number.
    content_by_number: dict[int, str]


@dataclass(frozen=True, slots=True)
class History:
    """All that was seen in one run, each list in the order of time."""

    # How each claim ended.
    claims: list[ClaimEvent]
    # How each ticket ended.
    tickets: list[TicketEvent]
    # What was read, and what was pushed.
    reads: list[ReadEvent]
    # What the group says in the end.
    final: FinalState


def check(history: History) -> list[str]:
    """Return one line for each broken promise."""
    return [
        *_check_one_grant(history.claims),
        *_check_refused_claims(history),
        *_check_kept_grants(history),
        *_check_one_ticket_a_number(history.tickets),
        *_check_kept_tickets(history),
        *_check_reads_go_forward(history.reads),
        *_check_reads_are_recent(history),
    ]


def _check_one_grant(claims: Iterable[ClaimEvent]) -> list[str]:
    holders_by_job = defaultdict(set)
    for event in claims:
        if event.status is ClaimStatus.GRANTED:
            holders_by_job[event.job].add((event.entry, event.token))
    return [
        f'{job} was granted to {sorted(holders)}'
        for job, holders in holders_by_job.items()
        if len(holders) > 1
    ]


def _check_refused_claims(history: History) -> list[str]:
    """An entry that was told `unchanged` each time owns nothing."""
    may_own = {
        (event.job, event.entry)
        for event in history.claims
        if event.status is not None or not event.unchanged
    }
    return [
        f'{event.job} is owned by {event.entry}, which was told otherwise'
        for event in history.claims
        if event.status is None
        and (event.job, event.entry) not in may_own
        and history.final.owner_by_job.get(event.job) == event.entry
    ]


def _check_kept_grants(history: History) -> list[str]:
    return [
        f'{event.job} was granted to {event.entry} and is owned by '
        f'{history.final.owner_by_job.get(event.job)!r}'
        for event in history.claims
        if event.status is ClaimStatus.GRANTED
        and history.final.owner_by_job.get(event.job) != event.entry
    ]


def _check_one_ticket_a_number(tickets: Iterable[TicketEvent]) -> list[str]:
    contents_by_number = defaultdict(set)
    for event in tickets:
        if event.status is TicketStatus.ACCEPTED:
            contents_by_number[event.number].add(event.content)
    return [
        f'ticket {number} was accepted as {sorted(contents)}'
        for number, contents in contents_by_number.items()
        if len(contents) > 1
    ]


def _check_kept_tickets(history: History) -> list[str]:
    kept = history.final.content_by_number
    found = []
    for event in history.tickets:
        is_kept = kept.get(event.number) == event.content
        if event.status is TicketStatus.ACCEPTED and not is_kept:
            found.append(f'accepted ticket {event.number} is gone')
        if event.status is None and event.unchanged and is_kept:
            found.append(f'refused ticket {event.number} was accepted')
    return found


def _check_reads_go_forward(reads: Iterable[ReadEvent]) -> list[str]:
    newest_by_reader: dict[str, int] = {}
    found = []
    for event in reads:
        newest = newest_by_reader.get(event.reader, 0)
        if event.number < newest:
            found.append(
                f'{event.reader} read ticket {event.number} after {newest}'
            )
        newest_by_reader[event.reader] = max(newest, event.number)
    return found


def _check_reads_are_recent(history: History) -> list[str]:
    return [
        f'{read.reader} read ticket {read.number} after {ticket.number} '
        'was accepted'
        for read in history.reads
        if read.is_linearizable
        for ticket in history.tickets
        if ticket.status is TicketStatus.ACCEPTED
        and ticket.answered_at < read.began_at
        and ticket.number > read.number
    ]
