"""No task starts while a run of it may go on somewhere."""

from collections.abc import ValuesView
import math
import time
import unittest
from unittest.mock import patch

from baobabgap.accepted import RunEnd
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch.tests.resubmission import CAPACITY
from baobabgap.dispatch.tests.resubmission import ResubmissionCase
from baobabgap.dispatch.tests.resubmission import STEP
from baobabgap.dispatch.tests.resubmission import TASK
from baobabgap.dispatch.tests.resubmission import TERM
from baobabgap.dispatch.tests.resubmission import TIMING
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsFound
from baobabgap.protocol import StopRuns

FIRST = RunRow(TASK, 1, True, STEP.demand)
SECOND = RunRow(TASK, 2, True, STEP.demand)


class SeveralRunsTest(ResubmissionCase):
    """Views of two upstreams track runs of one task; a third one is free."""

    def setUp(self) -> None:
        super().setUp()
        self.other = self.link('other')

    def find(self, name: str, row: RunRow) -> None:
        """Report a run that an agent has found on its upstream."""
        connection = self.view(name).connection
        assert connection is not None
        self.agents.handle(connection, RunsFound(name, 1, (row,)), True)

    def stop_both(self) -> None:
        """Submit and drop the job, which has a run on each upstream."""
        self.submit(call=1)
        self.start_tasks()
        name = next(
            name for name in ('old', 'other') if self.has_started_on(name)
        )
        self.find({'old': 'other', 'other': 'old'}[name], SECOND)
        self.drop(call=1)

    def has_started_anew(self) -> bool:
        """Return whether the task is started on the third upstream."""
        self.start_tasks()
        return self.has_started_on('new')

    def number_at(self, name: str) -> int:
        return self.view(name).run_by_task[TASK].number

    def test_task_whose_adopted_run_is_lost_waits_for_the_other(self) -> None:
        """Regression: it started while the other run was being stopped."""
        self.submit()
        self.find('old', FIRST)
        self.find('other', SECOND)
        self.assertEqual(1, len(self.orders('other', StopRuns)))
        self.link('new')
        self.runs.drop(self.view('old'), TASK, 'lease lapsed')
        self.assertFalse(self.has_started_anew())
        self.end(self.view('other'), RunEnd.INTERRUPTED, run=2)
        self.assertTrue(self.has_started_anew())
        self.assertGreater(self.number_at('new'), 2)

    def test_task_waits_for_the_last_run_of_an_earlier_submission(
        self,
    ) -> None:
        """Regression: the end of the first one let it start."""
        self.stop_both()
        self.link('new')
        self.submit(call=2)
        for name in ('old', 'other'):
            self.assertFalse(self.has_started_anew())
            self.end(self.view(name), RunEnd.INTERRUPTED, self.number_at(name))
        self.assertTrue(self.has_started_anew())

    def test_failed_run_does_not_start_the_task_beside_another(self) -> None:
        self.stop_both()
        self.link('new')
        self.submit(call=2)
        self.end(self.view('old'), RunEnd.FAILED, self.number_at('old'))
        self.assertFalse(self.has_started_anew())

    def test_drop_of_a_job_stops_all_of_its_runs(self) -> None:
        self.stop_both()
        for name in ('old', 'other'):
            self.assertEqual(1, len(self.orders(name, StopRuns)), name)

    def test_success_of_one_run_ends_the_job_and_stops_the_other(
        self,
    ) -> None:
        self.stop_both()
        self.submit(call=2)
        self.end(self.view('other'), RunEnd.DONE, self.number_at('other'))
        self.assertEqual({}, self.term_state.plan_by_id)
        self.assertTrue(self.view('old').run_by_task[TASK].is_stopping)

    def test_run_in_place_of_another_one_releases_its_room(self) -> None:
        """Regression: the room of the first was never free again."""
        view = self.view('old')
        self.submit()
        ((plan, task),) = filter(None, [self.term_state.find(TASK)])
        for number in (1, 2):
            self.runs.add(view, plan, task, number)
        self.runs.remove(view, TASK)
        assert view.target is not None
        self.assertEqual(CAPACITY, view.target.free)
        self.assertEqual(0, view.target.running)

    def test_report_of_a_lower_run_shows_that_the_tracked_one_is_not_there(
        self,
    ) -> None:
        """Regression: the end of the run that is there released nothing."""
        self.submit()
        ((plan, task),) = filter(None, [self.term_state.find(TASK)])
        self.runs.add(self.view('old'), plan, task, 2)
        self.report('old', FIRST)
        self.assertEqual(1, self.number_at('old'))
        self.link('new')
        self.assertFalse(self.has_started_anew())
        self.assertEqual([], self.orders('old', StopRuns))

    def test_report_of_a_higher_run_adopts_it(self) -> None:
        """Regression: it was stopped, as the lower one counted as there."""
        self.submit()
        self.find('old', FIRST)
        self.report('old', SECOND)
        self.assertEqual(2, self.number_at('old'))
        self.assertEqual([], self.orders('old', StopRuns))
        self.assertEqual('old', self.upstream())

    def test_ordered_run_that_a_report_may_not_cover_stays_tracked(
        self,
    ) -> None:
        self.submit()
        self.start_tasks()
        name = next(
            name for name in ('old', 'other') if self.has_started_on(name)
        )
        self.view(name).run_by_task[TASK].number = 3
        self.report(name, FIRST)
        self.assertEqual(3, self.number_at(name))

    def upstream(self) -> str:
        """Return where the task runs according to its plan."""
        ((_, task),) = filter(None, [self.term_state.find(TASK)])
        return task.upstream

    def test_waiting_task_awaits_a_run_that_gets_tracked(self) -> None:
        self.submit()
        self.runs.add_unwanted(self.view('old'), FIRST)
        self.link('new')
        self.assertFalse(self.has_started_anew())

    def test_starter_starts_no_task_of_which_a_run_is_tracked(self) -> None:
        """Whatever let it wait for a start."""
        self.stop_both()
        self.submit(call=2)
        ((plan, task),) = filter(None, [self.term_state.find(TASK)])
        plan.requeue(task)
        self.link('new')
        self.assertFalse(self.has_started_anew())
        self.assertFalse(plan.has_waiting)

    def test_job_released_by_a_takeover_awaits_its_runs(self) -> None:
        takeover = Takeover(TERM, ('agent/away', 'entry/x/1'), math.inf)
        self.term_state.takeover = takeover
        self.submit()
        self.find('old', FIRST)
        self.find('other', SECOND)
        self.runs.drop(self.view('old'), TASK, 'lease lapsed')
        self.link('new')
        takeover.note_agent_report('away')
        takeover.end_if_due(0.0)
        self.term_state.release_held_plans(self.calls.admit_released)
        self.assertFalse(self.has_started_anew())
        self.end(self.view('other'), RunEnd.INTERRUPTED, run=2)
        self.assertTrue(self.has_started_anew())


