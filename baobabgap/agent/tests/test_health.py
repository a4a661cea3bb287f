"""When an upstream is trusted with new tasks."""

import unittest

from baobabgap.agent._health import UpstreamHealth
from baobabgap.settings import AgentSettings


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = UpstreamHealth(AgentSettings())
        self.health.restart(100.0)

    def fail(self, now: float, *jobs: str) -> None:  # type: ignore[override]
        for job in jobs:
            self.health.note_failure(job, now)

    def slots(self, now: float) -> int:
        return self.health.fitness(8, now).slots

    def test_one_job_of_bad_tasks_ejects_nobody(self) -> None:
        self.fail(100.0, *['a'] * 50)
        self.assertEqual(8, self.slots(100.0))

    def test_a_success_ends_the_streak(self) -> None:
        self.fail(100.0, 'a', 'b', 'c', 'd')
        self.health.note_success()
        self.fail(100.0, 'e')
        self.assertEqual(8, self.slots(100.0))

    def test_ejection_pauses_grow_until_a_task_succeeds(self) -> None:
        now = 100.0
        self.fail(now, 'a', 'b', 'c', 'd', 'e')
        for pause_s in (3.0, 6.0, 12.0, 24.0, 48.0, 60.0, 60.0):
            self.assertEqual(0, self.slots(now + pause_s - 0.01))
            now += pause_s
            self.assertEqual(1, self.slots(now))
            self.fail(now, 'again')
        self.health.note_success()
        self.assertEqual(8, self.slots(now + 61))

    def test_silence_counts_only_with_failed_checks(self) -> None:
        self.assertEqual(8, self.slots(110.0))
        self.health.note_failed_check()
        self.assertEqual(8, self.slots(101.9))
        self.assertEqual(0, self.slots(102.1))
        self.assertFalse(self.health.has_lapsed(110.0, 5.0))
        self.health.note_failed_check()
        self.assertTrue(self.health.has_lapsed(110.0, 5.0))
        self.health.note_good_check(110.0)
        self.assertEqual(8, self.slots(110.1))

    def test_a_closed_port_and_a_refusal_count_at_once(self) -> None:
        self.health.note_refusal(100.0)
        self.assertEqual(0, self.slots(100.1))
        self.assertEqual(8, self.slots(101.0))
        self.health.note_unreachable()
        self.assertEqual(0, self.slots(101.0))
