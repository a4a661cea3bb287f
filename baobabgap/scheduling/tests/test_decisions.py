"""Tests of the order of starts, placement, health and admission."""

import random
import unittest

from baobabgap.accepted import UnfinishedJob
from baobabgap.jobmodel import AcceptedJob
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.jobmodel import TaskId
from baobabgap.scheduling import AdmissionInput
from baobabgap.scheduling import admit
from baobabgap.scheduling import is_overdue
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import place_waiting
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import StartQueue
from baobabgap.scheduling import TargetHealth
from baobabgap.scheduling import TargetPool

TASK = Demand(1000, 64, 0)
SERVICE = 'service'


def make_job(
    job_id: str, steps: tuple[Step, ...], *, stretch: float = 1.6
) -> AcceptedJob:
    return AcceptedJob(
        job_id, 'queue', SERVICE, 0, 2, stretch, 60, '', steps, 0, 1, True
    )


def make_plan(job_id: str, *steps: Step, arrived_at: float = 0.0) -> JobPlan:
    return JobPlan(make_job(job_id, steps), arrived_at, RunTimes())


def make_target(name: str, cores: int = 2, kind: str = 'a') -> PlacementTarget:
    capacity = Demand(1000 * cores, 1024, 0)
    return PlacementTarget(
        name, SERVICE, 'zone', (kind, 'rack'), capacity, capacity
    )


def small_pool() -> TargetPool:
    return TargetPool.from_targets([make_target('r')])


def make_admission_input(core_s: float) -> AdmissionInput:
    """Return the input for a job that must wait for the whole backlog."""
    return AdmissionInput(core_s, core_s, 1.0, 1.0)


def planned_starts(
    plans: list[JobPlan], targets: list[PlacementTarget], now: float = 0.0
) -> list[tuple[str, int, str]]:
    """Carry out all placements; return them as job, task and target."""
    queue = StartQueue.from_plans(plans, now)
    pool = TargetPool.from_targets(targets)
    starts = []
    for placement in place_waiting(queue, pool, 1.5, now):
        task, name = placement.task, placement.target.name
        placement.target.occupy(placement.demand)
        placement.plan.note_started(task, name, task.last_run + 1)
        starts.append((placement.plan.job.job_id, task.task.index, name))
    return starts


