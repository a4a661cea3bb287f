"""Tests that no task has two runs at the same time."""

from collections.abc import Sequence
from pathlib import Path
import tempfile
import threading
import unittest

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.dispatch.tests.deployment import CORES
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.fake_upstream import FakeRun
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.protocol import CallOutcome

RUN_MS = 1000
# Each task fills an upstream.
STEP = Step(1, Demand(1000 * CORES, 10, 0), RUN_MS)


def overlapping(
    upstreams: Sequence[FakeUpstream],
) -> list[tuple[FakeRun, FakeRun]]:
    """Return the pairs of runs of one task that ran at the same time."""
    runs = sorted(
        (run for upstream in upstreams for run in upstream.runs),
        key=lambda run: run.began_at,
    )
    return [
        (earlier, later)
        for number, later in enumerate(runs)
        for earlier in runs[:number]
        if earlier.task == later.task and later.began_at < earlier.ended_at
    ]


class ResubmittedJobTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.upstreams = [FakeUpstream(run_ms=RUN_MS) for _ in range(3)]
        self.deployment = Deployment(
            Path(folder.name), 1, 3, self.upstreams, entries=2
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def runs(self) -> list[FakeRun]:
        return [run for upstream in self.upstreams for run in upstream.runs]

    def test_job_sent_again_elsewhere_waits_for_the_stop_of_its_run(
        self,
    ) -> None:
        """Regression: it started on another upstream meanwhile."""
        for upstream in self.upstreams:
            upstream.stop_ms = 600
        has_left = threading.Event()
        first = self.deployment.submit(
            'a', STEP, volatile=True, is_caller_disconnected=has_left.is_set
        )
        wait_until(lambda: bool(self.runs()), 'a start')
        has_left.set()
        self.assertIs(CallOutcome.UNKNOWN, first.result(WAIT_S).outcome)
        second = self.deployment.submit('a', STEP, volatile=True, entry=1)
        self.assertEqual('completed', second.result(WAIT_S).state)
        self.assertGreater(len(self.runs()), 1)
        self.assertEqual([], overlapping(self.upstreams))


if __name__ == '__main__':
    unittest.main()
