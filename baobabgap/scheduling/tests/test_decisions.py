"""Order, placing, health and admission, without network or clock."""

import unittest

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.accepted import TaskId
from baobabgap.accepted import UnfinishedJob
from baobabgap.scheduling import admit
from baobabgap.scheduling import Backlog
from baobabgap.scheduling import is_overdue
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import plan_starts
from baobabgap.scheduling import Prospect
from baobabgap.scheduling import Room
from baobabgap.scheduling import RoomHealth
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling._planner import urgency_of

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


def make_room(name: str, cores: int = 2, kind: str = 'a') -> Room:
    capacity = Demand(1000 * cores, 1024, 0)
    return Room(name, SERVICE, 'zone', (kind, 'rack'), capacity, capacity)


def waiting(core_s: float) -> Prospect:
    """Return what a job sees that must wait for all the work there is."""
    return Prospect(core_s, core_s, 1.0, 1.0)


def starts(
    plans: list[JobPlan], rooms: list[Room], now: float = 0.0
) -> list[tuple[str, int, str]]:
    return [
        (
            placement.plan.job.job_id,
            placement.task.task.index,
            placement.room.name,
        )
        for placement in plan_starts(plans, {SERVICE: rooms}, 1.5, now)
    ]


class PlannerTest(unittest.TestCase):
    def test_earliest_latest_start_goes_first(self) -> None:
        # 0.6 x 1 s + 60 ms of slack against 0.6 x 0.1 s + 60 ms.
        long = make_plan('long', Step(1, TASK, 1000))
        short = make_plan('short', Step(1, TASK, 100))
        self.assertEqual(
            [('short', 0, 'r')], starts([long, short], [make_room('r', 1)])
        )

    def test_job_that_can_be_on_time_goes_before_a_late_one(self) -> None:
        late = make_plan('late', Step(1, TASK, 100))
        fresh = make_plan('fresh', Step(1, TASK, 1000), arrived_at=0.2)
        self.assertEqual(
            [('fresh', 0, 'r')],
            starts([late, fresh], [make_room('r', 1)], now=0.2),
        )

    def test_rooms_are_left_as_they_were(self) -> None:
        room = make_room('r', 2)
        plan = make_plan('a', Step(5, TASK, 100))
        self.assertEqual(2, len(starts([plan], [room])))
        self.assertEqual(room.capacity, room.free)
        self.assertEqual(0, room.running)

    def test_tasks_spread_over_equal_rooms(self) -> None:
        rooms = [make_room('r1', 4), make_room('r2', 4)]
        placed = starts([make_plan('a', Step(4, TASK, 100))], rooms)
        self.assertEqual(
            ['r1', 'r1', 'r2', 'r2'], sorted(r for _, _, r in placed)
        )

    def test_faster_kind_first(self) -> None:
        slow, fast = make_room('slow'), make_room('fast')
        slow.kind_slowness = 1.3
        placed = starts([make_plan('a', Step(1, TASK, 100))], [slow, fast])
        self.assertEqual([('a', 0, 'fast')], placed)

    def test_avoided_room_is_the_last_resort(self) -> None:
        plan = make_plan('a', Step(1, TASK, 100))
        plan.task_by_id[TaskId('a', 0, 0)].avoided.add('r1')
        rooms = [make_room('r1'), make_room('r2')]
        self.assertEqual([('a', 0, 'r2')], starts([plan], rooms))
        self.assertEqual([('a', 0, 'r1')], starts([plan], rooms[:1]))

    def test_label_and_number_on_one_upstream(self) -> None:
        rooms = [make_room('r1', 8, 'a'), make_room('r2', 8, 'b')]
        labelled = make_plan('a', Step(1, TASK, 100, required_label='b'))
        self.assertEqual([('a', 0, 'r2')], starts([labelled], rooms))
        spread = make_plan('b', Step(4, TASK, 100, most_per_upstream=1))
        self.assertEqual(2, len(starts([spread], rooms)))

    def test_later_step_waits_for_the_earlier_one(self) -> None:
        plan = make_plan(
            'a', Step(1, TASK, 100), Step(1, TASK, 100, after=(0,))
        )
        self.assertEqual([('a', 0, 'r')], starts([plan], [make_room('r', 4)]))
        plan.note_done(TaskId('a', 0, 0))
        (placement,) = plan_starts(
            [plan], {SERVICE: [make_room('r', 4)]}, 1.5, 0.0
        )
        self.assertEqual(1, placement.task.task.step)

    def test_most_rooms_suspended_means_none_is(self) -> None:
        rooms = [make_room(f'r{number}') for number in range(4)]
        for room in rooms[:3]:
            room.health.note_failed(0.0)
            room.health.note_failed(0.0)
        plan = make_plan('a', Step(8, TASK, 100))
        self.assertEqual(8, len(starts([plan], rooms, now=0.1)))


