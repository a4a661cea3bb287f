"""Tests of the trace generator."""

import unittest

from tools.bench._trace import ArrivalPhase
from tools.bench._trace import CancelWave
from tools.bench._trace import generate_trace
from tools.bench._trace import generate_wide_trace
from tools.bench._trace import MAX_ERROR_FACTOR
from tools.bench._trace import TraceShape

_SHAPE = TraceShape(
    slots=88,
    phases=(ArrivalPhase(0.0, 20.0, 0.5), ArrivalPhase(20.0, 2.0, 3.0)),
    waves=(CancelWave(10.0, 1.0, 0.5),),
)


class TestGenerateTrace(unittest.TestCase):
    """A trace is reproducible from its seed and matches its shape."""

    def test_same_seed_gives_same_trace(self) -> None:
        first = generate_trace(7, _SHAPE)
        self.assertEqual(first, generate_trace(7, _SHAPE))
        self.assertNotEqual(first, generate_trace(8, _SHAPE))

    def test_loads(self) -> None:
        jobs = generate_trace(7, _SHAPE)
        for phase in _SHAPE.phases:
            end_s = phase.start_s + phase.seconds
            work_s = sum(
                job.work_s
                for job in jobs
                if phase.start_s <= job.arrival_s < end_s
            )
            with self.subTest(phase):
                load = work_s / (_SHAPE.slots * phase.seconds)
                self.assertAlmostEqual(phase.load, load, delta=0.3)

    def test_tasks(self) -> None:
        jobs = generate_trace(7, _SHAPE)
        sizes = {len(job.tasks) for job in jobs}
        self.assertEqual(set(range(1, 17)), sizes)
        tasks = [task for job in jobs for task in job.tasks]
        self.assertTrue(all(50 <= task.true_ms <= 6000 for task in tasks))
        self.assertTrue(any(task.true_ms > 2000 for task in tasks))
        errors = [task.declared_ms / task.true_ms for task in tasks]
        self.assertLessEqual(max(errors), MAX_ERROR_FACTOR * 1.02)
        self.assertGreaterEqual(min(errors), 0.98 / MAX_ERROR_FACTOR)

    def test_cancel_waves(self) -> None:
        jobs = generate_trace(7, _SHAPE)
        cancelled = [job for job in jobs if job.cancel_s is not None]
        self.assertGreater(len(cancelled), 0)
        for job in cancelled:
            self.assertEqual(10.0, job.cancel_s)
            self.assertTrue(9.0 <= job.arrival_s < 10.0)

    def test_deadlines(self) -> None:
        phases = (ArrivalPhase(0.0, 1.0, 1.0),)
        shape = TraceShape(88, phases, deadline_stretch=3.0)
        for job in generate_trace(7, shape):
            expected_ms = 3000 * job.longest_task_s + 500
            self.assertAlmostEqual(expected_ms, job.deadline_ms, delta=1)

    def test_wide(self) -> None:
        jobs = generate_wide_trace(jobs=3, tasks=100, pause_s=0.5)
        self.assertEqual([0.0, 0.5, 1.0], [job.arrival_s for job in jobs])
        self.assertEqual({100}, {len(job.tasks) for job in jobs})
