"""Scheduling policies under simulated loads, against simpler policies."""

from collections.abc import Callable
import unittest

from baobabgap.scheduling.tests.load_player import AdmissionOptions
from baobabgap.scheduling.tests.load_player import by_reference
from baobabgap.scheduling.tests.load_player import by_total_backlog
from baobabgap.scheduling.tests.load_player import by_work_ahead
from baobabgap.scheduling.tests.load_player import first_come
from baobabgap.scheduling.tests.load_player import LoadSimulator
from baobabgap.scheduling.tests.load_player import make_trace
from baobabgap.scheduling.tests.load_player import UPSTREAMS
from baobabgap.scheduling.tests.load_player import urgent_first_without_begun

SECONDS = 12.0
SEEDS = (1, 2)


def normal_load(at: float) -> float:
    return 1.0


def constant_load(factor: float) -> Callable[[float], float]:
    return lambda at: factor


def burst(at: float) -> float:
    return 1.8 if 5 <= at < 9 else 1.0


def overload(at: float) -> float:
    return 1.6


def large_burst(at: float) -> float:
    return 2.5 if 5 <= at < 8 else 1.0


def slight_overload(at: float) -> float:
    return 1.15


class SimulatedLoadTest(unittest.TestCase):
    def test_normal_load_is_on_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, normal_load, seed)
                outcome = LoadSimulator().run(trace)
                self.assertGreater(outcome.share_on_time, 0.95)
                self.assertEqual(0, outcome.unfinished)

    def test_urgency_order_beats_first_come_first_served(self) -> None:
        cases = {'burst': burst, 'overload': overload}
        for name, rate_factor in cases.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    trace = make_trace(SECONDS, rate_factor, seed)
                    actual = LoadSimulator().run(trace)
                    baseline = LoadSimulator(first_come).run(trace)
                    self.assertGreater(
                        actual.share_on_time, baseline.share_on_time
                    )

    def test_outage_backlog_does_not_delay_later_jobs(self) -> None:
        """The backlog of an outage must not make the jobs after it late.

        Nothing starts for one second, as after the loss of a leader. If
        the backlog then starts first, jobs that could be on time wait
        behind jobs that are late already.
        """
        outage = (5.0, 6.0)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, normal_load, seed)
                actual = LoadSimulator(outage=outage).run(trace)
                baseline = LoadSimulator(first_come, outage).run(trace)
                self.assertGreater(
                    actual.on_time_by_second.get(6, 0),
                    baseline.on_time_by_second.get(6, 0),
                )
                self.assertGreaterEqual(
                    actual.share_on_time, baseline.share_on_time
                )

    def test_fewer_are_refused_while_upstreams_come_back(self) -> None:
        """Upstreams about to return must count as capacity.

        After all processes were killed, the agents report back within a
        second. Counting only those that have reported makes the backlog
        look long and refuses jobs that could be served.
        """
        outage = (5.0, 7.0)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, normal_load, seed)
                counted, uncounted = (
                    LoadSimulator(
                        None,
                        outage,
                        AdmissionOptions(
                            by_total_backlog, 0.08, counts_returning
                        ),
                    ).run(trace)
                    for counts_returning in (True, False)
                )
                self.assertLess(counted.refused, uncounted.refused)
                self.assertGreater(counted.on_time, uncounted.on_time)

    def test_admission_by_work_ahead_beats_total_backlog(self) -> None:
        """A backlog that is late already must not cause refusals.

        New jobs start before it, so that they need not wait for all of it.
        """
        cases = {
            'three-second outage': (normal_load, (5.0, 8.0)),
            'long outage, then slight overload': (slight_overload, (5.0, 9.0)),
            'burst': (large_burst, (0.0, 0.0)),
        }
        for name, (rate_factor, outage) in cases.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    trace = make_trace(SECONDS, rate_factor, seed)
                    actual, baseline = (
                        LoadSimulator(
                            None,
                            outage,
                            AdmissionOptions(transform),
                        ).run(trace)
                        for transform in (by_work_ahead, by_total_backlog)
                    )
                    self.assertGreater(actual.on_time, baseline.on_time)
                    self.assertLessEqual(actual.refused, baseline.refused)

    def test_lost_starts_under_overload_do_not_starve_begun_jobs(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, burst, seed)
                actual, baseline = (
                    LoadSimulator(
                        order,
                        admission=AdmissionOptions(),
                        lost_share=0.03,
                        patience_s=2.0,
                    ).run(trace)
                    for order in (None, urgent_first_without_begun)
                )
                self.assertLess(actual.abandoned, baseline.abandoned)

    def test_outcomes_equal_those_of_the_reference_planner(self) -> None:
        """Keeping order and capacity up to date changes no outcome."""
        cases = {'normal': normal_load, 'burst': burst, 'overload': overload}
        for name, rate_factor in cases.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    trace = make_trace(SECONDS, rate_factor, seed)
                    actual = LoadSimulator().run(trace)
                    reference = LoadSimulator(by_reference).run(trace)
                    self.assertEqual(reference, actual)

    def test_work_of_a_start_does_not_grow_with_the_fleet(self) -> None:
        """A pass looks at what it places, not at all that waits or runs."""
        for upstreams in (11, 165):
            for load in (1.0, 1.8):
                with self.subTest(upstreams=upstreams, load=load):
                    trace = make_trace(
                        2.0, constant_load(load * upstreams / UPSTREAMS), 5
                    )
                    simulator = LoadSimulator(
                        admission=AdmissionOptions(), upstreams=upstreams
                    )
                    simulator.run(trace)
                    looked_at = (
                        simulator.pool.examined + simulator.queue.examined
                    )
                    self.assertLess(looked_at, 6 * simulator.starts)

    def test_overloaded_scheduler_serves_all_jobs(self) -> None:
        """Late jobs start last, but must not starve."""
        trace = make_trace(SECONDS, overload, 1)
        self.assertEqual(0, LoadSimulator().run(trace).unfinished)


if __name__ == '__main__':
    unittest.main()