class PlannerTest(unittest.TestCase):
    def test_earliest_latest_start_goes_first(self) -> None:
        # 0.6 x 1 s + 60 ms of slack against 0.6 x 0.1 s + 60 ms.
        long = make_plan('long', Step(1, TASK, 1000))
        short = make_plan('short', Step(1, TASK, 100))
        self.assertEqual(
            [('short', 0, 'r')],
            planned_starts([long, short], [make_target('r', 1)]),
        )

    def test_job_that_can_be_on_time_goes_before_a_late_one(self) -> None:
        late = make_plan('late', Step(1, TASK, 100))
        fresh = make_plan('fresh', Step(1, TASK, 1000), arrived_at=0.2)
        self.assertEqual(
            [('fresh', 0, 'r')],
            planned_starts([late, fresh], [make_target('r', 1)], now=0.2),
        )

    def test_begun_job_is_not_starved_by_new_ones(self) -> None:
        cases = [
            # When the caller stops waiting, and the job that starts first.
            (5.0, 'begun'),
            (0.4, 'fresh'),
        ]
        for awaited_until, first in cases:
            with self.subTest(awaited_until=awaited_until):
                begun = make_plan('begun', Step(8, TASK, 100))
                begun.awaited_until = awaited_until
                for index in range(7):
                    begun.note_done(TaskId('begun', 0, index))
                fresh = make_plan('fresh', Step(1, TASK, 1000), arrived_at=0.2)
                starts = planned_starts(
                    [fresh, begun], [make_target('r', 1)], now=0.35
                )
                self.assertEqual([first], [job for job, _, _ in starts])

    def test_only_carried_out_placements_change_anything(self) -> None:
        target = make_target('r', 2)
        plan = make_plan('a', Step(5, TASK, 100))
        queue = StartQueue.from_plans([plan], 0.0)
        pool = TargetPool.from_targets([target])
        for _ in range(3):
            self.assertIsNotNone(next(place_waiting(queue, pool, 1.5, 0.0)))
        self.assertEqual(target.capacity, target.free)
        self.assertEqual(0, target.running)
        self.assertEqual(5, len(plan.waiting_by_step[0]))

    def test_each_placement_counts_before_the_next_one(self) -> None:
        target = make_target('r', 2)
        plan = make_plan('a', Step(5, TASK, 100))
        self.assertEqual(2, len(planned_starts([plan], [target])))
        self.assertEqual(0, target.free.cpu_millicores)
        self.assertEqual(2, target.running)
        self.assertEqual(3, len(plan.waiting_by_step[0]))

    def test_tasks_spread_over_equal_targets(self) -> None:
        targets = [make_target('r1', 4), make_target('r2', 4)]
        placed = planned_starts([make_plan('a', Step(4, TASK, 100))], targets)
        self.assertEqual(
            ['r1', 'r1', 'r2', 'r2'], sorted(r for _, _, r in placed)
        )

    def test_faster_kind_is_preferred(self) -> None:
        slow, fast = make_target('slow'), make_target('fast')
        slow.kind_slowness = 1.3
        placed = planned_starts(
            [make_plan('a', Step(1, TASK, 100))], [slow, fast]
        )
        self.assertEqual([('a', 0, 'fast')], placed)

    def test_avoided_target_is_used_only_if_no_other_fits(self) -> None:
        for names, expected in ((('r1', 'r2'), 'r2'), (('r1',), 'r1')):
            plan = make_plan('a', Step(1, TASK, 100))
            plan.task_by_id[TaskId('a', 0, 0)].avoided.add('r1')
            targets = [make_target(name) for name in names]
            with self.subTest(names):
                self.assertEqual(
                    [('a', 0, expected)], planned_starts([plan], targets)
                )

    def test_required_label_and_limit_per_upstream(self) -> None:
        targets = [make_target('r1', 8, 'a'), make_target('r2', 8, 'b')]
        label_plan = make_plan('a', Step(1, TASK, 100, required_label='b'))
        self.assertEqual(
            [('a', 0, 'r2')], planned_starts([label_plan], targets)
        )
        limited_plan = make_plan('b', Step(4, TASK, 100, most_per_upstream=1))
        self.assertEqual(2, len(planned_starts([limited_plan], targets)))

    def test_later_step_waits_for_the_earlier_one(self) -> None:
        plan = make_plan(
            'a', Step(1, TASK, 100), Step(1, TASK, 100, after=(0,))
        )
        self.assertEqual(
            [('a', 0, 'r')], planned_starts([plan], [make_target('r', 4)])
        )
        plan.note_done(TaskId('a', 0, 0))
        queue = StartQueue.from_plans([plan], 0.0)
        pool = TargetPool.from_targets([make_target('r', 4)])
        placement = next(place_waiting(queue, pool, 1.5, 0.0))
        self.assertEqual(1, placement.task.task.step)

    def test_suspensions_are_lifted_if_most_targets_have_one(self) -> None:
        targets = [make_target(f'r{number}') for number in range(4)]
        for target in targets[:3]:
            target.health.note_failed(0.0)
            target.health.note_failed(0.0)
        plan = make_plan('a', Step(8, TASK, 100))
        self.assertEqual(8, len(planned_starts([plan], targets, now=0.1)))


class ChangedCapacityTest(unittest.TestCase):
    def test_starts_follow_the_capacity(self) -> None:
        target = make_target('t', 4)
        pool = TargetPool.from_targets([target])
        step = Step(1, TASK, 100)
        for _ in range(3):
            target.occupy(TASK)
        cases = [(2, False), (3, False), (4, True), (8, True), (1, False)]
        for cores, may_start in cases:
            with self.subTest(cores=cores):
                target.set_capacity(Demand(1000 * cores, 1024, 0))
                self.assertEqual(float(cores), pool.open_cores)
                chosen = pool.choose(step, (), {}, 1.0, 0.0, lambda _: True)
                self.assertIs(target if may_start else None, chosen)
        target.set_open(False)
        self.assertEqual(0.0, pool.open_cores)


