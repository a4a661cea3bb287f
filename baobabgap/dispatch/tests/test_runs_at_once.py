"""Tests that no task has two runs at the same time."""

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from pathlib import Path
import tempfile
import threading
import time
from typing import Any
import unittest
from unittest.mock import patch

from baobabgap.accepted import Demand
from baobabgap.accepted import EnrolMembers
from baobabgap.accepted import Step
from baobabgap.dispatch import ControlNode
from baobabgap.dispatch.tests.deployment import CORES
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.fake_upstream import FakeRun
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import RunOrder

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

    def test_job_starts_only_after_its_entry_is_enrolled(self) -> None:
        """Regression: the next leader didn't know of the entry's jobs."""
        node = self.deployment.leader
        assert node is not None
        withheld = self.withhold_enrolments(node)
        self.deployment.replace_entry(1)
        wait_until(lambda: bool(withheld), 'the enrolment')
        answer = self.deployment.submit('a', STEP, volatile=True, entry=1)
        time.sleep(0.5)
        self.assertEqual([], self.runs())
        for propose in withheld:
            propose()
        self.assertEqual('completed', answer.result(WAIT_S).state)

    def withhold_enrolments(
        self, node: ControlNode
    ) -> list[Callable[[], None]]:
        """Return the list to which enrolments go instead of the log."""
        withheld: list[Callable[[], None]] = []
        committer = node._committer
        propose = committer.propose

        def withhold(command: object, on_end: Callable[[Any], None]) -> None:
            if isinstance(command, EnrolMembers):
                withheld.append(lambda: propose(command, on_end))
            else:
                propose(command, on_end)

        patcher = patch.object(committer, 'propose', withhold)
        patcher.start()
        self.addCleanup(patcher.stop)
        return withheld


class LateStartTest(unittest.TestCase):
    """The start of a task gets no answer, and is carried out later."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.upstreams = [FakeUpstream(run_ms=RUN_MS) for _ in range(2)]
        self.starts: list[tuple[FakeUpstream, RunOrder]] = []
        self.is_answered = threading.Event()
        self.addCleanup(self.is_answered.set)
        for upstream in self.upstreams:
            upstream.leaves_unanswered = partial(self.delay_first, upstream)
        self.deployment = Deployment(Path(folder.name), 1, 2, self.upstreams)
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def delay_first(self, upstream: FakeUpstream, order: RunOrder) -> bool:
        self.starts.append((upstream, order))
        return len(self.starts) == 1 and self.is_answered.wait(WAIT_S)

    def carry_out(self, until_ms: int = 100_000) -> None:
        node = self.deployment.leader
        assert node is not None
        upstream, order = self.starts[0]
        term = node._scheduler._term_state.term
        upstream.carry_out(order, term, until_ms)

    def test_start_that_reaches_the_next_incarnation(self) -> None:
        """The task was started elsewhere at once."""
        answer = self.deployment.submit('a', STEP, volatile=True)
        wait_until(lambda: bool(self.starts), 'a start')
        self.starts[0][0].restart(2)
        wait_until(lambda: len(self.starts) > 1, 'another start')
        self.carry_out()
        self.assertEqual('completed', answer.result(WAIT_S).state)
        self.assertEqual([], overlapping(self.upstreams))

    def replace_agent(self) -> None:
        number = self.upstreams.index(self.starts[0][0])
        self.deployment.replace_agent(number, silent_s=0.1)
        # The task can start again on the other upstream only.
        self.deployment.agents[number].announce(
            self.deployment.announced_state(number, is_draining=True)
        )

    def test_start_of_an_agent_that_was_killed(self) -> None:
        """The next process reported that the run wasn't there."""
        answer = self.deployment.submit('a', STEP, volatile=True)
        wait_until(lambda: bool(self.starts), 'a start')
        until_ms = self.starts[0][0].clock_ms + 1000
        self.replace_agent()
        wait_until(lambda: len(self.starts) > 1, 'another start')
        self.carry_out(until_ms)
        self.assertEqual('completed', answer.result(WAIT_S).state)
        self.assertEqual([], overlapping(self.upstreams))

    def test_start_of_a_killed_agent_that_reaches_the_next_incarnation(
        self,
    ) -> None:
        answer = self.deployment.submit('a', STEP, volatile=True)
        wait_until(lambda: bool(self.starts), 'a start')
        self.starts[0][0].restart(2)
        self.replace_agent()
        wait_until(lambda: len(self.starts) > 1, 'another start')
        self.carry_out()
        self.assertEqual('completed', answer.result(WAIT_S).state)
        self.assertEqual([], overlapping(self.upstreams))


if __name__ == '__main__':
    unittest.main()
