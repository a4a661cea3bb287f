"""Tests the record of crashes under tasks of volatile jobs."""

import unittest

from baobabgap.dispatch import _crash_history
from baobabgap.dispatch._crash_history import CrashHistory
from baobabgap.jobmodel import CrashEvidence
from baobabgap.jobmodel import TaskId

TASK = TaskId('a', 0, 0)


class CrashHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = CrashHistory()

    def add(self, task: TaskId, run: int, now: float) -> bool:
        return self.history.add(task, run, CrashEvidence.WEAK, now)

    def test_repeated_report_is_no_news(self) -> None:
        self.assertTrue(self.add(TASK, 1, 0.0))
        self.assertFalse(self.add(TASK, 1, 1.0))
        self.assertTrue(self.add(TASK, 2, 2.0))
        self.assertEqual(
            {
                (TASK, 1): CrashEvidence.WEAK,
                (TASK, 2): CrashEvidence.WEAK,
            },
            self.history.of_job('a'),
        )
        self.assertEqual({}, self.history.of_job('b'))

    def test_jobs_are_forgotten_after_their_last_crash(self) -> None:
        self.add(TaskId('b', 0, 0), 1, 0.0)
        self.add(TASK, 1, 0.0)
        self.add(TaskId('b', 0, 0), 2, 50.0)
        self.history.expire(70.0)
        self.assertEqual({}, self.history.of_job('a'))
        self.assertEqual(2, len(self.history.of_job('b')))
        self.history.expire(120.0)
        self.assertEqual({}, self.history.of_job('b'))

    def test_number_of_jobs_is_bounded(self) -> None:
        for number in range(_crash_history._KEPT_JOBS + 1):
            self.add(TaskId(f'{number}', 0, 0), 1, 0.0)
        self.assertEqual({}, self.history.of_job('0'))
        self.assertEqual(1, len(self.history.of_job('1')))
