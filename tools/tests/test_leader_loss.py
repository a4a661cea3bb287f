"""What callers get while the leader is killed or frozen."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
import signal
import threading
import time
from typing import Final
import unittest

from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import SubmitJob
from tools.job_history._control_group import ControlProcess
from tools.tests.watched_deployment import ROOM
from tools.tests.watched_deployment import RUN_MS
from tools.tests.watched_deployment import WatchedDeploymentTest

# The objective of each job.
_OBJECTIVE_S: Final = (1.6 * RUN_MS + 60) / 1000
_DEADLINE_S: Final = 10.0
# When the leader is lost, after the start of the load, and when calls end.
_LOSS_S: Final = 1.5
_END_S: Final = 4.0
_FROZEN_S: Final = 2.0
# Seconds beyond the time until which a job is worth something for its last
# answer: checks at the leader and the way to the caller.
_ANSWER_SLACK_S: Final = 0.3
# What the users ask of the worst two seconds.
_WANTED_SHARE: Final = 0.65


@dataclass(frozen=True, slots=True)
class Served:
    """A call and what its caller was told; seconds since the load began."""

    job: str
    sent_s: float
    taken_s: float
    answer: CallAnswer

    @property
    def is_in_time(self) -> bool:
        """Whether the job has ended within its objective."""
        is_completed = self.answer.state == 'completed'
        return is_completed and self.taken_s <= _OBJECTIVE_S


class LeaderLossTest(WatchedDeploymentTest):
    def _call(self, number: int, began_at: float) -> Served:
        """Call as an entry does for a client with this deadline."""
        job = f'{number:016x}'
        call = SubmitJob(
            0, QUEUE_HOST, PREFIX + job, '', (step(1, RUN_MS),), True
        )
        sent_at = time.monotonic()
        answer = self.entries[number % len(self.entries)].forward(
            call, 0.4 * _DEADLINE_S, 0.9 * _DEADLINE_S, lambda: False
        )
        taken_s = time.monotonic() - sent_at
        return Served(job, sent_at - began_at, taken_s, answer)

    def play(
        self,
        lose_leader: Callable[[ControlProcess], object],
        share_before: float,
        share_after: float,
    ) -> list[Served]:
        """Send calls at shares of the room before and after the loss."""
        leader = self.group.find_leader()
        assert leader is not None
        began_at = time.monotonic()
        timer = threading.Timer(_LOSS_S, lose_leader, (leader,))
        timer.start()
        self.addCleanup(timer.join)
        futures: list[Future[Served]] = []
        at_s = 0.0
        while at_s < _END_S:
            time.sleep(max(0.0, began_at + at_s - time.monotonic()))
            futures.append(
                self.pool.submit(self._call, len(futures), began_at)
            )
            share = share_before if at_s < _LOSS_S else share_after
            at_s += 1 / (share * ROOM)
        served = [future.result(2 * _DEADLINE_S) for future in futures]
        self.assert_none_doubled()
        return served

    def assert_none_unknown_without_a_start(
        self, served: list[Served]
    ) -> None:
        started = {
            task.job_id for up in self.upstreams for task, _ in up.starts
        }
        unknown = [
            call
            for call in served
            if call.answer.outcome is CallOutcome.UNKNOWN
            and call.job not in started
        ]
        self.assertEqual([], unknown)

    def assert_none_held_beyond_use(self, served: list[Served]) -> None:
        longest_s = 3 * _OBJECTIVE_S + _ANSWER_SLACK_S
        held = [call for call in served if call.taken_s > longest_s]
        self.assertEqual([], held)

    def assert_share_in_time(self, served: list[Served]) -> None:
        """Check the calls of the two seconds after the loss."""
        window = [
            call for call in served if _LOSS_S <= call.sent_s < _LOSS_S + 2
        ]
        share = sum(call.is_in_time for call in window) / len(window)
        self.assertGreaterEqual(share, _WANTED_SHARE)

    def test_killed_at_ordinary_load(self) -> None:
        served = self.play(ControlProcess.kill, 0.7, 0.7)
        self.assert_none_unknown_without_a_start(served)
        self.assert_none_held_beyond_use(served)
        self.assert_share_in_time(served)

    def test_killed_beside_a_surge(self) -> None:
        served = self.play(ControlProcess.kill, 1.6, 0.7)
        self.assert_none_unknown_without_a_start(served)
        self.assert_none_held_beyond_use(served)

    def test_killed_beside_a_surge_with_an_agent_cut_off(self) -> None:
        """Nothing is known of the agent's runs for seconds."""

        def lose(leader: ControlProcess) -> None:
            self.agent_links[0].stop()
            leader.kill()

        served = self.play(lose, 1.6, 0.7)
        self.assert_none_held_beyond_use(served)

    def test_frozen_and_woken_at_ordinary_load(self) -> None:
        def lose(leader: ControlProcess) -> None:
            leader.signal(signal.SIGSTOP)
            time.sleep(_FROZEN_S)
            leader.signal(signal.SIGCONT)

        served = self.play(lose, 0.7, 0.7)
        self.assert_none_unknown_without_a_start(served)
        self.assert_none_held_beyond_use(served)
        self.assert_share_in_time(served)


if __name__ == '__main__':
    unittest.main()