class JobPlanTest(unittest.TestCase):
    def test_inherited_job_keeps_recorded_ends(self) -> None:
        job = make_job('a', (Step(3, TASK, 100),))
        unfinished = UnfinishedJob(job, {(0, 1)}, {(0, 2): {4}})
        plan = JobPlan.from_unfinished(unfinished, 0.0, RunTimes())
        self.assertEqual(
            {TaskId('a', 0, 0), TaskId('a', 0, 2)}, set(plan.task_by_id)
        )
        task = plan.task_by_id[TaskId('a', 0, 2)]
        self.assertEqual(({4}, 4), (task.failed_runs, task.last_run))

    def test_duplicate_task_end_counts_once(self) -> None:
        plan = make_plan('a', Step(2, TASK, 100))
        plan.note_done(TaskId('a', 0, 0))
        plan.note_done(TaskId('a', 0, 0))
        self.assertFalse(plan.is_done)
        plan.note_done(TaskId('a', 0, 1))
        self.assertTrue(plan.is_done)


class HealthTest(unittest.TestCase):
    def test_two_failures_in_a_row_suspend(self) -> None:
        health = TargetHealth()
        self.assertFalse(health.note_failed(0.0))
        self.assertTrue(health.note_failed(0.0))
        self.assertFalse(health.accepts_run(0, 0.5))
        # After the suspension it gets one run at a time.
        self.assertTrue(health.accepts_run(0, 1.1))
        self.assertFalse(health.accepts_run(1, 1.1))
        health.note_done(0.1, 0.1)
        self.assertTrue(health.accepts_run(5, 1.2))

    def test_success_resets_failures_in_row(self) -> None:
        health = TargetHealth()
        for _ in range(5):
            health.note_failed(0.0)
            health.note_done(0.1, 0.1)
        self.assertTrue(health.accepts_run(5, 0.0))

    def test_three_overdue_runs_in_row_suspend(self) -> None:
        health = TargetHealth()
        self.assertFalse(health.note_overdue(0.0))
        self.assertFalse(health.note_overdue(0.0))
        self.assertTrue(health.note_overdue(0.0))
        # Further overdue runs find it suspended already.
        self.assertFalse(health.note_overdue(0.1))

    def test_moderate_slowness_is_no_slowdown(self) -> None:
        health = TargetHealth()
        for _ in range(100):
            health.note_done(0.15, 0.1)
        self.assertEqual(1.0, health.slowdown)
        for _ in range(100):
            health.note_done(0.6, 0.1)
        self.assertGreater(health.slowdown, 4)

    def test_overdue(self) -> None:
        cases = [
            # Run time, expected, longest sibling: overdue?
            (0.5, 0.1, None, False),
            (0.6, 0.1, None, True),
            (2.0, 1.0, 0.5, True),
            (1.2, 1.0, 0.5, False),
            # A short sibling lowers no limit below the expected run time.
            (4.3, 6.2, 2.0, False),
        ]
        for run_s, expected_s, sibling_s, overdue in cases:
            with self.subTest(run_s=run_s, sibling_s=sibling_s):
                self.assertEqual(
                    overdue, is_overdue(run_s, expected_s, sibling_s)
                )

    def test_underestimated_task_can_finish(self) -> None:
        """Regression: such a task was stopped in every run and never ended.

        The limit did not grow with the runs stopped as overdue before.
        """
        needed_s, attempt = 5.0, 0
        while is_overdue(needed_s, 0.8, 0.5, attempt):
            attempt += 1
            self.assertLess(attempt, 10)
        self.assertGreater(attempt, 0)


