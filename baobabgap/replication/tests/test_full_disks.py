"""Disks without space, one host after the other, and never two at once.

Guards against hosts that stay out of the group, and against changes and
reads that stay unanswered, once all disks have space again.
"""

from concurrent.futures import Future
import random
import threading
import time
from typing import Any
import unittest

from baobabgap import BaobabgapError
from baobabgap.replication.tests._group import ELECTION_TIMEOUT_S
from baobabgap.replication.tests._group import Group
from baobabgap.replication.tests._group import Host
from baobabgap.replication.tests._group import wait_until

SEEDS = (1, 2)
# The platform's bound on the acknowledgement of a change.
ACKNOWLEDGED_WITHIN_S = 4.0
PROPOSAL_INTERVAL_S = 0.005
COMMAND_BYTES = 60


class Client(threading.Thread):
    """Proposes numbered commands at a steady rate; records the outcomes."""

    def __init__(self, group: Group) -> None:
        super().__init__(daemon=True)
        self.ended = threading.Event()
        self._group = group
        self._lock = threading.Lock()
        self._acknowledged: list[bytes] = []
        self._acknowledged_at = [time.monotonic()]

    def run(self) -> None:
        number = 0
        while not self.ended.wait(PROPOSAL_INTERVAL_S):
            for host in self._group.hosts:
                log = host.log
                if log is not None and log.is_leader:
                    number += 1
                    self._propose(host, b'%08d' % number)

    @property
    def acknowledged(self) -> list[bytes]:
        with self._lock:
            return list(self._acknowledged)

    @property
    def longest_gap_s(self) -> float:
        with self._lock:
            times = [*self._acknowledged_at, time.monotonic()]
        return max(
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        )

    def _propose(self, host: Host, number: bytes) -> None:
        command = number.ljust(COMMAND_BYTES, b'.')

        def note(done: Future[Any]) -> None:
            if done.exception() is None:
                with self._lock:
                    self._acknowledged.append(command)
                    self._acknowledged_at.append(time.monotonic())

        host.running.propose(command).add_done_callback(note)


class FullDisksTest(unittest.TestCase):
    def make_group(self, size: int) -> Group:
        group = Group(size)
        self.addCleanup(group.close)
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        return group

    def start_client(self, group: Group) -> Client:
        client = Client(group)
        client.start()
        self.addCleanup(client.ended.set)
        return client

    def test_all_hosts_serve_after_each_disk_was_full_in_turn(self) -> None:
        for seed, size in zip(SEEDS, (3, 5), strict=True):
            with self.subTest(seed=seed, size=size):
                self.run_seed(seed, size)

    def run_seed(self, seed: int, size: int) -> None:
        chosen = random.Random(seed)
        group = self.make_group(size)
        client = self.start_client(group)
        for _ in range(2):
            for host in chosen.sample(group.hosts, size):
                if chosen.random() < 0.3:
                    host = group.leader()
                self.fill_disk(host, chosen)
                time.sleep(ELECTION_TIMEOUT_S * chosen.uniform(0.5, 4.0))
                host.folder.free_bytes = None
                host.folder.full_names = set()
                time.sleep(ELECTION_TIMEOUT_S * chosen.uniform(0.5, 2.0))
        self.check_service(group)
        self.assertLess(client.longest_gap_s, ACKNOWLEDGED_WITHIN_S)
        client.ended.set()
        client.join()
        self.check_caught_up(group)
        acknowledged = client.acknowledged
        for host in group.hosts:
            host.kill()
        group.start()
        group.propose(b'last')
        group.wait_for_commands()
        kept = set(group.leader().machine.commands)
        self.assertEqual([], [one for one in acknowledged if one not in kept])
        group.close()

    def fill_disk(self, host: Host, chosen: random.Random) -> None:
        """Leave space for a part of a write, or for some files only."""
        if chosen.random() < 0.6:
            host.folder.free_bytes = chosen.randrange(8_000)
        else:
            names = ('log', 'log.new', 'snapshot.new')
            host.folder.full_names = set(chosen.sample(names, 2))

    def check_service(self, group: Group) -> None:
        """Check that a change and a read are answered within the bound."""
        due_at = time.monotonic() + ACKNOWLEDGED_WITHIN_S
        pending = ['propose', 'read']
        while pending and time.monotonic() < due_at:
            log = group.leader().running
            try:
                if pending[0] == 'propose':
                    log.propose(b'check').result(due_at - time.monotonic())
                else:
                    log.read_barrier().result(due_at - time.monotonic())
                del pending[0]
            except (BaobabgapError, TimeoutError):
                time.sleep(PROPOSAL_INTERVAL_S)
        self.assertEqual([], pending)

    def check_caught_up(self, group: Group) -> None:
        """Check that all hosts apply a new command within the bound."""
        group.propose(b'to all')
        wanted = list(group.leader().machine.commands)
        due_at = time.monotonic() + ACKNOWLEDGED_WITHIN_S
        for host in group.hosts:
            while host.machine.commands != wanted:
                if time.monotonic() >= due_at:
                    self.fail(f'not caught up: {host.running.status()}')
                time.sleep(PROPOSAL_INTERVAL_S)

    def test_host_catches_up_if_its_log_had_no_space_for_a_snapshot(
        self,
    ) -> None:
        group = self.make_group(3)
        host = group.followers()[0]
        group.isolate(host)
        for number in range(40):
            group.propose(b'%02d' % number * 1_000)
        leader = group.leader()
        self.assertGreater(leader.running.status().first_index, 3)
        host.folder.full_names = {'log', 'log.new'}
        group.heal()
        wait_until(
            lambda: not host.running.status().storage_ok, 'the disk is full'
        )
        host.folder.full_names = set()
        self.check_caught_up(group)
