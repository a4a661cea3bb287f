"""Jobs submitted around the time at which their orphaned runs are stopped."""

import time
import unittest

from baobabgap.accepted import RunEnd
from baobabgap.dispatch.tests.resubmission import ResubmissionCase
from baobabgap.dispatch.tests.resubmission import STEP
from baobabgap.dispatch.tests.resubmission import TASK
from baobabgap.protocol import RunRow
from baobabgap.protocol import StopRuns

ROW = RunRow(TASK, 1, True, STEP.demand)
# When orphans have certainly been let go.
EXPIRY_S = 3.0


class OrphanRunsTest(ResubmissionCase):
    def expire(self) -> None:
        """Let go of the orphans."""
        self.monitor.check(time.monotonic() + EXPIRY_S)

    def has_started_anew(self) -> bool:
        """Return whether the task is started on an upstream that is free."""
        if 'new' not in self.term_state.view_by_name:
            self.link('new')
        self.start_tasks()
        return self.has_started_on('new')

    def test_job_submitted_right_after_the_expiry_awaits_the_end(self) -> None:
        self.report('old', ROW)
        self.expire()
        self.assertEqual(1, len(self.orders('old', StopRuns)))
        self.submit()
        self.assertFalse(self.has_started_anew())
        self.end(self.view('old'), RunEnd.INTERRUPTED)
        self.assertTrue(self.has_started_anew())

    def test_job_submitted_just_before_the_expiry_keeps_its_run(self) -> None:
        self.report('old', ROW)
        self.submit()
        self.expire()
        self.assertEqual([], self.orders('old', StopRuns))
        self.assertFalse(self.has_started_anew())

    def test_unanswered_stop_is_repeated_and_awaited(self) -> None:
        self.report('old', ROW)
        connection = self.view('old').connection
        assert connection is not None
        self.agents.handle_lost_link(connection)
        self.expire()
        self.submit()
        self.assertFalse(self.has_started_anew())
        self.link('old', ROW)
        self.assertEqual(1, len(self.orders('old', StopRuns)))
        self.assertFalse(self.has_started_anew())
        self.runs.drop(self.view('old'), TASK, 'stopped')
        self.assertTrue(self.has_started_anew())

    def test_run_that_was_found_twice_is_claimed_once(self) -> None:
        """Regression: the job stopped the run that it had just claimed."""
        self.report('old', ROW)
        self.runs.drop(self.view('old'), TASK, 'not reported')
        self.report('old', ROW)
        self.submit()
        self.assertEqual([], self.orders('old', StopRuns))
        self.assertFalse(self.has_started_anew())

    def test_claimed_run_counts_as_one_of_an_earlier_process(self) -> None:
        self.report('old', ROW)
        process = self.view('old').run_by_task[TASK].agent_incarnation
        self.submit()
        run = self.view('old').run_by_task[TASK]
        self.assertEqual(process, run.agent_incarnation)

    def test_all_expired_runs_of_a_task_are_awaited(self) -> None:
        """Regression: the end of the first one let the task start."""
        self.report('old', ROW)
        self.link('other', ROW)
        self.expire()
        self.submit()
        self.assertFalse(self.has_started_anew())
        self.end(self.view('old'), RunEnd.INTERRUPTED)
        self.assertFalse(self.has_started_anew())
        self.end(self.view('other'), RunEnd.INTERRUPTED)
        self.assertTrue(self.has_started_anew())


if __name__ == '__main__':
    unittest.main()