class AdmissionTest(unittest.TestCase):
    STEPS = (Step(1, TASK, 100),)

    def test_job_that_would_end_too_late_is_refused(self) -> None:
        pool = TargetPool.from_targets([make_target('r', 10)])
        self.assertIsNone(admit(pool, self.STEPS, make_admission_input(9.0)))
        refusal = admit(pool, self.STEPS, make_admission_input(30.0))
        assert refusal is not None
        # After the retry delay the wait is within the patience.
        self.assertGreaterEqual(refusal.retry_after_ms, 2000)

    def test_job_ahead_of_a_late_backlog_is_admitted(self) -> None:
        pool = TargetPool.from_targets([make_target('r', 10)])
        cases = {
            'no work ahead': (0.0, True),
            'as much as its patience allows': (3.0, True),
            'more than its patience allows': (4.0, False),
        }
        for name, (ahead_core_s, is_admitted) in cases.items():
            with self.subTest(name):
                admission_input = AdmissionInput(ahead_core_s, 99.0, 0.3, 1.0)
                refusal = admit(pool, self.STEPS, admission_input)
                self.assertEqual(is_admitted, refusal is None)

    def test_late_job_is_admitted_without_backlog(self) -> None:
        admission_input = AdmissionInput(0.0, 0.0, -2.0, -1.0)
        self.assertIsNone(
            admit(
                TargetPool.from_targets([make_target('r')]),
                self.STEPS,
                admission_input,
            )
        )

    def test_job_that_fits_nowhere_is_refused(self) -> None:
        huge = (Step(1, Demand(99_000, 1, 0), 100),)
        self.assertIsNotNone(
            admit(
                TargetPool.from_targets([make_target('r')]),
                huge,
                make_admission_input(0.0),
            )
        )

    def test_closed_targets_do_not_count_as_capacity(self) -> None:
        closed = make_target('r1', 10)
        closed.is_open = False
        pool = TargetPool.from_targets([closed, make_target('r2', 1)])
        self.assertIsNotNone(
            admit(pool, self.STEPS, make_admission_input(5.0))
        )

    def test_returning_upstreams_count_as_capacity(self) -> None:
        """Jobs must not be refused just because upstreams are returning.

        Just after an outage few of them have reported again, so that the
        capacity looks small and the expected wait long.
        """
        pool = TargetPool.from_targets(
            [make_target('r1', 10), make_target('r2', 10)]
        )
        self.assertIsNotNone(
            admit(pool, self.STEPS, make_admission_input(100.0))
        )
        self.assertIsNone(
            admit(pool, self.STEPS, make_admission_input(100.0), 9)
        )
        refusal = admit(pool, self.STEPS, make_admission_input(200.0), 8)
        assert refusal is not None
        self.assertLess(refusal.retry_after_ms, 1500)


class LatestUsefulStartTest(unittest.TestCase):
    """The latest time at which starting a waiting job is useful."""

    def test_limited_by_the_time_the_caller_waits(self) -> None:
        # Its objective is 1.66 s, three times of which is 4.98 s.
        plan = make_plan('a', Step(1, TASK, 1000))
        self.assertAlmostEqual(3.98, plan.latest_useful_start(0))
        plan.awaited_until = 2.5
        self.assertAlmostEqual(1.5, plan.latest_useful_start(0))

    def test_job_that_would_outlast_its_caller_is_refused(self) -> None:
        pool = TargetPool.from_targets([make_target('r', 10)])
        steps = (Step(1, TASK, 1000),)
        plan = make_plan('a', *steps)
        # 20 core-seconds of the same urgency.
        others = make_plan('b', Step(20, TASK, 1000))
        queue = StartQueue.from_plans([others], 0.0)
        admission_input = AdmissionInput.from_queue(queue, plan, 0.0)
        self.assertAlmostEqual(20.0, admission_input.ahead_core_s)
        self.assertIsNone(admit(pool, steps, admission_input))
        plan.awaited_until = 2.5
        admission_input = AdmissionInput.from_queue(queue, plan, 0.0)
        self.assertIsNotNone(admit(pool, steps, admission_input))


