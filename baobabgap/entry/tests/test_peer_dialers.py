"""Tests of the dialers to other entries."""

from typing import Any
import unittest
from unittest.mock import Mock
from unittest.mock import patch

from baobabgap.entry import _peer_dialers
from baobabgap.entry._peer_dialers import PeerDialers
from baobabgap.messages import Changes
from baobabgap.messages import Hello
from baobabgap.messages import MemberRecord
from baobabgap.transport import LinkTiming


class PeerDialersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dialer_by_address: dict[str, Mock] = {}
        patched = patch.object(_peer_dialers, 'Dialer', self._make_dialer)
        patched.start()
        self.addCleanup(patched.stop)
        self.dialers = PeerDialers(
            Hello('entry-1', 'entry', 'a'),
            LinkTiming(),
            Mock(),
            Mock(),
            Mock(),
        )

    def _make_dialer(self, address: str, *rest: Any) -> Mock:
        dialer = self.dialer_by_address[address] = Mock()
        return dialer

    def _update(self, address: str, *, alive: bool = True) -> None:
        member = Mock(MemberRecord, role='entry', address=address, alive=alive)
        member.name = 'entry-2'
        self.dialers.update_members(
            Mock(Changes, from_version=1, members=(member,))
        )

    def test_peer_at_a_new_address_is_no_longer_dialled_at_the_old(
        self,
    ) -> None:
        self._update('10.0.0.1:1')
        self._update('10.0.0.2:1')
        self.dialer_by_address['10.0.0.1:1'].stop.assert_called_once_with()
        self.dialer_by_address['10.0.0.2:1'].start.assert_called_once_with()
        self._update('10.0.0.2:1', alive=False)
        self.dialer_by_address['10.0.0.2:1'].stop.assert_called_once_with()

    def test_repeated_member_keeps_its_dialer(self) -> None:
        self._update('10.0.0.1:1')
        first = self.dialer_by_address['10.0.0.1:1']
        self._update('10.0.0.1:1')
        first.stop.assert_not_called()
        self.assertIs(first, self.dialer_by_address['10.0.0.1:1'])
