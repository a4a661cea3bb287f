"""Runs of a volatile job that was cancelled and submitted again."""

import unittest
from unittest.mock import Mock

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import AcceptedState
from baobabgap.accepted import Demand
from baobabgap.accepted import RunEnd
from baobabgap.accepted import Step
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_handler import AgentHandler
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import EndRow
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunsEnded
from baobabgap.protocol import UpstreamState
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import RunTimes

TERM = 5
CAPACITY = Demand(4000, 1000, 0)
STEPS = (Step(1, Demand(1000, 10, 0), 100),)
TASK = TaskId('a', 0, 0)


class ResubmissionTest(unittest.TestCase):
    """The first submission ran on `old`, the second one runs on `new`."""

    def setUp(self) -> None:
        self.term_state = TermState()
        takeover = Takeover(TERM, (), 0.0)
        takeover.end_if_due(0.0)
        self.term_state.begin_term(TERM, takeover)
        self.runs = RunTracker(self.term_state)
        state = Mock(AcceptedState)
        state.state_of.return_value = None
        self.handler = AgentHandler(
            self.term_state,
            self.runs,
            Mock(),
            Mock(),
            Evacuations(self.term_state),
            Mock(),
            state,
            Mock(),
            LeaseTiming(),
            Mock(),
        )
        self.old, self.new = self.view('old'), self.view('new')
        self.start(self.old)
        self.term_state.pop_plan('a')
        self.runs.stop(self.old, TASK)
        self.plan = self.start(self.new)

    def view(self, name: str) -> AgentView:
        connection = Mock()
        connection.peer.name = name
        view = AgentView(name, connection)
        view.upstream = UpstreamState(
            name, 1, 's', 'z', (), CAPACITY, False, True
        )
        self.term_state.view_by_name[name] = view
        return view

    def start(self, view: AgentView) -> JobPlan:
        job = AcceptedJob(
            'a', 'q', 's', 0, 1, 1.0, 0, '', STEPS, 0, TERM, True
        )
        plan = JobPlan(job, 0.0, RunTimes())
        self.term_state.add_plan(plan)
        self.runs.add(view, plan, plan.task_by_id[TASK], 1)
        return plan

    def end(self, view: AgentView, end: RunEnd) -> None:
        row = EndRow(1, TASK, 1, end)
        message = RunsEnded(view.name, 1, (row,))
        assert view.connection is not None
        self.handler.handle(view.connection, message, True)

    def test_end_of_the_first_run_starts_no_other_one(self) -> None:
        """Regression: the task was started again while it ran."""
        self.end(self.old, RunEnd.INTERRUPTED)
        self.assertFalse(self.plan.has_waiting)
        self.assertEqual('new', self.plan.task_by_id[TASK].upstream)

    def test_loss_of_the_first_run_starts_no_other_one(self) -> None:
        self.runs.drop(self.old, TASK, 'lease lapsed')
        self.assertFalse(self.plan.has_waiting)

    def test_end_of_both_runs_lets_the_task_start_again(self) -> None:
        self.end(self.new, RunEnd.INTERRUPTED)
        self.assertFalse(self.plan.has_waiting)
        self.assertEqual('old', self.plan.task_by_id[TASK].upstream)
        self.end(self.old, RunEnd.INTERRUPTED)
        self.assertTrue(self.plan.has_waiting)

    def test_end_of_the_second_run_alone_lets_the_task_start_again(
        self,
    ) -> None:
        self.end(self.old, RunEnd.INTERRUPTED)
        self.end(self.new, RunEnd.INTERRUPTED)
        self.assertTrue(self.plan.has_waiting)


if __name__ == '__main__':
    unittest.main()
