"""Starts on upstreams that run tasks more slowly for a while.

Guards against load that returns to a zone at once, and against run times of
that while that are taken for those of the upstream or its kind.
"""

import unittest

from baobabgap.accepted import Step
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling.tests.test_decisions import make_plan
from baobabgap.scheduling.tests.test_decisions import make_target
from baobabgap.scheduling.tests.test_decisions import planned_starts
from baobabgap.scheduling.tests.test_decisions import TASK


def cold_target(name: str, left_s: float = 1.0) -> PlacementTarget:
    target = make_target(name)
    target.set_cold_left(left_s, now=0.0)
    return target


def slow_target(name: str) -> PlacementTarget:
    target = make_target(name)
    target.set_kind_slowness(1.1)
    return target


class ColdTargetsTest(unittest.TestCase):
    def test_cold_targets_come_after_equally_fast_warm_ones(self) -> None:
        plan = make_plan('a', Step(6, TASK, 100))
        targets = [slow_target('slow'), cold_target('cold'), make_target('w')]
        self.assertEqual(
            ['w', 'w', 'cold', 'cold', 'slow', 'slow'],
            [name for _, _, name in planned_starts([plan], targets)],
        )

    def test_target_is_warm_after_its_time(self) -> None:
        target = cold_target('t', left_s=1.0)
        cases = [(0.9, True), (1.0, False), (2.0, False)]
        for now, is_cold in cases:
            target.note_time(now)
            self.assertEqual(is_cold, target.is_cold)
        target.set_cold_left(0.5, now=2.0)
        self.assertTrue(target.is_cold)
        target.set_cold_left(0.0, now=2.1)
        self.assertFalse(target.is_cold)

    def test_slowness_is_learned_anew(self) -> None:
        target = cold_target('t')
        for _ in range(100):
            target.note_done(run_s=0.6, expected_s=0.1)
        self.assertGreater(target.slowness, 4)
        target.note_time(1.0)
        self.assertEqual(1.0, target.slowness)

    def test_cold_targets_count_as_capacity(self) -> None:
        pool = TargetPool.from_targets([cold_target('t')])
        self.assertEqual(2.0, pool.open_cores)


if __name__ == '__main__':
    unittest.main()
