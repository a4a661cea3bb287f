"""Runs `make history` briefly with two seeds that must not be RED."""

from typing import Final
import unittest

from tools.history._run import run

_SECONDS: Final = 2.0
_SEEDS: Final = (1, 2)


class TestHistory(unittest.TestCase):
    """Concurrent requests under random faults violate no rule."""

    def test_rules_hold(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = run(seed, _SECONDS)
                self.assertGreater(len(result.history.starts), 0)
                self.assertTrue(result.held, result.explanation())