class JobPlanTest(unittest.TestCase):
    def test_inherited_job_goes_on_where_it_was(self) -> None:
        job = make_job('a', (Step(3, TASK, 100),))
        unfinished = UnfinishedJob(job, {(0, 1)}, {(0, 2): {4}})
        plan = JobPlan.from_unfinished(unfinished, 0.0, RunTimes())
        self.assertEqual(
            {TaskId('a', 0, 0), TaskId('a', 0, 2)}, set(plan.task_by_id)
        )
        task = plan.task_by_id[TaskId('a', 0, 2)]
        self.assertEqual(({4}, 4), (task.failed_runs, task.last_run))

    def test_end_that_comes_twice_counts_once(self) -> None:
        plan = make_plan('a', Step(2, TASK, 100))
        plan.note_done(TaskId('a', 0, 0))
        plan.note_done(TaskId('a', 0, 0))
        self.assertFalse(plan.is_done)
        plan.note_done(TaskId('a', 0, 1))
        self.assertTrue(plan.is_done)


class HealthTest(unittest.TestCase):
    def test_two_failures_in_a_row_suspend(self) -> None:
        health = RoomHealth()
        self.assertFalse(health.note_failed(0.0))
        self.assertTrue(health.note_failed(0.0))
        self.assertFalse(health.may_take(0, 0.5))
        # Then it is tried with one run at a time.
        self.assertTrue(health.may_take(0, 1.1))
        self.assertFalse(health.may_take(1, 1.1))
        health.note_done(0.1, 0.1)
        self.assertTrue(health.may_take(5, 1.2))

    def test_success_between_failures_keeps_it_in_use(self) -> None:
        health = RoomHealth()
        for _ in range(5):
            health.note_failed(0.0)
            health.note_done(0.1, 0.1)
        self.assertTrue(health.may_take(5, 0.0))

    def test_one_hanging_run_does_not_suspend(self) -> None:
        health = RoomHealth()
        self.assertFalse(health.note_overdue(0.0))
        self.assertFalse(health.note_overdue(0.0))
        self.assertTrue(health.note_overdue(0.0))
        # The next ones find it suspended already.
        self.assertFalse(health.note_overdue(0.1))

    def test_slowness_of_the_kind_is_no_sickness(self) -> None:
        health = RoomHealth()
        for _ in range(100):
            health.note_done(0.15, 0.1)
        self.assertEqual(1.0, health.sickness)
        for _ in range(100):
            health.note_done(0.6, 0.1)
        self.assertGreater(health.sickness, 4)

    def test_overdue(self) -> None:
        cases = [
            # Run time, expected, longest sibling: overdue?
            (0.5, 0.1, None, False),
            (0.6, 0.1, None, True),
            (2.0, 1.0, 0.5, True),
            (1.2, 1.0, 0.5, False),
            # No sibling makes a run overdue before it should end.
            (4.3, 6.2, 2.0, False),
        ]
        for run_s, expected_s, sibling_s, overdue in cases:
            with self.subTest(run_s=run_s, sibling_s=sibling_s):
                self.assertEqual(
                    overdue, is_overdue(run_s, expected_s, sibling_s)
                )

    def test_task_that_is_longer_than_it_seemed_ends_once(self) -> None:
        """Regression: it was stopped at the same time in each run."""
        needed_s, attempt = 5.0, 0
        while is_overdue(needed_s, 0.8, 0.5, attempt):
            attempt += 1
            self.assertLess(attempt, 10)
        self.assertGreater(attempt, 0)


