"""Tests of the control history checker, and a short run of it."""

from dataclasses import replace
import unittest

from baobabgap.messages import ClaimStatus
from baobabgap.messages import TicketStatus
from tools._control_checker import check
from tools._control_checker import ClaimEvent
from tools._control_checker import FinalState
from tools._control_checker import History
from tools._control_checker import ReadEvent
from tools._control_checker import TicketEvent
from tools.control_history import HistoryRun

GRANTED = ClaimStatus.GRANTED
ACCEPTED = TicketStatus.ACCEPTED

VALID = History(
    claims=[
        ClaimEvent('a.1.n', 'entry-1', 1, GRANTED, 'entry-1'),
        ClaimEvent('a.1.n', 'entry-2', 2, ClaimStatus.OWNED, 'entry-1'),
        ClaimEvent('a.2.n', 'entry-1', 1, None, unchanged=True),
    ],
    tickets=[
        TicketEvent(1, 'x', ACCEPTED, 1.0),
        TicketEvent(1, 'y', TicketStatus.LOST, 1.1),
        TicketEvent(2, 'x', None, 1.2, unchanged=True),
    ],
    reads=[
        ReadEvent('r', 0, 0.5, True),
        ReadEvent('r', 1, 1.5, True),
        ReadEvent('watcher', 0, 1.5, False),
    ],
    final=FinalState({'a.1.n': 'entry-1'}, {1: 'x'}),
)


class CheckerTest(unittest.TestCase):
    def test_valid_history_passes(self) -> None:
        self.assertEqual(check(VALID), [])

    def test_violations_are_found(self) -> None:
        final = VALID.final
        cases = [
            (
                'granted twice',
                replace(
                    VALID,
                    claims=[
                        *VALID.claims,
                        ClaimEvent('a.1.n', 'entry-1', 7, GRANTED, 'entry-1'),
                    ],
                ),
            ),
            (
                'failed claim is granted',
                replace(
                    VALID,
                    final=replace(
                        final,
                        owner_by_job={
                            **final.owner_by_job,
                            'a.2.n': 'entry-1',
                        },
                    ),
                ),
            ),
            (
                'grant lost',
                replace(VALID, final=replace(final, owner_by_job={})),
            ),
            (
                'two tickets with the same number',
                replace(
                    VALID,
                    tickets=[
                        *VALID.tickets,
                        TicketEvent(1, 'y', ACCEPTED, 2.0),
                    ],
                    final=replace(final, content_by_number={1: 'x'}),
                ),
            ),
            (
                'accepted ticket lost',
                replace(VALID, final=replace(final, content_by_number={})),
            ),
            (
                'failed ticket is accepted',
                replace(
                    VALID,
                    final=replace(final, content_by_number={1: 'x', 2: 'x'}),
                ),
            ),
            (
                'non-monotonic reads',
                replace(
                    VALID,
                    reads=[
                        ReadEvent('watcher', 1, 1.5, False),
                        ReadEvent('watcher', 0, 1.6, False),
                    ],
                ),
            ),
            (
                'stale linearizable read',
                replace(VALID, reads=[ReadEvent('r', 0, 1.5, True)]),
            ),
        ]
        for name, history in cases:
            with self.subTest(name):
                self.assertNotEqual(check(history), [])


class ShortRunTest(unittest.TestCase):
    def test_guarantees_hold_under_random_faults(self) -> None:
        history = HistoryRun(seed=1, seconds=9.0).run()
        self.assertEqual(check(history), [])
        self.assertGreater(len(history.claims), 0)
        self.assertGreater(len(history.reads), 0)
