"""The rules for change tickets and the configuration."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from tools.history._events import Accepted
from tools.history._events import History
from tools.history._events import Lost
from tools.history._events import ReadTicket
from tools.history._events import TicketPut
from tools.history._events import TicketRead
from tools.history._events import TicketUnknown
from tools.history._events import VersionRead
from tools.history._events import Violation


def check_reads_advance(history: History) -> Iterator[Violation]:
    """No reader sees an older state after a newer one."""
    last_by_reader: dict[str, TicketRead | VersionRead] = {}
    reads: list[TicketRead | VersionRead] = [
        *history.reads,
        *history.versions,
    ]
    for read in sorted(reads, key=lambda one: one.began_s):
        reader = _reader_of(read)
        last = last_by_reader.get(reader)
        if last is not None and _position(read) < _position(last):
            yield Violation(
                'reads advance', f'{reader} went back', (last, read)
            )
        last_by_reader[reader] = read


def check_one_order(history: History) -> Iterator[Violation]:
    """All pages are prefixes of one list of tickets."""
    pages = sorted(history.reads, key=lambda read: len(read.tickets))
    for shorter, longer in zip(pages, pages[1:], strict=False):
        if longer.tickets[: len(shorter.tickets)] != shorter.tickets:
            yield Violation('one order', 'pages differ', (shorter, longer))
    for page in pages:
        numbers = [ticket.number for ticket in page.tickets]
        versions = [ticket.version for ticket in page.tickets]
        newest = numbers[-1] if numbers else 0
        if (
            numbers != sorted(set(numbers))
            or versions != sorted(set(versions))
            or newest != page.newest
        ):
            yield Violation('one order', 'a page out of order', (page,))


def check_one_content(history: History) -> Iterator[Violation]:
    """All answers show the same accepted content for a number."""
    event_by_content_by_number: dict[int, dict[str, Any]] = defaultdict(dict)
    for put in history.puts:
        match put.result:
            case Accepted():
                content = put.content
            case Lost(winner=winner):
                content = winner
            case _:
                continue
        event_by_content_by_number[put.number][content] = put
        if isinstance(put.result, Lost) and content == put.content:
            yield Violation('one content', 'lost against itself', (put,))
    for page in history.reads:
        for ticket in page.tickets:
            first_event_by_content = event_by_content_by_number[ticket.number]
            first_event_by_content.setdefault(ticket.content, ticket)
    for number, event_by_content in event_by_content_by_number.items():
        if len(event_by_content) > 1:
            yield Violation(
                'one content',
                f'number {number} has {len(event_by_content)} contents',
                tuple(event_by_content.values()),
            )


def check_accepted_stay(history: History) -> Iterator[Violation]:
    """An accepted ticket is on every page that is requested later."""
    for put in history.puts:
        if not isinstance(put.result, Accepted):
            continue
        expected = ReadTicket(put.number, put.result.version, put.content)
        for page in history.reads:
            if page.began_s > put.ended_s and expected not in page.tickets:
                yield Violation('accepted stay', 'not there', (put, page))
                break


def check_first_answers(history: History) -> Iterator[Violation]:
    """A ticket that is sent again gets the same answer."""
    puts_by_ticket: dict[tuple[int, str], list[TicketPut]] = defaultdict(list)
    for put in history.puts:
        if not isinstance(put.result, TicketUnknown):
            puts_by_ticket[put.number, put.content].append(put)
    for (number, _), puts in puts_by_ticket.items():
        if len({str(put.result) for put in puts}) > 1:
            yield Violation(
                'first answer', f'number {number} got several', tuple(puts)
            )


def _reader_of(read: TicketRead | VersionRead) -> str:
    match read:
        case TicketRead(reader=reader):
            return f'reader {reader}'
        case VersionRead(process=process):
            return f'process {process}'


def _position(read: TicketRead | VersionRead) -> int:
    match read:
        case TicketRead(newest=newest):
            return newest
        case VersionRead(version=version):
            return version
