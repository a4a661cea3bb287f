"""Tests what is learned of the speed of each upstream.

A factor that follows single runs sends tasks to the wrong upstreams; one
that is learned too late leaves jobs waiting for their slowest task.
"""

import itertools
import random
import statistics
import unittest

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import SpeedBaseline
from baobabgap.scheduling import TargetPool

# Largest relative error of the submitters' estimates, either way.
ESTIMATE_ERROR = 0.4
# Share of the tasks that take several times as long as estimated.
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
RUNS_PER_S = 20
# Seconds within which a change of speed has to show.
SECONDS_TO_LEARN = 2
CAPACITY = Demand(32_000, 65_536, 0)
STEP = Step(1, Demand(3_000, 64, 0), 400)


class SpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(1)
        self.baseline = SpeedBaseline()
        self.now = 0.0
        self.names = itertools.count()

    def make_targets(self, count: int) -> list[PlacementTarget]:
        return [
            PlacementTarget(
                f'u{next(self.names)}', 's', 'z', (), CAPACITY, CAPACITY
            )
            for _ in range(count)
        ]

    def run_for(
        self, seconds: float, slowness_by_target: dict[PlacementTarget, float]
    ) -> None:
        """Let each upstream end runs whose estimates are rough."""
        for _ in range(int(seconds * RUNS_PER_S)):
            self.now += 1 / RUNS_PER_S
            for target, slowness in slowness_by_target.items():
                expected_s = 0.4
                error = self.rng.uniform(-ESTIMATE_ERROR, ESTIMATE_ERROR)
                run_s = slowness * expected_s / (1 + error)
                if self.rng.random() < LONG_SHARE:
                    run_s *= LONG_FACTOR
                log_ratio = self.baseline.relative(run_s, expected_s)
                target.note_speed(log_ratio, self.now)

    def test_equal_upstreams_look_equal(self) -> None:
        targets = self.make_targets(40)
        self.run_for(5, dict.fromkeys(targets, 1.0))
        alike = [target for target in targets if 0.9 <= target.slowness <= 1.1]
        self.assertGreaterEqual(len(alike), 0.95 * len(targets))

    def test_speeds_of_one_kind_are_told_apart(self) -> None:
        slow, usual, fast = (self.make_targets(10) for _ in range(3))
        actual = {
            **dict.fromkeys(slow, 1 / 0.8),
            **dict.fromkeys(usual, 1.0),
            **dict.fromkeys(fast, 1 / 1.25),
        }
        self.run_for(SECONDS_TO_LEARN, actual)
        means = [
            statistics.fmean(target.slowness for target in group)
            for group in (fast, usual, slow)
        ]
        self.assertEqual(sorted(means), means)
        # The extremes differ by a factor of 1.56.
        self.assertGreater(means[2] / means[0], 1.25)

    def test_upstream_that_turns_slow_and_back(self) -> None:
        target, *others = self.make_targets(20)
        usual = dict.fromkeys(others, 1.0)
        self.run_for(5, {target: 1.0, **usual})
        self.run_for(SECONDS_TO_LEARN, {target: 2.0, **usual})
        self.assertGreaterEqual(target.slowness, 1.5)
        self.run_for(2 * SECONDS_TO_LEARN, {target: 1.0, **usual})
        self.assertLessEqual(target.slowness, 1.2)

    def test_what_slows_all_down_marks_none(self) -> None:
        targets = self.make_targets(40)
        self.run_for(10, dict.fromkeys(targets, 2.0))
        self.run_for(5, dict.fromkeys(targets, 2.0))
        self.assertAlmostEqual(
            1.0,
            statistics.fmean(target.slowness for target in targets),
            delta=0.1,
        )

    def test_estimates_that_are_all_wrong_mark_none(self) -> None:
        """Regression: upstreams with runs looked faster than idle ones."""
        used, *idle = self.make_targets(20)
        for _ in range(20):
            used.note_speed(self.baseline.relative(0.005, 0.1), self.now)
        self.assertEqual([1.0] * 20, [t.slowness for t in (used, *idle)])

    def test_old_evidence_counts_little(self) -> None:
        target, *others = self.make_targets(20)
        self.run_for(5, {target: 2.0, **dict.fromkeys(others, 1.0)})
        self.assertGreater(target.speed.confidence, 0.7)
        self.now += 60
        target.note_speed(0.0, self.now)
        self.assertLess(target.speed.confidence, 0.5)
        self.assertLessEqual(target.slowness, 1.1)

    def test_long_run_changes_nothing_by_itself(self) -> None:
        target, *others = self.make_targets(20)
        self.run_for(5, {target: 1.0, **dict.fromkeys(others, 1.0)})
        before = target.slowness
        target.note_speed(
            self.baseline.relative(0.4 * LONG_FACTOR, 0.4), self.now
        )
        self.assertAlmostEqual(before, target.slowness, delta=0.1)

    def test_learned_fast_upstream_is_chosen(self) -> None:
        slow, fast = self.make_targets(2)
        self.run_for(SECONDS_TO_LEARN, {slow: 1.25, fast: 0.8})
        pool = TargetPool.from_targets([slow, fast])
        # The slow one has more free capacity.
        fast.occupy(STEP.demand)
        chosen = pool.choose(STEP, (), {}, 1.5, self.now, lambda _: True)
        self.assertIs(fast, chosen)


if __name__ == '__main__':
    unittest.main()
