"""Tests of the report against a hand-computed run."""

from collections import Counter
import unittest

from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._counters import CounterSnapshot
from tools.bench._report import CaseRun
from tools.bench._report import report_line
from tools.bench._report import slope_line
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask


def _outcome(number: int, end: End, response_s: float) -> Outcome:
    tasks = (TraceTask('t0', 'k', 100.0, 1), TraceTask('t1', 'k', 50.0, 1))
    job = TraceJob(number, number * 1.0, 'kurek', 'x', 500, tasks)
    return Outcome(job, f'kurek.1.{number}', end, number * 1.0, response_s)


def _run() -> CaseRun:
    outcomes = [
        _outcome(0, End.WHOLE, 0.12),
        _outcome(1, End.WHOLE, 0.6),
        _outcome(2, End.REFUSED, 0.01),
        _outcome(3, End.FAILED, 0.3),
    ]
    starts = Counter({('kurek.1.0', 't0'): 1, ('kurek.1.0', 't1'): 1})
    starts['kurek.1.1', 't0'] = 2
    starts['kurek.1.2', 't0'] = 1
    return CaseRun(
        case='c',
        policy='p',
        seed=1,
        load=0.5,
        slots=2,
        seconds=4.0,
        jobs=tuple(outcome.job for outcome in outcomes),
        has_baseline=True,
        outcomes=outcomes,
        empty_round_trip_s=0.0,
        counters=CounterSnapshot(
            {'entry-1': Counter(PlaceTasks=6), 'agent-1': Counter(Changes=2)},
            {'entry-1': Counter(late_result=1)},
            {'entry-1': 0.004, 'agent-1': 0.008, 'control-1': 0.02},
        ),
        starts_by_task=starts,
        duplicates_within_stand_ins=0,
        repeated_requests=1,
        cores_of_others=0.0,
        extra={},
    )


class TestReportLine(unittest.TestCase):
    """Counts of stand-ins and callers end up under the right keys."""

    def test_line(self) -> None:
        line = report_line(_run())
        expected = {
            'jobs': 4,
            'tasks': 8,
            'whole': 2,
            'refused': 1,
            'failed': 1,
            # One task was started twice, possibly at two stand-ins.
            'duplicates': 1,
            'refused_but_started': 1,
            'refused_without_retry_after': 1,
            'response_over_ideal_p50': 1.2,
            'response_over_ideal_max': 6.0,
            'response_over_omniscient_p99': 6.0,
            'messages_per_task': 2.0,
            'wasted_per_task': 0.5,
            'entry_cpu_us_per_task': 1000,
            'agent_cpu_us_per_task': 2000,
            'control_cpu_us_per_job': 5000,
            # 2 tasks in time; the capacity is 4 s x 2 slots / 75 ms.
            'goodput': 0.0187,
            'last_failed_sent_s': 3.0,
        }
        for key, value in expected.items():
            with self.subTest(key):
                self.assertEqual(value, line[key])

    def test_slope_line(self) -> None:
        lines = [
            {'tasks': 100, 'jobs': 1, 'entry_cpu_us_per_task': 110},
            {'tasks': 3000, 'jobs': 10, 'entry_cpu_us_per_task': 90},
        ]
        line = slope_line(lines)
        self.assertEqual(80.0, line['entry_cpu_us_per_task_slope'])
        self.assertEqual(3000.0, line['entry_cpu_us_per_job_intercept'])
