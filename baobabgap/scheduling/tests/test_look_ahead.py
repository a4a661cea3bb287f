"""Placement under tasks of different demand and upstreams of uneven speed.

Loads are played against the reference planner, which stops at the first step
that finds no place and always takes the fastest upstream that is free.
"""

from collections.abc import Iterator
import dataclasses
from dataclasses import dataclass
import functools
import unittest

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import place_waiting
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import StartQueue
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling.tests.load_player import Arrival
from baobabgap.scheduling.tests.load_player import by_reference
from baobabgap.scheduling.tests.mixed_load import KindOutcome
from baobabgap.scheduling.tests.mixed_load import make_mixed_trace
from baobabgap.scheduling.tests.mixed_load import MixedLoadSimulator
from baobabgap.scheduling.tests.mixed_load import Shape
from baobabgap.scheduling.tests.mixed_load import UNEVEN
from baobabgap.scheduling.tests.mixed_load import UNLIKE_KINDS
from baobabgap.scheduling.tests.mixed_load import work_of
from baobabgap.scheduling.tests.test_decisions import make_job
from baobabgap.scheduling.tests.test_decisions import make_plan
from baobabgap.scheduling.tests.test_decisions import make_target

SEEDS = (1, 2)
EQUAL = (1.0,)
# Seconds after which queues have formed.
BUSY_FROM_S = 2.0
# The slowness of successive upstreams.
UNEVEN_SPEEDS = {
    'two speeds': (0.7, 0.7, 1.7),
    'three speeds': (0.8, 1.0, 1.25),
}
SMALL = Demand(1000, 64, 0)
LARGE = Demand(3000, 64, 0)


@dataclass(frozen=True, slots=True)
class Played:
    """The outcome by kind of job, and the core-seconds used at full load."""

    outcome_by_kind: dict[str, KindOutcome]
    used_core_s: float


@functools.cache
def play(
    shape: Shape,
    slowness: tuple[float, ...] = EQUAL,
    *,
    is_reference: bool = False,
    room_left: float = 1.0,
) -> Played:
    """Play a load with each seed; return the outcomes as one.

    A quarter of the upstreams keep `room_left` of their room after a while.
    """
    outcome_by_kind: dict[str, KindOutcome] = {}
    used_core_s = 0.0
    for seed in SEEDS:
        simulator = MixedLoadSimulator(
            shape.upstreams, slowness, by_reference if is_reference else None
        )
        simulator.window = (BUSY_FROM_S, shape.seconds)
        if room_left < 1.0:
            simulator.shrink_at(BUSY_FROM_S, room_left)
        outcomes = simulator.play(make_mixed_trace(shape, seed))
        for kind, outcome in outcomes.items():
            both = outcome_by_kind.setdefault(kind, KindOutcome())
            both.add(outcome, f'{seed}')
        used_core_s += simulator.used_core_s
    return Played(outcome_by_kind, used_core_s)


def compare(
    shape: Shape, slowness: tuple[float, ...] = EQUAL, room_left: float = 1.0
) -> Iterator[tuple[str, KindOutcome, KindOutcome]]:
    """Yield the outcome of each kind, and that of the reference."""
    actual, reference = (
        play(
            shape, slowness, is_reference=is_reference, room_left=room_left
        ).outcome_by_kind
        for is_reference in (False, True)
    )
    for kind in actual:
        yield kind, actual[kind], reference[kind]


