"""The leader of the control group freezes for a while and thaws."""

from concurrent.futures import ThreadPoolExecutor
import os
import signal
import tempfile
import time
from typing import Final
import unittest

from baobabgap.control import ControlClient
from baobabgap.messages import Changes
from baobabgap.messages import Claim
from baobabgap.messages import ClaimStatus
from baobabgap.messages import TicketStatus
from baobabgap.settings import ControlHost
from baobabgap.settings import Links
from baobabgap.settings import Role
from baobabgap.settings import Settings
from tools._local_control_group import LocalControlGroup
from tools._local_control_group import LocalControlHost

_LONGEST_WAIT_S: Final = 20.0
_QUOTA: Final = 'quota/rowing'


def _ignore(changes: Changes) -> None:
    """Take changes that the test does not look at."""


class FrozenLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.group = LocalControlGroup.start(folder.name, 3, 0.0)
        self.addCleanup(self.group.stop)
        self.pool = ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown, wait=False)

    def client(self, role: str, *hosts: LocalControlHost) -> ControlClient:
        settings = Settings(
            role=Role.ENTRY,
            name=f'{role}-1',
            control_hosts=tuple(
                ControlHost(host.name, '127.0.0.1', host.internal_port)
                for host in hosts
            ),
            links=Links(heartbeat_s=0.2, silence_s=1.0),
        )
        client = ControlClient.from_settings(
            settings, role, f'{role}-1-a', '', self.pool, _ignore, ('entry',)
        )
        client.start()
        self.addCleanup(client.stop)
        return client

    def leader(self, entry: ControlClient) -> LocalControlHost:
        """Return the host that the entry has settled at."""
        page = entry.query('status').result(_LONGEST_WAIT_S)
        deadline = time.monotonic() + _LONGEST_WAIT_S
        while page['log']['leader'] != page['log']['name']:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)
            page = entry.query('status').result(_LONGEST_WAIT_S)
        return next(
            host
            for host in self.group.hosts
            if host.name == page['log']['name']
        )

    def test_nothing_is_lost_and_nothing_reverts(self) -> None:
        entry = self.client('entry', *self.group.hosts)
        before = Claim('kurek.1.n', b'digest', 1)
        granted = entry.claim(before).result(_LONGEST_WAIT_S)
        self.assertIs(granted.status, ClaimStatus.GRANTED)
        frozen = self.leader(entry)
        os.kill(frozen.pid, signal.SIGSTOP)
        try:
            during = Claim('kurek.2.n', b'digest', 2)
            granted = entry.claim(during).result(_LONGEST_WAIT_S)
            self.assertIs(granted.status, ClaimStatus.GRANTED)
            state = {_QUOTA: {'tasks_per_second': 5}}
            ticket = entry.put_ticket(7, state).result(_LONGEST_WAIT_S)
            self.assertIs(ticket.status, TicketStatus.ACCEPTED)
        finally:
            os.kill(frozen.pid, signal.SIGCONT)
        tool = self.client('tool', frozen)
        other = {_QUOTA: {'tasks_per_second': 6}}
        lost = tool.put_ticket(7, other).result(_LONGEST_WAIT_S)
        self.assertIs(lost.status, TicketStatus.LOST)
        self.assertEqual(lost.winner, state)
        for claim in (before, during):
            found = tool.lookup(claim).result(_LONGEST_WAIT_S)
            self.assertIs(found.status, ClaimStatus.OWNED)
            self.assertEqual(found.owner, 'entry-1')
