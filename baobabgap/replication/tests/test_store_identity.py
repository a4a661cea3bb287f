"""A host that lost its disk must not count with its old votes.

A host without its votes and entries could otherwise help a host with an
older log to win an election, and committed entries would be lost.
"""

import time
import unittest

from baobabgap.replication.tests._group import ELECTION_TIMEOUT_S
from baobabgap.replication.tests._group import Group
from baobabgap.replication.tests._group import Host
from baobabgap.replication.tests._group import WAIT_LIMIT_S
from baobabgap.replication.tests._group import wait_until

SEVERAL_ELECTIONS_S = 6 * ELECTION_TIMEOUT_S


class StoreIdentityTest(unittest.TestCase):
    def make_group(self, size: int = 3) -> Group:
        group = Group(size)
        self.addCleanup(group.close)
        return group

    def is_repaired(self, group: Group, host: Host) -> bool:
        status = group.leader().running.status()
        for member in status.members:
            if member.name == host.name:
                return member.voter and (member.store == host.folder_identity)
        return False

    def test_host_with_empty_disk_does_not_help_a_stale_one_lead(self) -> None:
        group = self.make_group()
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        leader = group.leader()
        stale, lost = group.followers()
        group.isolate(stale)
        group.propose(b'second')
        leader.kill()
        lost.kill()
        lost.lose_disk()
        group.heal()
        lost.start()
        time.sleep(SEVERAL_ELECTIONS_S)
        self.assertFalse(stale.running.is_leader)
        self.assertFalse(lost.running.is_leader)
        leader.start()
        group.propose(b'third')
        group.wait_for_commands()
        self.assertEqual(
            [b'first', b'second', b'third'], group.leader().machine.commands
        )

    def test_old_store_is_removed_before_new_store_votes(self) -> None:
        group = self.make_group()
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        leader = group.leader()
        slow, lost = group.followers()
        lost.kill()
        lost.lose_disk()
        slow.folder.sync_gate.clear()
        lost.start()
        future = leader.running.propose(b'second')
        time.sleep(SEVERAL_ELECTIONS_S)
        self.assertFalse(future.done())
        slow.folder.sync_gate.set()
        future.result(WAIT_LIMIT_S)
        wait_until(lambda: self.is_repaired(group, lost), 'repair')

    def test_host_is_shown_as_voter_only_once_that_is_committed(self) -> None:
        """Operators wait for it before they touch the next host."""
        group = self.make_group()
        group.start()
        group.propose(b'first')
        for _ in range(3):
            lost, _ = group.followers()
            lost.kill()
            lost.lose_disk()
            lost.start()
            leader = group.leader().running
            give_up_at = time.monotonic() + WAIT_LIMIT_S
            while not self.is_repaired(group, lost):
                self.assertLess(time.monotonic(), give_up_at)
            state = leader._state
            self.assertGreaterEqual(
                state.commit_index, state.window.membership_index
            )

    def test_second_failure_right_after_the_repair(self) -> None:
        group = self.make_group()
        group.start()
        group.propose(*(b'command-%d' % n for n in range(200)))
        for round_number in range(3):
            with self.subTest(round=round_number):
                lost, other = group.followers()
                lost.kill()
                lost.lose_disk()
                group.propose(b'meanwhile-%d' % round_number)
                lost.start()
                wait_until(lambda: self.is_repaired(group, lost), 'repair')  # noqa
                wanted = list(group.leader().machine.commands)
                group.leader().kill()
                group.propose(b'after-%d' % round_number)
                new = group.leader()
                self.assertEqual(wanted, new.machine.commands[: len(wanted)])
                for host in group.hosts:
                    if host.log is None:
                        host.start()
                group.wait_for_commands()

    def test_group_is_founded_only_with_all_hosts(self) -> None:
        group = self.make_group()
        for host in group.hosts[:2]:
            host.start()
        time.sleep(SEVERAL_ELECTIONS_S)
        for host in group.hosts[:2]:
            self.assertEqual(0, host.running.status().last_index)
        group.hosts[2].start()
        group.propose(b'first')

    def test_first_host_does_not_found_a_second_group(self) -> None:
        group = self.make_group()
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        founder = group.hosts[0]
        for host in group.hosts:
            host.kill()
        founder.lose_disk()
        founder.start()
        group.hosts[1].start()
        time.sleep(SEVERAL_ELECTIONS_S)
        self.assertEqual(0, founder.running.status().last_index)
        group.hosts[2].start()
        group.propose(b'second')
        group.wait_for_commands()
        self.assertEqual([b'first', b'second'], founder.machine.commands)

    def test_hosts_are_added_and_removed_one_at_a_time(self) -> None:
        group = self.make_group(4)
        first, second, third, added = group.hosts
        for host in (first, second, third):
            host.configured = host.configured[:3]
            host.start()
        group.propose(*(b'command-%d' % n for n in range(500)))
        added.start()
        leader = group.leader().running
        leader.add_member(added.address).result(WAIT_LIMIT_S)
        self.assertIsNotNone(
            leader.add_member(added.address).exception(WAIT_LIMIT_S)
        )
        group.wait_for_commands()
        removed = next(
            host for host in (first, second, third) if host.log is not leader
        )
        leader.remove_member(removed.name).result(WAIT_LIMIT_S)
        removed.kill()
        members = leader.status().members
        self.assertEqual(3, sum(member.voter for member in members))
        left = [host for host in group.hosts if host is not removed]
        group.leader(left).kill()
        group.propose(b'last')
