"""Tests that the checker finds each violation and has no false positives."""

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import Final
import unittest

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies

from tools.history._checker import check
from tools.history._events import Accepted
from tools.history._events import Failed
from tools.history._events import History
from tools.history._events import JobAction
from tools.history._events import JobContent
from tools.history._events import JobOutcome
from tools.history._events import JobRequest
from tools.history._events import Lost
from tools.history._events import NoAnswer
from tools.history._events import Pending
from tools.history._events import ReadTicket
from tools.history._events import Refused
from tools.history._events import Started
from tools.history._events import TicketPut
from tools.history._events import TicketRead
from tools.history._events import TicketUnknown
from tools.history._events import TurnedDown
from tools.history._events import VersionRead
from tools.history._events import Whole

_PAYLOAD: Final = {'of': 'me'}
_FIRST: Final = ReadTicket(1, 10, 'first')
_SECOND: Final = ReadTicket(2, 20, 'second')


def _whole(job: str, *tasks: str, payload: Any = _PAYLOAD) -> Whole:
    return Whole(
        job,
        tuple((t, {'job': job, 'task': t, 'echo': payload}) for t in tasks),
    )


def _request(
    began_s: float,
    outcome: JobOutcome,
    action: JobAction = JobAction.SUBMIT,
    job: str = 'j',
) -> JobRequest:
    return JobRequest(action, 'entry-1', job, began_s, began_s + 1, outcome)


def _job_history(*requests: JobRequest, starts: int = 1) -> History:
    """Return a history of job `j` with `starts` starts of its two tasks."""
    return History(
        contents=(JobContent('j', (('t0', _PAYLOAD), ('t1', _PAYLOAD))),),
        requests=requests,
        starts=tuple(
            Started(f'upstream-{number}', 'j', task)
            for number in range(starts)
            for task in ('t0', 't1')
        ),
    )


def _put(
    began_s: float, number: int, content: str, result: Any = None
) -> TicketPut:
    result = result or Accepted(number * 10)
    return TicketPut('entry-1', number, content, began_s, began_s + 1, result)


def _read(
    began_s: float, *tickets: ReadTicket, reader: str = 'reader'
) -> TicketRead:
    newest = tickets[-1].number if tickets else 0
    return TicketRead(reader, began_s, newest, tickets)


_WHOLE: Final = _whole('j', 't0', 't1')
_LOST: Final = Lost('first')
_FETCH: Final = JobAction.FETCH
_CANCEL: Final = JobAction.CANCEL


@dataclass(frozen=True, slots=True)
class _Case:
    """A history and the rule that it violates, or empty if it is valid."""

    name: str
    rule: str
    history: History


