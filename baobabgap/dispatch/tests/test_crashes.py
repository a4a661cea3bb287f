"""Tests with tasks that make each upstream crash that starts them."""

from functools import partial
from pathlib import Path
import tempfile
import time
import unittest

from baobabgap.dispatch.tests.crashing_upstream import CrashingUpstream
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.jobmodel import TaskId
from baobabgap.jobmodel import UPSTREAM_CRASHES
from baobabgap.protocol import CallAnswer

HARMFUL = TaskId('harmful', 0, 0)


class CrashTest(unittest.TestCase):
    controls = 1
    agents = 2

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.upstreams = [
            CrashingUpstream(
                lambda task: task == HARMFUL, partial(self._announce, number)
            )
            for number in range(self.agents)
        ]
        self.deployment = Deployment(
            Path(folder.name),
            self.controls,
            self.agents,
            upstreams=self.upstreams,
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def _announce(self, number: int) -> None:
        self.deployment.agents[number].announce(
            self.deployment.announced_state(number)
        )

    def starts_of(self, job_id: str) -> list[tuple[TaskId, int]]:
        return [
            (task, run)
            for upstream in self.upstreams
            for task, run in upstream.all_starts
            if task.job_id == job_id
        ]

    @property
    def crashes(self) -> int:
        return sum(upstream.crashes for upstream in self.upstreams)

    def end_of(self, job_id: str) -> CallAnswer:
        """Return the answer to a read once the job has ended."""
        wait_until(
            lambda: (
                self.deployment.read(job_id).state
                in ('completed', 'failed', 'cancelled')
            ),
            f'the end of {job_id}',
        )
        return self.deployment.read(job_id)


class OneControlHostTest(CrashTest):
    def test_stored_task_that_crashes_upstreams_is_given_up(self) -> None:
        self.deployment.submit('harmful', step(1), volatile=False).result(
            WAIT_S
        )
        answer = self.end_of('harmful')
        self.assertEqual(
            ('failed', UPSTREAM_CRASHES), (answer.state, answer.detail)
        )
        time.sleep(2.5)
        self.assertEqual(2, len(self.starts_of('harmful')))
        self.assertEqual(2, self.crashes)

    def test_volatile_task_that_crashes_upstreams_is_given_up(self) -> None:
        answer = self.deployment.submit(
            'harmful', step(1), volatile=True
        ).result(WAIT_S)
        self.assertEqual(
            ('failed', UPSTREAM_CRASHES), (answer.state, answer.detail)
        )
        self.assertEqual(2, self.crashes)

    def test_crashes_count_across_submissions_of_a_volatile_job(self) -> None:
        for _ in range(4):
            # The caller leaves before its task can have started again.
            self.deployment.submit(
                'harmful', step(1), volatile=True, patience_s=1.0
            ).result(WAIT_S)
            wait_until(self._all_are_up, 'the upstreams')
        answer = self.deployment.submit(
            'harmful', step(1), volatile=True
        ).result(WAIT_S)
        self.assertEqual(
            ('failed', UPSTREAM_CRASHES), (answer.state, answer.detail)
        )
        self.assertEqual(2, self.crashes)

    def _all_are_up(self) -> bool:
        return not any(upstream.is_refusing for upstream in self.upstreams)

    def test_tasks_beside_a_harmful_one_complete(self) -> None:
        for upstream in self.upstreams:
            upstream.run_ms = 600
        for number in range(6):
            self.deployment.submit(
                f'job-{number}', step(1, 600), volatile=False
            ).result(WAIT_S)
        self.deployment.submit('harmful', step(1), volatile=False).result(
            WAIT_S
        )
        self.assertEqual('failed', self.end_of('harmful').state)
        for number in range(6):
            self.assertEqual('completed', self.end_of(f'job-{number}').state)

    def test_task_that_crashes_whole_hosts_is_given_up(self) -> None:
        """The agents crash, too, so that no report tells of it."""
        self.deployment.submit('harmful', step(1), volatile=False).result(
            WAIT_S
        )
        for _ in range(2):
            self._replace_agent_of_crashed_upstream(0.3)
            wait_until(self._all_are_up, 'the upstreams')
        self.assertEqual('failed', self.end_of('harmful').state)
        self.assertEqual(2, len(self.starts_of('harmful')))

    def test_crash_of_a_host_counts_after_its_lease_has_lapsed(self) -> None:
        self.deployment.submit('harmful', step(1), volatile=False).result(
            WAIT_S
        )
        self._replace_agent_of_crashed_upstream(6.0)
        self.assertEqual('failed', self.end_of('harmful').state)
        self.assertLessEqual(len(self.starts_of('harmful')), 3)

    def _replace_agent_of_crashed_upstream(self, silent_s: float) -> None:
        wait_until(lambda: not self._all_are_up(), 'a crash')
        (number,) = (
            number
            for number, upstream in enumerate(self.upstreams)
            if upstream.is_refusing
        )
        self.deployment.replace_agent(number, silent_s)
        if not self.upstreams[number].is_refusing:
            self._announce(number)

    def test_run_that_ends_with_a_drained_upstream_is_no_crash(self) -> None:
        """An upstream that leaves may end what still runs on it."""
        upstream = self.upstreams[0]
        for other in self.upstreams:
            other.run_ms = 60_000
        self.deployment.submit('job', step(8, 60_000), volatile=False).result(
            WAIT_S
        )
        wait_until(lambda: len(self.starts_of('job')) == 8, 'full upstreams')
        for _ in range(3):
            self.deployment.agents[0].announce(
                self.deployment.announced_state(0, is_draining=True)
            )
            time.sleep(0.1)
            upstream.restart(upstream.born_ms + 1)
            self._announce(0)
            wait_until(lambda: len(upstream.starts) >= 4, 'repeated starts')
        self.assertEqual('running', self.deployment.read('job').state)
        self.deployment.cancel('job')


class ThreeControlHostsTest(CrashTest):
    controls = 3

    def test_crashes_count_across_the_loss_of_leaders(self) -> None:
        self.deployment.submit('harmful', step(1), volatile=False).result(
            WAIT_S
        )
        wait_until(lambda: self.crashes == 1, 'the first crash')
        # The leader may not know of the crash yet: the agent tells the next.
        self._stop_leader()
        self.assertEqual('failed', self.end_of('harmful').state)
        self.assertEqual(2, len(self.starts_of('harmful')))

    def test_crashes_count_for_a_volatile_job_across_leaders(self) -> None:
        submission = self.deployment.submit('harmful', step(1), volatile=True)
        wait_until(lambda: self.crashes == 1, 'the first crash')
        self._stop_leader()
        self.assertEqual('failed', submission.result(WAIT_S).state)
        self.assertEqual(2, len(self.starts_of('harmful')))

    def test_stored_crash_counts_after_the_agent_has_forgotten(self) -> None:
        self.deployment.submit('harmful', step(1), volatile=False).result(
            WAIT_S
        )
        wait_until(lambda: self.crashes == 2, 'the second crash')
        for agent in self.deployment.agents:
            agent._crash_reports._crashes.clear()
        self._stop_leader()
        self.assertEqual('failed', self.end_of('harmful').state)
        self.assertLessEqual(len(self.starts_of('harmful')), 3)

    def _stop_leader(self) -> None:
        leader = self.deployment.leader
        assert leader is not None
        leader.stop()
        wait_until(
            lambda: self.deployment.leader not in (None, leader), 'a leader'
        )
