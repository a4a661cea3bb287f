"""Checks a recorded history against the control group's guarantees."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from baobabgap.messages import ClaimStatus
from baobabgap.messages import TicketStatus


@dataclass(frozen=True, slots=True)
class ClaimEvent:
    """The outcome of one claim at the entry that made it."""

    # The job's identifier.
    job: str
    # The entry's name.
    entry: str
    # The entry's token.
    token: int
    # The outcome, or None if the claim failed.
    status: ClaimStatus | None
    # The owner in the outcome, or empty.
    owner: str = ''
    # If it failed: whether it was said to have changed nothing.
    unchanged: bool = False


@dataclass(frozen=True, slots=True)
class TicketEvent:
    """The outcome of one ticket at the tool that put it."""

    # The ticket's number.
    number: int
    # Tells this ticket apart from others with the same number.
    content: str
    # The outcome, or None if the request failed.
    status: TicketStatus | None
    # Time of the answer on the monotonic clock, in seconds.
    answered_at: float
    # If it failed: whether it was said to have changed nothing.
    unchanged: bool = False


@dataclass(frozen=True, slots=True)
class ReadEvent:
    """The newest ticket that a read returned."""

    # The reader's name.
    reader: str
    # The number of the newest ticket.
    number: int
    # Start of the read on the monotonic clock, in seconds.
    began_at: float
    # Whether the read went through the leader's read barrier.
    is_linearizable: bool


@dataclass(frozen=True, slots=True)
class FinalState:
    """The state that the group reports after all faults."""

    # The owner's name by job.
    owner_by_job: dict[str, str]
    # The content of each accepted ticket, by number.
    content_by_number: dict[int, str]


@dataclass(frozen=True, slots=True)
class History:
    """The events of one run, each list in order of time."""

    # Outcomes of claims.
    claims: list[ClaimEvent]
    # Outcomes of tickets.
    tickets: list[TicketEvent]
    # Reads, and changes pushed to a member.
    reads: list[ReadEvent]
    # The state after the run.
    final: FinalState


def check(history: History) -> list[str]:
    """Return one line for each violation of a guarantee."""
    return [
        *_check_single_grant(history.claims),
        *_check_failed_claims(history),
        *_check_durable_grants(history),
        *_check_unique_ticket_numbers(history.tickets),
        *_check_durable_tickets(history),
        *_check_monotonic_reads(history.reads),
        *_check_linearizable_reads(history),
    ]


def _check_single_grant(claims: Iterable[ClaimEvent]) -> list[str]:
    holders_by_job = defaultdict(set)
    for event in claims:
        if event.status is ClaimStatus.GRANTED:
            holders_by_job[event.job].add((event.entry, event.token))
    return [
        f'{job} was granted to {sorted(holders)}'
        for job, holders in holders_by_job.items()
        if len(holders) > 1
    ]


def _check_failed_claims(history: History) -> list[str]:
    """Check that an entry whose claims all failed unchanged owns nothing."""
    may_own = {
        (event.job, event.entry)
        for event in history.claims
        if event.status is not None or not event.unchanged
    }
    return [
        f'{event.job} is owned by {event.entry}, whose claims failed unchanged'
        for event in history.claims
        if event.status is None
        and (event.job, event.entry) not in may_own
        and history.final.owner_by_job.get(event.job) == event.entry
    ]


def _check_durable_grants(history: History) -> list[str]:
    return [
        f'{event.job} was granted to {event.entry} and is owned by '
        f'{history.final.owner_by_job.get(event.job)!r}'
        for event in history.claims
        if event.status is ClaimStatus.GRANTED
        and history.final.owner_by_job.get(event.job) != event.entry
    ]


def _check_unique_ticket_numbers(tickets: Iterable[TicketEvent]) -> list[str]:
    contents_by_number = defaultdict(set)
    for event in tickets:
        if event.status is TicketStatus.ACCEPTED:
            contents_by_number[event.number].add(event.content)
    return [
        f'ticket {number} was accepted as {sorted(contents)}'
        for number, contents in contents_by_number.items()
        if len(contents) > 1
    ]


def _check_durable_tickets(history: History) -> list[str]:
    content_by_number = history.final.content_by_number
    violations = []
    for event in history.tickets:
        is_stored = content_by_number.get(event.number) == event.content
        if event.status is TicketStatus.ACCEPTED and not is_stored:
            violations.append(f'accepted ticket {event.number} is lost')
        if event.status is None and event.unchanged and is_stored:
            violations.append(
                f'ticket {event.number} failed unchanged but is accepted'
            )
    return violations


def _check_monotonic_reads(reads: Iterable[ReadEvent]) -> list[str]:
    newest_by_reader: dict[str, int] = {}
    violations = []
    for event in reads:
        newest = newest_by_reader.get(event.reader, 0)
        if event.number < newest:
            violations.append(
                f'{event.reader} read ticket {event.number} after {newest}'
            )
        newest_by_reader[event.reader] = max(newest, event.number)
    return violations


def _check_linearizable_reads(history: History) -> list[str]:
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