_CASES: Final = (
    _Case(
        'started at two upstreams',
        'single start',
        _job_history(_request(0, _WHOLE), starts=2),
    ),
    _Case(
        'started twice at one upstream',
        'single start',
        replace(
            _job_history(
                _request(0, Failed('task_lost', 'unknown')), starts=0
            ),
            starts=(Started('upstream-1', 'j', 't0', 2),),
        ),
    ),
    _Case(
        'a task missing',
        'whole or failed',
        _job_history(_request(0, _whole('j', 't0'))),
    ),
    _Case(
        'a duplicate task',
        'whole or failed',
        _job_history(_request(0, _whole('j', 't0', 't0'))),
    ),
    _Case(
        'an answer without a start',
        'whole or failed',
        _job_history(_request(0, _WHOLE), starts=0),
    ),
    _Case(
        "another job's answer",
        'own answer',
        _job_history(_request(0, _whole('other', 't0', 't1'))),
    ),
    _Case(
        'another payload',
        'own answer',
        _job_history(_request(0, _whole('j', 't0', 't1', payload=1))),
    ),
    _Case(
        'whole, then cancelled',
        'one end',
        _job_history(
            _request(0, _WHOLE),
            _request(2, Failed('cancelled', 'yes'), _FETCH),
        ),
    ),
    _Case(
        'whole with two values',
        'one end',
        _job_history(
            _request(0, _WHOLE),
            _request(2, _whole('j', 't0', 't1', payload=2)),
        ),
    ),
    _Case(
        'failed, then whole',
        'one end',
        _job_history(
            _request(0, Failed('deadline', 'yes')), _request(2, _WHOLE, _FETCH)
        ),
    ),
    _Case(
        'whole, then refused',
        'refused did not run',
        _job_history(_request(0, _WHOLE), _request(2, Refused('draining'))),
    ),
    _Case(
        'refused after pending, and ran',
        'refused did not run',
        _job_history(
            _request(0, Pending()),
            _request(2, Refused('unknown_job'), _CANCEL),
        ),
    ),
    _Case(
        'refused once, and ran',
        'refused never started',
        _job_history(_request(0, Refused('over_quota'))),
    ),
    _Case(
        'refused twice, and ran',
        'refused never started',
        _job_history(
            _request(0, Refused('draining')),
            _request(0, Refused('draining')),
            _request(2, Refused('unknown_job'), _FETCH),
        ),
    ),
    _Case(
        'a page of an older state',
        'reads advance',
        History(reads=(_read(0, _FIRST, _SECOND), _read(1, _FIRST))),
    ),
    _Case(
        'a process with an older version',
        'reads advance',
        History(versions=(VersionRead('e', 0, 9), VersionRead('e', 1, 8))),
    ),
    _Case(
        'two readers with different tickets',
        'one order',
        History(
            reads=(
                _read(0, _FIRST, reader='one'),
                _read(0, _SECOND, reader='other'),
            )
        ),
    ),
    _Case(
        'a ticket inserted below a newer one',
        'one order',
        History(reads=(_read(0, _SECOND), _read(1, _FIRST, _SECOND))),
    ),
    _Case(
        'versions out of order',
        'one order',
        History(reads=(_read(0, _FIRST, replace(_SECOND, version=5)),)),
    ),
    _Case(
        'two accepted with one number',
        'one content',
        History(puts=(_put(0, 1, 'first'), _put(0, 1, 'other'))),
    ),
    _Case(
        'the winner is not the one accepted',
        'one content',
        History(puts=(_put(0, 1, 'other'), _put(0, 1, 'mine', _LOST))),
    ),
    _Case(
        'lost against itself',
        'one content',
        History(puts=(_put(0, 1, 'first', _LOST),)),
    ),
    _Case(
        'a page has other content than was accepted',
        'one content',
        History(puts=(_put(0, 1, 'other'),), reads=(_read(0, _FIRST),)),
    ),
    _Case(
        'an accepted ticket is not there',
        'accepted stay',
        History(puts=(_put(0, 2, 'second'),), reads=(_read(2, _FIRST),)),
    ),
    _Case(
        'an accepted ticket at another version',
        'accepted stay',
        History(
            puts=(_put(0, 2, 'second', Accepted(21)),),
            reads=(_read(2, _FIRST, _SECOND),),
        ),
    ),
    _Case(
        'accepted, then stale',
        'first answer',
        History(
            puts=(
                _put(0, 1, 'first'),
                _put(2, 1, 'first', TurnedDown('stale')),
            )
        ),
    ),
    _Case(
        'accepted twice at two versions',
        'first answer',
        History(puts=(_put(0, 1, 'first'), _put(2, 1, 'first', Accepted(30)))),
    ),
    _Case(
        'unknown where it was asked, then whole',
        '',
        _job_history(
            _request(0, Failed('owner_lost', 'unknown')), _request(2, _WHOLE)
        ),
    ),
    _Case(
        'refused, and run by a later submission',
        '',
        _job_history(_request(0, Refused('draining')), _request(2, _WHOLE)),
    ),
    _Case(
        'refused, while an unanswered submission may still arrive',
        '',
        _job_history(
            _request(0, NoAnswer()), _request(2, Refused('draining'))
        ),
    ),
    _Case(
        'accepted after the page was asked for',
        '',
        History(puts=(_put(0, 2, 'second'),), reads=(_read(0.5, _FIRST),)),
    ),
)


class TestViolations(unittest.TestCase):
    """The checker reports each violation under the name of its rule."""

    def test_rules(self) -> None:
        for case in _CASES:
            with self.subTest(case.name):
                rules = {violation.rule for violation in check(case.history)}
                if case.rule:
                    self.assertIn(case.rule, rules)
                else:
                    self.assertEqual(set(), rules)