class PlayedLoadTest(unittest.TestCase):
    def test_no_kind_loses_while_there_is_room(self) -> None:
        cases = {'equal': EQUAL} | UNEVEN_SPEEDS
        for name, slowness in cases.items():
            shape = Shape(0.8, upstreams=36, seconds=6.0)
            for kind, actual, reference in compare(shape, slowness):
                with self.subTest(name, kind=kind):
                    self.assertGreaterEqual(actual.share, reference.share)

    def test_large_tasks_beside_many_small_ones(self) -> None:
        """Small tasks must not leave gaps that large ones can't use."""
        for load in (0.8, 0.9, 1.0):
            shape = Shape(load, 9, 6.0, kinds=UNLIKE_KINDS)
            for kind, actual, reference in compare(shape):
                with self.subTest(load=load, kind=kind):
                    self.assertGreaterEqual(actual.share, reference.share)
                    self.assertGreaterEqual(
                        actual.largest(work_of).share,
                        reference.largest(work_of).share,
                    )

    def test_largest_tenth_of_each_kind_is_served_half_as_often(self) -> None:
        cases = {'equal': EQUAL} | UNEVEN_SPEEDS
        for name, slowness in cases.items():
            for load in (0.9, 1.1):
                for kind, actual, _ in compare(Shape(load), slowness):
                    with self.subTest(name, load=load, kind=kind):
                        largest = actual.largest(work_of).share
                        self.assertGreaterEqual(largest, 0.5 * actual.share)

    def test_less_room_is_lost_to_fragments(self) -> None:
        for load in (0.9, 1.0, 1.2):
            shape = Shape(load, 9, 6.0, kinds=UNLIKE_KINDS)
            with self.subTest(load=load):
                self.assertGreater(
                    play(shape).used_core_s,
                    play(shape, is_reference=True).used_core_s,
                )

    def test_uneven_speeds_serve_more_on_time(self) -> None:
        """Slow upstreams get what is on time there, fast ones the rest."""
        speeds = UNEVEN_SPEEDS['two speeds']
        for tail in (0.0, 0.03):
            for load in (0.9, 1.1):
                shape = Shape(load, tail=tail)
                for kind, actual, reference in compare(shape, speeds):
                    with self.subTest(load=load, tail=tail, kind=kind):
                        self.assertGreater(actual.share, reference.share)

    def test_shrinking_room(self) -> None:
        """A quarter of the upstreams lose 0.45 of their room for good."""
        shape = Shape(0.9, 9, 6.0, kinds=UNLIKE_KINDS)
        for kind, actual, reference in compare(shape, room_left=0.55):
            with self.subTest(kind=kind):
                self.assertGreaterEqual(actual.share, reference.share)

    def test_work_of_a_start_does_not_grow_with_the_fleet(self) -> None:
        for slowness in (EQUAL, UNEVEN_SPEEDS['two speeds']):
            for upstreams, seconds in ((11, 4.0), (165, 1.0), (1700, 0.3)):
                shape = Shape(1.3, upstreams, seconds)
                simulator = MixedLoadSimulator(upstreams, slowness)
                simulator.play(make_mixed_trace(shape, 5))
                looked_at = simulator.pool.examined + simulator.queue.examined
                with self.subTest(upstreams=upstreams, slowness=slowness):
                    self.assertLess(looked_at, 12 * simulator.starts)


class WrongEstimatesTest(unittest.TestCase):
    """Estimates are wrong by up to 40%, and tasks of a job by 15% more."""

    def test_claim_is_delayed_by_no_more_than_the_error(self) -> None:
        """A large job waits beside a stream of small ones that could wait.

        The same without those that arrive after it shows its least wait.
        """
        small = dataclasses.replace(UNLIKE_KINDS[0], jobs_per_s=100.0)
        longest_s = 1.3 * small.run_s
        error_s = (0.4 + UNEVEN) * longest_s
        for seed in range(12):
            stream = make_mixed_trace(Shape(0.9, 3, 2.5, kinds=(small,)), seed)
            stream = [with_stretch(arrival, 30.0) for arrival in stream]
            large = Arrival(
                1.0,
                make_job('large', (Step(1, Demand(20000, 1, 0), 100),)),
                0.1,
            )
            large = with_stretch(large, 8.0)
            waits_s = []
            for until in (2.5, 1.0):
                simulator = MixedLoadSimulator(3)
                before = [arrival for arrival in stream if arrival.at < until]
                outcome = simulator.play([*before, large])
                waits_s.append(outcome['queue'].took_s_by_id['large'])
            with self.subTest(seed=seed):
                self.assertLessEqual(waits_s[0] - waits_s[1], error_s)


def with_stretch(arrival: Arrival, stretch: float) -> Arrival:
    job = dataclasses.replace(arrival.job, stretch=stretch)
    return dataclasses.replace(arrival, job=job)


