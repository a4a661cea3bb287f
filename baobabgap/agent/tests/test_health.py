"""Tests of the upstream's health and of its ejection.

They guard against an upstream that keeps getting tasks while it is silent or
fails them all, and against ejection because of the tasks of a single job.
"""

import unittest

from baobabgap.agent._health import UpstreamHealth
from baobabgap.settings import AgentSettings


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = UpstreamHealth(AgentSettings())
        self.health.reset(100.0)

    def note_failures(self, now: float, *jobs: str) -> None:
        for job in jobs:
            self.health.note_failure(job, now)

    def slots(self, now: float) -> int:
        return self.health.usable_slots(8, now).slots

    def test_failures_of_one_job_cause_no_ejection(self) -> None:
        self.note_failures(100.0, *['a'] * 50)
        self.assertEqual(8, self.slots(100.0))

    def test_new_upstream_process_is_not_ejected(self) -> None:
        self.note_failures(100.0, 'a', 'b', 'c', 'd', 'e')
        self.assertEqual(0, self.slots(100.5))
        self.health.note_refusal(100.5)
        self.health.reset(100.6)
        self.assertEqual(8, self.slots(100.6))

    def test_success_resets_the_failed_jobs(self) -> None:
        self.note_failures(100.0, 'a', 'b', 'c', 'd')
        self.health.note_success()
        self.note_failures(100.0, 'e')
        self.assertEqual(8, self.slots(100.0))

    def test_ejection_time_doubles_until_a_task_succeeds(self) -> None:
        now = 100.0
        self.note_failures(now, 'a', 'b', 'c', 'd', 'e')
        for pause_s in (3.0, 6.0, 12.0, 24.0, 48.0, 60.0, 60.0):
            self.assertEqual(0, self.slots(now + pause_s - 0.01))
            now += pause_s
            self.assertEqual(1, self.slots(now))
            self.note_failures(now, 'again')
        self.health.note_success()
        self.assertEqual(8, self.slots(now + 61))

    def test_silence_counts_only_with_failed_checks(self) -> None:
        self.assertEqual(8, self.slots(110.0))
        self.health.note_failed_check()
        self.assertEqual(8, self.slots(101.9))
        self.assertEqual(0, self.slots(102.1))
        self.assertFalse(self.health.have_leases_lapsed(110.0, 5.0))
        self.health.note_failed_check()
        self.assertTrue(self.health.have_leases_lapsed(110.0, 5.0))
        self.health.note_successful_check(110.0)
        self.assertEqual(8, self.slots(110.1))

    def test_closed_port_and_refusal_take_effect_at_once(self) -> None:
        self.health.note_refusal(100.0)
        self.assertEqual(0, self.slots(100.1))
        self.assertEqual(8, self.slots(101.0))
        self.health.note_unreachable()
        self.assertEqual(0, self.slots(101.0))
