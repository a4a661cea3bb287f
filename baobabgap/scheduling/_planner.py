"""Placement of waiting tasks on upstreams, the most urgent first.

Answers the load of more tasks than fit: the work of a pass grows with the
tasks that it places, not with those that wait or with the upstreams.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
import math
from typing import Final

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.scheduling._job_plan import JobPlan
from baobabgap.scheduling._job_plan import PlannedTask
from baobabgap.scheduling._look_ahead import Claim
from baobabgap.scheduling._look_ahead import demand_of
from baobabgap.scheduling._look_ahead import LOOK_AHEAD_STEPS
from baobabgap.scheduling._look_ahead import on_time_slowness
from baobabgap.scheduling._start_queue import StartQueue
from baobabgap.scheduling._start_queue import WaitingStep
from baobabgap.scheduling._target_pool import TargetPool
from baobabgap.scheduling._targets import PlacementTarget

# Seconds of work of all open cores that wait under contention.
_CONTENDED_S: Final = 0.1
# A target is made idle only for a task that can wait this long, seconds.
_SHORTEST_RESERVED_PATIENCE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the target where it is to start."""

    plan: JobPlan
    task: PlannedTask
    target: PlacementTarget
    # What a more urgent step waits for, if one does.
    claim: Claim | None = None

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
    placement_pass = _Pass(queue, pool, off_rack_factor, now, may_start)
    yield from placement_pass.place()


@dataclass(frozen=True, slots=True)
class _Pass:
    """One pass over the most urgent steps."""

    queue: StartQueue
    pool: TargetPool
    off_rack_factor: float
    now: float
    may_start: Callable[[PlacementTarget], bool]

    def place(self) -> Iterator[Placement]:
        """Place tasks in the order of starts, then beside the first claim."""
        previous: WaitingStep | None = None
        while (waiting_step := self.queue.first_after(previous)) is not None:
            is_unconstrained = _is_unconstrained(waiting_step)
            most_slowness = math.inf
            if is_unconstrained:
                self.pool.look_ahead.note_demand(demand_of(waiting_step))
                most_slowness = self._most_slowness(waiting_step)
            yield from self._place_step(waiting_step, most_slowness)
            if waiting_step.is_ready and is_unconstrained:
                # Less urgent steps must not take the next free capacity.
                yield from self._place_behind(waiting_step, most_slowness)
                return
            previous = waiting_step

    def _most_slowness(self, waiting_step: WaitingStep) -> float:
        """Return the slowness of the slowest targets that a step may use.

        Those on which its job would be late are left out, unless it would
        be late anyway, or the others are few.
        """
        if not self.pool.is_uneven:
            return math.inf
        slowness = on_time_slowness(waiting_step, self.now)
        return slowness if self.pool.is_worth_waiting(slowness) else math.inf

    def _place_behind(
        self, first: WaitingStep, most_slowness: float
    ) -> Iterator[Placement]:
        """Place a few tasks behind a step that waits, if that delays it not.

        The next pass goes on behind the last step that this one looks at.
        """
        look_ahead = self.pool.look_ahead
        if not look_ahead.is_look_due(self.pool.largest_free()):
            return
        claim = self._claim_of(first, most_slowness)
        if not claim.is_long(self.now) and not self.pool.largest_free(
            claim.most_slowness
        ):
            return
        smallest = claim.demand.cpu_millicores
        last: WaitingStep | None = first
        if look_ahead.looked_at and look_ahead.looked_at.key > first.key:
            last = look_ahead.looked_at
        for _ in range(LOOK_AHEAD_STEPS):
            last = self.queue.first_after(last)
            if last is None:
                break
            smallest = min(smallest, demand_of(last).cpu_millicores)
            if _is_unconstrained(last):
                look_ahead.note_demand(demand_of(last))
                yield from self._place_beside(claim, last)
        look_ahead.note_look(last, smallest)

    def _claim_of(self, first: WaitingStep, most_slowness: float) -> Claim:
        """Return the claim of the step that waits, as it was if it holds."""
        claim = self.pool.look_ahead.claim
        if claim is None or not claim.is_current(first, self.now):
            demand = demand_of(first)
            claim = Claim(
                first.plan.job.job_id,
                first.step,
                demand,
                self.pool.fits_at(
                    demand, most_slowness, self.now, self.may_start
                ),
                most_slowness,
                self.now,
            )
        if claim.most_slowness != most_slowness:
            claim = replace(claim, most_slowness=most_slowness)
        self.pool.look_ahead.claim = claim
        return claim

    def _place_beside(
        self, claim: Claim, waiting_step: WaitingStep
    ) -> Iterator[Placement]:
        """Place tasks of a less urgent step where they don't delay a claim."""
        most_slowness = self._most_slowness(waiting_step)
        if most_slowness == math.inf and claim.most_slowness < math.inf:
            # A late job must not take what others need to be on time.
            return
        if self._is_contended() and not claim.leaves_gap_for(
            demand_of(waiting_step)
        ):
            return
        beside = replace(
            self,
            may_start=lambda target: (
                self.may_start(target)
                and claim.permits(target, waiting_step, self.now)
            ),
        )
        for placement in beside._place_step(waiting_step, most_slowness):
            self.pool.look_ahead.starts_beside += 1
            yield replace(placement, claim=claim)

    def _is_contended(self) -> bool:
        """Return whether more waits than the upstreams run in a moment."""
        waiting_core_s = self.queue.on_time_core_s
        return waiting_core_s > _CONTENDED_S * self.pool.open_cores

    def _place_step(
        self, waiting_step: WaitingStep, most_slowness: float
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
                target = _isolated_target(
                    waiting_step, task, self.pool, self.now, self.may_start
                )
                if target is not None:
                    yield Placement(plan, task, target)
                continue
            target = self._choose(
                step, task.avoided, task_count_by_upstream, most_slowness
            )
            if target is None and task.avoided:
                # An upstream where the task failed is better than none.
                target = self._choose(
                    step, (), task_count_by_upstream, most_slowness
                )
            if target is None:
                return
            task_count_by_upstream[target.name] += 1
            yield Placement(plan, task, target)

    def _choose(
        self,
        step: Step,
        avoided: Collection[str],
        task_count_by_upstream: Mapping[str, int],
        most_slowness: float,
    ) -> PlacementTarget | None:
        return self.pool.choose(
            step,
            avoided,
            task_count_by_upstream,
            self.off_rack_factor,
            self.now,
            self.may_start,
            most_slowness,
        )


def _is_unconstrained(waiting_step: WaitingStep) -> bool:
    """Return whether its tasks could run on any upstream of its service."""
    step = waiting_step.plan.job.steps[waiting_step.step]
    waiting = waiting_step.plan.waiting_by_step[waiting_step.step]
    avoids = any(task.avoided or task.evidence_by_run for task in waiting)
    return not (step.required_label or step.most_per_upstream or avoids)


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
