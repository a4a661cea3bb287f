"""Tests of quotas shared between entries, and of balancing reports."""

import unittest

from baobabgap.configuration import Policy
from baobabgap.configuration import TeamQuota
from baobabgap.entry._quota_ledger import QuotaLedger
from baobabgap.entry._token_balancer import TokenBalancer
from baobabgap.entry._token_pool import TokenPool
from baobabgap.entry.tests.fakes import FakeLink
from baobabgap.messages import EntryState
from baobabgap.messages import QuotaDemand
from baobabgap.messages import TeamDemand

_QUOTA = TeamQuota(tasks_per_second=100, burst_tasks=100)


def _spend_for(ledger: QuotaLedger, seconds: int, per_second: int) -> int:
    """Request single tasks at a fixed rate; return how many may start."""
    passed = 0
    for step in range(seconds * per_second):
        now = step / per_second
        if ledger.spend('team', 1, _QUOTA, now) == 0.0:
            passed += 1
    return passed


class TestQuotaLedger(unittest.TestCase):
    """A team gets its quota over all entries together, and no more."""

    def test_alone(self) -> None:
        passed = _spend_for(QuotaLedger(), 10, 300)
        self.assertAlmostEqual(1100, passed, delta=5)

    def test_shared_by_demand(self) -> None:
        ledger = QuotaLedger()
        _spend_for(ledger, 1, 100)
        ledger.set_peer_demand(
            'peer', QuotaDemand((TeamDemand('team', 300.0),))
        )
        share = _spend_for(ledger, 20, 100)
        self.assertLess(share, 2100 * 0.45)
        self.assertGreater(share, 2100 * 0.15)

    def test_large_job_starts_when_the_allowance_is_full(self) -> None:
        ledger = QuotaLedger()
        self.assertEqual(0.0, ledger.spend('team', 1000, _QUOTA, 0.0))
        self.assertGreater(ledger.spend('team', 1, _QUOTA, 5.0), 0.0)
        self.assertEqual(0.0, ledger.spend('team', 1, _QUOTA, 11.0))

    def test_reports_only_changes(self) -> None:
        ledger = QuotaLedger()
        self.assertIsNone(ledger.report(0.0))
        ledger.spend('team', 10, _QUOTA, 0.0)
        self.assertIsNotNone(ledger.report(0.0))
        self.assertIsNone(ledger.report(0.0))


class TestBalancerReports(unittest.TestCase):
    """A report is sent only if the state has changed enough."""

    def test_reports(self) -> None:
        last = EntryState(10, 100.0, 0, 1000.0)
        cases = {
            'same': (last, False),
            'one task more': (EntryState(11, 100.0, 0, 1000.0), False),
            'queue gone': (EntryState(0, 0.0, 0, 1000.0), True),
            'queue grew': (EntryState(20, 100.0, 0, 1000.0), True),
            'head moved': (EntryState(10, 30.0, 0, 1000.0), True),
            'first idle token': (EntryState(10, 100.0, 1, 1000.0), True),
            'work grew': (EntryState(10, 100.0, 0, 3000.0), True),
        }
        for name, (state, expected) in cases.items():
            with self.subTest(name):
                balancer = TokenBalancer(TokenPool())
                balancer.add_peer(FakeLink('p', 'entry').connection)
                balancer.report(last, 0.0, Policy())
                sent = balancer.report(state, 0.0, Policy())
                self.assertEqual(expected, sent is not None)
