"""Tests how the leader keeps the control group at its size."""

from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager
import threading
from types import SimpleNamespace
from typing import cast
import unittest

from baobabgap.dispatch._membership_manager import MembershipManager
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.replication import ReplicatedLog
from baobabgap.settings import ControlHost

SILENCE_LIMIT_S = 0.01
NONE: frozenset[str] = frozenset()


def host(number: int) -> ControlHost:
    return ControlHost(f'c{number}', f'10.0.0.{number}', 7000)


class FakeLog:
    """A leader's log that carries out each change of members at once.

    Hosts in `lost` never catch up once they are added.
    """

    def __init__(self, members: int, lost: frozenset[str] = NONE) -> None:
        self.is_leader = True
        self.names = [host(number).name for number in range(members)]
        self.lost = lost
        self.silent: set[str] = set(lost)
        self.added: list[str] = []
        # The sizes that the group has had.
        self.sizes = [members]
        self.checks = 0

    def status(self) -> SimpleNamespace:
        self.checks += 1
        return SimpleNamespace(
            members=[
                SimpleNamespace(name=name, voter=name not in self.lost)
                for name in self.names
            ]
        )

    def silence_s_by_member(self) -> dict[str, float]:
        return {
            name: 99.0 if name in self.silent else 0 for name in self.names
        }

    def add_member(self, added: ControlHost) -> Future[None]:
        self.added.append(added.name)
        if added.name in self.lost:
            self.names = [*self.names, added.name]
            return Future()
        return self._change([*self.names, added.name])

    def remove_member(self, name: str) -> Future[None]:
        return self._change([other for other in self.names if other != name])

    def _change(self, names: list[str]) -> Future[None]:
        self.names = names
        self.sizes.append(len(names))
        future: Future[None] = Future()
        future.set_result(None)
        return future


def make_manager(log: FakeLog) -> MembershipManager:
    return MembershipManager(cast(ReplicatedLog, log), 3, 5, SILENCE_LIMIT_S)


@contextmanager
def managed(log: FakeLog, standbys: int) -> Iterator[None]:
    manager = make_manager(log)
    first = len(log.names)
    for number in range(first, first + standbys):
        manager.add_standby(host(number))
    with running(manager):
        yield


@contextmanager
def running(manager: MembershipManager) -> Iterator[None]:
    thread = threading.Thread(target=manager.run)
    thread.start()
    try:
        yield
    finally:
        manager.stop()
        thread.join()


class MembershipManagerTest(unittest.TestCase):
    def check_sizes(self, log: FakeLog, standbys: int, *sizes: int) -> None:
        """Check which sizes the group has, one check beyond the last."""
        with managed(log, standbys):
            wait_until(lambda: log.checks > len(sizes), 'enough checks')
        self.assertEqual(list(sizes), log.sizes)

    def test_group_grows_in_pairs(self) -> None:
        cases = [
            # Members, standbys, the sizes that the group then has.
            (3, 1, [3]),
            (3, 2, [3, 4, 5]),
            (3, 4, [3, 4, 5]),
            (1, 1, [1, 2]),
            (4, 1, [4, 5]),
            (5, 3, [5]),
        ]
        for members, standbys, sizes in cases:
            with self.subTest(members=members, standbys=standbys):
                self.check_sizes(FakeLog(members), standbys, *sizes)

    def test_silent_member_is_replaced(self) -> None:
        for members in (3, 5):
            with self.subTest(members=members):
                log = FakeLog(members)
                log.silent = {'c1'}
                self.check_sizes(log, 1, members, members - 1, members)
                self.assertNotIn('c1', log.names)

    def test_host_lost_while_it_joins_gives_way_to_the_next_one(self) -> None:
        """The leader gave up its part once that host was 10 s overdue."""
        log = FakeLog(4, lost=frozenset({'c4'}))
        with managed(log, standbys=2):
            wait_until(lambda: 'c5' in log.names, 'the next host is a member')
        self.assertEqual(['c0', 'c1', 'c2', 'c3', 'c5'], log.names)

    def test_linked_host_that_never_catches_up_is_tried_last(self) -> None:
        """Hosts whose logs had stopped were added again and again."""
        log = FakeLog(4, lost=frozenset({'c4'}))
        log.silent.add('c1')
        with managed(log, standbys=3):
            wait_until(lambda: 'c6' in log.names, 'both others are members')
        self.assertEqual(['c4', 'c5', 'c6'], log.added)

    def test_end_of_an_older_link_keeps_the_host_a_standby(self) -> None:
        """A host that dialled again was not added any more."""
        log = FakeLog(4)
        manager = make_manager(log)
        older, newer = host(4), host(4)
        manager.add_standby(older)
        manager.add_standby(newer)
        manager.remove_standby(older)
        with running(manager):
            wait_until(lambda: 'c4' in log.names, 'the host is a member')

    def test_silent_member_without_a_standby_stays(self) -> None:
        log = FakeLog(5)
        log.silent = {'c1'}
        self.check_sizes(log, 0, 5)


if __name__ == '__main__':
    unittest.main()
