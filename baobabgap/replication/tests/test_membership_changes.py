"""Members that are lost while they join."""

import unittest

from baobabgap.replication import MemberRemoved
from baobabgap.replication.tests._group import Group
from baobabgap.replication.tests._group import WAIT_LIMIT_S


class LostLearnerTest(unittest.TestCase):
    def test_addition_of_a_removed_host_fails(self) -> None:
        """The addition stayed pending, and a caller waited for it in vain."""
        group = Group(5)
        self.addCleanup(group.close)
        founders, lost, added = group.hosts[:3], group.hosts[3], group.hosts[4]
        for host in founders:
            host.configured = host.configured[:3]
            host.start()
        group.propose(b'first')
        leader = group.leader(founders).running
        addition = leader.add_member(lost.address)
        group.propose(b'second')
        leader.remove_member(lost.name).result(WAIT_LIMIT_S)
        self.assertIsInstance(addition.exception(WAIT_LIMIT_S), MemberRemoved)
        added.start()
        leader.add_member(added.address).result(WAIT_LIMIT_S)
        voters = {
            member.name for member in leader.status().members if member.voter
        }
        self.assertEqual({host.name for host in (*founders, added)}, voters)


if __name__ == '__main__':
    unittest.main()
