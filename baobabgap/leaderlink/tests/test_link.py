"""Tests of stopping while a link is being opened."""

from concurrent.futures import ThreadPoolExecutor
import threading
from typing import Any
import unittest
from unittest.mock import Mock
from unittest.mock import patch

from baobabgap.control import _relay
from baobabgap.control._relay import LeaderRelay
from baobabgap.leaderlink import _link
from baobabgap.leaderlink import LeaderLink
from baobabgap.transport import LinkTiming
from baobabgap.wire import Hello

_WAIT_S = 20.0


class StopWhileDiallingTest(unittest.TestCase):
    """A link that opens during the stop must not keep the process alive."""

    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(4)
        self.is_dialling = threading.Event()
        self.may_open = threading.Event()
        self.connection = Mock()
        self.is_closed = threading.Event()
        self.connection.close.side_effect = self.is_closed.set
        self.connection.messages.side_effect = self._wait_for_close
        self.addCleanup(self.is_closed.set)

    def _wait_for_close(self) -> Any:
        self.is_closed.wait(_WAIT_S)
        return iter(())

    def _dial(self, *arguments: Any) -> Mock:
        self.is_dialling.set()
        self.may_open.wait(_WAIT_S)
        return self.connection

    def _stop_while_dialling(self, link: LeaderLink | LeaderRelay) -> None:
        link.start()
        self.assertTrue(self.is_dialling.wait(_WAIT_S))
        link.stop()
        self.may_open.set()
        self.assertTrue(self.is_closed.wait(_WAIT_S / 10))
        self.pool.shutdown(wait=True)

    def test_leader_link(self) -> None:
        link = LeaderLink(
            lambda: Hello('a', 'agent', '1'),
            LinkTiming(),
            self.pool,
            lambda: ('127.0.0.1:1',),
            Mock(),
        )
        with patch.object(_link, 'dial', self._dial):
            self._stop_while_dialling(link)

    def test_relay(self) -> None:
        relay = LeaderRelay(
            lambda: Hello('a', 'control', '1'),
            LinkTiming(),
            self.pool,
            lambda: Mock(address='127.0.0.1:1'),
            Mock(),
        )
        with patch.object(_relay, 'dial', self._dial):
            self._stop_while_dialling(relay)


if __name__ == '__main__':
    unittest.main()
