"""Tests that upstreams which hang a part of their runs are found.

Each run that hangs makes its job late, while the successes beside it make
the upstream look sound; a sound upstream that is suspended is lost capacity.
"""

import random
import unittest

from baobabgap.scheduling import TargetHealth

RUNS_AT_A_TIME = 10
RUN_S = 0.12
# Seconds after its start at which a run counts as overdue.
OVERDUE_S = 0.6


class HangSuspicionTest(unittest.TestCase):
    def play(
        self, hang_share: float, seconds: float, seed: int
    ) -> tuple[int, float]:
        """Return how many runs hung, and for how long it was suspended."""
        rng = random.Random(seed)
        health = TargetHealth()
        # End of each run in progress, and whether it ends by itself.
        runs: list[tuple[float, bool]] = []
        hung, suspended_s, now = 0, 0.0, 0.0
        while now < seconds:
            now += 0.01
            for run in [run for run in runs if run[0] <= now]:
                runs.remove(run)
                if run[1]:
                    health.note_done(RUN_S, RUN_S)
                else:
                    health.note_overdue(now)
            suspended_s += 0.01 * health.is_suspended(now)
            while len(runs) < RUNS_AT_A_TIME and health.accepts_run(
                len(runs), now
            ):
                hangs = rng.random() < hang_share
                hung += hangs
                runs.append((now + (OVERDUE_S if hangs else RUN_S), not hangs))
        return hung, suspended_s

    def test_upstream_that_hangs_a_third_of_its_runs(self) -> None:
        """Regression: three overdue runs in a row hardly ever came."""
        for seed in range(5):
            with self.subTest(seed):
                _, suspended_s = self.play(0.32, 6.0, seed)
                self.assertGreater(suspended_s, 3.0)

    def test_sound_upstream_with_few_long_runs(self) -> None:
        for seed in range(5):
            with self.subTest(seed):
                _, suspended_s = self.play(0.01, 10.0, seed)
                self.assertEqual(0.0, suspended_s)

    def test_upstream_that_is_sound_again_is_used_again(self) -> None:
        health = TargetHealth()
        for _ in range(3):
            health.note_overdue(0.0)
        self.assertFalse(health.accepts_run(0, 0.5))
        for _ in range(60):
            health.note_done(RUN_S, RUN_S)
        self.assertFalse(health.note_overdue(2.0))
        self.assertTrue(health.accepts_run(5, 2.1))

    def test_repeated_hangs_suspend_for_longer(self) -> None:
        health = TargetHealth()
        for _ in range(3):
            health.note_overdue(0.0)
        health.note_done(RUN_S, RUN_S)
        self.assertTrue(health.note_overdue(1.5))
        self.assertFalse(health.accepts_run(0, 3.0))


if __name__ == '__main__':
    unittest.main()
