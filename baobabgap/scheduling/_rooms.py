"""The room of each upstream, and the choice among them."""

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.scheduling._health import RoomHealth


@dataclass(slots=True)
class Room:
    """One upstream as a place for runs."""

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
    # How long runs take on its kind of upstream; 1 is usual.
    kind_slowness: float = 1.0
    health: RoomHealth = field(default_factory=RoomHealth)

    @property
    def kind(self) -> str:
        """The kind of upstream: its first label."""
        return self.labels[0] if self.labels else ''

    def occupy(self, demand: Demand) -> None:
        """Take room for a run."""
        self.free = self.free.minus(demand)
        self.running += 1

    def release(self, demand: Demand) -> None:
        """Give back the room of a run that has ended."""
        self.free = self.free.plus(demand)
        self.running -= 1

    @property
    def free_share(self) -> float:
        """The free share of the processors."""
        return self.free.cpu_millicores / max(1, self.capacity.cpu_millicores)


def usable_rooms(rooms: list[Room], now: float) -> list[Room]:
    """Leave out suspended rooms, unless most of the rooms are.

    What makes most upstreams look bad at once is hardly their own fault.
    """
    opened = [room for room in rooms if room.is_open]
    sound = [room for room in opened if not room.health.is_suspended(now)]
    if 2 * len(sound) >= len(opened):
        return sound
    for room in opened:
        room.health.pardon()
    return opened


def choose_room(
    rooms: Iterable[Room],
    step: Step,
    avoided: Collection[str],
    used_by_step: dict[str, int],
    far_factor: float,
    now: float,
) -> Room | None:
    """Return the room where a task of a step ends soonest, or None.

    `rooms` are those that `usable_rooms` returns. `avoided` names
    upstreams that are not to be used, `used_by_step` how many tasks of
    the step are on each. Among equally fast rooms the emptiest one wins,
    so that one lost upstream hurts few jobs.
    """
    best: Room | None = None
    best_cost = (0.0, 0.0)
    for room in rooms:
        if not _is_fit(room, step, avoided, used_by_step, now):
            continue
        slowness = room.kind_slowness * room.health.sickness
        if step.data_rack and step.data_rack not in room.labels:
            slowness *= far_factor
        cost = (round(slowness, 1), -room.free_share)
        if best is None or cost < best_cost:
            best, best_cost = room, cost
    return best


def _is_fit(
    room: Room,
    step: Step,
    avoided: Collection[str],
    used_by_step: dict[str, int],
    now: float,
) -> bool:
    if not room.is_open or not step.demand.fits_in(room.free):
        return False
    if room.name in avoided:
        return False
    if not room.health.may_take(room.running, now):
        return False
    if step.required_label and step.required_label not in room.labels:
        return False
    most = step.most_per_upstream
    return not most or used_by_step.get(room.name, 0) < most
