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


def host(number: int) -> ControlHost:
    return ControlHost(f'c{number}', f'10.0.0.{number}', 7000)


class FakeLog:
    """A leader's log that carries out each change of members at once."""

    def __init__(self, members: int) -> None:
        self.is_leader = True
        self.names = [host(number).name for number in range(members)]
        self.silent: set[str] = set()
        # The sizes that the group has had.
        self.sizes = [members]
        self.checks = 0

    def status(self) -> SimpleNamespace:
        self.checks += 1
        return SimpleNamespace(
            members=[SimpleNamespace(name=name) for name in self.names]
        )

    def silence_s_by_member(self) -> dict[str, float]:
        return {
            name: 99.0 if name in self.silent else 0 for name in self.names
        }

    def add_member(self, added: ControlHost) -> Future[None]:
        return self._change([*self.names, added.name])

    def remove_member(self, name: str) -> Future[None]:
        return self._change([other for other in self.names if other != name])

    def _change(self, names: list[str]) -> Future[None]:
        self.names = names
        self.sizes.append(len(names))
        future: Future[None] = Future()
        future.set_result(None)
        return future


@contextmanager
def managed(log: FakeLog, standbys: int) -> Iterator[None]:
    manager = MembershipManager(
        cast(ReplicatedLog, log), 3, 5, SILENCE_LIMIT_S
    )
    first = len(log.names)
    for number in range(first, first + standbys):
        manager.add_standby(host(number))
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

    def test_silent_member_without_a_standby_stays(self) -> None:
        log = FakeLog(5)
        log.silent = {'c1'}
        self.check_sizes(log, 0, 5)


if __name__ == '__main__':
    unittest.main()
