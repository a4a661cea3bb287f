"""Commands reach every host; acknowledged commands are never lost."""

import time
import unittest

from baobabgap.replication.tests._group import ELECTION_TIMEOUT_S
from baobabgap.replication.tests._group import Group
from baobabgap.replication.tests._group import LIMITS
from baobabgap.replication.tests._group import WAIT_LIMIT_S
from baobabgap.replication.tests._group import wait_until


class ReplicationTest(unittest.TestCase):
    def make_group(self, size: int = 3) -> Group:
        group = Group(size)
        self.addCleanup(group.close)
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        return group

    def test_all_hosts_apply_the_same_commands(self) -> None:
        for size in (1, 3, 5):
            with self.subTest(size=size):
                group = self.make_group(size)
                commands = [b'command-%d' % n for n in range(500)]
                group.propose(*commands)
                group.wait_for_commands()
                self.assertEqual(
                    [b'first', *commands], group.hosts[0].machine.commands
                )

    def test_nothing_is_acknowledged_before_a_majority_synced(self) -> None:
        for hanging in ('both followers', 'leader and one follower'):
            with self.subTest(hanging=hanging):
                group = self.make_group()
                leader = group.leader()
                one, other = group.followers()
                second = other if hanging == 'both followers' else leader
                one.folder.sync_gate.clear()
                second.folder.sync_gate.clear()
                future = leader.running.propose(b'second')
                time.sleep(3 * ELECTION_TIMEOUT_S)
                self.assertFalse(future.done())
                self.assertTrue(leader.running.is_leader)
                second.folder.sync_gate.set()
                self.assertEqual(2, future.result(WAIT_LIMIT_S))
                one.folder.sync_gate.set()

    def test_acknowledged_commands_survive_power_loss_on_all_hosts(
        self,
    ) -> None:
        group = self.make_group()
        group.propose(*(b'command-%d' % n for n in range(300)))
        wanted = list(group.leader().machine.commands)
        for host in group.hosts:
            host.kill()
        group.start()
        group.propose(b'last')
        group.wait_for_commands()
        self.assertEqual([*wanted, b'last'], group.leader().machine.commands)

    def test_leader_with_a_failing_disk_is_replaced(self) -> None:
        for fault in ('full disk', 'failing sync'):
            with self.subTest(fault=fault):
                group = self.make_group()
                old = group.leader()
                if fault == 'full disk':
                    old.folder.free_bytes = 10
                else:
                    old.folder.sync_fails = True
                old.running.propose(b'doubtful')
                wait_until(lambda: not old.running.is_leader, 'step down')  # noqa
                group.propose(b'second')
                old.folder.free_bytes = None
                old.folder.sync_fails = False
                group.wait_for_commands()

    def test_read_sees_commands_acknowledged_before_it(self) -> None:
        group = self.make_group()
        for number in range(30):
            group.propose(b'command-%d' % number)
            leader = group.leader()
            leader.running.read_barrier().result(WAIT_LIMIT_S)
            self.assertEqual(number + 2, len(leader.machine.commands))

    def test_host_far_behind_catches_up_by_snapshot(self) -> None:
        for fault in ('cut', 'restart', 'failing sync'):
            with self.subTest(fault=fault):
                group = self.make_group()
                behind = group.followers()[0]
                if fault == 'restart':
                    behind.kill()
                elif fault == 'cut':
                    group.isolate(behind)
                else:
                    behind.folder.sync_fails = True
                commands = [b'x' * 50 + b'%d' % n for n in range(1000)]
                group.propose(*commands)
                leader = group.leader().running
                wait_until(
                    lambda: leader.status().first_index > 100,  # noqa: B023
                    'the leader has compacted old entries',
                )
                if fault == 'restart':
                    behind.start()
                elif fault == 'cut':
                    group.heal()
                time.sleep(2 * ELECTION_TIMEOUT_S)
                behind.folder.sync_fails = False
                group.wait_for_commands()

    def test_disk_and_memory_stay_bounded(self) -> None:
        group = self.make_group(1)
        host = group.hosts[0]
        for _ in range(40):
            group.propose(*(b'y' * 100 for _ in range(100)))
            # The state of this machine grows with every command; clear it.
            host.machine.commands[:] = []
        wait_until(
            lambda: (
                host.running.status().disk_bytes
                < 4 * LIMITS.snapshot_after_bytes
            ),
            'old entries are removed from the disk',
        )
        status = host.running.status()
        held = status.last_index - status.first_index
        self.assertLess(held * 100, 4 * LIMITS.snapshot_after_bytes)
