"""A leader that is cut from its group, but not from entries and agents."""

from pathlib import Path
import tempfile
import time
from typing import Final
import unittest

from baobabgap.dispatch import ControlNode
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import LINKS
from baobabgap.dispatch.tests.deployment import SERVICE
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.protocol import LeaseTiming
from baobabgap.transport import Connection

# Validity of a confirmation, seconds.
_CONFIRMATION_S: Final = 0.4


def cut_from_group(node: ControlNode) -> None:
    """Close a node's links to the other control hosts for good."""
    log = node._log

    def refuse(connection: Connection) -> None:
        connection.close()

    log.serve = refuse  # type: ignore[method-assign]
    with log._state.lock:
        log._peers.stop()
    for connection in list(log._session_connections):
        connection.close()


class CutLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), 3, 2)
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        # The leader refuses what one upstream alone can't serve.
        wait_until(lambda: self.open_upstreams() == 2, 'both upstreams')

    def open_upstreams(self) -> int:
        leader = self.deployment.leader
        if leader is None:
            return 0
        pools = leader._scheduler._term_state.pool_by_service
        return pools[SERVICE].open_count if SERVICE in pools else 0

    def starts(self) -> int:
        return sum(len(up.starts) for up in self.deployment.upstreams)

    def test_it_loses_its_links_once_it_steps_down(self) -> None:
        """It can't start anything once it is not confirmed."""
        deployment = self.deployment
        leader = deployment.leader
        assert leader is not None
        cut_from_group(leader)
        cut_at = time.monotonic()
        wait_until(lambda: not deployment.calls.is_linked, 'the loss')
        linked_s = time.monotonic() - cut_at
        # A link over which nothing comes would last until then.
        self.assertLess(linked_s, LINKS.silence_s)
        time.sleep(max(0.0, cut_at + _CONFIRMATION_S - time.monotonic()))
        self.assertFalse(leader.is_leading)

    def test_jobs_that_wait_when_it_is_cut_run_once(self) -> None:
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 400
        leader = deployment.leader
        assert leader is not None
        # Three times what runs at once, so that the last ones are deferred.
        jobs = [
            deployment.submit(f'j{number}', step(1, 2000), volatile=True)
            for number in range(24)
        ]
        wait_until(lambda: self.starts() >= 8, 'full upstreams')
        time.sleep(0.2)
        cut_from_group(leader)
        ends = [job.result(WAIT_S) for job in jobs]
        lost = [end for end in ends if end.state != 'completed']
        self.assertEqual([], lost)
        self.assertEqual(24, self.starts())

    def test_jobs_that_wait_when_it_is_cut_need_no_takeover(self) -> None:
        """The agent that is cut off at that moment holds up none of them.

        Authority that the leader granted to it lapses after over 4 s.
        """
        deployment = self.deployment
        for upstream in deployment.upstreams:
            upstream.run_ms = 1500
        leader = deployment.leader
        assert leader is not None
        for number in range(8):
            deployment.submit(f'first{number}', step(1, 1500), volatile=True)
        wait_until(lambda: self.starts() == 8, 'full upstreams')
        for upstream in deployment.upstreams:
            upstream.run_ms = 300
        waiting = [
            deployment.submit(f'j{number}', step(1, 3000), volatile=True)
            for number in range(8)
        ]
        time.sleep(0.1)
        cut_from_group(leader)
        deployment._agent_links[1].stop()
        began_at = time.monotonic()
        for job in waiting:
            self.assertEqual('completed', job.result(WAIT_S).state)
        self.assertLess(time.monotonic() - began_at, LeaseTiming().authority_s)


if __name__ == '__main__':
    unittest.main()
