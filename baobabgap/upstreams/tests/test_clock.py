"""Tests when a lease has certainly lapsed."""

import unittest

from baobabgap.upstreams._clock import LeaseClock


class LeaseClockTest(unittest.TestCase):
    def test_lease_lapses_by_the_slowest_clock(self) -> None:
        clock = LeaseClock(99.0, 1.0)
        clock.record_reading(10_000, answered_at=100.0)
        lease = clock.begin_lease(11_000)
        clock.settle_lease(lease, was_delivered=True)
        self.assertFalse(clock.has_lapsed(101.0))
        # An upstream clock that is 2% slow reads 10,980 at 101.0.
        self.assertFalse(clock.has_lapsed(101.1))
        self.assertTrue(clock.has_lapsed(101.2))

    def test_lease_of_earlier_process_lapses(self) -> None:
        clock = LeaseClock(100.0, 1.0)
        self.assertFalse(clock.has_lapsed(101.1))
        self.assertTrue(clock.has_lapsed(101.2))

    def test_first_reading_does_not_shorten_earlier_leases(self) -> None:
        clock = LeaseClock(100.0, 1.0)
        clock.record_reading(50_000, answered_at=100.5)
        self.assertFalse(clock.has_lapsed(101.6))
        self.assertTrue(clock.has_lapsed(101.7))

    def test_late_answer_does_not_set_clock_back(self) -> None:
        clock = LeaseClock(99.0, 1.0)
        clock.record_reading(10_000, answered_at=100.0)
        clock.record_reading(9_000, answered_at=99.0)
        self.assertEqual(10_500, clock.estimate_ms(100.5))


class SentLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = LeaseClock(0.0, 1.0)
        self.clock.record_reading(5000, 0.0)

    def test_lease_that_was_not_delivered_does_not_count(self) -> None:
        lease = self.clock.begin_lease(9000)
        self.assertFalse(self.clock.has_lapsed(2.0))
        self.clock.settle_lease(lease, was_delivered=False)
        self.assertTrue(self.clock.has_lapsed(2.0))

    def test_lease_that_may_have_been_delivered_counts(self) -> None:
        lease = self.clock.begin_lease(9000)
        self.clock.settle_lease(lease, was_delivered=True)
        self.assertFalse(self.clock.has_lapsed(4.0))
        self.assertTrue(self.clock.has_lapsed(4.2))

    def test_equal_leases_in_flight_are_settled_one_by_one(self) -> None:
        first = self.clock.begin_lease(9000)
        second = self.clock.begin_lease(9000)
        self.clock.settle_lease(first, was_delivered=False)
        self.assertFalse(self.clock.has_lapsed(2.0))
        self.clock.settle_lease(second, was_delivered=False)
        self.assertTrue(self.clock.has_lapsed(2.0))

    def test_lease_of_an_earlier_incarnation_is_ignored(self) -> None:
        earlier = LeaseClock(0.0, 1.0).begin_lease(9000)
        self.clock.settle_lease(earlier, was_delivered=True)
        self.assertTrue(self.clock.has_lapsed(2.0))
