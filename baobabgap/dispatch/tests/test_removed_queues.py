"""Jobs whose queue a newer configuration has removed.

A job that was accepted before is still that job. A rejection states that
nothing of a job has run, which a new leader can't know of a repeated call.
"""

from pathlib import Path
import tempfile
import unittest
from unittest.mock import Mock
from unittest.mock import patch

from baobabgap.accepted import RunEnd
from baobabgap.dispatch import _call_handler
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch.tests.deployment import configuration
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.resubmission import ResubmissionCase
from baobabgap.dispatch.tests.resubmission import TASK
from baobabgap.dispatch.tests.resubmission import TERM
from baobabgap.jobmodel import JobState
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import ReadPath
from baobabgap.protocol import RunRow
from baobabgap.protocol import StartRuns
from baobabgap.protocol import StopRuns
from baobabgap.queues import QueueTable

PATH = f'{PREFIX}{TASK.job_id}'
OTHER_PREFIX = '/other/'


class RemovedQueueTest(ResubmissionCase):
    def setUp(self) -> None:
        super().setUp()
        self.remove_queue()

    def remove_queue(self, *, is_remembered: bool = True) -> None:
        self.term_state.queue_table = QueueTable.from_configuration(
            configuration(2, OTHER_PREFIX),
            QueueTable.from_configuration(configuration())
            if is_remembered
            else None,
        )

    def begin_takeover(self) -> None:
        """Begin a term that waits for `old` and knows of the job."""
        takeover = Takeover(TERM, ('agent/old',), float('inf'))
        takeover.note_entry_report('e/1', (TASK.job_id,))
        self.term_state.begin_term(TERM, takeover)

    def answers(self, entry: str = 'e') -> list[CallAnswer]:
        return [
            call.args[0]
            for call in self.entry(entry).send.call_args_list
            if isinstance(call.args[0], CallAnswer)
        ]

    def check_answer(self, outcome: CallOutcome, state: str = '') -> None:
        (answer,) = self.answers()
        self.assertEqual((outcome, state), (answer.outcome, answer.state))
        if outcome is CallOutcome.UNKNOWN:
            self.assertTrue(answer.is_final)

    def test_end_of_a_found_run_answers_the_repeated_call(self) -> None:
        """Regression: a job whose tasks ran was rejected (review/4)."""
        self.report('old', RunRow(TASK, 1, True))
        self.submit(is_repeat=True)
        self.assertEqual([], self.answers())
        self.end(self.view('old'), RunEnd.DONE)
        self.check_answer(CallOutcome.FOUND, JobState.COMPLETED)

    def test_run_found_during_the_takeover_answers_the_call(self) -> None:
        self.begin_takeover()
        self.submit(is_repeat=True)
        old = self.link('old', RunRow(TASK, 1, True))
        self.end(old, RunEnd.DONE)
        self.check_answer(CallOutcome.FOUND, JobState.COMPLETED)

    def test_job_without_a_found_run_does_not_begin_anew(self) -> None:
        self.begin_takeover()
        self.submit(is_repeat=True)
        self.link('old')
        self.term_state.takeover.note_agent_report('old')
        self.term_state.takeover.end_if_due(0.0)
        self.term_state.release_held_plans(self.calls.admit_released)
        self.start_tasks()
        self.check_answer(CallOutcome.UNKNOWN)
        self.assertFalse(self.has_started_on('old'))
        self.assertEqual({}, self.term_state.plan_by_id)

    def test_outcome_is_unknown_once_no_run_can_be_found(self) -> None:
        self.submit(is_repeat=True)
        self.check_answer(CallOutcome.UNKNOWN)

    def test_job_that_has_certainly_not_begun_is_rejected_at_once(
        self,
    ) -> None:
        self.submit()
        self.check_answer(CallOutcome.NO_SUCH_QUEUE)

    def test_submission_elsewhere_of_a_job_with_a_run_joins_it(self) -> None:
        """Its caller sent it again, to an entry that doesn't know it."""
        self.report('old', RunRow(TASK, 1, True))
        self.submit(is_repeat=True, entry='first')
        self.submit()
        self.end(self.view('old'), RunEnd.DONE)
        self.check_answer(CallOutcome.FOUND, JobState.COMPLETED)

    def test_run_that_no_leader_can_continue_is_stopped(self) -> None:
        """A leader without the earlier configurations knows no attempts."""
        self.remove_queue(is_remembered=False)
        self.report('old', RunRow(TASK, 1, True))
        self.submit(is_repeat=True)
        self.check_answer(CallOutcome.UNKNOWN)
        self.assertEqual(1, len(self.orders('old', StopRuns)))
        self.assertEqual([], self.orders('old', StartRuns))

    def test_numbers_too_large_do_not_reject_a_repeated_job(self) -> None:
        """Regression: a lowered limit told that nothing had run."""
        self.term_state.queue_table = QueueTable.from_configuration(
            configuration()
        )
        with patch.object(_call_handler, 'JobPlan', side_effect=OverflowError):
            self.submit(is_repeat=True)
        self.check_answer(CallOutcome.UNKNOWN)

    def test_accepted_job_is_read_and_cancelled(self) -> None:
        """Regression: both were answered as if it had never been there."""
        self.state.state_of.return_value = JobState.COMPLETED
        read = ReadPath(1, QUEUE_HOST, PATH)
        self.calls.handle(CallArrived(read, self.entry('e')))
        self.check_answer(CallOutcome.FOUND, JobState.COMPLETED)
        self.state.state_of.return_value = JobState.CANCELLED
        cancel = CancelPath(1, QUEUE_HOST, PATH)
        self.calls.handle(CallArrived(cancel, self.entry('f')))
        (answer,) = self.answers('f')
        self.assertIs(CallOutcome.CANCELLED, answer.outcome)

    def test_unknown_job_and_queue_are_not_found(self) -> None:
        for path in (PATH, PREFIX):
            with self.subTest(path=path):
                connection = Mock()
                call = ReadPath(1, QUEUE_HOST, path)
                self.calls.handle(CallArrived(call, connection))
                (answer,) = connection.send.call_args.args
                self.assertIs(CallOutcome.NO_SUCH_QUEUE, answer.outcome)


class ThreeControlHostsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), 3, 2)
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def test_running_job_ends_under_the_next_leader(self) -> None:
        """Regression: its only submission was answered 404 (review/4).

        The second step is due after the queue is gone.
        """
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 1500
        steps = (step(2, 1500), step(1, 1500))
        submission = deployment.submit('a', *steps, volatile=True)
        wait_until(
            lambda: any(up.starts for up in deployment.upstreams), 'a run'
        )
        deployment.configure(2, OTHER_PREFIX)
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        self.assertEqual('completed', submission.result(WAIT_S).state)
        later = deployment.submit('b', step(1), volatile=True)
        self.assertIs(CallOutcome.NO_SUCH_QUEUE, later.result(WAIT_S).outcome)

    def test_stored_job_is_read_and_cancelled_without_its_queue(self) -> None:
        """Regression: a job that ran could not be cancelled any more."""
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        accepted = deployment.submit('a', step(1, 60_000), volatile=False)
        self.assertIs(CallOutcome.ACCEPTED, accepted.result(WAIT_S).outcome)
        deployment.configure(2, OTHER_PREFIX)
        wait_until(
            lambda: deployment.read('a').state == 'running', 'the state'
        )
        self.assertIs(CallOutcome.CANCELLED, deployment.cancel('a').outcome)
        self.assertEqual('cancelled', deployment.read('a').state)


if __name__ == '__main__':
    unittest.main()
