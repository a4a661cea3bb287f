"""Volatile jobs for whose end certainly no caller waits any longer."""

from pathlib import Path
import tempfile
import time
import unittest

from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.dispatch.tests.resubmission import ResubmissionCase
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import StopRuns

RUN_MS = 10_000
PATIENCE_S = 1.0


class LostEntryTest(unittest.TestCase):
    def test_job_does_not_outlive_the_wait_of_a_lost_entrys_caller(
        self,
    ) -> None:
        """Regression: it ran on, or waited, with nobody to drop it."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        upstream = FakeUpstream()
        deployment = Deployment(Path(folder.name), 1, 1, [upstream], entries=2)
        self.addCleanup(deployment.close)
        deployment.start()
        first = deployment.submit('first', step(1), volatile=True)
        self.assertEqual('completed', first.result(WAIT_S).state)
        upstream.run_ms = RUN_MS
        submitted_at = time.monotonic()
        deployment.submit(
            'a', step(1, RUN_MS), volatile=True, patience_s=PATIENCE_S, entry=1
        )
        wait_until(lambda: bool(upstream.running), 'a start')
        deployment.replace_entry(1)
        wait_until(lambda: not upstream.running, 'a stop')
        ended_s = time.monotonic() - submitted_at
        self.assertGreater(ended_s, PATIENCE_S)
        self.assertLess(ended_s, PATIENCE_S + 2.0)


class UnawaitedJobTest(ResubmissionCase):
    def check(self, in_s: float) -> bool:
        """Check the callers at that time; return whether the job is there."""
        self.calls.drop_unawaited_jobs(time.monotonic() + in_s)
        return 'a' in self.term_state.plan_by_id

    def test_job_is_dropped_once_its_caller_waits_no_longer(self) -> None:
        self.submit(patience_ms=1000)
        self.start_tasks()
        self.assertTrue(self.check(0.9))
        self.assertEqual([], self.orders('old', StopRuns))
        self.assertFalse(self.check(1.1))
        self.assertEqual(1, len(self.orders('old', StopRuns)))
        (told,) = self.entry('e').send.call_args.args
        assert isinstance(told, CallAnswer)
        self.assertIs(CallOutcome.UNKNOWN, told.outcome)
        # Its caller may send it again.
        self.assertEqual({}, self.term_state.ended_by_id)

    def test_job_is_kept_for_the_caller_that_waits_longest(self) -> None:
        self.submit(call=1, patience_ms=1000)
        self.submit(call=2, entry='f', patience_ms=3000)
        self.assertTrue(self.check(2.9))
        self.assertFalse(self.check(3.1))

    def test_job_without_a_limit_is_kept(self) -> None:
        self.submit(patience_ms=0)
        self.assertTrue(self.check(3600.0))


if __name__ == '__main__':
    unittest.main()
