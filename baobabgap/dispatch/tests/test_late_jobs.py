"""What callers of jobs are told that can't be served in time any more."""

import time
from unittest import TestCase
from unittest.mock import Mock

from baobabgap.accepted import AcceptedState
from baobabgap.dispatch._call_handler import CallHandler
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._start_deferral import StartDeferral
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch.tests.deployment import configuration
from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import SubmitJob
from baobabgap.queues import QueueTable
from baobabgap.telemetry import Metrics

TERM = 5
# The end of a job is useful until three times its objective, which is 1.6
# times its run time and 60 ms.
ESTIMATE_MS = 100
USEFUL_END_S = 3 * (1.6 * ESTIMATE_MS + 60) / 1000
MEMBERS = ('agent/a', 'entry/e/1')


class LateJobsTest(TestCase):
    def setUp(self) -> None:
        self.term_state = TermState()
        self.term_state.queue_table = QueueTable.from_configuration(
            configuration()
        )
        self.takeover = Takeover(TERM, MEMBERS, time.monotonic() + 60.0)
        self.term_state.begin_term(TERM, self.takeover)
        state = Mock(AcceptedState)
        state.state_of.return_value = None
        self.handler = CallHandler(
            self.term_state,
            Mock(),
            Mock(),
            StartDeferral(self.term_state, Metrics()),
            state,
            Mock(),
            Mock(),
            Metrics(),
        )
        self.connection = Mock()

    def submit(self, job_id: str = 'a', *, is_repeat: bool = False) -> None:
        call = SubmitJob(
            7,
            QUEUE_HOST,
            PREFIX + job_id,
            '',
            (step(1, ESTIMATE_MS),),
            is_volatile=True,
            patience_ms=9000,
            is_repeat=is_repeat,
        )
        self.handler.handle(CallArrived(call, self.connection))

    def give_up_after(self, seconds: float) -> CallAnswer | None:
        """Return what the caller is told by the check at this age."""
        self.connection.send.reset_mock()
        self.handler.give_up_late_jobs(time.monotonic() + seconds)
        for sent in self.connection.send.call_args_list:
            assert isinstance(sent.args[0], CallAnswer)
            return sent.args[0]
        return None

    def end_takeover(self) -> None:
        self.takeover.note_entry_report('e/1', ())
        self.takeover.note_agent_report('a')
        self.takeover.end_if_due(time.monotonic())
        self.term_state.release_held_plans()

    def test_job_that_certainly_has_not_begun_is_refused(self) -> None:
        self.end_takeover()
        self.submit()
        self.assertIsNone(self.give_up_after(USEFUL_END_S - 0.2))
        told = self.give_up_after(USEFUL_END_S)
        assert told is not None
        self.assertIs(CallOutcome.OVERLOADED, told.outcome)
        self.assertGreater(told.retry_after_ms, 0)
        self.assertEqual({}, self.term_state.plan_by_id)

    def test_job_that_may_have_begun_is_answered_as_unknown(self) -> None:
        """Regression: it was held until near the caller's deadline."""
        self.end_takeover()
        self.submit(is_repeat=True)
        self.assertIsNone(self.give_up_after(USEFUL_END_S - 0.2))
        told = self.give_up_after(USEFUL_END_S)
        assert told is not None
        self.assertIs(CallOutcome.UNKNOWN, told.outcome)
        self.assertTrue(told.is_final)
        self.assertEqual({}, self.term_state.callers_by_id)

    def test_job_held_by_a_takeover_is_answered_as_unknown(self) -> None:
        """A run of it may end in time until its end is worth nothing."""
        cases = {'unreported entry': False, 'reported as begun': True}
        for case, has_reported in cases.items():
            with self.subTest(case):
                self.setUp()
                if has_reported:
                    self.takeover.note_entry_report('e/1', ('a',))
                self.submit()
                self.assertIsNone(self.give_up_after(USEFUL_END_S - 0.05))
                told = self.give_up_after(USEFUL_END_S)
                assert told is not None
                self.assertIs(CallOutcome.UNKNOWN, told.outcome)
                self.assertTrue(told.is_final)
                self.assertEqual({}, self.term_state.plan_by_id)

    def test_resubmitted_job_is_held_again(self) -> None:
        self.takeover.note_entry_report('e/1', ('a',))
        self.submit()
        self.give_up_after(USEFUL_END_S)
        self.submit()
        plan = self.term_state.plan_by_id['a']
        self.assertFalse(self.term_state.takeover.may_start(plan.job))

    def test_begun_job_is_not_given_up(self) -> None:
        self.end_takeover()
        self.submit()
        plan = self.term_state.plan_by_id['a']
        plan.note_started(next(iter(plan.task_by_id.values())), 'agent', 1)
        self.assertIsNone(self.give_up_after(USEFUL_END_S + 1))