class _Model:
    """A sequential model of a correct system.

    Each request takes effect at one moment. It may begin long before that
    moment and end long after it, so that requests overlap, except for the
    reads of one reader.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.end_by_job: dict[str, JobOutcome] = {}
        self.tickets: list[ReadTicket] = []
        self.events: list[Any] = []

    def tick(self) -> float:
        self.now_s += 2.0
        return self.now_s

    def ask(
        self, job: str, action: JobAction, end: str, margins: tuple[int, int]
    ) -> None:
        """Submit, fetch or cancel; `end` is the outcome of a new job."""
        refused = Refused('draining' if action is JobAction.SUBMIT else 'none')
        known = self.end_by_job.get(job)
        if known is None and action is JobAction.SUBMIT and end != 'refused':
            known = _whole(job, 't') if end == 'whole' else Failed(end, 'yes')
            self.end_by_job[job] = known
            self.events.append(Started('upstream', job, 't'))
        outcome = known or refused
        if known is not None and end in ('pending', 'no answer'):
            outcome = Pending() if end == 'pending' else NoAnswer()
        request = _request(0.0, outcome, action, job)
        self.events.append(self.with_interval(request, margins))

    def with_interval(self, event: Any, margins: tuple[int, int]) -> Any:
        now_s = self.tick()
        before_s, after_s = margins
        return replace(
            event, began_s=now_s - before_s, ended_s=now_s + after_s
        )

    def put(
        self,
        number: int,
        content: str,
        is_answered: bool,
        margins: tuple[int, int],
    ) -> None:
        newest = self.tickets[-1].number if self.tickets else 0
        kept = {ticket.number: ticket for ticket in self.tickets}.get(number)
        result: Any
        if kept is not None:
            is_same = kept.content == content
            result = Accepted(kept.version) if is_same else Lost(kept.content)
        elif number <= newest:
            result = TurnedDown('stale')
        else:
            version = int(self.now_s) + 1
            self.tickets.append(ReadTicket(number, version, content))
            result = Accepted(version)
        result = result if is_answered else TicketUnknown()
        put = _put(0.0, number, content, result)
        self.events.append(self.with_interval(put, margins))

    def read(self, reader: str) -> None:
        now_s = self.tick()
        self.events.append(_read(now_s, *self.tickets, reader=reader))
        version = self.tickets[-1].version if self.tickets else 0
        self.events.append(VersionRead(reader, now_s, version))

    def history(self) -> History:
        def of(kind: type) -> Any:
            return tuple(e for e in self.events if isinstance(e, kind))

        jobs = {request.job for request in of(JobRequest)}
        return History(
            tuple(JobContent(job, (('t', _PAYLOAD),)) for job in jobs),
            of(JobRequest),
            of(Started),
            of(TicketPut),
            of(TicketRead),
            of(VersionRead),
        )


_ENDS: Final = (
    'whole',
    'refused',
    'deadline',
    'task_lost',
    'owner_lost',
    'pending',
    'no answer',
)
# Seconds of a request before and after the moment at which it takes effect.
_MARGINS: Final = strategies.tuples(
    strategies.integers(0, 9), strategies.integers(0, 9)
)
_REQUEST_STEPS: Final = strategies.tuples(
    strategies.just('ask'),
    strategies.sampled_from(('a', 'b', 'c')),
    strategies.sampled_from(tuple(JobAction)),
    strategies.sampled_from(_ENDS),
    _MARGINS,
)
_PUT_STEPS: Final = strategies.tuples(
    strategies.just('put'),
    strategies.integers(1, 6),
    strategies.sampled_from(('x', 'y')),
    strategies.booleans(),
    _MARGINS,
)
_READ_STEPS: Final = strategies.tuples(
    strategies.just('read'), strategies.sampled_from(('one', 'other'))
)


class TestValidHistories(unittest.TestCase):
    """The checker reports no violation for histories of a correct system."""

    @settings(
        max_examples=300,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        strategies.lists(
            _REQUEST_STEPS | _PUT_STEPS | _READ_STEPS, max_size=40
        )
    )
    def test_no_false_positives(self, steps: list[tuple[Any, ...]]) -> None:
        model = _Model()
        for name, *arguments in steps:
            getattr(model, name)(*arguments)
        self.assertEqual([], check(model.history()))