class ClaimTest(unittest.TestCase):
    """Starts beside a more urgent step that waits."""

    def setUp(self) -> None:
        self.targets: list[PlacementTarget] = []
        self.queue = StartQueue()

    def add_target(
        self, name: str, ends_s: tuple[float, ...], slowness: float = 1.0
    ) -> None:
        """Add a target of four cores with a run for each end."""
        target = make_target(name, 4)
        target.set_kind_slowness(slowness)
        for end_s in ends_s:
            run = target.expect_run(SMALL, end_s / slowness, 0.0)
            target.occupy(SMALL, expected=run)
        self.targets.append(target)

    def place(self, *plans: JobPlan, now: float = 0.0) -> list[str]:
        """Place what waits; return each start as job and target."""
        for plan in plans:
            self.queue.add(plan, now)
        pool = TargetPool.from_targets(self.targets)
        starts = []
        for placement in place_waiting(self.queue, pool, 1.0, now):
            task, target = placement.task, placement.target
            expected = target.expect_run(
                placement.demand, placement.plan.expected_s[0], now
            )
            target.occupy(placement.demand, expected=expected)
            placement.plan.note_started(task, target.name, 1)
            starts.append(f'{placement.plan.job.job_id}@{target.name}')
        return starts

    def test_gaps_are_filled_by_what_ends_before(self) -> None:
        cases = {
            'ends before': (300, ['small@t']),
            'would delay the claim': (500, []),
        }
        for name, (estimate_ms, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.add_target('t', (0.4, 0.4, 0.9))
                large = make_plan('large', Step(1, LARGE, 100))
                small = make_plan('small', Step(1, SMALL, estimate_ms))
                self.assertEqual(expected, self.place(large, small))

    def test_gaps_are_filled_by_what_leaves_enough(self) -> None:
        self.add_target('t', (0.4, 0.4, 0.4))
        large = make_plan('large', Step(1, LARGE, 100))
        small = make_plan('small', Step(2, SMALL, 1000))
        # All four cores are free then, of which the claim needs three.
        self.assertEqual(['small@t'], self.place(large, small))

    def test_short_wait_is_left_to_the_order_of_starts(self) -> None:
        self.add_target('t', (0.04, 0.04, 0.04))
        large = make_plan('large', Step(1, LARGE, 100))
        small = make_plan('small', Step(1, SMALL, 200))
        self.assertEqual([], self.place(large, small))

    def test_what_must_run_elsewhere_keeps_its_rules(self) -> None:
        self.add_target('t', (0.4, 0.4, 0.4))
        large = make_plan('large', Step(1, LARGE, 100))
        labelled = make_plan(
            'labelled', Step(1, SMALL, 100, required_label='b')
        )
        avoiding = make_plan('avoiding', Step(1, SMALL, 100))
        for task in avoiding.task_by_id.values():
            task.avoided.add('t')
        self.assertEqual([], self.place(large, labelled, avoiding))

    def test_target_that_may_not_start_runs_gets_none(self) -> None:
        self.add_target('t', (0.4, 0.4, 0.4))
        self.targets[0].note_failed(0.0)
        self.targets[0].note_failed(0.0)
        self.add_target('u', (0.4, 0.4, 0.4, 0.4))
        large = make_plan('large', Step(1, LARGE, 100))
        small = make_plan('small', Step(1, SMALL, 100))
        self.assertEqual([], self.place(large, small))

    def test_small_tasks_keep_room_for_large_ones(self) -> None:
        self.add_target('t', (1.0,))
        self.add_target('u', ())
        large = make_plan('large', Step(1, Demand(4000, 64, 0), 100))
        small = make_plan('small', Step(3, SMALL, 30))
        pool = TargetPool.from_targets(self.targets)
        pool.look_ahead.note_demand(Demand(4000, 64, 0))
        for task in small.task_by_id.values():
            target = pool.choose(
                small.job.steps[0], (), {}, 1.0, 0.0, lambda _: True
            )
            assert target is not None
            target.occupy(SMALL)
            self.assertEqual(('t', 0), (target.name, task.task.step))
        self.assertEqual(['large@u'], self.place(large))

    def test_job_waits_for_a_target_on_which_it_is_on_time(self) -> None:
        cases = {
            # Its objective is 1.66 s.
            'late on the slow one': (1000, []),
            'on time on the slow one': (100, ['a@slow']),
        }
        for name, (estimate_ms, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.add_target('fast', (0.1, 0.1, 0.1, 0.1))
                self.add_target('slow', (), 1.7)
                plan = make_plan('a', Step(1, SMALL, estimate_ms))
                self.assertEqual(expected, self.place(plan))

    def test_late_job_takes_any_target(self) -> None:
        self.add_target('fast', (0.1, 0.1, 0.1, 0.1))
        self.add_target('slow', (), 1.7)
        plan = make_plan('a', Step(1, SMALL, 1000))
        self.assertEqual(['a@slow'], self.place(plan, now=0.7))

    def test_less_urgent_job_takes_the_slow_target_meanwhile(self) -> None:
        self.add_target('fast', (0.1, 0.1, 0.1, 0.1))
        self.add_target('slow', (), 1.7)
        first = make_plan('first', Step(1, SMALL, 500), arrived_at=-0.27)
        second = make_plan('second', Step(1, SMALL, 100), arrived_at=0.0)
        self.assertEqual(['second@slow'], self.place(first, second))


if __name__ == '__main__':
    unittest.main()
