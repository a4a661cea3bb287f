"""Random faults: no acknowledged command is lost or reordered.

The faults follow from a seed.
"""

from collections.abc import Callable
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

SEEDS = (11, 12)
FAULT_COUNT = 7
COMMANDS_PER_BATCH = 20


class Client(threading.Thread):
    """Proposes numbered commands to each leader; records the outcomes."""

    def __init__(self, group: Group) -> None:
        super().__init__(daemon=True)
        self.acknowledged: list[bytes] = []
        self.refused: set[bytes] = set()
        self.stale_reads = 0
        self.ended = threading.Event()
        self._group = group
        self._number = 0

    def run(self) -> None:
        while not self.ended.is_set():
            for host in self._group.hosts:
                if host.log is not None and host.log.is_leader:
                    self._propose_batch(host)
            time.sleep(0.002)

    def _propose_batch(self, host: Host) -> None:
        log = host.log
        if log is None:
            return
        proposed: list[tuple[bytes, Future[Any]]] = []
        for _ in range(COMMANDS_PER_BATCH):
            self._number += 1
            command = b'%06d' % self._number
            proposed.append((command, log.propose(command)))
        for command, future in proposed:
            self._record_outcome(command, future)
        self._read(host)

    def _record_outcome(self, command: bytes, future: Future[Any]) -> None:
        while not future.done() and not self.ended.is_set():
            time.sleep(0.001)
        if not future.done():
            return
        error = future.exception()
        if error is None:
            self.acknowledged.append(command)
        elif type(error).__name__ == 'NotLeader':
            self.refused.add(command)

    def _read(self, host: Host) -> None:
        log, machine = host.log, host.machine
        last = self.acknowledged[-1:]
        if log is None:
            return
        try:
            log.read_barrier().result(5.0)
        except (BaobabgapError, TimeoutError):
            return
        if last and last[0] not in machine.commands:
            self.stale_reads += 1


class FaultInjector:
    """Injects one fault after the other, and reverts each."""

    def __init__(self, group: Group, seed: int) -> None:
        self._group = group
        self._random = random.Random(seed)

    def run(self) -> None:
        faults: list[Callable[[Host], None]] = [
            self._kill,
            self._partition,
            self._partition_silently,
            self._freeze,
            self._lose_disk,
            self._fail_sync,
            self._transfer_leadership,
        ]
        self._random.shuffle(faults)
        for fault in faults[:FAULT_COUNT]:
            host = self._random.choice(self._group.hosts)
            if self._random.random() < 0.6:
                host = self._group.leader()
            fault(host)
            self._pause(1.0)

    def _pause(self, max_timeouts: float) -> None:
        time.sleep(
            ELECTION_TIMEOUT_S * self._random.uniform(0.2, max_timeouts)
        )

    def _kill(self, host: Host) -> None:
        host.kill()
        self._pause(3.0)
        host.start()

    def _partition(self, host: Host) -> None:
        self._group.isolate(host)
        self._pause(4.0)
        self._group.heal()

    def _partition_silently(self, host: Host) -> None:
        self._group.isolate(host, silently=True)
        self._pause(4.0)
        self._group.heal()

    def _freeze(self, host: Host) -> None:
        with host.running._state.lock:
            self._pause(4.0)

    def _lose_disk(self, host: Host) -> None:
        host.kill()
        host.lose_disk()
        self._pause(3.0)
        host.start()
        wait_until(lambda: self._is_voter(host), 'the empty host is repaired')

    def _fail_sync(self, host: Host) -> None:
        host.folder.sync_fails = True
        self._pause(3.0)
        host.folder.sync_fails = False

    def _transfer_leadership(self, host: Host) -> None:
        host.running.transfer_leadership()

    def _is_voter(self, host: Host) -> bool:
        for member in self._group.leader().running.status().members:
            if member.name == host.name:
                return member.voter and member.store == host.folder_identity
        return False


class RandomFaultTest(unittest.TestCase):
    def test_hosts_agree_and_keep_acknowledged_commands(self) -> None:
        for seed in SEEDS:
            for size in (3,) if seed == SEEDS[0] else (5,):
                with self.subTest(seed=seed, size=size):
                    self.run_seed(seed, size)

    def run_seed(self, seed: int, size: int) -> None:
        group = Group(size)
        self.addCleanup(group.close)
        group.start()
        group.propose(b'000000')
        client = Client(group)
        client.start()
        FaultInjector(group, seed).run()
        client.ended.set()
        client.join(30.0)
        group.propose(b'999999')
        group.wait_for_commands()
        commands = group.leader().machine.commands
        self.assertEqual(len(commands), len(set(commands)), 'applied once')
        applied = set(commands)
        lost = [
            acknowledged_command
            for acknowledged_command in client.acknowledged
            if acknowledged_command not in applied
        ]
        self.assertEqual([], lost, 'acknowledged and lost')
        self.assertEqual(
            set(), client.refused & applied, 'refused, but applied'
        )
        self.assertEqual(sorted(commands), commands, 'reordered')
        self.assertEqual(0, client.stale_reads)
        self.assertGreater(len(client.acknowledged), 100)