class RunsThatNeverEndTest(ResubmissionCase):
    """A stop that stays unanswered holds its task until the lease lapses."""

    def setUp(self) -> None:
        super().setUp()
        self.submit(call=1)
        self.start_tasks()
        self.drop(call=1)
        self.submit(call=2)

    def starts_after(self, seconds: float) -> bool:
        """Return whether the task starts elsewhere by then."""
        boottime, now = boottime_clock() + seconds, time.monotonic() + seconds
        with patch(
            'baobabgap.dispatch._timeout_monitor.boottime_clock',
            return_value=boottime,
        ):
            self.monitor.check(now)
        self.link('new')
        self.start_tasks()
        return self.has_started_on('new')

    def test_task_waits_for_the_lease_of_an_agent_without_a_link(
        self,
    ) -> None:
        connection = self.view('old').connection
        assert connection is not None
        self.agents.handle_lost_link(connection)
        self.assertFalse(self.starts_after(TIMING.lapse_s - 0.1))
        self.assertTrue(self.starts_after(TIMING.lapse_s + 0.1))

    def test_task_waits_for_the_lease_of_an_agent_that_does_not_report(
        self,
    ) -> None:
        """Regression: the task of an upstream that was gone never started."""
        view = self.view('old')
        connection = view.connection
        assert connection is not None
        self.agents.handle_lost_link(connection)
        self.agents.handle_link(connection)
        self.assertFalse(self.starts_after(TIMING.lapse_s - 0.1))
        self.assertTrue(self.starts_after(TIMING.lapse_s + 0.1))
        self.assertEqual({}, view.run_by_task)

    def test_task_waits_for_the_end_while_the_agent_reports_the_run(
        self,
    ) -> None:
        self.assertFalse(self.starts_after(TIMING.lapse_s + 0.1))


class Views(dict[str, AgentView]):
    """Views that count how often all of them are looked at."""

    scans = 0

    def values(self) -> ValuesView[AgentView]:  # type: ignore[override]
        self.scans += 1
        return super().values()


class CostTest(ResubmissionCase):
    def test_submission_looks_at_no_view_without_a_run_of_its_tasks(
        self,
    ) -> None:
        """Regression: each submission looked at the runs of all agents."""
        self.term_state.view_by_name = views = Views(
            self.term_state.view_by_name
        )
        self.submit()
        self.assertEqual(0, views.scans)


if __name__ == '__main__':
    unittest.main()
