"""Tests the placement of tasks that must run alone."""

import unittest

from baobabgap.accepted import UnfinishedJob
from baobabgap.jobmodel import CrashEvidence
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import place_waiting
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import PlannedTask
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import StartQueue
from baobabgap.scheduling import TargetPool
from baobabgap.scheduling.tests.test_decisions import make_plan
from baobabgap.scheduling.tests.test_decisions import make_target

_CORES = 4
_TASK = Demand(1000, 64, 0)
# Seconds until a crashed upstream is back, and in which jobs must end that
# are left when no more are submitted.
_RESTART_S = 3.3
_LONGEST_WAIT_S = 14


def plan_of(job_id: str, tasks: int) -> JobPlan:
    return make_plan(job_id, Step(tasks, _TASK, 100))


def target_of(name: str) -> PlacementTarget:
    return make_target(name, _CORES)


def suspect_plan(job_id: str, tasks: int = 1) -> JobPlan:
    plan = plan_of(job_id, tasks)
    for task in plan.task_by_id.values():
        plan.note_crash(task, 1, CrashEvidence.STRONG)
    return plan


def tasks_of(plan: JobPlan) -> list[PlannedTask]:
    return list(plan.task_by_id.values())


class IsolationTest(unittest.TestCase):
    """A suspect may cost its upstream; nothing else must be lost with it."""

    def setUp(self) -> None:
        self.targets = [target_of(f't{number}') for number in range(10)]
        self.pool = TargetPool.from_targets(self.targets)
        self.queue = StartQueue()

    def place(self, *plans: JobPlan, now: float = 0.0) -> list[str]:
        """Place what waits; return the target of each started task."""
        for plan in plans:
            self.queue.add(plan, now)
        names = []
        for placement in place_waiting(self.queue, self.pool, 1.0, now):
            task, target = placement.task, placement.target
            placement.plan.note_started(task, target.name, task.last_run + 1)
            target.occupy(placement.demand, is_exclusive=task.must_run_alone)
            names.append(target.name)
        return names

    def end(self, plan: JobPlan, task: PlannedTask) -> None:
        """End a run successfully."""
        target = self.pool.target_by_name[task.upstream]
        plan.note_done(task.task)
        target.release(_TASK)

    def occupy_all(self, runs: int = 1) -> None:
        for target in self.targets:
            for _ in range(runs):
                target.occupy(_TASK)

    def test_two_suspects_never_share_an_upstream(self) -> None:
        names = self.place(suspect_plan('a', 2)) + self.place(now=0.1)
        self.assertEqual(2, len(names))
        self.assertEqual(2, len(set(names)))

    def test_nothing_starts_beside_a_suspect(self) -> None:
        (alone,) = self.place(suspect_plan('a'))
        self.assertNotIn(alone, self.place(plan_of('b', 100)))

    def test_suspect_waits_while_every_upstream_has_a_run(self) -> None:
        self.occupy_all()
        self.assertEqual([], self.place(suspect_plan('a')))
        self.assertEqual([], self.place(now=0.5))

    def test_waiting_suspect_does_not_hold_up_other_jobs(self) -> None:
        self.occupy_all()
        names = self.place(suspect_plan('a'), plan_of('b', 3))
        self.assertEqual(3, len(names))

    def test_one_upstream_becomes_idle_for_a_waiting_suspect(self) -> None:
        self.occupy_all()
        suspect = suspect_plan('a')
        self.place(suspect)
        reserved = {'t0'}
        self.assertFalse(reserved & set(self.place(plan_of('b', 30))))
        self.pool.target_by_name['t0'].release(_TASK)
        self.assertEqual(['t0'], self.place(now=0.2))
        (task,) = suspect.task_by_id.values()
        self.end(suspect, task)
        # Others start there again once no suspect waits.
        self.assertIn('t0', self.place(plan_of('c', 40), now=1.5))

    def test_upstream_is_kept_idle_only_while_a_suspect_waits(self) -> None:
        self.occupy_all()
        suspect = suspect_plan('a')
        self.place(suspect)
        self.queue.remove(suspect)
        self.assertIn('t0', self.place(plan_of('b', 40), now=1.5))

    def test_few_upstreams_are_risked_at_a_time(self) -> None:
        cases = [
            # Tasks that run on the others, suspects, upstreams for them.
            (0, 1, 1),
            (0, 3, 3),
            (0, 9, 5),
            (3, 1, 1),
            (3, 3, 1),
            (3, 9, 2),
            (3, 99, 2),
        ]
        for runs, suspects, expected in cases:
            with self.subTest(runs=runs, suspects=suspects):
                self.setUp()
                for target in self.targets[5:]:
                    for _ in range(2 * runs if runs else 0):
                        target.occupy(Demand(500, 1, 0))
                for target in self.targets[:5]:
                    target.set_capacity(Demand(1000 if runs else 4000, 99, 0))
                names = self.place(suspect_plan('a', suspects))
                names += self.place(now=0.1) + self.place(now=0.2)
                self.assertEqual(expected, len(names))

    def test_upstream_that_a_suspect_crashed_counts_until_it_is_back(
        self,
    ) -> None:
        names = self.place(suspect_plan('a', 9))
        names += self.place(now=0.1)
        self.assertEqual(5, len(names))
        for name in names:
            crashed = self.pool.target_by_name[name]
            crashed.set_open(False)
            crashed.release(_TASK)
        self.assertEqual([], self.place(now=2.0))
        self.pool.add(target_of(names[0]))
        self.assertEqual(1, len(self.place(now=3.0)))
        # Those that never return don't count for ever.
        self.assertEqual(3, len(self.place(now=11.0)))

    def test_given_up_task_never_starts(self) -> None:
        plan = suspect_plan('a')
        (task,) = plan.task_by_id.values()
        plan.note_crash(task, 2, CrashEvidence.ALONE)
        self.assertEqual([], self.place(plan))

    def test_no_upstream_is_risked_for_a_caller_that_will_have_left(
        self,
    ) -> None:
        plan = suspect_plan('a')
        plan.awaited_until = 1.0
        self.assertEqual([], self.place(plan, now=0.99))

    def test_inherited_suspect_starts(self) -> None:
        plan = suspect_plan('a')
        unfinished = UnfinishedJob(plan.job)
        unfinished.crashes_by_task[0, 0] = {1: CrashEvidence.STRONG}
        inherited = JobPlan.from_unfinished(unfinished, 0.0, RunTimes())
        self.assertEqual(1, len(self.place(inherited)))
        self.assertEqual([2], [t.last_run for t in tasks_of(inherited)])


