"""Room of runs whose demand only an earlier process of the agent knew."""

from dataclasses import replace
import time
import unittest

from baobabgap.accepted import Demand
from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch.tests.resubmission import CAPACITY
from baobabgap.dispatch.tests.resubmission import ResubmissionCase
from baobabgap.dispatch.tests.resubmission import STEP
from baobabgap.dispatch.tests.resubmission import TASK
from baobabgap.protocol import RunRow
from baobabgap.protocol import UpstreamChanged

UNKNOWN = RunRow(TaskId('gone', 0, 0), 1, True)
OWN = RunRow(TASK, 1, True)


class UnknownDemandTest(ResubmissionCase):
    def has_started(self) -> bool:
        """Return whether the job is started on the only upstream."""
        self.start_tasks()
        return self.has_started_on('old')

    def free(self) -> Demand:
        target = self.view('old').target
        assert target is not None
        return target.free

    def test_nothing_starts_beside_a_run_of_an_unknown_job(self) -> None:
        """Regression: the run counted as one without any demand."""
        self.report('old', UNKNOWN)
        self.submit()
        self.assertFalse(self.has_started())
        self.runs.drop(self.view('old'), UNKNOWN.task, 'stopped')
        self.assertTrue(self.has_started())

    def test_nothing_starts_while_its_stop_is_unanswered(self) -> None:
        self.report('old', UNKNOWN)
        self.submit()
        self.monitor.check(time.monotonic() + 3.0)
        self.assertFalse(self.has_started())

    def test_nothing_starts_before_the_last_of_several_has_ended(self) -> None:
        others = [
            replace(UNKNOWN, task=TaskId('gone', 0, index))
            for index in range(2)
        ]
        self.report('old', *others)
        self.submit()
        for row in others:
            self.assertFalse(self.has_started())
            self.runs.remove(self.view('old'), row.task)
        self.assertEqual(CAPACITY, self.free())
        self.assertTrue(self.has_started())

    def test_more_capacity_does_not_make_room_beside_it(self) -> None:
        """It may be larger than what the upstream had when it was found."""
        view = self.report_and_grow(UNKNOWN)
        self.submit()
        self.assertFalse(self.has_started())
        self.runs.remove(view, UNKNOWN.task)
        self.assertEqual(CAPACITY.plus(CAPACITY), self.free())

    def report_and_grow(self, row: RunRow) -> AgentView:
        self.report('old', row)
        view = self.view('old')
        assert view.upstream is not None and view.connection is not None
        grown = replace(view.upstream, capacity=CAPACITY.plus(CAPACITY))
        self.agents.handle(view.connection, UpstreamChanged(grown), True)
        return view

    def test_run_stays_unknown_when_its_upstream_is_described_anew(
        self,
    ) -> None:
        self.report('old', UNKNOWN)
        view = self.view('old')
        assert view.upstream is not None and view.connection is not None
        labelled = replace(view.upstream, labels=('kind',))
        self.agents.handle(view.connection, UpstreamChanged(labelled), True)
        self.submit()
        self.assertFalse(self.has_started())

    def test_run_of_a_known_job_has_the_demand_of_its_step(self) -> None:
        self.submit()
        self.report('old', OWN)
        self.assertEqual(CAPACITY.minus(STEP.demand), self.free())

    def test_unneeded_run_of_a_known_job_has_the_demand_of_its_step(
        self,
    ) -> None:
        self.submit()
        self.start_tasks()
        self.link('other', replace(OWN, run=2))
        target = self.view('other').target
        assert target is not None
        self.assertEqual(CAPACITY.minus(STEP.demand), target.free)

    def test_claimed_run_has_the_demand_of_its_step(self) -> None:
        self.report('old', OWN)
        self.submit()
        self.assertEqual(CAPACITY.minus(STEP.demand), self.free())
        self.end(self.view('old'), RunEnd.DONE)
        self.assertEqual(CAPACITY, self.free())

    def test_known_demand_of_an_unknown_job_leaves_the_rest(self) -> None:
        self.report('old', replace(UNKNOWN, demand=STEP.demand))
        self.assertEqual(CAPACITY.minus(STEP.demand), self.free())


if __name__ == '__main__':
    unittest.main()
