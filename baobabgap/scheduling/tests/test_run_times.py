"""Tests that speeds are told apart from the run times of queues."""

import random
import unittest

from baobabgap.scheduling import RunTimes


class UnevenMixTest(unittest.TestCase):
    def test_queue_that_mostly_runs_on_slow_upstreams(self) -> None:
        """Its ratio must not hide that they are slow."""
        times = RunTimes()
        rng = random.Random(1)
        speeds = {'fast': 0.7, 'slow': 1.7}
        share_on_slow = {'short': 0.9, 'long': 0.05}
        for _ in range(3000):
            queue = rng.choice(list(share_on_slow))
            is_slow = rng.random() < share_on_slow[queue]
            kind = 'slow' if is_slow else 'fast'
            estimate_ms = rng.uniform(60, 140)
            times.observe(queue, kind, round(estimate_ms), 0.1 * speeds[kind])
        for queue in share_on_slow:
            for kind, speed in speeds.items():
                with self.subTest(queue=queue, kind=kind):
                    run_s = times.expected_s(queue, 100) * times.slowness(kind)
                    # An estimate is off by 40% at most.
                    self.assertAlmostEqual(
                        0.1 * speed, run_s, delta=0.04 * speed
                    )
        ratio = times.slowness('slow') / times.slowness('fast')
        self.assertGreater(ratio, 1.9)


if __name__ == '__main__':
    unittest.main()
