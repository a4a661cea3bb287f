"""Cancels of volatile jobs around a change of the leader.

Such a job is in the memory of its leader only; its cancel must not be.
"""

from pathlib import Path
import tempfile
import time
import unittest

from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.jobmodel import Step
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import ENTRY_ROLE

STEP_MS = 1000


def steps() -> list[Step]:
    """Return steps that follow each other, of one task each."""
    one = step(1, STEP_MS)
    return [
        Step(1, one.demand, STEP_MS, (number - 1,) if number else ())
        for number in range(6)
    ]


class CancelledJobsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), 3, 2, entries=2)
        self.addCleanup(self.deployment.close)
        for upstream in self.deployment.upstreams:
            upstream.run_ms = STEP_MS
        self.deployment.start()

    def starts(self) -> list[tuple[TaskId, int]]:
        return [
            start
            for upstream in self.deployment.upstreams
            for start in upstream.starts
        ]

    def cancel(self, entry: int) -> CallOutcome:
        call = CancelPath(0, QUEUE_HOST, f'{PREFIX}a')
        calls = self.deployment.entries[entry]
        return calls.forward(call, WAIT_S, WAIT_S, lambda: False).outcome

    def test_path_that_names_no_job_is_not_stored(self) -> None:
        for job_id in ('', 'a' * 1000):
            with self.subTest(length=len(job_id)):
                answer = self.deployment.cancel(job_id)
                self.assertIs(CallOutcome.NO_SUCH_JOB, answer.outcome)

    def check_nothing_starts(self) -> None:
        known = self.starts()
        time.sleep(1.5 * STEP_MS / 1000)
        self.assertEqual(known, self.starts())

    def test_cancelled_job_does_not_begin_under_the_next_leader(self) -> None:
        """Regression: all its tasks ran when it was sent again (review/5)."""
        deployment = self.deployment
        submission = deployment.submit('a', *steps(), volatile=True)
        wait_until(lambda: bool(self.starts()), 'a run')
        self.assertIs(CallOutcome.CANCELLED, self.cancel(1))
        self.assertEqual('cancelled', submission.result(WAIT_S).state)
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        again = deployment.submit('a', *steps(), volatile=True)
        self.assertEqual('cancelled', again.result(WAIT_S).state)
        self.check_nothing_starts()

    def test_cancel_outruns_the_entry_that_hands_the_job_over(self) -> None:
        """Regression: it was answered as unknown and went on (review/5)."""
        deployment = self.deployment
        submission = deployment.submit('a', *steps(), volatile=True)
        wait_until(lambda: bool(self.starts()), 'a run')
        deployment._entry_links[0].stop()
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        self.assertIs(CallOutcome.CANCELLED, self.cancel(1))
        link = deployment._link(
            'entry-1', ENTRY_ROLE, deployment.entries[0].session
        )
        deployment._entry_links[0] = link
        link.start()
        self.assertEqual('cancelled', submission.result(WAIT_S).state)
        self.check_nothing_starts()


if __name__ == '__main__':
    unittest.main()
