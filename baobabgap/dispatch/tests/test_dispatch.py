"""The whole path of jobs, over real links, with upstreams in memory."""

from pathlib import Path
import tempfile
from typing import Final
import unittest

from baobabgap.accepted import TaskId
from baobabgap.dispatch import CallOutcome
from baobabgap.dispatch import RunOrder
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until

# Longer than any task of these tests takes, seconds.
_LONG_PATIENCE_S: Final = 120.0


class DispatchTest(unittest.TestCase):
    controls = 1
    agents = 2

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(
            Path(folder.name), self.controls, self.agents
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def starts(self) -> list[tuple[TaskId, int]]:
        return [
            start
            for upstream in self.deployment.upstreams
            for start in upstream.starts
        ]


class OneControlHostTest(DispatchTest):
    def test_volatile_job_is_answered_when_it_has_ended(self) -> None:
        answer = self.deployment.submit('a', step(6), volatile=True).result(
            WAIT_S
        )
        self.assertEqual(
            (CallOutcome.FOUND, 'completed'), (answer.outcome, answer.state)
        )
        self.assertEqual(6, len(self.starts()))
        self.assertEqual(
            {TaskId('a', 0, index) for index in range(6)},
            {task for task, _ in self.starts()},
        )

    def test_same_volatile_job_again_runs_once(self) -> None:
        first = self.deployment.submit('a', step(2), volatile=True)
        second = self.deployment.submit('a', step(2), volatile=True)
        self.assertEqual('completed', first.result(WAIT_S).state)
        self.assertEqual('completed', second.result(WAIT_S).state)
        third = self.deployment.submit('a', step(2), volatile=True)
        self.assertEqual('completed', third.result(WAIT_S).state)
        self.assertEqual(2, len(self.starts()))

    def test_stored_job_is_accepted_then_read(self) -> None:
        deployment = self.deployment
        answer = deployment.submit('a', step(3), volatile=False).result(WAIT_S)
        self.assertIs(CallOutcome.ACCEPTED, answer.outcome)
        wait_until(
            lambda: deployment.read('a').state == 'completed', 'the end'
        )
        self.assertIs(
            CallOutcome.NO_SUCH_JOB, deployment.read('unknown').outcome
        )
        self.assertEqual(3, len(self.starts()))

    def test_cancel_stops_what_runs_and_starts_nothing_more(self) -> None:
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        deployment.submit('a', step(20, 60_000), volatile=False).result(WAIT_S)
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        self.assertIs(CallOutcome.CANCELLED, deployment.cancel('a').outcome)
        wait_until(
            lambda: not any(up.running for up in deployment.upstreams),
            'stopped runs',
        )
        self.assertEqual('cancelled', deployment.read('a').state)
        self.assertIs(CallOutcome.CANCELLED, deployment.cancel('a').outcome)
        self.assertEqual(8, len(self.starts()))

    def test_jobs_without_a_started_task_are_counted(self) -> None:
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        deployment.submit('a', step(8, 60_000), volatile=False).result(WAIT_S)
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        deployment.submit('b', step(1, 60_000), volatile=False).result(WAIT_S)
        answer = deployment.read('')
        self.assertEqual(
            (CallOutcome.COUNTED, 1), (answer.outcome, answer.waiting)
        )

    def test_job_fails_after_its_attempts(self) -> None:
        for upstream in self.deployment.upstreams:
            upstream.fails = True
        answer = self.deployment.submit('a', step(1), volatile=True).result(
            WAIT_S
        )
        self.assertEqual('failed', answer.state)
        self.assertEqual([1, 2], sorted(run for _, run in self.starts()))

    def test_unanswered_start_runs_elsewhere_and_never_twice(self) -> None:
        """The order is carried out late, after the task has run again."""
        late: list[RunOrder] = []

        def leave_unanswered(order: RunOrder) -> bool:
            late.append(order)
            return len(late) == 1

        for upstream in self.deployment.upstreams:
            upstream.leaves_unanswered = leave_unanswered
        answer = self.deployment.submit('a', step(1), volatile=True).result(
            WAIT_S
        )
        self.assertEqual('completed', answer.state)
        self.assertEqual(1, len(self.starts()))
        for upstream in self.deployment.upstreams:
            upstream.carry_out(late[0], 99, upstream.clock_ms + 500)
        # Only the upstream that was never asked might take it.
        self.assertLessEqual(len(self.starts()), 2)

    def test_drained_upstream_gets_nothing_new(self) -> None:
        deployment = self.deployment
        deployment.agents[0].drain()
        wait_until(lambda: deployment.agents[0].is_idle, 'an idle agent')
        for number in range(5):
            deployment.submit(f'j{number}', step(1), volatile=True).result(
                WAIT_S
            )
        wait_until(lambda: len(deployment.upstreams[1].starts) >= 4, 'starts')

    def test_new_life_of_an_upstream_runs_its_tasks_again(self) -> None:
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        # Whoever waits for less time than that is refused at once.
        asked = deployment.submit(
            'a', step(8, 60_000), volatile=True, patience_s=_LONG_PATIENCE_S
        )
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        for upstream in deployment.upstreams:
            upstream.run_ms = 30
        crashed = deployment.upstreams[0]
        crashed.restart(born_ms=2)
        deployment.agents[0].announce(deployment.described(0))
        wait_until(lambda: len(crashed.starts) >= 4, 'starts anew')
        deployment.cancel('a')
        self.assertEqual('cancelled', asked.result(WAIT_S).state)

    def test_caller_of_a_job_that_never_began_is_told_so(self) -> None:
        """Before it stops waiting, so that it may come again."""
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        deployment.submit(
            'long', step(8, 60_000), volatile=True, patience_s=_LONG_PATIENCE_S
        )
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        # Its objective would let it wait for much longer.
        answer = deployment.submit(
            'a', step(1, 2000), volatile=True, patience_s=4.0
        ).result(WAIT_S)
        self.assertEqual(CallOutcome.OVERLOADED, answer.outcome)
        self.assertGreater(answer.retry_after_ms, 0)
        deployment.cancel('long')

    def test_looks_are_short_while_there_is_no_leader(self) -> None:
        """The next leader waits for reports, which wait for looks."""
        deployment = self.deployment
        upstream = deployment.upstreams[0]
        wait_until(lambda: upstream.last_wait_ms > 100, 'long looks')
        for node in deployment.nodes:
            node.stop()
        wait_until(lambda: 0 < upstream.last_wait_ms <= 50, 'short looks')

    def test_configuration_never_goes_back(self) -> None:
        self.deployment.put(7)
        self.deployment.put(3)
        assert self.deployment.leader is not None
        held = self.deployment.leader.read_configuration().result(WAIT_S)
        assert held is not None
        self.assertEqual(7, held.version)


class ThreeControlHostsTest(DispatchTest):
    controls = 3

    def test_volatile_job_survives_the_loss_of_the_leader(self) -> None:
        """Its runs go on meanwhile, and none is started twice."""
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 3000
        asked = deployment.submit('a', step(8, 3000), volatile=True)
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        self.assertEqual('completed', asked.result(WAIT_S).state)
        self.assertEqual(8, len(self.starts()))

    def test_silent_upstream_holds_no_new_leader_up(self) -> None:
        """Regression: its agent had nothing to report for seconds."""
        deployment = self.deployment
        deployment.submit('a', step(1), volatile=True).result(WAIT_S)
        deployment.upstreams[0].is_silent = True
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        wait_until(lambda: deployment.leader not in (None, leader), 'a leader')
        asked = deployment.submit('b', step(4), volatile=True)
        self.assertEqual('completed', asked.result(WAIT_S).state)
        self.assertEqual(
            {'a', 'b'}, {task.job_id for task, _ in self.starts()}
        )

    def test_stored_job_and_configuration_survive_it(self) -> None:
        deployment = self.deployment
        deployment.put(5)
        for upstream in deployment.upstreams:
            upstream.run_ms = 3000
        deployment.submit('a', step(8, 3000), volatile=False).result(WAIT_S)
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        wait_until(
            lambda: deployment.read('a').state == 'completed', 'the end'
        )
        self.assertEqual(8, len(self.starts()))
        assert deployment.leader is not None
        held = deployment.leader.read_configuration().result(WAIT_S)
        assert held is not None
        self.assertEqual(5, held.version)


if __name__ == '__main__':
    unittest.main()
