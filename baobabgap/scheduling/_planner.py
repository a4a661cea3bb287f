"""Which waiting task starts next, and where.

This answers a load at which more tasks wait than there is room: jobs
that can still be on time go before those that can't, and among them the
one that must start first.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from baobabgap.accepted import Demand
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._job_plan import PlannedTask
from baobabgap.scheduling._rooms import choose_room
from baobabgap.scheduling._rooms import Room
from baobabgap.scheduling._rooms import usable_rooms

# What a job needs on top of its run time, seconds: messages and wakes from
# the order of the start to the answer.
_MARGIN_S: Final = 0.02
# The share of the expected run time by which it is often exceeded.
_MARGIN_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Placement:
    """One task is to start in one room."""

    plan: JobPlan
    task: PlannedTask
    room: Room

    @property
    def demand(self) -> Demand:
        """What the task occupies."""
        return self.plan.job.steps[self.task.task.step].demand


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """A place in the order of starts; what is smaller goes first."""

    # 0 if it can be on time, 1 if late, 2 if worth nothing any more.
    lateness: int
    # When the tasks must start for the job to be on time, seconds.
    latest_start: float


@dataclass(frozen=True, slots=True)
class _StepInLine:
    """A step of a job whose tasks wait."""

    urgency: Urgency
    plan: JobPlan
    step: int


def plan_starts(
    plans: Iterable[JobPlan],
    rooms_by_service: dict[str, list[Room]],
    far_factor: float,
    now: float,
) -> list[Placement]:
    """Choose rooms for as many waiting tasks as fit, the most urgent first.

    Rooms and tasks are left as they were; the caller puts the placements
    into effect.
    """
    placements: list[Placement] = []
    line = [
        _StepInLine(urgency_of(plan, step, now), plan, step)
        for plan in plans
        for step, _ in plan.startable()
    ]
    line.sort(key=lambda item: item.urgency)
    full_services: set[str] = set()
    usable_by_service = {
        service: usable_rooms(rooms, now)
        for service, rooms in rooms_by_service.items()
    }
    for item in line:
        service = item.plan.job.service
        rooms = usable_by_service.get(service, [])
        if service in full_services:
            continue
        placed = _place_step(item, rooms, far_factor, now)
        placements.extend(placed)
        waiting = item.plan.waiting_by_step[item.step]
        if len(placed) < len(waiting) and _is_plain(item):
            # Whoever is more urgent gets the next room that is free.
            full_services.add(service)
    for placement in placements:
        placement.room.release(placement.demand)
    return placements


def urgency_of(plan: JobPlan, step: int, now: float) -> Urgency:
    """Return the place of a step's tasks in the order of starts."""
    latest_start = plan.latest_start(step)
    margin_s = _MARGIN_S + _MARGIN_SHARE * plan.expected_s[step]
    if now <= latest_start - margin_s:
        lateness = 0
    elif now <= plan.late_limit(step):
        lateness = 1
    else:
        lateness = 2
    return Urgency(lateness, latest_start)


def _is_plain(item: _StepInLine) -> bool:
    """Tell whether the step could use any room of its service."""
    step = item.plan.job.steps[item.step]
    waiting = item.plan.waiting_by_step[item.step]
    avoids = any(task.avoided for task in waiting)
    return not (step.required_label or step.most_per_upstream or avoids)


def _place_step(
    item: _StepInLine, rooms: list[Room], far_factor: float, now: float
) -> list[Placement]:
    plan = item.plan
    step = plan.job.steps[item.step]
    used = Counter(
        task.upstream
        for task in plan.task_by_id.values()
        if task.upstream and task.task.step == item.step
    )
    placements = []
    for task in plan.waiting_by_step[item.step]:
        room = choose_room(rooms, step, task.avoided, used, far_factor, now)
        if room is None and task.avoided:
            # Better where it failed before than nowhere.
            room = choose_room(rooms, step, (), used, far_factor, now)
        if room is None:
            break
        room.occupy(step.demand)
        used[room.name] += 1
        placements.append(Placement(plan, task, room))
    return placements
