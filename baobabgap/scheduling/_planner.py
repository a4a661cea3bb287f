"""Placement of waiting tasks on upstreams, the most urgent first.

Answers the load of more tasks than fit: the work of a pass grows with the
tasks that it places, not with those that wait or with the upstreams.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from baobabgap.jobmodel import Demand
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._job_plan import PlannedTask
from baobabgap.scheduling._start_queue import StartQueue
from baobabgap.scheduling._start_queue import WaitingStep
from baobabgap.scheduling._target_pool import TargetPool
from baobabgap.scheduling._targets import PlacementTarget

# A target is made idle only for a task that can wait this long, seconds.
_SHORTEST_RESERVED_PATIENCE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the target where it is to start."""

    plan: JobPlan
    task: PlannedTask
    target: PlacementTarget

    @property
    def demand(self) -> Demand:
        """The resources that the task occupies."""
        return self.plan.job.steps[self.task.task.step].demand


def _may_start_anywhere(target: PlacementTarget) -> bool:
    return True


def place_waiting(
    queue: StartQueue,
    pool: TargetPool,
    off_rack_factor: float,
    now: float,
    may_start: Callable[[PlacementTarget], bool] = _may_start_anywhere,
) -> Iterator[Placement]:
    """Place as many waiting tasks as fit, the most urgent first.

    The caller carries out each placement before it asks for the next one:
    it occupies the target and notes the start in the plan. Only targets for
    which `may_start` returns true are used. `off_rack_factor` multiplies the
    run time on an upstream outside the rack of a step's data.
    """
    queue.advance(now)
    pool.lift_common_suspensions(now, may_start)
    pool.begin_isolation_pass(now)
    previous: WaitingStep | None = None
    while (waiting_step := queue.first_after(previous)) is not None:
        is_unconstrained = _is_unconstrained(waiting_step)
        yield from _place_step(
            waiting_step, pool, off_rack_factor, now, may_start
        )
        if waiting_step.is_ready and is_unconstrained:
            # Less urgent steps must not take the next free capacity.
            return
        previous = waiting_step


def _is_unconstrained(waiting_step: WaitingStep) -> bool:
    """Return whether its tasks could run on any upstream of its service."""
    step = waiting_step.plan.job.steps[waiting_step.step]
    waiting = waiting_step.plan.waiting_by_step[waiting_step.step]
    avoids = any(task.avoided or task.evidence_by_run for task in waiting)
    return not (step.required_label or step.most_per_upstream or avoids)


def _place_step(
    waiting_step: WaitingStep,
    pool: TargetPool,
    off_rack_factor: float,
    now: float,
    may_start: Callable[[PlacementTarget], bool],
) -> Iterator[Placement]:
    plan = waiting_step.plan
    step = plan.job.steps[waiting_step.step]
    task_count_by_upstream: Counter[str] = Counter()
    if step.most_per_upstream:
        task_count_by_upstream.update(
            task.upstream
            for task in plan.task_by_id.values()
            if task.upstream and task.task.step == waiting_step.step
        )
    for task in tuple(plan.waiting_by_step[waiting_step.step]):
        if task.evidence_by_run and task.must_run_alone:
            target = _isolated_target(waiting_step, task, pool, now, may_start)
            if target is not None:
                yield Placement(plan, task, target)
            continue
        target = pool.choose(
            step,
            task.avoided,
            task_count_by_upstream,
            off_rack_factor,
            now,
            may_start,
        )
        if target is None and task.avoided:
            # An upstream where the task failed is better than none.
            target = pool.choose(
                step,
                (),
                task_count_by_upstream,
                off_rack_factor,
                now,
                may_start,
            )
        if target is None:
            return
        task_count_by_upstream[target.name] += 1
        yield Placement(plan, task, target)


def _isolated_target(
    waiting_step: WaitingStep,
    task: PlannedTask,
    pool: TargetPool,
    now: float,
    may_start: Callable[[PlacementTarget], bool],
) -> PlacementTarget | None:
    """Return an idle target for a task that must run alone, or None.

    A task whose caller will have left is not worth an upstream.
    """
    plan, step_number = waiting_step.plan, waiting_step.step
    patience_s = plan.latest_awaited_start(step_number) - now
    if task.is_given_up or patience_s < 0:
        return None
    step = plan.job.steps[step_number]
    target = pool.choose_idle(step, task.avoided, now, may_start)
    if target is None:
        target = pool.choose_idle(step, (), now, may_start)
    if target is None and patience_s > _SHORTEST_RESERVED_PATIENCE_S:
        pool.reserve_idle(step, now, may_start)
    return target
