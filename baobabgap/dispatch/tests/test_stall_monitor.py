"""Tests that work doesn't wait for ever while upstreams are free."""

from dataclasses import replace
from pathlib import Path
import tempfile
import time
from typing import Any
import unittest
from unittest import mock

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._stall_monitor import StallMonitor
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch._view_check import ViewCheck
from baobabgap.dispatch.tests.deployment import CORES
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.dispatch.tests.deployment import SERVICE
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.deployment import ZONE
from baobabgap.jobmodel import AcceptedJob
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import ReportRequest
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.telemetry import Metrics

TERM = 3
# Longer than the test, so that nothing is given up.
ESTIMATE_MS = 10_000
STALLS = f'baobabgap_stalls_total{{service="{SERVICE}"}}'
LOG_EVENT = 'baobabgap.dispatch._stall_monitor.log_event'


class StallMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.term_state = TermState()
        takeover = Takeover(TERM, (), 0.0)
        self.term_state.begin_term(TERM, takeover)
        takeover.end_if_due(1.0)
        self.metrics = Metrics()
        self.monitor = StallMonitor(
            self.term_state, LeaseTiming(), self.metrics
        )
        self.began_at = time.monotonic()
        self.views = [self.add_upstream(number) for number in range(4)]

    def add_upstream(self, number: int) -> AgentView:
        upstream = describe_upstream(number, 1, CORES)
        view = AgentView(f'agent-{number}', mock.Mock(), has_reported=True)
        view.is_enrolled = view.answers_report_requests = True
        view.authority_granted_at = boottime_clock()
        view.upstream = upstream
        self.term_state.view_by_name[view.name] = view
        capacity = upstream.capacity
        self.term_state.set_target(
            view,
            PlacementTarget(view.name, SERVICE, ZONE, (), capacity, capacity),
        )
        return view

    def target(self, number: int) -> PlacementTarget:
        target = self.views[number].target
        assert target is not None
        return target

    def close(self, number: int, **state: bool) -> None:
        upstream = self.views[number].upstream
        assert upstream is not None
        changes: dict[str, Any] = dict(state)
        self.views[number].upstream = replace(upstream, **changes)
        self.target(number).set_open(False)

    def evacuate(self) -> None:
        self.term_state.version_by_evacuated_zone[ZONE] = 1
        self.close(0)

    def put_on_trial(self) -> None:
        for _ in range(2):
            self.target(0).note_failed(self.began_at - 9.0)
        self.target(0).occupy(step(1).demand)

    def add_work(self, *, is_held: bool = False) -> None:
        job = AcceptedJob(
            'a', 'q', SERVICE, 0, 1, 1.6, 60, '',
            (step(1, ESTIMATE_MS),), 0, TERM, True,
        )  # fmt: skip
        plan = JobPlan(job, self.began_at, self.term_state.run_times)
        self.term_state.add_plan(plan)
        if is_held:
            self.term_state.hold_plan('a')

    def check_for(self, seconds: float) -> list[dict[str, Any]]:
        """Check as often as the leader does; return what is logged."""
        with mock.patch(LOG_EVENT) as log_event:
            for number in range(round(seconds / 0.05)):
                self.monitor.check(self.began_at + 0.05 * number)
        return [
            dict(call.kwargs)
            for call in log_event.call_args_list
            if call.args == ('starts_stalled',)
        ]

    def asked(self) -> list[str]:
        connections: dict[str, Any] = {
            view.name: view.connection for view in self.views
        }
        request = mock.call(ReportRequest(TERM))
        return [
            name
            for name, connection in connections.items()
            if request in connection.send.mock_calls
        ]

    def test_log_does_not_name_why_an_upstream_is_not_used(self) -> None:
        now = self.began_at
        demand = self.target(0).capacity
        cases: dict[str, Any] = {
            'draining': lambda: self.close(0, is_draining=True),
            'unreachable': lambda: self.close(0, is_reachable=False),
            'evacuated': self.evacuate,
            'closed': lambda: self.close(0),
            'suspended': lambda: [
                self.target(0).note_failed(now + 0.5) for _ in range(2)
            ],
            'on trial': self.put_on_trial,
            'exclusive run': lambda: self.target(0).occupy(
                step(1).demand, is_exclusive=True
            ),
            'reserved': lambda: self.term_state.pool_by_service[
                SERVICE
            ].reserve_idle(step(1), now, lambda target: True),
            'no authority': lambda: setattr(
                self.views[0], 'authority_granted_at', 0.0
            ),
            'not reported': lambda: setattr(
                self.views[0], 'has_reported', False
            ),
            'not linked': lambda: setattr(self.views[0], 'connection', None),
            'no room': lambda: self.target(0).occupy(demand),
        }
        for obstacle, apply in cases.items():
            with self.subTest(obstacle):
                self.setUp()
                apply()
                self.add_work()
                logged = self.check_for(1.2)
                self.assertEqual(1, len(logged))
                self.assertEqual(
                    {obstacle: 1, 'none': 3}, logged[0]['upstreams']
                )
                self.assertEqual(['agent-0'], logged[0]['examples'][obstacle])
                self.assertEqual(1, self.metrics.value(STALLS))

    def test_agent_is_asked_whose_state_explains_it(self) -> None:
        self.close(0, is_draining=True)
        self.close(1, is_reachable=False)
        self.views[1].authority_granted_at -= 2.0
        self.close(2, is_reachable=False)
        self.close(3)
        self.add_work()
        self.check_for(1.2)
        self.assertEqual(['agent-2', 'agent-3'], self.asked())

    def test_agent_of_an_earlier_version_gets_an_unknown_message(self) -> None:
        self.views[0].answers_report_requests = False
        self.add_work()
        self.check_for(1.2)
        self.assertEqual(['agent-1', 'agent-2', 'agent-3'], self.asked())

    def test_many_upstreams_flood_log_and_leader(self) -> None:
        self.views = [self.add_upstream(number) for number in range(1700)]
        self.add_work()
        logged = self.check_for(4.0)
        self.assertEqual(1, len(logged))
        self.assertEqual({'none': 1700}, logged[0]['upstreams'])
        self.assertEqual(3, len(logged[0]['examples']['none']))
        self.assertLessEqual(logged[0]['reports_requested'], 200)
        # Others are asked at each look.
        self.assertGreater(len(self.asked()), 500)

    def test_full_or_held_service_counts_as_stalled(self) -> None:
        for case in ('full', 'held', 'no upstream', 'starts'):
            with self.subTest(case):
                self.setUp()
                self.add_work(is_held=case == 'held')
                if case == 'full':
                    for number in range(4):
                        self.target(number).occupy(self.target(number).free)
                if case == 'no upstream':
                    for view in self.views:
                        self.term_state.set_target(view, None)
                if case == 'starts':
                    self.term_state.last_start_at_by_service[SERVICE] = (
                        self.began_at + 2.0
                    )
                self.assertEqual([], self.check_for(3.0))
                self.assertEqual(0, self.metrics.value(STALLS))


class WrongViewTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), controls=1, agents=1)
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        wait_until(self.is_open, 'an open target')

    def is_open(self) -> bool:
        leader = self.deployment.leader
        assert leader is not None
        views = leader._scheduler._term_state.view_by_name
        view = views.get('agent-0')
        return bool(view and view.target and view.target.is_open)

    def test_upstream_believed_unreachable_is_never_used_again(self) -> None:
        upstream, agent = self.deployment.upstreams[0], self.deployment.agents
        upstream.is_silent = True
        wait_until(lambda: not self.is_open(), 'a closed target')
        with (
            mock.patch.object(agent[0], '_report_upstream'),
            mock.patch.object(ViewCheck, 'differing_state', return_value=None),
        ):
            upstream.is_silent = False
            began_at = time.monotonic()
            answer = self.deployment.submit(
                'a', step(1, 3000), volatile=True
            ).result(10.0)
            waited_s = time.monotonic() - began_at
        self.assertEqual('completed', answer.state)
        self.assertLess(waited_s, 2.0)
        self.assertEqual(1, len(upstream.starts))
