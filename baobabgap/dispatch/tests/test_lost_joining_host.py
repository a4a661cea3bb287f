"""A control host that is lost while it joins a group of three."""

from pathlib import Path
import tempfile
import time
from typing import Final
import unittest

from baobabgap.dispatch import ControlNode
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import free_port
from baobabgap.dispatch.tests.deployment import HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.leaderlink import LeaderLink
from baobabgap.protocol import JOINER_ROLE
from baobabgap.settings import ControlHost

# Seconds within which a new host is to be a voter: `catchUpS` of the platform.
CATCH_UP_S: Final = 4.0


class LostJoiningHostTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), 3, 1)
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def join(self, name: str) -> tuple[ControlNode, LeaderLink]:
        """Start an empty host that asks to join the group."""
        node = self.deployment._node(ControlHost(name, HOST, free_port()))
        link = self.deployment._link(name, JOINER_ROLE, node.join_session)
        self.addCleanup(node.stop)
        self.addCleanup(link.stop)
        return node, link

    def voters(self) -> set[str]:
        leader = self.deployment.leader
        members = leader._log.status().members if leader else ()
        return {member.name for member in members if member.voter}

    def test_next_host_is_a_voter_in_time(self) -> None:
        """Regression: the leader gave up its part, and no host was added."""
        stopped = next(
            node
            for node in self.deployment.nodes
            if node is not self.deployment.leader
        )
        leader = self.deployment.leader
        assert leader is not None
        # It links the leader, but never serves replication.
        _, lost_link = self.join('lost')
        lost_link.start()
        stopped.stop()
        wait_until(
            lambda: any(
                member.name == 'lost'
                for member in leader._log.status().members
            ),
            'the lost host is added',
        )
        lost_link.stop()
        node, link = self.join('next')
        began_at = time.monotonic()
        node.start()
        link.start()
        wait_until(lambda: 'next' in self.voters(), 'the next host votes')
        self.assertLess(time.monotonic() - began_at, CATCH_UP_S)
        answer = self.deployment.submit('a', step(1), volatile=True)
        self.assertEqual('completed', answer.result(WAIT_S).state)
        self.assertIs(leader, self.deployment.leader)


if __name__ == '__main__':
    unittest.main()
