"""What callers get who compete for too little room.

The bounds are the floors of the customers' sheets: 0.49 of the jobs of each
queue and zone in time, and of the largest tenth of each queue half as much.
"""

import unittest

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling import AdmissionInput
from baobabgap.scheduling import admit
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import QueueShares
from baobabgap.scheduling import RefusalKind
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import StartQueue
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling import usable_cores
from baobabgap.scheduling import without_prospect
from baobabgap.scheduling.tests.contended_load import CORES_PER_UPSTREAM
from baobabgap.scheduling.tests.contended_load import Estimates
from baobabgap.scheduling.tests.contended_load import group_arrivals
from baobabgap.scheduling.tests.contended_load import KINDS
from baobabgap.scheduling.tests.contended_load import make_contended_trace
from baobabgap.scheduling.tests.contended_load import outcome_of
from baobabgap.scheduling.tests.contended_load import RateFactor
from baobabgap.scheduling.tests.contended_load import ZONES
from baobabgap.scheduling.tests.load_player import AdmissionOptions
from baobabgap.scheduling.tests.load_player import Arrival
from baobabgap.scheduling.tests.load_player import LoadSimulator

FLOOR = 0.49
# The largest tenth of a queue against the whole queue.
SIZE_FLOOR = 0.5
SECONDS = 12.0
UPSTREAMS = 22
SEEDS = (1, 2)


def steady(queue: str, zone: str, at: float) -> float:
    return 1.0


def surge(queue: str, zone: str, at: float) -> float:
    return 1.5 if 4 <= at < 8 else 0.8


def two_queues_in_turn(queue: str, zone: str, at: float) -> float:
    if 2 <= at < 5:
        return 2.0 if queue == 'wide' else 0.8
    if 6 <= at < 9:
        return 2.0 if queue == 'long' else 0.8
    return 0.8


def one_zone_surges(queue: str, zone: str, at: float) -> float:
    return 3.0 if zone == ZONES[0] and 4 <= at < 8 else 0.8


def play(
    load: float,
    rate_factor: RateFactor,
    seed: int,
    estimates: Estimates | None = None,
    closed: int = 0,
) -> tuple[LoadSimulator, list[Arrival]]:
    """Play a load; `closed` targets get no runs for four seconds."""
    trace = make_contended_trace(
        SECONDS, load, rate_factor, seed, UPSTREAMS, estimates
    )
    simulator = LoadSimulator(
        admission=AdmissionOptions(counts_returning=False, is_revised=True),
        upstreams=UPSTREAMS,
        cores=CORES_PER_UPSTREAM,
        learns_run_times=True,
    )
    simulator.close_targets(closed, 4.0, 8.0)
    simulator.run(trace)
    return simulator, trace


