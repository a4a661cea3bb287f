"""Tests that a suspended leader neither loses nor reverts state.

While the leader is suspended, the other hosts elect a new one. Once it
is resumed, the old leader still considers itself the leader and could
answer from its outdated state.
"""

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

_WAIT_LIMIT_S: Final = 20.0
_QUOTA_KEY: Final = 'quota/rowing'


def _ignore(changes: Changes) -> None:
    """Ignore changes that the test doesn't check."""


class FrozenLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.group = LocalControlGroup.start(folder.name, 3, 0.0)
        self.addCleanup(self.group.stop)
        self.pool = ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown, wait=False)

    def start_client(
        self, role: str, *hosts: LocalControlHost
    ) -> ControlClient:
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
        """Return the leader once the entry is connected to it."""
        page = entry.query('status').result(_WAIT_LIMIT_S)
        deadline = time.monotonic() + _WAIT_LIMIT_S
        while page['log']['leader'] != page['log']['name']:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)
            page = entry.query('status').result(_WAIT_LIMIT_S)
        return next(
            host
            for host in self.group.hosts
            if host.name == page['log']['name']
        )

    def test_no_state_is_lost_or_reverted(self) -> None:
        entry = self.start_client('entry', *self.group.hosts)
        before = Claim('kurek.1.n', b'digest', 1)
        granted = entry.claim(before).result(_WAIT_LIMIT_S)
        self.assertIs(granted.status, ClaimStatus.GRANTED)
        frozen_leader = self.leader(entry)
        os.kill(frozen_leader.pid, signal.SIGSTOP)
        try:
            during = Claim('kurek.2.n', b'digest', 2)
            granted = entry.claim(during).result(_WAIT_LIMIT_S)
            self.assertIs(granted.status, ClaimStatus.GRANTED)
            accepted_state = {_QUOTA_KEY: {'tasks_per_second': 5}}
            ticket = entry.put_ticket(7, accepted_state).result(_WAIT_LIMIT_S)
            self.assertIs(ticket.status, TicketStatus.ACCEPTED)
        finally:
            os.kill(frozen_leader.pid, signal.SIGCONT)
        tool = self.start_client('tool', frozen_leader)
        conflicting_state = {_QUOTA_KEY: {'tasks_per_second': 6}}
        rejected = tool.put_ticket(7, conflicting_state).result(_WAIT_LIMIT_S)
        self.assertIs(rejected.status, TicketStatus.LOST)
        self.assertEqual(rejected.winner, accepted_state)
        for claim in (before, during):
            outcome = tool.look_up(claim).result(_WAIT_LIMIT_S)
            self.assertIs(outcome.status, ClaimStatus.OWNED)
            self.assertEqual(outcome.owner, 'entry-1')
