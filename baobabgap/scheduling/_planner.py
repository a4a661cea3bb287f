"""Order of starts, and placement of tasks on upstreams.

When more tasks wait than fit, jobs that can still be on time, or that have
begun, start before those that are late already, and among them the one with
the earliest latest start. A job that has begun can't be refused any more: if
it waits behind new ones, its caller gets no answer and the work is lost.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from baobabgap.accepted import Demand
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._job_plan import PlannedTask
from baobabgap.scheduling._targets import choose_target
from baobabgap.scheduling._targets import PlacementTarget
from baobabgap.scheduling._targets import usable_targets

# Overhead of a job on top of its run time: messages and wake-ups between the
# start order and the answer.
_MARGIN_S: Final = 0.02
# Fraction by which run times often exceed the expected one.
_MARGIN_SHARE: Final = 0.1


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


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of the order of starts; the smallest starts first."""

    # 0 if the job can be on time or has begun, 1 if late, 2 if no longer worth
    # running.
    lateness: int
    # Time at which the tasks must start for the job to be on time, seconds.
    latest_start: float


@dataclass(frozen=True, slots=True)
class _WaitingStep:
    """A step that may start and has waiting tasks."""

    urgency: Urgency
    plan: JobPlan
    step: int


def plan_starts(
    plans: Iterable[JobPlan],
    targets_by_service: dict[str, list[PlacementTarget]],
    off_rack_factor: float,
    now: float,
) -> list[Placement]:
    """Place as many waiting tasks as fit, the most urgent first.

    `off_rack_factor` multiplies the run time on an upstream outside the rack
    of a step's data. Targets and tasks are unchanged on return; the
    caller carries out the placements.
    """
    placements: list[Placement] = []
    waiting_steps = [
        _WaitingStep(urgency_of(plan, step, now), plan, step)
        for plan in plans
        for step, _ in plan.ready_steps()
    ]
    waiting_steps.sort(key=lambda waiting_step: waiting_step.urgency)
    full_services: set[str] = set()
    usable_by_service = {
        service: usable_targets(targets, now)
        for service, targets in targets_by_service.items()
    }
    for waiting_step in waiting_steps:
        service = waiting_step.plan.job.service
        targets = usable_by_service.get(service, [])
        if service in full_services:
            continue
        step_placements = _place_step(
            waiting_step, targets, off_rack_factor, now
        )
        placements.extend(step_placements)
        waiting = waiting_step.plan.waiting_by_step[waiting_step.step]
        if len(step_placements) < len(waiting) and _is_unconstrained(
            waiting_step
        ):
            # Less urgent steps must not take the next free capacity.
            full_services.add(service)
    for placement in placements:
        placement.target.release(placement.demand)
    return placements


def urgency_of(plan: JobPlan, step: int, now: float) -> Urgency:
    """Return the sort key of a step's tasks in the order of starts."""
    latest_start = plan.latest_start(step)
    margin_s = _MARGIN_S + _MARGIN_SHARE * plan.expected_s[step]
    if now <= latest_start - margin_s or plan.is_begun_and_awaited(step, now):
        lateness = 0
    elif now <= plan.latest_useful_start(step):
        lateness = 1
    else:
        lateness = 2
    return Urgency(lateness, latest_start)


def _is_unconstrained(waiting_step: _WaitingStep) -> bool:
    """Return whether the step could run on any upstream of its service."""
    step = waiting_step.plan.job.steps[waiting_step.step]
    waiting = waiting_step.plan.waiting_by_step[waiting_step.step]
    avoids = any(task.avoided for task in waiting)
    return not (step.required_label or step.most_per_upstream or avoids)


def _place_step(
    waiting_step: _WaitingStep,
    targets: list[PlacementTarget],
    off_rack_factor: float,
    now: float,
) -> list[Placement]:
    plan = waiting_step.plan
    step = plan.job.steps[waiting_step.step]
    task_count_by_upstream = Counter(
        task.upstream
        for task in plan.task_by_id.values()
        if task.upstream and task.task.step == waiting_step.step
    )
    placements = []
    for task in plan.waiting_by_step[waiting_step.step]:
        target = choose_target(
            targets,
            step,
            task.avoided,
            task_count_by_upstream,
            off_rack_factor,
            now,
        )
        if target is None and task.avoided:
            # An upstream where the task failed is better than none.
            target = choose_target(
                targets, step, (), task_count_by_upstream, off_rack_factor, now
            )
        if target is None:
            break
        target.occupy(step.demand)
        task_count_by_upstream[target.name] += 1
        placements.append(Placement(plan, task, target))
    return placements
