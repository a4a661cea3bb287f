"""Tests that the leader's runs feed the forecast of their upstream."""

import time
from types import SimpleNamespace
from typing import cast
import unittest

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import RunRow
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import RunTimes
from baobabgap.transport import Connection

DEMAND = Demand(2000, 64, 0)
RUN_S = 0.5


class ForecastOfRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runs = RunTracker(TermState())
        self.target = PlacementTarget('a', 's', 'z', (), DEMAND, DEMAND)
        connection = SimpleNamespace(send=lambda message: None)
        self.view = AgentView('a', cast(Connection, connection))
        self.view.target = self.target

    def free_in(self) -> float:
        now = time.monotonic()
        return self.target.free_at(DEMAND, now) - now

    def test_ordered_and_found_runs_end_as_expected_from_then(self) -> None:
        for was_found in (False, True):
            with self.subTest(was_found=was_found):
                step = Step(1, DEMAND, int(1000 * RUN_S))
                job = AcceptedJob(
                    'j', 'q', 's', 0, 1, 1.6, 60, '', (step,), 0, 1, True
                )
                plan = JobPlan(job, 0.0, RunTimes())
                task = plan.task_by_id[TaskId('j', 0, 0)]
                self.runs.add(self.view, plan, task, 1, was_found=was_found)
                self.assertAlmostEqual(RUN_S, self.free_in(), delta=0.1)
                self.runs.remove(self.view, task.task)
                self.assertEqual(0.0, self.free_in())

    def test_end_of_an_unwanted_run_is_unknown(self) -> None:
        row = RunRow(TaskId('j', 0, 0), 1, True, DEMAND)
        self.runs.add_unwanted(self.view, row)
        self.assertEqual(float('inf'), self.free_in())
        self.runs.remove(self.view, row.task)
        self.assertEqual(0.0, self.free_in())


if __name__ == '__main__':
    unittest.main()
