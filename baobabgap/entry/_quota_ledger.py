"""Team quotas, shared between the entries without a message per job.

Each entry enforces its share of a team's quota with a token bucket. The
share is proportional to the demand that each entry last reported: an entry
that receives three quarters of a team's demand may spend three quarters of
its quota.
"""

from dataclasses import dataclass
from typing import Final

from baobabgap.configuration import TeamQuota
from baobabgap.messages import QuotaDemand
from baobabgap.messages import TeamDemand

_DEMAND_HALF_LIFE_S: Final = 2.0
_MIN_SHARE: Final = 0.05
# Smallest relative change of a team's demand that is reported.
_MIN_REPORTED_CHANGE: Final = 0.2
# Demand below this counts as none.
_IDLE_TASKS_PER_SECOND: Final = 1e-3


@dataclass(slots=True)
class _TeamMeter:
    """The demand of one team at this entry, and its remaining allowance."""

    # Tasks that may start now; negative after a job larger than the burst.
    allowance: float
    # Monotonic seconds of the last refill.
    refilled_at: float
    # Exponentially decaying demand in tasks per second.
    demand: float = 0.0
    # The demand last reported to the peers.
    reported_demand: float = 0.0


class QuotaLedger:
    """Enforces this entry's share of every team's quota."""

    def __init__(self) -> None:
        self._meter_by_team: dict[str, _TeamMeter] = {}
        self._demand_by_peer: dict[str, dict[str, float]] = {}

    def spend(
        self, team: str, tasks: int, quota: TeamQuota, now: float
    ) -> float:
        """Spend quota for a job; return 0, or the seconds to wait.

        A job larger than the burst may start when the allowance is full,
        and makes it negative.
        """
        share = self._share(team)
        burst = max(quota.burst_tasks * share, 1.0)
        rate = quota.tasks_per_second * share
        meter = self._meter_by_team.get(team)
        if meter is None:
            meter = _TeamMeter(burst, now)
            self._meter_by_team[team] = meter
        elapsed_s = max(now - meter.refilled_at, 0.0)
        _decay(meter, elapsed_s)
        meter.demand += tasks / _DEMAND_HALF_LIFE_S
        meter.allowance = min(meter.allowance + elapsed_s * rate, burst)
        meter.refilled_at = now
        needed = min(float(tasks), burst)
        if meter.allowance < needed:
            return (needed - meter.allowance) / rate
        meter.allowance -= tasks
        return 0.0

    def report(self, now: float) -> QuotaDemand | None:
        """Return the teams whose demand changed since the last report."""
        changed = []
        for team, meter in list(self._meter_by_team.items()):
            elapsed_s = max(now - meter.refilled_at, 0.0)
            demand = meter.demand * 0.5 ** (elapsed_s / _DEMAND_HALF_LIFE_S)
            if _is_idle(demand) and _is_idle(meter.reported_demand):
                continue
            if _differs(demand, meter.reported_demand):
                meter.reported_demand = demand
                changed.append(TeamDemand(team, demand))
        return QuotaDemand(tuple(changed)) if changed else None

    def set_peer_demand(self, peer: str, demand: QuotaDemand) -> None:
        """Record the demand that a peer reported."""
        demand_by_team = self._demand_by_peer.setdefault(peer, {})
        for item in demand.teams:
            demand_by_team[item.team] = item.tasks_per_second

    def forget(self, peer: str) -> None:
        """Remove a disconnected peer; its share is redistributed."""
        self._demand_by_peer.pop(peer, None)

    def reset_reports(self) -> None:
        """Let the next report list all active teams, for a new peer."""
        for meter in self._meter_by_team.values():
            meter.reported_demand = 0.0

    def _share(self, team: str) -> float:
        if not self._demand_by_peer:
            return 1.0
        meter = self._meter_by_team.get(team)
        own = meter.demand if meter is not None else 0.0
        others = sum(
            demand_by_team.get(team, 0.0)
            for demand_by_team in self._demand_by_peer.values()
        )
        if own + others <= 0:
            return 1.0 / (1 + len(self._demand_by_peer))
        return max(own / (own + others), _MIN_SHARE)


def _decay(meter: _TeamMeter, elapsed_s: float) -> None:
    meter.demand *= 0.5 ** (elapsed_s / _DEMAND_HALF_LIFE_S)


def _is_idle(demand: float) -> bool:
    return demand < _IDLE_TASKS_PER_SECOND


def _differs(demand: float, reported: float) -> bool:
    return abs(demand - reported) > _MIN_REPORTED_CHANGE * max(
        demand, reported
    )
