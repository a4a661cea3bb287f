"""Tests of readings of the upstream's clock that can't be true.

A reading that is too high makes leases seem lapsed that still hold, so that a
task runs twice, and hides each true reading after it.
"""

import random
from typing import Final
import unittest

from baobabgap.upstreams._clock import LeaseClock

_LONGEST_LEASE_S: Final = 1.0
# The upstream's clock at local time 0, milliseconds.
_CLOCK_MS: Final = 482_113
_ODD_READINGS: Final = (1, 2**53, 2**53 - 1, _CLOCK_MS + 60_000)
# Seconds within which true readings replace false ones.
_RECOVERY_S: Final = 1.0
# Seconds between two polls, and for which one waits.
_POLL_S: Final = 0.05


def true_ms(now: float) -> int:
    return _CLOCK_MS + int(1000 * now)


class OddReadingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = LeaseClock(0.0, _LONGEST_LEASE_S)
        self.now = 0.0

    def poll(self, reading_ms: int | None = None) -> str:
        """Record a reading, by default the true one; return the refusal."""
        sent_at = self.now
        self.now += _POLL_S
        if reading_ms is None:
            reading_ms = true_ms(self.now)
        return self.clock.record_reading(reading_ms, self.now, sent_at)

    def assert_true(self) -> None:
        self.assertTrue(self.clock.is_known)
        difference_ms = self.clock.estimate_ms(self.now) - true_ms(self.now)
        self.assertLessEqual(abs(difference_ms), 1000 * _POLL_S)

    def test_odd_reading_among_true_ones_changes_nothing(self) -> None:
        for odd_ms in _ODD_READINGS:
            with self.subTest(odd_ms=odd_ms):
                self.setUp()
                for _ in range(3):
                    self.poll()
                lease = self.clock.begin_lease(true_ms(self.now) + 1000)
                self.clock.settle_lease(lease, was_delivered=True)
                remaining_ms = self.clock.remaining_ms(self.now)
                self.assertNotEqual('', self.poll(odd_ms))
                self.assertEqual(
                    remaining_ms - 1000 * _POLL_S,
                    self.clock.remaining_ms(self.now),
                )
                self.assertEqual('', self.poll())
                self.assert_true()

    def test_odd_readings_for_long_change_nothing(self) -> None:
        for odd_ms in _ODD_READINGS:
            with self.subTest(odd_ms=odd_ms):
                self.setUp()
                for _ in range(3):
                    self.poll()
                for _ in range(100):
                    self.assertNotEqual('', self.poll(odd_ms))
                self.assertEqual('', self.poll())
                self.assert_true()

    def test_first_reading_is_odd(self) -> None:
        for odd_ms in _ODD_READINGS:
            with self.subTest(odd_ms=odd_ms):
                self.setUp()
                self.poll(odd_ms)
                # No lease is sent by a single reading.
                self.assertFalse(self.clock.is_known)
                self.assertFalse(self.clock.has_lapsed(self.now + 1.0))
                self.poll()
                self.poll()
                self.assert_true()
                self.assertFalse(self.clock.has_lapsed(self.now + 1.0))
                self.assertTrue(self.clock.has_lapsed(self.now + 1.2))

    def test_first_readings_are_odd_and_agree(self) -> None:
        for ahead_ms in (60_000, 2**52, -60_000):
            with self.subTest(ahead_ms=ahead_ms):
                self.setUp()
                for _ in range(10):
                    self.poll(true_ms(self.now + _POLL_S) + ahead_ms)
                recovers_at = self.now + _RECOVERY_S
                while self.now < recovers_at:
                    self.poll()
                self.assert_true()
                # The upstream limits a lease that it got to the longest one.
                self.assertFalse(self.clock.has_lapsed(self.now + 0.5))

    def test_lease_sent_by_an_early_clock_has_no_known_end(self) -> None:
        """By the true clock, it could arrive late and hold for longer."""
        for _ in range(10):
            self.poll()
        lease = self.clock.begin_lease(true_ms(self.now) + 1000)
        self.clock.settle_lease(lease, was_delivered=True)
        for _ in range(30):
            self.poll(true_ms(self.now + _POLL_S) + 60_000)
        self.assertFalse(self.clock.has_lapsed(self.now + 3600))

    def test_lease_that_may_arrive_late_holds_after_a_replacement(
        self,
    ) -> None:
        ahead_ms = 60_000
        for _ in range(10):
            self.poll(true_ms(self.now + _POLL_S) + ahead_ms)
        answered, unanswered = (
            self.clock.begin_lease(self.clock.estimate_ms(self.now) + left_ms)
            for left_ms in (1000, 900)
        )
        self.clock.settle_lease(
            answered, was_delivered=True, answered_at=self.now
        )
        self.clock.settle_lease(unanswered, was_delivered=True)
        for _ in range(30):
            self.poll()
        self.assert_true()
        self.assertFalse(self.clock.has_lapsed(self.now + 50))

    def test_clocks_of_any_permitted_speed_are_followed(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            speed = rng.choice((0.98, 0.99, 1.0, 1.005))
            clock = LeaseClock(0.0, _LONGEST_LEASE_S)
            now = 0.0
            for _ in range(500):
                sent_at = now
                now += rng.choice((0.0, 0.0003, 0.01, 0.25, 7.0))
                read_at = rng.uniform(sent_at, now)
                reading_ms = _CLOCK_MS + int(1000 * speed * read_at)
                refusal = clock.record_reading(reading_ms, now, sent_at)
                self.assertEqual('', refusal, f'seed {seed}')
                now += rng.choice((0.0, 0.012, 0.1))


if __name__ == '__main__':
    unittest.main()
