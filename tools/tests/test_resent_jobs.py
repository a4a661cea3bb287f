"""Callers who leave and send the same job again to another entry."""

from collections.abc import Callable
from concurrent.futures import Future
import random
import signal
import threading
import time
from typing import Final

from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.protocol import SubmitJob
from tools.job_history._control_group import ControlProcess
from tools.tests.watched_deployment import ROOM
from tools.tests.watched_deployment import RUN_MS
from tools.tests.watched_deployment import WatchedDeploymentTest

_SEED: Final = 37
# Seconds from an answered stop to the end of the run.
_STOP_S: Final = 0.05
# Calls for each job; the last one waits for the end.
_CALLS: Final = 4
# Seconds for which a caller waits before it leaves, and until it calls again.
_SHORTEST_PATIENCE_S: Final = 0.02
_LONGEST_PATIENCE_S: Final = 0.4
_LONGEST_PAUSE_S: Final = 0.3
_LAST_PATIENCE_S: Final = 6.0
_LEADER_WAIT_S: Final = 1.0
# The share of the room that the jobs would need if each was sent once.
_SHARE: Final = 0.4
_LOSS_S: Final = 1.5
_END_S: Final = 4.0
_FROZEN_S: Final = 1.5


class ResentJobsTest(WatchedDeploymentTest):
    def setUp(self) -> None:
        super().setUp()
        for upstream in self.upstreams:
            upstream.stop_s = _STOP_S

    def play(
        self, seed: int, disrupt: Callable[[ControlProcess], object]
    ) -> None:
        leader = self.group.find_leader()
        assert leader is not None
        random_source = random.Random(seed)
        timer = threading.Timer(_LOSS_S, disrupt, (leader,))
        timer.start()
        self.addCleanup(timer.join)
        began_at = time.monotonic()
        callers: list[Future[None]] = []
        while time.monotonic() < began_at + _END_S:
            callers.append(
                self.pool.submit(
                    self._send_again, len(callers), random_source.random()
                )
            )
            time.sleep(1 / (_SHARE * ROOM))
        for caller in callers:
            caller.result()
        self.assert_none_doubled()

    def _send_again(self, number: int, seed: float) -> None:
        random_source = random.Random(seed)
        call = SubmitJob(
            0,
            QUEUE_HOST,
            f'{PREFIX}{number:016x}',
            '',
            (step(2, RUN_MS),),
            True,
        )
        for attempt in range(_CALLS):
            entry = self.entries[(number + attempt) % len(self.entries)]
            is_last = attempt == _CALLS - 1
            patience_s = (
                _LAST_PATIENCE_S
                if is_last
                else random_source.uniform(
                    _SHORTEST_PATIENCE_S, _LONGEST_PATIENCE_S
                )
            )
            answer = entry.forward(
                call, _LEADER_WAIT_S, patience_s, lambda: False
            )
            if answer.state:
                return
            time.sleep(random_source.uniform(0.0, _LONGEST_PAUSE_S))

    def test_no_run_starts_beside_one_of_a_call_that_was_left(self) -> None:
        self.play(_SEED, lambda leader: None)

    def test_no_run_starts_beside_one_of_a_killed_leader(self) -> None:
        self.play(_SEED, ControlProcess.kill)

    def test_no_run_starts_beside_one_of_a_frozen_leader(self) -> None:
        def freeze(leader: ControlProcess) -> None:
            leader.signal(signal.SIGSTOP)
            time.sleep(_FROZEN_S)
            leader.signal(signal.SIGCONT)

        self.play(_SEED, freeze)

    def test_no_run_starts_beside_one_of_an_agent_that_is_cut_off(
        self,
    ) -> None:
        def cut(leader: ControlProcess) -> None:
            self.agent_links[0].stop()
            leader.kill()

        self.play(_SEED, cut)
