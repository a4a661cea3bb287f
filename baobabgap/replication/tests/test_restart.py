"""Restarts of all hosts of a group, and of one host beside its leader.

Guards against an election that waits for its timeout although all hosts
have just started, against split votes of hosts whose timers are checked at
the same moments, and against an election that a host causes when it returns.
"""

import time
import unittest
from unittest import mock

from baobabgap.replication._log import _TICKS_PER_ELECTION_TIMEOUT
from baobabgap.replication.tests._group import ELECTION_TIMEOUT_S
from baobabgap.replication.tests._group import Group
from baobabgap.replication.tests._group import Host
from baobabgap.replication.tests._group import wait_until

# So long that an election before it is no coincidence, also on a busy machine.
LONG_TIMEOUT_S = 6.0


class RestartTest(unittest.TestCase):
    def make_group(self, size: int) -> Group:
        group = Group(size)
        self.addCleanup(group.close)
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        return group

    def restart(self, host: Host) -> None:
        host.kill()
        host.start()
        wait_until(
            lambda: host.running.recent_leader is not None,
            'the restarted host follows',
        )

    def test_all_hosts_elect_without_waiting_for_the_timeout(self) -> None:
        for size in (1, 3, 5):
            with self.subTest(size=size):
                group = self.make_group(size)
                for host in group.hosts:
                    host.kill()
                    host.election_timeout_s = LONG_TIMEOUT_S
                group.start()
                started_at = time.monotonic()
                group.leader()
                taken_s = time.monotonic() - started_at
                self.assertLess(taken_s, LONG_TIMEOUT_S)
                group.propose(b'second')
                group.wait_for_commands()

    def test_a_majority_elects_while_another_host_is_down(self) -> None:
        group = self.make_group(3)
        for host in group.hosts:
            host.kill()
            host.election_timeout_s = LONG_TIMEOUT_S
        started_at = time.monotonic()
        for host in group.hosts[1:]:
            host.start()
        group.leader(group.hosts[1:])
        self.assertLess(time.monotonic() - started_at, LONG_TIMEOUT_S)

    def test_an_election_starts_at_its_random_time(self) -> None:
        # Guards against random times that are rounded up to the next tick:
        # hosts that tick together then split their votes again and again.
        timeout_s = 60.0
        tick_s = timeout_s / _TICKS_PER_ELECTION_TIMEOUT
        group = self.make_group(1)
        (host,) = group.hosts
        host.kill()
        host.election_timeout_s = timeout_s
        with mock.patch('random.random', return_value=0.05):
            started_at = time.monotonic()
            host.start()
            group.leader()
        self.assertLess(time.monotonic() - started_at, tick_s)

    def test_a_host_without_a_majority_seeks_no_election(self) -> None:
        group = self.make_group(3)
        for host in group.hosts:
            host.kill()
        host = group.hosts[0]
        host.start()
        term = host.running.status().term
        time.sleep(4 * ELECTION_TIMEOUT_S)
        self.assertFalse(host.running.is_leader)
        self.assertEqual(term, host.running.status().term)

    def test_restarted_hosts_leave_a_living_leader_alone(self) -> None:
        """Each follower restarts several times, one after the other."""
        for size in (3, 5):
            with self.subTest(size=size):
                group = self.make_group(size)
                leader = group.leader()
                term = leader.running.status().term
                for host in group.followers() * 3:
                    self.restart(host)
                    self.assertEqual(term, host.running.status().term)
                self.assertIs(leader, group.leader())
                self.assertEqual(term, leader.running.status().term)
                group.propose(b'second')
                group.wait_for_commands()


if __name__ == '__main__':
    unittest.main()
