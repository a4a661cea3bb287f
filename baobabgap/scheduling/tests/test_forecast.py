"""Tests the forecast of when the runs of an upstream end."""

import math
import unittest

from baobabgap.accepted import Demand
from baobabgap.scheduling import ExpectedRun
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling._forecast import RunForecast
from baobabgap.scheduling.tests.test_decisions import make_target

_TASK = Demand(1000, 64, 0)
_LARGE = Demand(3000, 64, 0)


def start(target: PlacementTarget, expected_s: float) -> ExpectedRun:
    expected = target.expect_run(_TASK, expected_s, 0.0)
    target.occupy(_TASK, expected=expected)
    return expected


class RunForecastTest(unittest.TestCase):
    def test_demand_fits_when_enough_runs_have_ended(self) -> None:
        target = make_target('t', 4)
        for expected_s in (0.4, 0.1, 0.2):
            start(target, expected_s)
        cases = [(1, 0.0), (2, 0.1), (3, 0.2), (4, 0.4), (5, math.inf)]
        for cores, fits_at in cases:
            with self.subTest(cores=cores):
                demand = Demand(1000 * cores, 64, 0)
                self.assertAlmostEqual(fits_at, target.free_at(demand, 0.0))

    def test_run_past_its_expectation_ends_later_by_its_age(self) -> None:
        run = ExpectedRun.from_start(0.0, 0.1, _TASK)
        self.assertAlmostEqual(0.1, run.expected_end(0.05))
        ends = [run.expected_end(now) - now for now in (0.2, 0.4, 0.8)]
        self.assertGreater(ends[0], 0)
        self.assertEqual(sorted(ends), ends)

    def test_order_of_ends_follows_the_runs_that_are_overdue(self) -> None:
        target = make_target('t', 3)
        for expected_s in (0.1, 1.0, 1.02):
            start(target, expected_s)
        # The first run is overdue by 0.89 s, the second one ends soon.
        self.assertAlmostEqual(1.0, target.free_at(_TASK, 0.99))

    def test_slow_upstream_ends_its_runs_later(self) -> None:
        target = make_target('t', 1)
        target.set_kind_slowness(1.5)
        start(target, 0.2)
        self.assertAlmostEqual(0.3, target.free_at(_TASK, 0.0))

    def test_ended_run_no_longer_counts(self) -> None:
        target = make_target('t', 3)
        runs = [start(target, expected_s) for expected_s in (0.3, 0.3, 0.5)]
        target.release(_TASK, runs[1])
        self.assertAlmostEqual(0.5, target.free_at(_LARGE, 0.0))
        target.release(_TASK, runs[2])
        self.assertAlmostEqual(0.3, target.free_at(_LARGE, 0.0))

    def test_runs_with_equal_times_are_told_apart_by_demand(self) -> None:
        forecast = RunForecast()
        runs = [ExpectedRun.from_start(0.0, 1.0, d) for d in (_TASK, _LARGE)]
        for run in runs:
            forecast.add(run)
        forecast.remove(runs[1])
        free = forecast.free_by(1.0, Demand(), 0.0)
        self.assertEqual(_TASK, free)

    def test_run_without_expectation_never_counts_as_ending(self) -> None:
        target = make_target('t', 1)
        target.occupy(_TASK)
        self.assertEqual(math.inf, target.free_at(_TASK, 0.0))
        target.release(_TASK)
        self.assertEqual(0.0, target.free_at(_TASK, 0.0))


if __name__ == '__main__':
    unittest.main()
