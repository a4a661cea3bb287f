"""Tests which announcements of a cold upstream the leader is sent.

Each announcement of a cold upstream differs from the one before; a message
for each, from all upstreams of a zone that returns, would load the leader.
"""

from dataclasses import replace
import unittest

from baobabgap.upstreams._coldness import is_only_less_cold
from baobabgap.upstreams.tests.test_zone_gate import UPSTREAM


class ColdnessTest(unittest.TestCase):
    def test_only_a_shorter_rest_is_no_news(self) -> None:
        cold = replace(UPSTREAM, cold_left_ms=900)
        cases = [
            (cold, replace(cold, cold_left_ms=400), True),
            (cold, replace(cold, cold_left_ms=0), False),
            (cold, replace(cold, cold_left_ms=1000), False),
            (UPSTREAM, cold, False),
            (UPSTREAM, UPSTREAM, False),
            (
                cold,
                replace(cold, cold_left_ms=400, is_draining=True),
                False,
            ),
            (None, cold, False),
            (cold, None, False),
        ]
        for earlier, later, is_no_news in cases:
            with self.subTest(earlier=earlier, later=later):
                self.assertEqual(is_no_news, is_only_less_cold(earlier, later))


if __name__ == '__main__':
    unittest.main()
