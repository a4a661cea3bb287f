"""Tests that a full report on an older link neither doubles nor keeps runs."""

from pathlib import Path
import tempfile
from typing import Any
import unittest
from unittest import mock

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import FullReport
from baobabgap.protocol import ReportRequest
from baobabgap.protocol import RunRow

RUN_MS = 300
AUTHORITY_S = 3.0


class RequestedReportTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), controls=1, agents=1)
        self.deployment.upstreams[0].run_ms = RUN_MS
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        wait_until(lambda: self.view.may_start(AUTHORITY_S), 'authority')

    @property
    def view(self) -> AgentView:
        """What the leader holds of the agent."""
        leader = self.deployment.leader
        assert leader is not None
        views = leader._scheduler._term_state.view_by_name
        return views.get('agent-0') or AgentView('agent-0')

    def starts_ordered(self) -> int:
        leader = self.deployment.leader
        assert leader is not None
        return leader.metrics.value('baobabgap_starts_total')

    @property
    def request(self) -> ReportRequest:
        leader = self.deployment.leader
        assert leader is not None
        return ReportRequest(leader._scheduler._term_state.term)

    def test_run_ordered_while_a_report_is_on_its_way_is_doubled(self) -> None:
        connection: Any = self.deployment.agents[0]._connection
        leader_connection = self.view.connection
        assert leader_connection is not None
        send, answers = connection.send, []

        def send_late(message: object) -> None:
            if isinstance(message, FullReport):
                answers.append(
                    self.deployment.submit('a', step(1), volatile=True)
                )
                wait_until(lambda: self.starts_ordered() == 1, 'an order')
            send(message)

        with mock.patch.object(connection, 'send', send_late):
            leader_connection.send(self.request)
            wait_until(lambda: bool(answers), 'a report')
            self.assertEqual('completed', answers[0].result(5.0).state)
        self.assertEqual(1, self.starts_ordered())

    def test_request_hides_that_an_upstream_became_unreachable(self) -> None:
        """A due report covers a change; a requested one may come late."""
        agent, request = self.deployment.agents[0], self.request
        handle_unanswered_poll = agent._handle_unanswered_poll

        def handle_after_request() -> None:
            agent._handle_message(request)
            handle_unanswered_poll()

        with mock.patch.object(
            agent, '_handle_unanswered_poll', handle_after_request
        ):
            self.deployment.upstreams[0].is_silent = True
            wait_until(
                lambda: not (self.view.target and self.view.target.is_open),
                'a closed target',
            )


class UnreportedRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = AgentView('agent')
        for number in (1, 2):
            self.add(number)
            self.view.note_starts_sent([task_id(number)])

    def add(self, number: int) -> None:
        self.view.run_by_task[task_id(number)] = Run(
            task_id(number), 1, Demand(), 0.0, 1.0
        )

    def unreported(self, starts_received: int | None) -> list[TaskId]:
        report = FullReport(1, None, (), (), (), starts_received)
        return self.view.unreported_runs(report)

    def test_run_whose_order_has_arrived_is_kept_for_ever(self) -> None:
        cases: list[tuple[int | None, list[int]]] = [
            (0, []),
            (1, [1]),
            (2, [1, 2]),
            # From an agent that reports once a link.
            (None, [1, 2]),
        ]
        for received, gone in cases:
            with self.subTest(received=received):
                self.assertEqual(
                    [task_id(number) for number in gone],
                    self.unreported(received),
                )

    def test_run_of_an_earlier_link_is_kept_for_ever(self) -> None:
        self.view.begin_link(mock.Mock())
        self.add(3)
        self.view.note_starts_sent([task_id(3)])
        self.assertEqual([task_id(1), task_id(2)], self.unreported(0))

    def test_run_of_an_earlier_process_is_taken_for_gone(self) -> None:
        """Its start may be carried out later, unless it is stopped."""
        self.view.upstream = describe_upstream(0, 1, 4)
        link = mock.Mock()
        self.view.begin_link(link)
        self.add(3)
        self.view.note_starts_sent([task_id(3)])
        # Of the same process.
        self.view.begin_link(link)
        self.assertEqual([1, 2], self.unknown(born_ms=1))
        self.assertEqual([1, 2], self.unknown(born_ms=2))
        self.assertEqual([], self.unknown(born_ms=2, number=1))
        self.view.note_listed([RunRow(task_id(1), 1, True)])
        self.assertEqual([2], self.unknown(born_ms=1))

    def unknown(self, born_ms: int, number: int = 0) -> list[int]:
        upstream = describe_upstream(number, born_ms, 4)
        report = FullReport(1, upstream, (), (), (), 0)
        rows = self.view.unknown_to_process(report)
        return [n for n in (1, 2, 3) if task_id(n) in {r.task for r in rows}]


def task_id(number: int) -> TaskId:
    return TaskId('job', 0, number)
