"""Tests of finding the leader through an entry."""

from concurrent.futures import ThreadPoolExecutor
import unittest

from baobabgap.leaderlink import LeaderGuide
from baobabgap.settings import Links
from baobabgap.settings import Listen
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.wire import Hello
from baobabgap.wire import LeaderHint

_TIMING = LinkTiming(0.1, 2.0)


class LeaderGuideTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leader_address = ''
        self.pool = ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown)
        self.guide = LeaderGuide(
            Settings(
                role=Role.ENTRY,
                name='entry-1',
                listen=Listen('127.0.0.1', 0),
                links=Links(_TIMING.heartbeat_s, _TIMING.silence_s),
            ),
            self.pool,
            lambda: self.leader_address,
        )
        self.guide.start()
        self.addCleanup(self.guide.stop)

    def ask(self, role: str, address: str = '') -> LeaderHint:
        link = dial(
            f'127.0.0.1:{self.guide.port}',
            Hello('asker', role, 'a', address),
            _TIMING,
        )
        self.addCleanup(link.close)
        hint = next(link.messages())
        assert isinstance(hint, LeaderHint)
        return hint

    def test_names_the_linked_leader(self) -> None:
        self.leader_address = '10.0.0.4:7000'
        self.assertEqual('10.0.0.4:7000', self.ask('agent').address)

    def test_without_a_leader_names_a_control_host_that_asked(self) -> None:
        self.assertEqual('', self.ask('agent').address)
        self.assertEqual('', self.ask('joiner', '10.0.0.5:7000').address)
        self.assertEqual('10.0.0.5:7000', self.ask('agent').address)
