"""Evacuations of zones over real links, with leaders and disks lost.

Guards against starts in a zone after the operator was told that it gets none,
and against callers who pay for it: those whose jobs the rest could run.
"""

from dataclasses import replace
from pathlib import Path
import tempfile
import time
from typing import cast
import unittest
from unittest.mock import patch

from baobabgap.accepted import ZoneState
from baobabgap.dispatch import ControlNode
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch.tests.deployment import CORES
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import describe_upstream
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.dispatch.tests.deployment import ZONE
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import ZoneEvacuated
from baobabgap.replication import NotLeader
from baobabgap.scheduling import PlacementTarget
from baobabgap.transport import Connection

ZONES = ('a', 'b')
LONGEST_RETRY_AFTER_MS = 10_000
# Outcomes with which a caller submits a job again.
UNCLEAR = (CallOutcome.UNKNOWN, CallOutcome.UNAVAILABLE)


class EvacuationCase(unittest.TestCase):
    controls = 1
    agents = 4

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(
            Path(folder.name), self.controls, self.agents, zones=ZONES
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        self.jobs = 0
        wait_until(lambda: len(self.targets()) == self.agents, 'upstreams')

    @property
    def leader(self) -> ControlNode:
        wait_until(lambda: self.deployment.leader is not None, 'a leader')
        assert self.deployment.leader is not None
        return self.deployment.leader

    def targets(self) -> list[PlacementTarget]:
        views = self.leader._scheduler._term_state.view_by_name
        return [view.target for view in views.values() if view.target]

    def begin(self, zone: str) -> None:
        self.leader.begin_evacuation(zone).result(WAIT_S)

    def end(self, zone: str) -> None:
        self.leader.end_evacuation(zone).result(WAIT_S)

    def starts_in(self, zone: str) -> int:
        """Return how many runs have ever started in a zone."""
        upstreams = self.deployment.upstreams
        return sum(
            len(upstream.starts)
            for number, upstream in enumerate(upstreams)
            if ZONES[number % len(ZONES)] == zone
        )

    def wait_for_starts(self, zone: str, count: int) -> None:
        wait_until(lambda: self.starts_in(zone) >= count, f'{count} starts')

    def run_jobs(self, count: int = 5) -> None:
        """Run jobs that fill half of the upstreams, one after another."""
        for _ in range(count):
            self.jobs += 1
            wait_until(
                lambda: self.is_completed(f'job-{self.jobs}'),
                'a completed job',
            )

    def is_completed(self, job_id: str) -> bool:
        """Submit a job as often as a caller does that gets no clear answer."""
        tasks = step(self.agents * CORES // 2)
        submission = self.deployment.submit(job_id, tasks, volatile=True)
        answer = submission.result(WAIT_S)
        if answer.outcome in UNCLEAR:
            return False
        self.assertEqual('completed', answer.state)
        return True

    def assert_zone_rests(self, zone: str) -> None:
        before = self.starts_in(zone)
        self.run_jobs()
        self.assertEqual(before, self.starts_in(zone))

    def assert_zone_is_used(self, zone: str) -> None:
        before = self.starts_in(zone)
        self.run_jobs()
        self.assertLess(before, self.starts_in(zone))


class OneControlHostTest(EvacuationCase):
    def test_nothing_starts_until_the_zone_is_taken_back(self) -> None:
        self.assert_zone_is_used('a')
        for _ in range(2):
            # The second time, the order is a repeated one.
            self.begin('a')
            self.assert_zone_rests('a')
        for _ in range(2):
            self.end('a')
            self.assert_zone_is_used('a')

    def test_what_runs_there_ends_by_itself(self) -> None:
        for upstream in self.deployment.upstreams:
            upstream.run_ms = 1500
        submission = self.deployment.submit(
            'long', step(self.agents * CORES, 1500), volatile=True
        )
        wait_until(lambda: self.starts_in('a') == 8, 'full upstreams')
        self.begin('a')
        self.assertEqual('completed', submission.result(WAIT_S).state)
        self.assertEqual(8, self.starts_in('a'))
        self.assertEqual(8, self.starts_in('b'))

    def test_tasks_that_wait_start_in_the_other_zone(self) -> None:
        """The order comes while more wait than the upstreams have room for."""
        for upstream in self.deployment.upstreams:
            upstream.run_ms = 400
        submission = self.deployment.submit(
            'many', step(3 * self.agents * CORES, 400), volatile=True
        )
        wait_until(lambda: self.starts_in('a') == 8, 'full upstreams')
        self.begin('a')
        before = self.starts_in('a')
        self.assertEqual('completed', submission.result(WAIT_S).state)
        self.assertEqual(before, self.starts_in('a'))

    def test_upstream_that_comes_later_gets_nothing(self) -> None:
        self.begin('a')
        deployment = self.deployment
        deployment.agents[0].announce(None)
        deployment.upstreams[0].restart(born_ms=2)
        deployment.agents[0].announce(deployment.announced_state(0))
        deployment.replace_agent(2, silent_s=0.1)
        deployment.agents[2].announce(deployment.announced_state(2))
        time.sleep(0.5)
        self.assert_zone_rests('a')

    def test_capacity_for_admission_halves_at_once(self) -> None:
        """A job is refused that could be in time with all upstreams only.

        22 to 26 s of work wait for 16 or 8 processors: 1.4 or 2.8 s. The job
        may wait for 2.1 s.
        """
        for upstream in self.deployment.upstreams:
            upstream.run_ms = 500
        cases = [(False, CallOutcome.FOUND), (True, CallOutcome.OVERLOADED)]
        for is_evacuated, outcome in cases:
            if is_evacuated:
                self.begin('a')
            before = self.starts_in('b')
            first = self.deployment.submit(
                f'first-{is_evacuated}', step(60, 500), volatile=True
            )
            self.wait_for_starts('b', before + 8)
            second = self.deployment.submit(
                f'second-{is_evacuated}',
                step(1, 500),
                volatile=True,
                patience_s=10.0,
            ).result(WAIT_S)
            self.assertEqual('completed', first.result(WAIT_S).state)
            self.assertIs(outcome, second.outcome)

    def test_without_any_zone_callers_are_refused_at_once(self) -> None:
        for zone in ZONES:
            self.begin(zone)
        asked_at = time.monotonic()
        answer = self.deployment.submit(
            'x', step(1), volatile=True, patience_s=5.0
        ).result(WAIT_S)
        self.assertIs(CallOutcome.OVERLOADED, answer.outcome)
        self.assertEqual(LONGEST_RETRY_AFTER_MS, answer.retry_after_ms)
        # Long before it would be of no use any more: 0.6 s.
        self.assertLess(time.monotonic() - asked_at, 0.3)
        self.end('a')
        self.assert_zone_rests('b')

    def test_job_that_can_wait_starts_when_a_zone_returns(self) -> None:
        for zone in ZONES:
            self.begin(zone)
        # Of use for longer than a refused caller would stay away.
        submission = self.deployment.submit('x', step(1, 5000), volatile=True)
        time.sleep(0.5)
        self.assertFalse(submission.done())
        self.end('b')
        self.assertEqual('completed', submission.result(WAIT_S).state)
        self.assertEqual(0, self.starts_in('a'))

    def test_refusal_by_an_agent_is_no_fault_of_its_upstream(self) -> None:
        """Its leader's word reaches the agent before a start on its way."""
        agent = self.deployment.agents[0]
        fence = agent._fence
        # The next grant would correct the state that only this agent has.
        compare = patch.object(agent._zone_gate, 'compare')
        compare.start()
        self.addCleanup(compare.stop)
        agent._handle_message(ZoneEvacuated(fence, 'a', 7, True))
        refused = 'baobabgap_starts_not_made_total{reason="evacuated"}'
        for upstream in self.deployment.upstreams:
            upstream.run_ms = 1500
        # It fills all upstreams.
        submission = self.deployment.submit(
            'x', step(self.agents * CORES, 1500), volatile=True
        )
        wait_until(lambda: agent._metrics.value(refused) > 0, 'a refusal')
        agent._handle_message(ZoneEvacuated(fence, 'a', 8, False))
        self.assertEqual('completed', submission.result(WAIT_S).state)
        for target in self.targets():
            self.assertEqual(0, target.health.failures_in_row)
            self.assertEqual(0.0, target.health.refused_until)
            self.assertEqual(0.0, target.health.suspended_until)

    def test_orders_wait_for_the_leader(self) -> None:
        self.leader.stop()
        node = self.deployment.nodes[0]
        for order in (node.begin_evacuation, node.end_evacuation):
            with self.assertRaises(NotLeader):
                order('a').result(WAIT_S)

    def test_run_times_of_a_cold_upstream_are_not_learned(self) -> None:
        deployment = self.deployment
        for number, agent in enumerate(deployment.agents):
            deployment.upstreams[number].run_ms = 300
            state = deployment.announced_state(number)
            agent.announce(replace(state, cold_left_ms=60_000))
        wait_until(
            lambda: (
                sum(target.is_cold for target in self.targets()) == self.agents
            ),
            'cold ones',
        )
        self.run_jobs(2)
        run_times = self.leader._scheduler._term_state.run_times
        self.assertEqual(0.1, run_times.expected_s('q', 100))
        self.assertEqual(1.0, run_times.slowness('kind'))


class ThreeControlHostsTest(EvacuationCase):
    controls = 3

    def number_of(self, node: ControlNode) -> int:
        return self.deployment.nodes.index(node)

    def wait_for_next_leader(self, earlier: ControlNode) -> None:
        wait_until(
            lambda: self.deployment.leader not in (None, earlier), 'a leader'
        )

    def test_order_outlives_its_leader(self) -> None:
        self.begin('a')
        earlier = self.leader
        earlier.stop()
        self.wait_for_next_leader(earlier)
        self.assert_zone_rests('a')
        self.end('a')
        self.assert_zone_is_used('a')

    def test_order_outlives_a_lost_disk_and_restarts(self) -> None:
        """No record is lost with a disk, and none comes back."""
        self.begin('a')
        self.begin('b')
        self.end('b')
        leader = self.number_of(self.leader)
        self.deployment.replace_node(leader, wiped=True)
        self.assert_zone_rests('a')
        self.assert_zone_is_used('b')
        for number in range(self.controls):
            self.deployment.replace_node(number)
        self.assert_zone_rests('a')
        self.assert_zone_is_used('b')

    def test_zone_rests_after_all_hosts_restarted_at_once(self) -> None:
        self.begin('a')
        for node in self.deployment.nodes:
            node.stop()
        for number in range(self.controls):
            self.deployment.replace_node(number)
        self.assert_zone_rests('a')


class FakeConnection:
    """Records what an agent is sent."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message: object) -> None:
        self.sent.append(message)


class EvacuationsTest(unittest.TestCase):
    """The leader's decisions, without links."""

    def setUp(self) -> None:
        self.term_state = TermState()
        self.evacuations = Evacuations(self.term_state)
        self.term_state.begin_term(4, Takeover.none())
        self.connection = FakeConnection()
        self.view = AgentView(
            'agent', connection=cast(Connection, self.connection)
        )
        self.term_state.view_by_name['agent'] = self.view

    def register(self) -> PlacementTarget:
        """Register the agent's upstream, in `ZONE`."""
        upstream = describe_upstream(0, 1, CORES)
        self.view.upstream = upstream
        self.view.target = PlacementTarget(
            'agent',
            upstream.service,
            upstream.availability_zone,
            upstream.labels,
            upstream.capacity,
            upstream.capacity,
        )
        self.evacuations.update_target(self.view)
        return self.view.target

    def change(self, zone: str, version: int, *, is_evacuated: bool) -> None:
        self.evacuations.handle_change(ZoneState(zone, version, is_evacuated))

    def test_target_follows_the_orders_of_its_zone(self) -> None:
        target = self.register()
        cases = [
            ('elsewhere', True, True),
            (ZONE, True, False),
            ('elsewhere', False, False),
            (ZONE, False, True),
        ]
        for version, (zone, is_evacuated, is_open) in enumerate(cases):
            self.change(zone, version, is_evacuated=is_evacuated)
            self.assertEqual(is_open, target.is_open, (zone, is_evacuated))
        self.assertEqual(
            [
                ZoneEvacuated(4, 'elsewhere', 0, True),
                ZoneEvacuated(4, ZONE, 1, True),
                ZoneEvacuated(4, 'elsewhere', 2, False),
                ZoneEvacuated(4, ZONE, 3, False),
            ],
            self.connection.sent,
        )

    def test_term_begins_with_the_zones_of_the_log(self) -> None:
        self.evacuations.begin_term({ZONE: 7})
        self.assertFalse(self.register().is_open)
        self.evacuations.handle_link(self.view)
        self.assertEqual(
            [ZoneEvacuated(4, ZONE, 7, True)], self.connection.sent
        )
        self.term_state.begin_term(5, Takeover.none())
        self.evacuations.begin_term({})
        self.assertTrue(self.register().is_open)

    def test_agent_without_an_upstream_is_told_all_zones(self) -> None:
        self.change(ZONE, 2, is_evacuated=True)
        self.change('elsewhere', 3, is_evacuated=True)
        self.assertEqual(2, len(self.connection.sent))

    def test_end_does_not_open_an_unusable_upstream(self) -> None:
        self.change(ZONE, 2, is_evacuated=True)
        target = self.register()
        assert self.view.upstream is not None
        self.view.upstream = replace(self.view.upstream, is_draining=True)
        self.change(ZONE, 3, is_evacuated=False)
        self.assertFalse(target.is_open)


if __name__ == '__main__':
    unittest.main()
