"""End-to-end tests over real links with in-memory upstreams."""

from pathlib import Path
import tempfile
import time
from typing import Final
import unittest

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import RunOrder

# Seconds; longer than any task of these tests takes.
_LONG_PATIENCE_S: Final = 120.0


def step_of(cores: int) -> Step:
    return Step(1, Demand(1000 * cores, 10, 0), 100)


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

    def test_resubmitted_volatile_job_runs_once(self) -> None:
        first = self.deployment.submit('a', step(2), volatile=True)
        second = self.deployment.submit('a', step(2), volatile=True)
        self.assertEqual('completed', first.result(WAIT_S).state)
        self.assertEqual('completed', second.result(WAIT_S).state)
        third = self.deployment.submit('a', step(2), volatile=True)
        self.assertEqual('completed', third.result(WAIT_S).state)
        self.assertEqual(2, len(self.starts()))

    def test_job_with_unusable_numbers_does_not_end_the_term(self) -> None:
        leader = self.deployment.leader
        assert leader is not None
        waiting = self.deployment.submit('a', step(30), volatile=True)
        answer = self.deployment.submit(
            'b', step(1, 10**400), volatile=True
        ).result(WAIT_S)
        self.assertIs(CallOutcome.INVALID, answer.outcome)
        self.assertEqual('completed', waiting.result(WAIT_S).state)
        # A new term would have counted the runs in thousands.
        self.assertTrue(all(run < 1000 for _, run in self.starts()))

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

    def test_cancel_stops_runs_and_prevents_further_starts(self) -> None:
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
        """The order is executed late, after another run of the task."""
        unanswered: list[RunOrder] = []

        def leave_unanswered(order: RunOrder) -> bool:
            unanswered.append(order)
            return len(unanswered) == 1

        for upstream in self.deployment.upstreams:
            upstream.leaves_unanswered = leave_unanswered
        answer = self.deployment.submit('a', step(1), volatile=True).result(
            WAIT_S
        )
        self.assertEqual('completed', answer.state)
        self.assertEqual(1, len(self.starts()))
        for upstream in self.deployment.upstreams:
            upstream.carry_out(unanswered[0], 99, upstream.clock_ms + 500)
        # Only the upstream without an order so far may start it.
        self.assertLessEqual(len(self.starts()), 2)

    def test_run_goes_on_while_its_agent_is_out_of_touch(self) -> None:
        """Silence must not start a run again that still goes on."""
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 1500
        answer = deployment.submit('a', step(2, 1500), volatile=True)
        wait_until(lambda: len(self.starts()) == 2, 'both runs')
        for _ in range(3):
            # The other agent's upstream has capacity for the task.
            connection = deployment.agents[0]._connection
            if connection is not None:
                connection.close()
            time.sleep(0.2)
        self.assertEqual('completed', answer.result(WAIT_S).state)
        self.assertEqual(2, len(self.starts()))

    def test_silent_upstream_of_a_restarted_agent_keeps_its_run(self) -> None:
        """The task waited for it for as long as the agent was linked."""
        for upstream in self.deployment.upstreams:
            upstream.run_ms = 60_000
        self.deployment.submit('a', step(1), volatile=False).result(WAIT_S)
        wait_until(lambda: len(self.starts()) == 1, 'a start')
        (number,) = (
            number
            for number, upstream in enumerate(self.deployment.upstreams)
            if upstream.running
        )
        self.deployment.upstreams[number].is_silent = True
        self.deployment.replace_agent(number, silent_s=0.1)
        wait_until(lambda: len(self.starts()) == 2, 'another start')
        self.assertEqual(set(), self.deployment.upstreams[number].running)

    def test_draining_upstream_gets_no_new_runs(self) -> None:
        deployment = self.deployment
        deployment.agents[0].drain()
        wait_until(lambda: deployment.agents[0].is_idle, 'an idle agent')
        for number in range(5):
            deployment.submit(f'j{number}', step(1), volatile=True).result(
                WAIT_S
            )
        wait_until(lambda: len(deployment.upstreams[1].starts) >= 4, 'starts')

    def test_upstream_with_less_capacity_gets_no_more_than_that(self) -> None:
        """Upstreams need not refuse what exceeds their capacity."""
        deployment = self.deployment
        deployment.agents[1].drain()
        wait_until(lambda: deployment.agents[1].is_idle, 'an idle agent')
        upstream = deployment.upstreams[0]
        upstream.run_ms = 150
        for cores in (1, 6, 2):
            deployment.agents[0].announce(
                deployment.announced_state(0, cores=cores)
            )
            time.sleep(0.2)
            most = 0
            answer = deployment.submit(
                f'job-{cores}', step(9, 150), volatile=True
            )
            while not answer.done():
                most = max(most, len(upstream.running))
                time.sleep(0.005)
            self.assertEqual('completed', answer.result(WAIT_S).state)
            self.assertEqual(cores, most)

    def test_restarted_upstream_runs_its_tasks_again(self) -> None:
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        # A job is refused at once if its caller waits for less time.
        submission = deployment.submit(
            'a', step(8, 60_000), volatile=True, patience_s=_LONG_PATIENCE_S
        )
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        for upstream in deployment.upstreams:
            upstream.run_ms = 30
        crashed = deployment.upstreams[0]
        crashed.restart(born_ms=2)
        deployment.agents[0].announce(deployment.announced_state(0))
        wait_until(lambda: len(crashed.starts) >= 4, 'repeated starts')
        deployment.cancel('a')
        self.assertEqual('cancelled', submission.result(WAIT_S).state)

    def test_waiting_job_that_never_began_is_refused(self) -> None:
        """The refusal arrives while the caller waits, so that it can retry."""
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 60_000
        deployment.submit(
            'long', step(8, 60_000), volatile=True, patience_s=_LONG_PATIENCE_S
        )
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        # Its objective alone would permit a much longer wait.
        answer = deployment.submit(
            'a', step(1, 2000), volatile=True, patience_s=4.0
        ).result(WAIT_S)
        self.assertEqual(CallOutcome.OVERLOADED, answer.outcome)
        self.assertGreater(answer.retry_after_ms, 0)
        deployment.cancel('long')

    def test_jobs_of_a_queue_are_counted(self) -> None:
        deployment = self.deployment
        # Which demand is too large is known once upstreams have reported.
        deployment.submit('a', step(3), volatile=True).result(WAIT_S)
        huge = deployment.submit('huge', step_of(99), volatile=True)
        self.assertEqual(CallOutcome.OVERLOADED, huge.result(WAIT_S).outcome)
        leader = deployment.leader
        assert leader is not None
        metrics = leader.metrics
        self.assertEqual(
            1,
            metrics.value(
                'baobabgap_queue_refused_total{queue="q",reason="too_large"}'
            ),
        )
        self.assertEqual(
            3, metrics.value('baobabgap_queue_starts_total{queue="q"}')
        )
        wait_until(
            lambda: (
                'baobabgap_queue_had_cores{queue="q"}'
                in metrics.as_prometheus_text()
            ),
            'values by queue',
        )

    def test_polls_are_short_without_a_leader(self) -> None:
        """The next leader needs reports, which follow a poll."""
        deployment = self.deployment
        upstream = deployment.upstreams[0]
        wait_until(lambda: upstream.last_wait_ms > 100, 'long polls')
        for node in deployment.nodes:
            node.stop()
        wait_until(lambda: 0 < upstream.last_wait_ms <= 50, 'short polls')

    def test_older_configuration_is_ignored(self) -> None:
        self.deployment.configure(7)
        self.deployment.configure(3)
        assert self.deployment.leader is not None
        stored = self.deployment.leader.read_configuration().result(WAIT_S)
        assert stored is not None
        self.assertEqual(7, stored.version)


