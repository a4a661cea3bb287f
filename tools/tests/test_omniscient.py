"""Tests of the omniscient baseline against hand-computed cases."""

import unittest

from tools.bench._omniscient import omniscient_responses
from tools.bench._omniscient import quantile
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask


def _job(
    number: int,
    arrival_s: float,
    run_times_ms: tuple[int, ...],
    cancel_s: float | None = None,
) -> TraceJob:
    tasks = tuple(
        TraceTask(f't{index}', 'k', run_time_ms, 1)
        for index, run_time_ms in enumerate(run_times_ms)
    )
    return TraceJob(number, arrival_s, 'kurek', 'x', 1, tasks, cancel_s)


class TestOmniscientResponses(unittest.TestCase):
    """All slots serve one FIFO queue without overhead."""

    def test_hand_computed_cases(self) -> None:
        cases = {
            'alone': ([_job(0, 0, (300, 200))], {0: 0.3}),
            # The third task waits for the shorter of the first two.
            'own queue': ([_job(0, 0, (300, 200, 200))], {0: 0.4}),
            # The two slots are busy until 0.3 and 0.5.
            'waits': (
                [_job(0, 0, (300, 500)), _job(1, 0.1, (100, 100))],
                {0: 0.5, 1: 0.4},
            ),
            'by arrival': (
                [_job(0, 0.5, (100,)), _job(1, 0, (700, 800))],
                {0: 0.3, 1: 0.8},
            ),
            # Cancelled at 0.2, which frees its slots for the next job.
            'cancelled': (
                [_job(0, 0, (900, 900, 900), 0.2), _job(1, 0.1, (100,))],
                {1: 0.2},
            ),
            'cancelled late': ([_job(0, 0, (100,), 0.2)], {0: 0.1}),
        }
        for name, (jobs, expected) in cases.items():
            with self.subTest(name):
                found = omniscient_responses(jobs, slots=2)
                self.assertEqual(expected.keys(), found.keys())
                for number, response_s in expected.items():
                    self.assertAlmostEqual(response_s, found[number])


class TestQuantile(unittest.TestCase):
    """A quantile is one of the values, not interpolated."""

    def test_ranks(self) -> None:
        values = list(range(100, 0, -1))
        self.assertEqual(50, quantile(values, 0.5))
        self.assertEqual(99, quantile(values, 0.99))
        self.assertEqual(100, quantile(values, 1.0))
        self.assertIsNone(quantile([], 0.5))