class ContendedLoadTest(unittest.TestCase):
    def check_floors(
        self, simulator: LoadSimulator, trace: list[Arrival]
    ) -> None:
        group_by_name = {
            name: outcome_of(arrivals, simulator.end_by_id)
            for name, arrivals in group_arrivals(trace).items()
        }
        for name in (*ZONES, *(kind.queue for kind in KINDS)):
            with self.subTest(group=name):
                self.assertGreaterEqual(group_by_name[name].on_time, FLOOR)
        for kind in KINDS:
            whole = group_by_name[kind.queue].on_time
            for size in ('upper fifth', 'largest tenth'):
                with self.subTest(group=kind.queue, size=size):
                    self.assertGreaterEqual(
                        group_by_name[f'{kind.queue}, {size}'].on_time,
                        SIZE_FLOOR * whole,
                    )

    def test_every_queue_zone_and_size_is_served_under_contention(
        self,
    ) -> None:
        cases = {
            '1.2 times the room': (1.2, steady),
            '1.5 times the room': (1.5, steady),
            'surge': (1.0, surge),
            'two queues in turn': (1.0, two_queues_in_turn),
            "one zone's surge": (1.0, one_zone_surges),
        }
        for name, (load, rate_factor) in cases.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    self.check_floors(*play(load, rate_factor, seed))

    def test_shrinking_room_and_wrong_run_times(self) -> None:
        tail = Estimates(error=0.4, tail_share=0.03)
        for seed in SEEDS:
            with self.subTest('9 of 22 upstreams closed', seed=seed):
                self.check_floors(*play(0.8, steady, seed, closed=9))
            for load in (1.2, 1.5):
                with self.subTest('heavy tail', load=load, seed=seed):
                    self.check_floors(*play(load, steady, seed, tail))

    def test_largest_tenth_is_served_at_twice_the_room(self) -> None:
        for seed in SEEDS:
            simulator, trace = play(2.0, steady, seed)
            groups = group_arrivals(trace)
            for kind in KINDS:
                with self.subTest(kind.queue, seed=seed):
                    whole, largest = (
                        outcome_of(groups[name], simulator.end_by_id).on_time
                        for name in (
                            kind.queue,
                            f'{kind.queue}, largest tenth',
                        )
                    )
                    self.assertGreater(whole, 0.0)
                    self.assertGreaterEqual(largest, SIZE_FLOOR * whole)

    def test_nothing_is_refused_while_there_is_room(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulator, trace = play(0.8, steady, seed)
                group = outcome_of(trace, simulator.end_by_id)
                self.assertEqual(0.0, group.refused + group.given_up)
                self.assertGreaterEqual(group.on_time, 0.99)

    def test_work_of_a_start_stays_constant_under_contention(self) -> None:
        for upstreams in (11, 165):
            with self.subTest(upstreams=upstreams):
                trace = make_contended_trace(1.5, 1.5, steady, 5, upstreams)
                simulator = LoadSimulator(
                    admission=AdmissionOptions(is_revised=True),
                    upstreams=upstreams,
                    cores=CORES_PER_UPSTREAM,
                )
                simulator.run(trace)
                looked_at = simulator.pool.examined + simulator.queue.examined
                self.assertLess(looked_at, 6 * simulator.starts)


def make_plan(
    job_id: str,
    queue: str,
    priority: int,
    tasks: int,
    estimate_ms: int,
    arrived_at: float = 0.0,
) -> JobPlan:
    step = Step(tasks, Demand(1000, 1, 0), estimate_ms)
    job = AcceptedJob(
        job_id, queue, 's', priority, 2, 1.6, 60, '', (step,), 0, 1, True
    )
    return JobPlan(job, arrived_at, RunTimes())


def make_pool(cores: int, count: int = 1) -> TargetPool:
    capacity = Demand(1000 * cores, 1000, 0)
    return TargetPool.from_targets(
        PlacementTarget(f't{number}', 's', 'z', (), capacity, capacity)
        for number in range(count)
    )


class QueueSharesTest(unittest.TestCase):
    def test_due_parts_follow_work_and_priority(self) -> None:
        # Work in core-seconds asked for within the averaging time, priority,
        # and the cores that are due of 100.
        cases = {
            'room for all': ({'a': (40, 0), 'b': (50, 1)}, (40.0, 50.0)),
            'equal priorities': ({'a': (50, 1), 'b': (100, 1)}, (33.3, 66.7)),
            'less for the less urgent': (
                {'a': (100, 0), 'b': (100, 2)},
                (51.3, 48.7),
            ),
            'the rest of one that gets all': (
                {'a': (51, 0), 'b': (51, 1)},
                (51.0, 49.0),
            ),
        }
        for name, (asked, due) in cases.items():
            with self.subTest(name):
                shares = QueueShares()
                for queue, (core_s, priority) in asked.items():
                    plan = make_plan(queue, queue, priority, core_s, 1000)
                    shares.note_asked(plan, 100.0, 0.0)
                share_by_queue = shares.share_by_queue(100.0, 0.0)
                for queue, cores in zip(asked, due, strict=True):
                    self.assertAlmostEqual(
                        cores, share_by_queue[queue].due_cores, delta=0.1
                    )

    def test_no_queue_and_no_size_gets_nothing(self) -> None:
        """Twenty priorities, one job a second each, one large in five."""
        shares = QueueShares()
        admitted: set[tuple[int, int]] = set()
        for second in range(40):
            for priority in range(20):
                tasks = 50 if second % 5 == 0 else 5
                plan = make_plan(
                    f'{second}.{priority}',
                    f'q{priority}',
                    priority,
                    tasks,
                    1000,
                )
                shares.note_asked(plan, 100.0, second + priority / 20)
                if shares.is_due(plan, 100.0):
                    shares.note_admitted(plan, 100.0)
                    admitted.add((priority, tasks))
        expected = {(priority, n) for priority in range(20) for n in (5, 50)}
        self.assertEqual(set(), expected - admitted)

    def test_senders_numbers_have_no_lasting_effect(self) -> None:
        shares = QueueShares()
        shares.note_asked(make_plan('a', 'a', 0, 10**6, 10**9), 100.0, 0.0)
        plan = make_plan('b', 'b', 1, 50, 1000)
        shares.note_asked(plan, 100.0, 3.0)
        self.assertAlmostEqual(
            50.0, shares.share_by_queue(100.0, 3.0)['b'].due_cores
        )

    def test_whole_tasks_are_usable(self) -> None:
        shares = QueueShares()
        pool = make_pool(10, 2)
        self.assertEqual(20.0, usable_cores(pool, shares, RunTimes()))
        step = Step(1, Demand(4000, 1, 0), 1000)
        job = AcceptedJob(
            'a', 'a', 's', 0, 2, 1.6, 60, '', (step,), 0, 1, True
        )
        shares.note_asked(JobPlan(job, 0.0, RunTimes()), 20.0, 0.0)
        self.assertAlmostEqual(16.0, usable_cores(pool, shares, RunTimes()))


class ContendedAdmissionTest(unittest.TestCase):
    """A queue that has had its share can't make others late."""

    def setUp(self) -> None:
        self.pool = make_pool(100)
        self.shares = QueueShares()
        self.queue = StartQueue()

    def decide(self, plan: JobPlan) -> RefusalKind | None:
        cores = usable_cores(self.pool, self.shares, RunTimes())
        self.shares.note_asked(plan, cores, 0.0)
        admission_input = AdmissionInput.from_queue(
            self.queue, plan, 0.0
        ).with_shares(self.queue, self.shares, plan, cores)
        refusal = admit(self.pool, plan.job.steps, admission_input)
        if refusal is None:
            self.shares.note_admitted(plan, cores)
            self.queue.add(plan, 0.0)
            return None
        self.assertGreater(refusal.retry_after_ms, 0)
        return refusal.kind

    def decide_many(self, priority: int) -> set[RefusalKind | None]:
        """Hand in short jobs while another queue asks for all cores twice."""
        for number in range(2):
            self.shares.note_asked(
                make_plan(f'long{number}', 'long', 2, 100, 1000), 100.0, 0.0
            )
        return {
            self.decide(make_plan(f'{number}', 'short', priority, 8, 100))
            for number in range(12)
        }

    def test_share_limits_a_queue_only_with_priorities(self) -> None:
        self.assertEqual({None, RefusalKind.SHARE}, self.decide_many(0))
        self.setUp()
        self.assertEqual({None}, self.decide_many(2))

    def test_job_that_could_start_at_once_is_admitted(self) -> None:
        self.decide_many(0)
        self.queue = StartQueue()
        self.assertIsNone(self.decide(make_plan('next', 'short', 0, 8, 100)))


class WithoutProspectTest(unittest.TestCase):
    """Late jobs are given up once nothing can be expected for them."""

    def test_late_job_behind_too_much_work_is_given_up(self) -> None:
        # It is late after 0.12 s and useful until 0.56 s.
        late = make_plan('late', 'a', 0, 1, 100)
        cases = {
            # Work of others in core-seconds on 10 cores at 0.3 s: given up?
            'little work ahead': (1, 1, False),
            'more than its patience': (20, 1, True),
            'equal priorities': (20, 0, False),
        }
        for name, (tasks, priority, is_given_up) in cases.items():
            with self.subTest(name):
                shares = QueueShares()
                other = make_plan('b', 'b', priority, tasks, 1000, 0.2)
                for plan in (late, other):
                    shares.note_asked(plan, 10.0, 0.2)
                queue = StartQueue.from_plans([late, other], 0.2)
                found = without_prospect([late], queue, shares, 10.0, 0.3)
                self.assertEqual([late] if is_given_up else [], found)

    def test_job_that_can_be_on_time_stays(self) -> None:
        shares = QueueShares()
        plan = make_plan('a', 'a', 0, 1, 1000)
        other = make_plan('b', 'b', 1, 99, 1000)
        for each in (plan, other):
            shares.note_asked(each, 1.0, 0.0)
        queue = StartQueue.from_plans([plan, other], 0.0)
        self.assertEqual(
            [], without_prospect([plan, other], queue, shares, 1.0, 0.1)
        )


if __name__ == '__main__':
    unittest.main()