class SimulatedCrashTest(unittest.TestCase):
    """Target without the network: a harmful task costs two upstreams."""

    def test_harmful_task_is_found_at_the_cost_of_two_upstreams(self) -> None:
        pool = TargetPool.from_targets(
            target_of(f't{number}') for number in range(10)
        )
        queue = StartQueue()
        plans = [plan_of(f'j{number}', 3) for number in range(10)]
        harmful = next(iter(plans[4].task_by_id.values()))
        crashed: list[PlacementTarget] = []
        for plan in plans:
            queue.add(plan, 0.0)
        for turn in range(40):
            for placement in place_waiting(queue, pool, 1.0, float(turn)):
                task, target = placement.task, placement.target
                placement.plan.note_started(
                    task, target.name, task.last_run + 1
                )
                target.occupy(
                    placement.demand, is_exclusive=task.must_run_alone
                )
            if harmful.upstream:
                target = pool.target_by_name[harmful.upstream]
                crashed.append(target)
                self._crash(plans, target, harmful)
                pool.add(target_of(target.name))
            for plan in plans:
                for task in list(plan.task_by_id.values()):
                    if task.upstream:
                        pool.target_by_name[task.upstream].release(
                            Demand(1000, 64, 0)
                        )
                        plan.note_done(task.task)
        self.assertEqual(2, len(crashed))
        self.assertTrue(harmful.is_given_up)
        self.assertEqual(
            [harmful],
            [task for plan in plans for task in plan.task_by_id.values()],
        )

    def test_suspects_do_not_wait_for_one_another_for_long(self) -> None:
        pool = TargetPool.from_targets(
            target_of(f't{number}') for number in range(11)
        )
        queue = StartQueue()
        plan = suspect_plan('a', 20)
        queue.add(plan, 0.0)
        back_at_by_name: dict[str, float] = {}
        for now in (number / 10 for number in range(10 * _LONGEST_WAIT_S)):
            for name, back_at in list(back_at_by_name.items()):
                if back_at <= now:
                    del back_at_by_name[name]
                    pool.add(target_of(name))
            for placement in place_waiting(queue, pool, 1.0, now):
                task, target = placement.task, placement.target
                plan.note_started(task, target.name, task.last_run + 1)
                target.occupy(placement.demand, is_exclusive=True)
                target.set_open(False)
                target.release(placement.demand)
                plan.note_crash(task, task.last_run, CrashEvidence.ALONE)
                plan.requeue(task)
                back_at_by_name[target.name] = now + _RESTART_S
        self.assertTrue(all(task.is_given_up for task in tasks_of(plan)))

    def _crash(
        self,
        plans: list[JobPlan],
        target: PlacementTarget,
        harmful: PlannedTask,
    ) -> None:
        lost = [
            (plan, task)
            for plan in plans
            for task in plan.task_by_id.values()
            if task.upstream == target.name
        ]
        for plan, task in lost:
            evidence = CrashEvidence.WEAK
            if len(lost) == 1:
                evidence = CrashEvidence.ALONE
            elif task is harmful or task.task.index == 0:
                evidence = CrashEvidence.STRONG
            plan.note_crash(task, task.last_run, evidence)
            plan.requeue(task)
