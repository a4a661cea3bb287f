"""Tests of some cells of the fault matrix and of its checks."""

from collections import Counter
import unittest
from unittest.mock import Mock

from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._counters import StandInCounts
from tools.bench._trace import TraceJob
from tools.matrix._callers import SubmittedJob
from tools.matrix._cells import Cell
from tools.matrix._cells import cells_of
from tools.matrix._cells import Fault
from tools.matrix._cells import reason_not_to_run
from tools.matrix._cells import Result
from tools.matrix._cells import Step
from tools.matrix._cells import Verdict
from tools.matrix._checks import check_jobs
from tools.matrix._run import run_cells

# Name, ends of the attempts, starts by task, expected number of problems.
_Case = tuple[str, tuple[End, ...], dict[tuple[str, str], int], int]
_SEED = 1
_CELLS = (
    Cell(Step.PLACE, Fault.KILL),
    Cell(Step.START, Fault.FREEZE),
    Cell(Step.ANSWER, Fault.CUT_BOTH_WAYS),
)


class TestMatrix(unittest.TestCase):
    def test_some_cells_hold(self) -> None:
        results = run_cells(_CELLS, _SEED, lambda result: None)
        for result in results:
            with self.subTest(result.line()):
                self.assertIs(Verdict.HELD, result.verdict)

    def test_a_killed_leader_holds(self) -> None:
        cells = [Cell(Step.CLAIM, Fault.KILL)]
        (result,) = run_cells(cells, _SEED, lambda result: None)
        self.assertIs(Verdict.HELD, result.verdict, result.line())

    def test_every_cell_prints_one_line(self) -> None:
        cell = Cell(Step.PLACE, Fault.TORN_WRITE)
        reason = reason_not_to_run(cell)
        result = Result(cell, Verdict.NOT_RUN, _SEED, reason)
        expected = f'place torn-write not-run 1  # {reason}'
        self.assertEqual(expected, result.line())
        self.assertEqual(len(Fault), len(cells_of(Step.PLACE)))

    def test_violations_are_found(self) -> None:
        once = {('job', 't0'): 1}
        cases: tuple[_Case, ...] = (
            ('whole', (End.WHOLE,), once, 0),
            ('started twice', (End.WHOLE,), {('job', 't0'): 2}, 1),
            ('no end', (End.NO_ANSWER,), once, 1),
            ('partial', (End.PARTIAL,), once, 2),
            (
                'wrong caller, then whole',
                (End.WRONG_CALLER, End.WHOLE),
                once,
                1,
            ),
            ('refused but started', (End.REFUSED,), once, 1),
            ('refused', (End.REFUSED,), {}, 0),
            ('refused, then admitted', (End.REFUSED, End.FAILED), once, 0),
            ('lost, then refused', (End.NO_ANSWER, End.REFUSED), once, 0),
        )
        for name, ends, starts, problems in cases:
            with self.subTest(name):
                counts = Mock(StandInCounts)
                counts.starts_by_task.return_value = Counter(starts)
                found = list(check_jobs([_make_submitted_job(ends)], counts))
                self.assertEqual(problems, len(found), found)


def _make_submitted_job(ends: tuple[End, ...]) -> SubmittedJob:
    job = TraceJob(1, 0.0, 'kurek', 'clubs', 5_000, ())
    attempts = [Outcome(job, 'job', end, 0.0, 0.0) for end in ends]
    return SubmittedJob('job', attempts)