class ThreeControlHostsTest(DispatchTest):
    controls = 3

    def test_volatile_job_survives_the_loss_of_the_leader(self) -> None:
        """Its runs continue meanwhile and no task is started twice."""
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 3000
        submission = deployment.submit('a', step(8, 3000), volatile=True)
        wait_until(lambda: len(self.starts()) == 8, 'full upstreams')
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        self.assertEqual('completed', submission.result(WAIT_S).state)
        self.assertEqual(8, len(self.starts()))

    def test_silent_upstream_does_not_delay_a_new_leader(self) -> None:
        """Regression: the agent of a silent upstream delayed its report.

        The agent had nothing to report for seconds, and the new leader
        waited for it before it started jobs.
        """
        deployment = self.deployment
        deployment.submit('a', step(1), volatile=True).result(WAIT_S)
        deployment.upstreams[0].is_silent = True
        # A busy machine may have cost the first one its leadership.
        wait_until(lambda: deployment.leader is not None, 'a leader')
        leader = deployment.leader
        assert leader is not None
        leader.stop()
        wait_until(lambda: deployment.leader not in (None, leader), 'a leader')
        submission = deployment.submit('b', step(4), volatile=True)
        self.assertEqual('completed', submission.result(WAIT_S).state)
        self.assertEqual(
            {'a', 'b'}, {task.job_id for task, _ in self.starts()}
        )

    def test_stored_data_survives_the_loss_of_the_leader(self) -> None:
        deployment = self.deployment
        deployment.configure(5)
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
        stored = deployment.leader.read_configuration().result(WAIT_S)
        assert stored is not None
        self.assertEqual(5, stored.version)


if __name__ == '__main__':
    unittest.main()
