"""Tests that an agent's enrolment is durable before it gets runs."""

import time
from typing import Any
import unittest
from unittest.mock import Mock

from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._agent_handler import AgentHandler
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._events import Event
from baobabgap.dispatch._events import MembersEnrolled
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch._view_check import ViewCheck
from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.jobmodel import AcceptedJob
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import Authority
from baobabgap.protocol import AuthorityRequest
from baobabgap.protocol import FullReport
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsGone
from baobabgap.protocol import UpstreamQuiet
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import RunTimes
from baobabgap.telemetry import Metrics

TERM = 2
REQUEST = AuthorityRequest(1, 'u', 0)


class HandlerTest(unittest.TestCase):
    # The members at the election.
    members: tuple[str, ...] = ()

    def setUp(self) -> None:
        self.term_state = TermState()
        self.takeover = Takeover(TERM, self.members, 10.0)
        self.term_state.begin_term(TERM, self.takeover)
        self.committer = Mock()
        self.connection = Mock()
        self.connection.peer.name = 'agent'
        self.handler = AgentHandler(
            self.term_state,
            RunTracker(self.term_state),
            Mock(),
            Mock(),
            Evacuations(self.term_state),
            ViewCheck(Metrics()),
            Mock(),
            self.committer,
            LeaseTiming(),
            self.handle_event,
        )
        self.handler.handle_link(self.connection)

    def handle_event(self, event: Event) -> None:
        assert isinstance(event, MembersEnrolled)
        self.handler.handle_enrolled(event)

    def end_proposal(self, number: int, result: Any) -> None:
        command, on_end = self.committer.propose.call_args_list[number].args
        self.assertEqual(EnrolMembers(('agent/agent',)), command)
        on_end(result)

    def request_authority(self) -> None:
        self.handler.handle(self.connection, REQUEST, True)

    @property
    def is_enrolled(self) -> bool:
        return self.term_state.view_by_name['agent'].is_enrolled


class AgentEnrolmentTest(HandlerTest):
    def test_unknown_outcome_counts_as_durable(self) -> None:
        self.end_proposal(0, None)
        self.assertFalse(self.is_enrolled)
        self.request_authority()
        self.connection.send.assert_not_called()

    def test_enrolment_with_unknown_outcome_is_never_repeated(self) -> None:
        self.request_authority()
        self.assertEqual(1, self.committer.propose.call_count)
        self.end_proposal(0, None)
        self.request_authority()
        self.assertEqual(2, self.committer.propose.call_count)
        self.end_proposal(1, 'stored')
        self.assertTrue(self.is_enrolled)
        self.request_authority()
        self.assertEqual(2, self.committer.propose.call_count)
        self.connection.send.assert_called_once()


class AuthorityDuringTakeoverTest(HandlerTest):
    members = ('agent/agent', 'agent/other')

    def setUp(self) -> None:
        super().setUp()
        self.end_proposal(0, 'stored')

    def grants(self) -> int:
        """Return how often authority is granted on a request."""
        self.connection.reset_mock()
        self.request_authority()
        messages = [call.args[0] for call in self.connection.send.mock_calls]
        return sum(isinstance(message, Authority) for message in messages)

    def test_authority_before_the_report_outlives_the_takeover(self) -> None:
        """The runs of an earlier term went on while their tasks ran."""
        self.assertEqual(0, self.grants())
        report = FullReport(TERM, describe_upstream(0, 1, 4), (), ())
        self.handler.handle(self.connection, report, True)
        self.assertEqual(1, self.grants())

    def test_authority_is_granted_after_a_takeover_without_a_report(
        self,
    ) -> None:
        self.assertEqual(0, self.grants())
        self.takeover.end_if_due(10.0)
        self.assertEqual(1, self.grants())


class QuietUpstreamTest(HandlerTest):
    def setUp(self) -> None:
        super().setUp()
        self.view = self.term_state.view_by_name['agent']
        process = self.view.linked_incarnation
        timing = LeaseTiming()
        for name, incarnation, age_s in (
            ('of this process', process, 0.0),
            ('of an earlier one', 'earlier', timing.late_run_s - 1),
            ('older', 'earlier', timing.late_run_s + 1),
        ):
            task = TaskId(name, 0, 0)
            self.view.run_by_task[task] = Run(
                task,
                1,
                Demand(),
                time.monotonic() - age_s,
                1.0,
                agent_incarnation=incarnation,
            )

    def kept(self, message: UpstreamQuiet) -> list[str]:
        self.handler.handle(self.connection, message, True)
        return [task.job_id for task in self.view.run_by_task]

    def test_runs_of_a_quiet_upstream_are_kept_for_ever(self) -> None:
        """Calls of an earlier process may be carried out for a while."""
        self.assertEqual(3, len(self.kept(UpstreamQuiet(TERM - 1))))
        self.assertEqual(['of an earlier one'], self.kept(UpstreamQuiet(TERM)))


class RefusedBesideRunTest(HandlerTest):
    def test_task_of_a_refused_start_is_started_beside_the_other_run(
        self,
    ) -> None:
        step = Step(1, Demand(1000, 10, 0), 100)
        job = AcceptedJob(
            'j', 'q', 's', 0, 1, 1.6, 60, '', (step,), 0, 1, True
        )
        plan = JobPlan(job, 0.0, RunTimes())
        self.term_state.plan_by_id['j'] = plan
        task = plan.task_by_id[TaskId('j', 0, 0)]
        view = self.term_state.view_by_name['agent']
        view.upstream = describe_upstream(0, 1, 4)
        RunTracker(self.term_state).add(view, plan, task, 2)
        message = RunsGone(
            view.upstream.instance,
            1,
            (RunRow(task.task, 2, False),),
            'other run',
            (RunRow(task.task, 1, True),),
        )
        self.handler.handle(self.connection, message, True)
        self.assertEqual(1, view.run_by_task[task.task].number)
        self.assertEqual('agent', task.upstream)
        self.assertEqual([], list(plan.waiting_by_step[0]))
