"""A planner that reads all plans and all targets for each decision.

The tests compare the outcomes and the work of `place_waiting` with it.
"""

from collections import Counter
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

from baobabgap.jobmodel import Step
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import Placement
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling._urgency import Urgency
from baobabgap.scheduling._urgency import urgency_of


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


def usable_targets(
    targets: list[PlacementTarget], now: float
) -> list[PlacementTarget]:
    """Return the open targets without suspended ones.

    If more than half of them are suspended, all suspensions are lifted: a
    fault that affects so many at once hardly lies in the upstreams.
    """
    open_targets = [target for target in targets if target.is_open]
    healthy = [
        target
        for target in open_targets
        if not target.health.is_suspended(now)
    ]
    if 2 * len(healthy) >= len(open_targets):
        return healthy
    for target in open_targets:
        target.health.lift_suspension()
    return open_targets


def choose_target(
    targets: Iterable[PlacementTarget],
    step: Step,
    avoided: Collection[str],
    task_count_by_upstream: dict[str, int],
    off_rack_factor: float,
    now: float,
) -> PlacementTarget | None:
    """Return the target where a task of a step ends soonest, or None.

    `targets` are those that `usable_targets` returns. `avoided` names
    upstreams to leave out; `task_count_by_upstream` counts the tasks of the
    step on each. `off_rack_factor` multiplies the run time on an upstream
    outside the rack of the step's data. Among equally fast targets the one
    with the largest free share wins: spreading the load limits the jobs
    that the loss of one upstream affects.
    """
    best: PlacementTarget | None = None
    best_cost = (0.0, 0.0)
    for target in targets:
        if not _is_eligible(
            target, step, avoided, task_count_by_upstream, now
        ):
            continue
        slowness = target.kind_slowness * target.health.slowdown
        if step.data_rack and step.data_rack not in target.labels:
            slowness *= off_rack_factor
        cost = (round(slowness, 1), -target.free_share)
        if best is None or cost < best_cost:
            best, best_cost = target, cost
    return best


def _is_eligible(
    target: PlacementTarget,
    step: Step,
    avoided: Collection[str],
    task_count_by_upstream: dict[str, int],
    now: float,
) -> bool:
    if not target.is_open or not step.demand.fits_in(target.free):
        return False
    if target.name in avoided:
        return False
    if not target.health.accepts_run(target.running, now):
        return False
    if step.required_label and step.required_label not in target.labels:
        return False
    limit = step.most_per_upstream
    return not limit or task_count_by_upstream.get(target.name, 0) < limit
