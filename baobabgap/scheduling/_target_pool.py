"""The upstreams of one service, and the choice among them.

Answers the load of many starts on many upstreams: targets are kept by their
free capacity, so that a choice looks at a few of them, and at none if no
target has enough free capacity.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import math
from typing import Final
from typing import Self

from sortedcontainers import SortedDict
from sortedcontainers import SortedList

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import Step
from baobabgap.scheduling._isolation import IsolationLimit
from baobabgap.scheduling._look_ahead import LookAhead
from baobabgap.scheduling._targets import _ignore_change
from baobabgap.scheduling._targets import PlacementTarget

# Seconds between checks whether most upstreams are suspended.
_SUSPENSION_CHECK_INTERVAL_S: Final = 0.02

# Seconds for which a target gets no new runs, to become idle.
_RESERVATION_S: Final = 1.0

# Targets of a group, those with the most free processors, at which a look for
# the one that frees first stops.
_LOOKED_AT_FOR_END: Final = 2
# Least share of the processors that must be fast enough for a step to wait
# for them while slower ones are free.
_LEAST_WAITED_SHARE: Final = 0.5
# Free share of the fastest targets below which they are left to the steps
# that need them.
_SCARCE_SHARE: Final = 0.2

# Slowness and processors of equal targets, among which the one with the most
# free processors also has the largest free share.
_GroupKey = tuple[float, int]
# Free processors, negated, and the target's name.
_Rank = tuple[int, str]


class TargetPool:
    """Targets of one service by slowness and free capacity.

    Targets report their changes to the pool while they are in it::

        pool = TargetPool.from_targets(targets)
        target = pool.choose(step, (), {}, 1.5, now)
    """

    def __init__(self) -> None:
        self.target_by_name: dict[str, PlacementTarget] = {}
        # Ranks of the open targets by group, the fastest group first.
        self._ranks_by_group: SortedDict = SortedDict()
        self._place_by_name: dict[str, tuple[_GroupKey, _Rank]] = {}
        self._open_millicores = 0
        self._free_millicores = 0
        # Open targets without a run.
        self._idle_by_name: dict[str, PlacementTarget] = {}
        self._isolation = IsolationLimit()
        # Targets that get no new runs, to become idle, until a time.
        self._reserved_until_by_name: dict[str, float] = {}
        # Targets with a suspension that may not be over.
        self._suspended_names: set[str] = set()
        self._next_suspension_check_at = float('-inf')
        # Free and all processors of the open targets by slowness.
        self._room_by_slowness: SortedDict = SortedDict()
        self.look_ahead = LookAhead()
        # Number of targets that choices have looked at so far.
        self.examined = 0

    @classmethod
    def from_targets(cls, targets: Iterable[PlacementTarget]) -> Self:
        """Create a pool."""
        pool = cls()
        for target in targets:
            pool.add(target)
        return pool

    @property
    def open_count(self) -> int:
        """The number of open targets."""
        return len(self._place_by_name)

    @property
    def open_cores(self) -> float:
        """The processors of the open targets, occupied or free."""
        return self._open_millicores / 1000

    def usable_part(self, task_cores: float) -> float:
        """Return the part of the open cores that whole tasks can use.

        1 if the demand of a task is not known, or if none fits.
        """
        demand = round(1000 * task_cores)
        if not demand:
            return 1.0
        usable = sum(
            len(ranks) * (capacity // demand * demand)
            for (_, capacity), ranks in self._ranks_by_group.items()
        )
        return usable / self._open_millicores if usable else 1.0

    def largest_free(self, above_slowness: float = -math.inf) -> int:
        """Return the free processors of the open target that has most.

        In thousandths, of the targets that are slower than `above_slowness`.
        """
        return max(
            (
                -ranks[0][0]
                for (slowness, _), ranks in self._ranks_by_group.items()
                if slowness > above_slowness
            ),
            default=0,
        )

    @property
    def is_uneven(self) -> bool:
        """Whether open targets differ in speed."""
        return len(self._room_by_slowness) > 1

    def is_worth_waiting(self, most_slowness: float) -> bool:
        """Return whether to wait for targets up to a slowness.

        They must have a good part of the processors.
        """
        open_millicores = sum(
            room[1]
            for slowness, room in self._room_by_slowness.items()
            if slowness <= most_slowness
        )
        least = max(1.0, _LEAST_WAITED_SHARE * self._open_millicores)
        return bool(open_millicores >= least)

    def fits_at(
        self,
        demand: Demand,
        most_slowness: float,
        now: float,
        may_start: Callable[[PlacementTarget], bool],
    ) -> float:
        """Return when a demand is expected to fit somewhere.

        Looks at the targets with the most free capacity only, up to a
        slowness. Infinity if it fits on none of them.
        """
        times = [math.inf]
        for (slowness, _), ranks in self._ranks_by_group.items():
            if slowness > most_slowness:
                break
            for _, name in itertools.islice(ranks, _LOOKED_AT_FOR_END):
                target = self.target_by_name[name]
                self.examined += 1
                if may_start(target) and target.health.accepts_run(
                    target.running, now
                ):
                    times.append(target.free_at(demand, now))
        return min(times)

    def add(self, target: PlacementTarget) -> None:
        """Add a target, in place of an earlier one of the same name."""
        earlier = self.target_by_name.get(target.name)
        if earlier is not None:
            self.remove(earlier)
        self.target_by_name[target.name] = target
        target.on_change = self._update
        self._update(target)

    def remove(self, target: PlacementTarget) -> None:
        """Remove a target, if it is in the pool."""
        if self.target_by_name.get(target.name) is not target:
            return
        target.on_change = _ignore_change
        del self.target_by_name[target.name]
        self._take_out(target)
        self._suspended_names.discard(target.name)
        self._isolation.forget(target.name)
        self._reserved_until_by_name.pop(target.name, None)

    def is_reserved(self, name: str) -> bool:
        """Return whether a target is to become idle for an isolated task."""
        return name in self._reserved_until_by_name

    def could_fit(self, demand: Demand) -> bool:
        """Return whether an idle target could run a task."""
        return any(
            demand.fits_in(target.capacity)
            for target in self.target_by_name.values()
        )

    def lift_common_suspensions(
        self, now: float, may_start: Callable[[PlacementTarget], bool]
    ) -> None:
        """Lift all suspensions if more than half of the targets have one.

        Only open targets that may start runs count. A fault that affects so
        many at once hardly lies in the upstreams.
        """
        if not self._suspended_names or now < self._next_suspension_check_at:
            return
        self._next_suspension_check_at = now + _SUSPENSION_CHECK_INTERVAL_S
        usable = [
            target
            for name in self._place_by_name
            if may_start(target := self.target_by_name[name])
        ]
        suspended = [
            target for target in usable if target.health.is_suspended(now)
        ]
        if 2 * len(suspended) > len(usable):
            for target in usable:
                target.lift_suspension()
        self._suspended_names = {
            name
            for name in self._suspended_names
            if self.target_by_name[name].health.is_suspended(now)
        }

    def choose(
        self,
        step: Step,
        avoided: Collection[str],
        task_count_by_upstream: Mapping[str, int],
        off_rack_factor: float,
        now: float,
        may_start: Callable[[PlacementTarget], bool],
        most_slowness: float = math.inf,
    ) -> PlacementTarget | None:
        """Choose a target for one more task of a step, or None.

        The target where the task ends soonest wins, of those that aren't
        slower than `most_slowness`; while the fastest ones are scarce, one
        of the slowest of those. Among equally fast ones it is the one with
        the largest free share: spreading the load limits the jobs that the
        loss of one upstream affects. Once that would leave no room for the
        largest demand, it is the one with the least room that is enough.
        """
        best: PlacementTarget | None = None
        best_cost = (0.0, 0.0)
        for (slowness, _), ranks in self._groups(step, most_slowness):
            if best is not None and slowness != best_cost[0]:
                # Those in the groups that follow are no better.
                break
            for name in self._names_with_room(ranks, step):
                target = self.target_by_name[name]
                self.examined += 1
                if not may_start(target) or not _is_eligible(
                    target, step, avoided, task_count_by_upstream, now
                ):
                    continue
                cost = _cost(target, step, off_rack_factor)
                if best is None or cost < best_cost:
                    best, best_cost = target, cost
                if not step.data_rack:
                    # The others of the group are no better.
                    break
        return best

    def _groups(
        self, step: Step, most_slowness: float
    ) -> list[tuple[_GroupKey, SortedList]]:
        """Return the groups up to a slowness, the best ones first."""
        if most_slowness == math.inf:
            return list(self._ranks_by_group.items())
        groups = [
            (key, ranks)
            for key, ranks in self._ranks_by_group.items()
            if key[0] <= most_slowness
        ]
        if not step.data_rack and self._are_fastest_scarce():
            groups.reverse()
        return groups

    def _are_fastest_scarce(self) -> bool:
        if not self.is_uneven:
            return False
        free, millicores = self._room_by_slowness.peekitem(0)[1]
        return bool(free < _SCARCE_SHARE * millicores)

    def _names_with_room(self, ranks: SortedList, step: Step) -> Iterator[str]:
        """Yield a group's targets with enough processors, the best first."""
        needed = step.demand.cpu_millicores
        left = -ranks[0][0] - needed
        if step.data_rack or left >= self.look_ahead.largest_millicores:
            for free_negated, name in ranks:
                if -free_negated < needed:
                    return
                yield name
            return
        # Sorts behind all ranks of targets with just enough.
        end = (-needed + 1, '')
        for _, name in ranks.irange(maximum=end, reverse=True):
            yield name

    def choose_idle(
        self,
        step: Step,
        avoided: Collection[str],
        now: float,
        may_start: Callable[[PlacementTarget], bool],
    ) -> PlacementTarget | None:
        """Choose a target without a run for a task that must run alone.

        Such a task may cost its upstream, so that only few upstreams are
        used for them at a time. Returns None if there is no such target.
        """
        if not self._idle_by_name or self._isolation_room(now) <= 0:
            return None
        for target in self._idle_by_name.values():
            if may_start(target) and _is_eligible(
                target, step, avoided, {}, now
            ):
                self._isolation.note_placed(target.name, now)
                return target
        return None

    def reserve_idle(
        self,
        step: Step,
        now: float,
        may_start: Callable[[PlacementTarget], bool],
    ) -> None:
        """Let a target become idle for a task that must run alone.

        It gets no other runs for a while. Each pass calls this once for each
        task that waits for an idle target, which extends that.
        """
        self._isolation.waiting += 1
        room = self._isolation_room(now)
        if room <= 0:
            return
        until = now + _RESERVATION_S
        for name in self._reserved_until_by_name:
            self._reserved_until_by_name[name] = until
        wanted = min(room, self._isolation.waiting)
        if len(self._reserved_until_by_name) >= wanted:
            return
        target = self._with_least_running(step, now, may_start)
        if target is not None:
            self._reserved_until_by_name[target.name] = until
            self._update(target)

    def begin_isolation_pass(self, now: float) -> None:
        """Let reserved targets that no task waits for get runs again."""
        self._isolation.begin_pass()
        for name, until in list(self._reserved_until_by_name.items()):
            if until < now:
                del self._reserved_until_by_name[name]
                self._update(self.target_by_name[name])

    def _isolation_room(self, now: float) -> int:
        """Return how many more targets may get a run of their own."""
        is_busy = 2 * self._free_millicores < self._open_millicores
        return self._isolation.room(self.target_by_name, is_busy, now)

    def _with_least_running(
        self,
        step: Step,
        now: float,
        may_start: Callable[[PlacementTarget], bool],
    ) -> PlacementTarget | None:
        candidates = [
            target
            for name in self._place_by_name
            if may_start(target := self.target_by_name[name])
            and target.health.accepts_run(target.running, now)
            and step.demand.fits_in(target.capacity)
            and step.required_label in ('', *target.labels)
        ]
        return min(
            candidates,
            key=lambda target: (target.running, target.name),
            default=None,
        )

    def _update(self, target: PlacementTarget) -> None:
        self._take_out(target)
        if target.health.suspended_until:
            self._suspended_names.add(target.name)
        if not target.is_open or target.is_exclusive:
            return
        if not target.running:
            self._idle_by_name[target.name] = target
        if target.name in self._reserved_until_by_name:
            return
        group = (target.slowness, target.capacity.cpu_millicores)
        rank = (-target.free.cpu_millicores, target.name)
        ranks = self._ranks_by_group.get(group)
        if ranks is None:
            ranks = self._ranks_by_group[group] = SortedList()
        ranks.add(rank)
        self._place_by_name[target.name] = (group, rank)
        self._open_millicores += target.capacity.cpu_millicores
        self._free_millicores += target.free.cpu_millicores
        self._add_room(group, target.free.cpu_millicores, group[1])

    def _take_out(self, target: PlacementTarget) -> None:
        self._idle_by_name.pop(target.name, None)
        place = self._place_by_name.pop(target.name, None)
        if place is None:
            return
        group, rank = place
        ranks = self._ranks_by_group[group]
        ranks.remove(rank)
        if not ranks:
            del self._ranks_by_group[group]
        # The capacity may have changed since.
        self._open_millicores -= group[1]
        self._free_millicores += rank[0]
        self._add_room(group, rank[0], -group[1])

    def _add_room(self, group: _GroupKey, free: int, millicores: int) -> None:
        # Without the surcharge of cold targets: they are as fast once warm.
        slowness = math.floor(10 * group[0] + 1e-6) / 10
        room = self._room_by_slowness.get(slowness, (0, 0))
        free, millicores = room[0] + free, room[1] + millicores
        if millicores:
            self._room_by_slowness[slowness] = (free, millicores)
        else:
            self._room_by_slowness.pop(slowness, None)


def _cost(
    target: PlacementTarget, step: Step, off_rack_factor: float
) -> tuple[float, float]:
    slowness = target.slowness
    if step.data_rack and step.data_rack not in target.labels:
        slowness = target.slowness_on_rack(off_rack_factor)
    return slowness, -target.free_share


def _is_eligible(
    target: PlacementTarget,
    step: Step,
    avoided: Collection[str],
    task_count_by_upstream: Mapping[str, int],
    now: float,
) -> bool:
    if not step.demand.fits_in(target.free):
        return False
    if target.name in avoided:
        return False
    if not target.health.accepts_run(target.running, now):
        return False
    if step.required_label and step.required_label not in target.labels:
        return False
    limit = step.most_per_upstream
    return not limit or task_count_by_upstream.get(target.name, 0) < limit