class StartQueueTest(unittest.TestCase):
    """The order of waiting steps, and the work before a new job."""

    STEP = Step(1, TASK, 100)

    def test_late_work_is_not_ahead_of_a_new_job(self) -> None:
        late = make_plan('late', self.STEP, arrived_at=0.0)
        on_time = make_plan('on_time', self.STEP, arrived_at=9.95)
        queue = StartQueue.from_plans([late, on_time], 10.0)
        new = make_plan('new', self.STEP, arrived_at=10.0)
        expected_core_s = new.task_core_s(0)
        self.assertAlmostEqual(2 * expected_core_s, queue.total_core_s)
        self.assertAlmostEqual(expected_core_s, queue.ahead_core_s(new))

    def test_added_job_counts(self) -> None:
        queue = StartQueue.from_plans([], 10.0)
        queue.add(make_plan('first', self.STEP, arrived_at=9.95), 10.0)
        new = make_plan('new', self.STEP, arrived_at=10.0)
        expected_core_s = new.task_core_s(0)
        self.assertAlmostEqual(expected_core_s, queue.ahead_core_s(new))
        self.assertAlmostEqual(expected_core_s, queue.total_core_s)

    def test_removed_job_leaves_no_work(self) -> None:
        plan = make_plan('a', Step(3, TASK, 100), Step(1, TASK, 50))
        queue = StartQueue.from_plans([plan], 0.0)
        queue.remove(plan)
        self.assertEqual(0.0, queue.total_core_s)
        self.assertIsNone(queue.first_after(None))
        plan.await_until(5.0)
        self.assertEqual(0.0, queue.total_core_s)

    def test_job_that_turned_late_goes_behind_one_on_time(self) -> None:
        # Its objective is 0.22 s, its longest usefulness 0.66 s.
        early = make_plan('early', self.STEP, arrived_at=0.0)
        later = make_plan('later', self.STEP, arrived_at=0.3)
        queue = StartQueue.from_plans([early, later], 0.0)
        for now, expected in ((0.05, 'early'), (0.35, 'later')):
            with self.subTest(now):
                queue.advance(now)
                first = queue.first_after(None)
                assert first is not None
                self.assertEqual(expected, first.plan.job.job_id)

    def test_order_equals_that_of_a_queue_made_anew(self) -> None:
        """However plans change, order and sums are those of their state."""
        rng = random.Random(3)
        plans = [
            make_plan(f'{n}', Step(3, TASK, 50 + n), arrived_at=n * 0.02)
            for n in range(60)
        ]
        queue = StartQueue.from_plans(plans, 0.0)
        for now in (0.1, 0.3, 0.5, 1.2, 2.0):
            for plan in rng.sample(plans, 30):
                _change_at_random(plan, rng, now)
            queue.advance(now)
            anew = StartQueue.from_plans(plans, now)
            for plan in plans:
                queue.add(plan, now)
            with self.subTest(now):
                self.assertEqual(_job_ids(anew), _job_ids(queue))
                self.assertAlmostEqual(anew.total_core_s, queue.total_core_s)
                new = make_plan('new', self.STEP, arrived_at=now)
                self.assertAlmostEqual(
                    anew.ahead_core_s(new), queue.ahead_core_s(new)
                )


def _change_at_random(plan: JobPlan, rng: random.Random, now: float) -> None:
    task = rng.choice(list(plan.task_by_id.values()) or [None])
    if task is None:
        return
    if not task.upstream:
        plan.note_started(task, 'r', task.last_run + 1)
    elif rng.random() < 0.5:
        plan.requeue(task)
    else:
        plan.note_done(task.task)
    if rng.random() < 0.3:
        plan.await_until(now + rng.random())


def _job_ids(queue: StartQueue) -> list[tuple[str, float]]:
    found = []
    waiting_step = queue.first_after(None)
    while waiting_step is not None:
        found.append(
            (waiting_step.plan.job.job_id, waiting_step.urgency.latest_start)
        )
        waiting_step = queue.first_after(waiting_step)
    return found


class RunTimesTest(unittest.TestCase):
    def test_averages_follow_queue_and_kind(self) -> None:
        times = RunTimes()
        for _ in range(400):
            times.observe('queue', 'fast', 100, 0.2)
            times.observe('queue', 'slow', 100, 0.4)
        self.assertAlmostEqual(0.3, times.expected_s('queue', 100), delta=0.03)
        self.assertAlmostEqual(
            2.0, times.slowness('slow') / times.slowness('fast'), delta=0.2
        )

    def test_outlier_has_little_effect(self) -> None:
        times = RunTimes()
        times.observe('queue', 'a', 100, 60.0)
        self.assertLess(times.expected_s('queue', 100), 0.11)


if __name__ == '__main__':
    unittest.main()
