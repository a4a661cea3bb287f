"""The election timer of a follower whose leader link has closed.

The leader may have failed, so that the follower waits half as long for
it. A leader that reconnects must get the whole election timeout again.
"""

import time
import unittest

from baobabgap.replication._state import GroupState
from baobabgap.replication._storage import RecoveredState
from baobabgap.settings import ControlHost

TIMEOUT_S = 2.0


class LostLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = GroupState(
            ControlHost('a', '127.0.0.1', 1),
            'store',
            RecoveredState(1, '', None, ()),
            TIMEOUT_S,
        )
        self.state.follow(1, 'leader')

    def test_waits_half_as_long_for_a_leader_whose_link_closed(self) -> None:
        before = time.monotonic()
        self.state.handle_leader_link_closed()
        self.assertTrue(self.state.leader_is_recent())
        due_s = self.state.election_due_at - before
        self.assertGreaterEqual(due_s, TIMEOUT_S / 2)
        # Scheduling may delay this test, but by less than a second.
        self.assertLess(due_s, TIMEOUT_S + 1)

    def test_leader_that_dials_again_is_followed_as_before(self) -> None:
        """Otherwise a closed link lets another host win an election."""
        self.state.handle_leader_link_closed()
        before = time.monotonic()
        self.state.follow(1, 'leader')
        self.assertGreaterEqual(self.state.election_due_at - before, TIMEOUT_S)

    def test_wait_that_is_shorter_already_stays(self) -> None:
        due_at = time.monotonic() + 0.01
        self.state.election_due_at = due_at
        self.state.handle_leader_link_closed()
        self.assertEqual(due_at, self.state.election_due_at)


if __name__ == '__main__':
    unittest.main()