class AdmissionTest(unittest.TestCase):
    STEPS = (Step(1, TASK, 100),)

    def test_job_that_would_come_too_late_is_refused(self) -> None:
        rooms = [make_room('r', 10)]
        self.assertIsNone(admit(rooms, self.STEPS, waiting(9.0)))
        refusal = admit(rooms, self.STEPS, waiting(30.0))
        assert refusal is not None
        # When the caller comes back the wait is bearable.
        self.assertGreaterEqual(refusal.retry_after_ms, 2000)

    def test_job_that_goes_before_a_late_backlog_is_taken(self) -> None:
        rooms = [make_room('r', 10)]
        cases = {
            'nothing before it': (0.0, True),
            'as much as it can stand': (3.0, True),
            'more': (4.0, False),
        }
        for name, (ahead_core_s, is_taken) in cases.items():
            with self.subTest(name):
                prospect = Prospect(ahead_core_s, 99.0, 0.3, 1.0)
                refusal = admit(rooms, self.STEPS, prospect)
                self.assertEqual(is_taken, refusal is None)

    def test_late_job_is_served_while_nothing_waits(self) -> None:
        prospect = Prospect(0.0, 0.0, -2.0, -1.0)
        self.assertIsNone(admit([make_room('r')], self.STEPS, prospect))

    def test_job_that_fits_nowhere_is_refused(self) -> None:
        huge = (Step(1, Demand(99_000, 1, 0), 100),)
        self.assertIsNotNone(admit([make_room('r')], huge, waiting(0.0)))

    def test_closed_rooms_are_no_capacity(self) -> None:
        closed = make_room('r1', 10)
        closed.is_open = False
        rooms = [closed, make_room('r2', 1)]
        self.assertIsNotNone(admit(rooms, self.STEPS, waiting(5.0)))

    def test_upstreams_that_return_count_already(self) -> None:
        """Just after an outage few of them have been heard again."""
        rooms = [make_room('r1', 10), make_room('r2', 10)]
        self.assertIsNotNone(admit(rooms, self.STEPS, waiting(100.0)))
        self.assertIsNone(admit(rooms, self.STEPS, waiting(100.0), 9))
        refusal = admit(rooms, self.STEPS, waiting(200.0), 8)
        assert refusal is not None
        self.assertLess(refusal.retry_after_ms, 1500)


class LateLimitTest(unittest.TestCase):
    """When a job that waits is worth nothing any more."""

    def test_no_later_than_somebody_waits_for_it(self) -> None:
        # Its objective is 1.66 s, three times of which is 4.98 s.
        plan = make_plan('a', Step(1, TASK, 1000))
        self.assertAlmostEqual(3.98, plan.late_limit(0))
        plan.awaited_until = 2.5
        self.assertAlmostEqual(1.5, plan.late_limit(0))

    def test_job_that_would_outlast_its_caller_is_refused(self) -> None:
        rooms = [make_room('r', 10)]
        steps = (Step(1, TASK, 1000),)
        plan = make_plan('a', *steps)
        backlog = Backlog([(urgency_of(plan, 0, 0.0), 20.0)], 0.0)
        prospect = Prospect.from_backlog(backlog, plan, 0.0)
        self.assertIsNone(admit(rooms, steps, prospect))
        plan.awaited_until = 2.5
        prospect = Prospect.from_backlog(backlog, plan, 0.0)
        self.assertIsNotNone(admit(rooms, steps, prospect))


class BacklogTest(unittest.TestCase):
    """Work that goes before a job, in the order of starts."""

    STEP = Step(1, TASK, 100)

    def test_late_work_goes_behind(self) -> None:
        late = make_plan('late', self.STEP, arrived_at=0.0)
        soon = make_plan('soon', self.STEP, arrived_at=9.95)
        backlog = Backlog.from_plans([late, soon], 10.0)
        new = make_plan('new', self.STEP, arrived_at=10.0)
        one_s = new.task_core_s(0)
        self.assertAlmostEqual(2 * one_s, backlog.total_core_s)
        self.assertAlmostEqual(one_s, backlog.ahead_core_s(new))

    def test_what_came_in_since_counts(self) -> None:
        backlog = Backlog.from_plans([], 10.0)
        backlog.add(make_plan('first', self.STEP, arrived_at=9.95))
        new = make_plan('new', self.STEP, arrived_at=10.0)
        one_s = new.task_core_s(0)
        self.assertAlmostEqual(one_s, backlog.ahead_core_s(new))
        self.assertAlmostEqual(one_s, backlog.total_core_s)


class RunTimesTest(unittest.TestCase):
    def test_learns_queue_and_kind(self) -> None:
        times = RunTimes()
        for _ in range(400):
            times.observe('queue', 'fast', 100, 0.2)
            times.observe('queue', 'slow', 100, 0.4)
        self.assertAlmostEqual(0.3, times.expected_s('queue', 100), delta=0.03)
        self.assertAlmostEqual(
            2.0, times.slowness('slow') / times.slowness('fast'), delta=0.2
        )

    def test_one_straggler_moves_little(self) -> None:
        times = RunTimes()
        times.observe('queue', 'a', 100, 60.0)
        self.assertLess(times.expected_s('queue', 100), 0.11)


if __name__ == '__main__':
    unittest.main()
