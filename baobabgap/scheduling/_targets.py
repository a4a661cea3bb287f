"""Upstreams with their free capacity, and the choice among them."""

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling._health import TargetHealth


@dataclass(slots=True)
class PlacementTarget:
    """One upstream that runs can be placed on."""

    # The name of the upstream's agent.
    name: str
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Demand
    free: Demand
    # Whether new runs may start: reachable, and not draining.
    is_open: bool = True
    running: int = 0
    # Run time factor of its kind of upstream; 1 is average.
    kind_slowness: float = 1.0
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def kind(self) -> str:
        """The kind of upstream: its first label."""
        return self.labels[0] if self.labels else ''

    def occupy(self, demand: Demand) -> None:
        """Reserve capacity for a run."""
        self.free = self.free.minus(demand)
        self.running += 1

    def release(self, demand: Demand) -> None:
        """Release the capacity of a run that has ended."""
        self.free = self.free.plus(demand)
        self.running -= 1

    @property
    def free_share(self) -> float:
        """The free fraction of the processors."""
        return self.free.cpu_millicores / max(1, self.capacity.cpu_millicores)


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
