"""What callers get under the loads that the decisions are made for."""

import unittest

from baobabgap.scheduling.tests.load_player import by_all_that_waits
from baobabgap.scheduling.tests.load_player import first_come
from baobabgap.scheduling.tests.load_player import in_order
from baobabgap.scheduling.tests.load_player import LoadPlayer
from baobabgap.scheduling.tests.load_player import make_trace
from baobabgap.scheduling.tests.load_player import Refusing
from baobabgap.scheduling.tests.load_player import urgent_first

SECONDS = 12.0
SEEDS = (1, 2)


def usual(at: float) -> float:
    return 1.0


def burst(at: float) -> float:
    return 1.8 if 5 <= at < 9 else 1.0


def overload(at: float) -> float:
    return 1.6


def great_burst(at: float) -> float:
    return 2.5 if 5 <= at < 8 else 1.0


def catching_up(at: float) -> float:
    return 1.15


class PlayedLoadTest(unittest.TestCase):
    def test_usual_load_is_on_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, usual, seed)
                outcome = LoadPlayer(urgent_first).play(trace)
                self.assertGreater(outcome.share_on_time, 0.95)
                self.assertEqual(0, outcome.never)

    def test_more_are_on_time_than_first_come_first_served(self) -> None:
        cases = {'burst': burst, 'overload': overload}
        for name, factor in cases.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    trace = make_trace(SECONDS, factor, seed)
                    ours = LoadPlayer(urgent_first).play(trace)
                    theirs = LoadPlayer(first_come).play(trace)
                    self.assertGreater(
                        ours.share_on_time, theirs.share_on_time
                    )

    def test_backlog_of_an_outage_does_not_make_what_follows_late(
        self,
    ) -> None:
        """Nothing starts for a second, as after the loss of a leader."""
        outage = (5.0, 6.0)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, usual, seed)
                ours = LoadPlayer(urgent_first, outage).play(trace)
                theirs = LoadPlayer(first_come, outage).play(trace)
                self.assertGreater(
                    ours.on_time_by_second.get(6, 0),
                    theirs.on_time_by_second.get(6, 0),
                )
                self.assertGreaterEqual(
                    ours.share_on_time, theirs.share_on_time
                )

    def test_fewer_are_refused_while_upstreams_come_back(self) -> None:
        """All processes were killed; the agents report in a second."""
        outage = (5.0, 7.0)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trace = make_trace(SECONDS, usual, seed)
                counted, uncounted = (
                    LoadPlayer(
                        urgent_first,
                        outage,
                        Refusing(by_all_that_waits, 0.08, expects_return),
                    ).play(trace)
                    for expects_return in (True, False)
                )
                self.assertLess(counted.refused, uncounted.refused)
                self.assertGreater(counted.on_time, uncounted.on_time)

    def test_more_are_on_time_than_if_all_waited_for_all(self) -> None:
        """What is late already must not get new jobs refused."""
        cases = {
            'an outage of three seconds': (usual, (5.0, 8.0)),
            'a long outage, then more than usual': (catching_up, (5.0, 9.0)),
            'a burst': (great_burst, (0.0, 0.0)),
        }
        for name, (factor, outage) in cases.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    trace = make_trace(SECONDS, factor, seed)
                    ours, theirs = (
                        LoadPlayer(urgent_first, outage, Refusing(view)).play(
                            trace
                        )
                        for view in (in_order, by_all_that_waits)
                    )
                    self.assertGreater(ours.on_time, theirs.on_time)
                    self.assertLessEqual(ours.refused, theirs.refused)

    def test_all_are_served_in_the_end(self) -> None:
        """Late ones go last, but they go."""
        trace = make_trace(SECONDS, overload, 1)
        self.assertEqual(0, LoadPlayer(urgent_first).play(trace).never)


if __name__ == '__main__':
    unittest.main()
