"""Deferral of starts under a backlog, without a network."""

import unittest
from unittest.mock import Mock

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._start_deferral import StartDeferral
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import StartsAnnounced
from baobabgap.protocol import StartsDeferred
from baobabgap.protocol import SubmitJob
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import RunTimes
from baobabgap.telemetry import Metrics

TERM = 5
SERVICE = 's'
STEPS = (Step(1, Demand(1000, 10, 0), 1000),)


class StartDeferralTest(unittest.TestCase):
    def setUp(self) -> None:
        self.term_state = TermState()
        takeover = Takeover(TERM, (), 0.0)
        takeover.end_if_due(0.0)
        self.term_state.begin_term(TERM, takeover)
        capacity = Demand(10_000, 1000, 0)
        self.term_state.pool_by_service[SERVICE].add(
            PlacementTarget('t', SERVICE, 'z', (), capacity, capacity)
        )
        self.deferral = StartDeferral(self.term_state, Metrics())
        self.entry = Mock()

    def submit(self, job_id: str, call: int, arrived_at: float) -> None:
        submitted = SubmitJob(call, 'h', f'/q/{job_id}', '', STEPS, True)
        arrived = CallArrived(submitted, self.entry)
        self.term_state.callers_by_id.setdefault(job_id, []).append(arrived)
        job = AcceptedJob(
            job_id, 'q', SERVICE, 0, 1, 9.0, 0, '', STEPS, 0, TERM, True
        )
        plan = JobPlan(job, arrived_at, RunTimes())
        self.term_state.add_plan(plan)

    def submit_six(self) -> None:
        """Submit twice as much as starts within 0.3 s."""
        for number in range(6):
            self.submit(f'j{number}', number, number / 100)

    def sent(self) -> list[object]:
        messages = [call.args[0] for call in self.entry.send.mock_calls]
        self.entry.send.reset_mock()
        return messages

    def ready(self) -> set[str]:
        """Return the jobs that may start."""
        queue = self.term_state.queue_by_service[SERVICE]
        ready: set[str] = set()
        step = queue.first_after(None)
        while step is not None:
            ready.add(step.plan.job.job_id)
            step = queue.first_after(step)
        return ready

    def test_jobs_far_back_are_deferred_once(self) -> None:
        self.submit_six()
        self.deferral.check(1.0)
        self.assertEqual([StartsDeferred((3, 4, 5))], self.sent())
        self.assertEqual({'j0', 'j1', 'j2'}, self.ready())
        self.deferral.check(1.5)
        self.assertEqual([], self.sent())

    def test_deferred_job_starts_only_once_its_entry_has_noted_it(
        self,
    ) -> None:
        self.submit_six()
        self.deferral.check(1.0)
        self.sent()
        for job_id in ('j0', 'j1'):
            self.term_state.pop_plan(job_id)
            del self.term_state.callers_by_id[job_id]
        self.deferral.check(1.2)
        self.assertEqual([StartsAnnounced(('j3', 'j4'))], self.sent())
        self.assertEqual({'j2'}, self.ready())
        self.deferral.handle_noted(('j3',))
        self.assertEqual({'j2', 'j3'}, self.ready())
        self.deferral.check(1.3)
        self.assertEqual([], self.sent())

    def test_next_jobs_are_announced_at_once_when_nothing_else_waits(
        self,
    ) -> None:
        self.submit_six()
        self.deferral.check(1.0)
        for job_id in ('j0', 'j1', 'j2'):
            self.term_state.pop_plan(job_id)
            del self.term_state.callers_by_id[job_id]
        self.sent()
        self.deferral.check(1.01)
        self.assertEqual([StartsAnnounced(('j3', 'j4', 'j5'))], self.sent())

    def test_job_that_is_submitted_again_may_start(self) -> None:
        self.submit_six()
        self.deferral.check(1.0)
        self.deferral.release('j5')
        self.assertIn('j5', self.ready())
        self.deferral.check(2.0)
        self.assertEqual([StartsDeferred((3, 4, 5))], self.sent())
        self.assertIn('j5', self.ready())

    def test_announcement_without_an_answer_holds_up_no_other_job(
        self,
    ) -> None:
        """The entry is gone: its jobs stay deferred, those after follow."""
        self.submit_six()
        self.deferral.check(1.0)
        for job_id in ('j0', 'j1', 'j2'):
            self.term_state.pop_plan(job_id)
            del self.term_state.callers_by_id[job_id]
        for number in range(6, 9):
            self.submit(f'j{number}', number, number / 100)
        self.deferral.check(1.2)
        self.sent()
        self.deferral.check(1.5)
        self.assertEqual([StartsAnnounced(('j6', 'j7', 'j8'))], self.sent())
        self.deferral.handle_noted(('j6', 'j7', 'j8'))
        self.assertEqual({'j6', 'j7', 'j8'}, self.ready())

    def test_job_that_may_have_begun_is_not_deferred(self) -> None:
        self.submit_six()
        self.term_state.plan_by_id['j5'].may_have_begun = True
        self.deferral.check(1.0)
        self.assertEqual([StartsDeferred((3, 4))], self.sent())


if __name__ == '__main__':
    unittest.main()
