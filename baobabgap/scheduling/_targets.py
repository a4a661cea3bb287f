"""Upstreams with their free capacity."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math
from typing import Final

from baobabgap.jobmodel import Demand
from baobabgap.scheduling._forecast import ExpectedRun
from baobabgap.scheduling._forecast import RunForecast
from baobabgap.scheduling._health import TargetHealth
from baobabgap.scheduling._upstream_speed import UpstreamSpeed


def _ignore_change(target: 'PlacementTarget') -> None:
    """Do nothing: the target is in no pool."""


# Added to the slowness of a cold target: less than a step of the rounding, so
# that it comes after equally fast warm ones and before slower ones.
_COLD_SURCHARGE: Final = 0.05


@dataclass(eq=False, slots=True)
class PlacementTarget:
    """One upstream that runs can be placed on.

    Its methods report each change to the pool that it is in.
    """

    # The name of the upstream's agent.
    name: str
    service: str
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Demand
    free: Demand
    # Whether new runs may start: reachable, not draining, and in no
    # evacuated zone.
    is_open: bool = True
    running: int = 0
    # Number of runs whose demand is unknown. While there are any, they count
    # as much as the whole upstream has, so that nothing fits beside them.
    unknown_runs: int = 0
    # Whether nothing may start beside the run that it has.
    is_exclusive: bool = False
    # Run time factor of its kind of upstream; 1 is average.
    kind_slowness: float = 1.0
    # Whether it runs tasks more slowly for a while, as it has just started or
    # returned, and until when on the monotonic clock.
    is_cold: bool = False
    cold_until: float = 0.0
    health: TargetHealth = field(default_factory=TargetHealth)
    # Its own run time factor against its kind.
    speed: UpstreamSpeed = field(default_factory=UpstreamSpeed)
    # When its runs are expected to end.
    forecast: RunForecast = field(default_factory=RunForecast)
    # Called after each change that matters to the choice among targets.
    on_change: Callable[['PlacementTarget'], None] = _ignore_change

    @property
    def kind(self) -> str:
        """The kind of upstream: its first label."""
        return self.labels[0] if self.labels else ''

    @property
    def slowness(self) -> float:
        """The run time factor of its kind and its own, rounded.

        Slightly more while it is cold.
        """
        return self.slowness_on_rack(1.0)

    def slowness_on_rack(self, rack_factor: float) -> float:
        """Return its run time factor times that of a rack, rounded."""
        own = self.speed.factor
        if self.health.slowdown > 1.0:
            own = max(own, self.health.slowdown)
        slowness = round(self.kind_slowness * own * rack_factor, 1)
        return slowness + _COLD_SURCHARGE if self.is_cold else slowness

    @property
    def free_share(self) -> float:
        """The free fraction of the processors."""
        return self.free.cpu_millicores / max(1, self.capacity.cpu_millicores)

    def occupy(
        self,
        demand: Demand | None,
        *,
        is_exclusive: bool = False,
        expected: ExpectedRun | None = None,
    ) -> None:
        """Reserve capacity for a run, exclusively if it must run alone.

        `expected` tells when it should end; without it that is unknown. So
        is the demand if that is None.
        """
        if expected is not None:
            self.forecast.add(expected)
        if demand is not None:
            self.free = self.free.minus(demand)
        else:
            self.unknown_runs += 1
            if self.unknown_runs == 1:
                self.free = self.free.minus(self.capacity)
        self.running += 1
        self.is_exclusive = self.is_exclusive or is_exclusive
        self.on_change(self)

    def release(
        self, demand: Demand | None, expected: ExpectedRun | None = None
    ) -> None:
        """Release the capacity of a run that has ended.

        The arguments are those of the call of `occupy` for the run.
        """
        if expected is not None:
            self.forecast.remove(expected)
        if demand is not None:
            self.free = self.free.plus(demand)
        else:
            self.unknown_runs -= 1
            if not self.unknown_runs:
                self.free = self.free.plus(self.capacity)
        self.running -= 1
        self._end_exclusive_use()
        self.on_change(self)

    def expect_run(
        self, demand: Demand, expected_s: float, now: float
    ) -> ExpectedRun:
        """Return when a run is expected to end that starts, or is found, now.

        `expected_s` is its run time on an average upstream.
        """
        run_s = expected_s * self.slowness
        return ExpectedRun.from_start(now, run_s, demand)

    def free_at(self, demand: Demand, now: float) -> float:
        """Return when a demand is expected to fit; infinity if unknown."""
        if not demand.fits_in(self.capacity):
            return math.inf
        return self.forecast.free_at(demand, self.free, now)

    def free_by(self, time: float, now: float) -> Demand:
        """Return what is expected to be free at a time."""
        return self.forecast.free_by(time, self.free, now)

    def set_open(self, is_open: bool) -> None:
        """Set whether new runs may start."""
        if self.is_open != is_open:
            self.is_open = is_open
            self._end_exclusive_use()
            self.on_change(self)

    def _end_exclusive_use(self) -> None:
        """Let other runs start again once nothing runs.

        An upstream that has crashed counts as used until it is back.
        """
        if self.is_open and not self.running:
            self.is_exclusive = False

    def set_capacity(self, capacity: Demand) -> None:
        """Change the capacity; less than is occupied is possible."""
        if self.capacity != capacity:
            if not self.unknown_runs:
                self.free = self.free.plus(capacity.minus(self.capacity))
            self.capacity = capacity
            self.on_change(self)

    def set_kind_slowness(self, slowness: float) -> None:
        """Set the run time factor of its kind of upstream."""
        before = self.slowness
        self.kind_slowness = slowness
        if self.slowness != before:
            self.on_change(self)

    def set_cold_left(self, left_s: float, now: float) -> None:
        """Set for how long it is still cold; 0 if it isn't."""
        self.cold_until = now + left_s
        self._set_cold(left_s > 0)

    def note_time(self, now: float) -> None:
        """End its cold time if that is over."""
        if self.is_cold and now >= self.cold_until:
            self._set_cold(False)

    def _set_cold(self, is_cold: bool) -> None:
        if self.is_cold != is_cold:
            self.is_cold = is_cold
            # What was learned before is no measure for it.
            self.health.forget_slowness()
            self.speed = UpstreamSpeed()
            self.on_change(self)

    def note_done(self, run_s: float, expected_s: float) -> None:
        """Record a successful run."""
        before = self.slowness
        was_on_trial = self.health.on_trial
        self.health.note_done(run_s, expected_s)
        if self.slowness != before or was_on_trial:
            self.on_change(self)

    def note_speed(self, log_ratio: float, now: float) -> bool:
        """Record how long a run took; return if its own factor changed."""
        before = self.slowness
        has_changed = self.speed.observe(log_ratio, now)
        if self.slowness != before:
            self.on_change(self)
        return has_changed

    def note_failed(self, now: float) -> bool:
        """Record a failed run; return whether it causes a suspension."""
        is_suspended = self.health.note_failed(now)
        if is_suspended:
            self.on_change(self)
        return is_suspended

    def note_overdue(self, now: float) -> bool:
        """Record an overdue run; return whether it causes a suspension."""
        is_suspended = self.health.note_overdue(now)
        if is_suspended:
            self.on_change(self)
        return is_suspended

    def note_refused(self, now: float) -> None:
        """Record a refused start, and pause further starts."""
        self.health.note_refused(now)

    def lift_suspension(self) -> None:
        """End a suspension or trial."""
        self.health.lift_suspension()
        self.on_change(self)
