"""Services whose work waits although upstreams are linked and free.

Answers the load of a wrong view that nothing else finds: what the leader
believes of an upstream decides on service, and a wrong belief would last
until the agent's next link.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
import math
from typing import Final

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import Step
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import ReportRequest
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import TargetPool
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds without a start after which waiting work counts as stalled.
_STALL_S: Final = 1.0
# Seconds without waiting work after which the next work counts anew: calls
# may come and be given up with pauses in between.
_PAUSE_S: Final = 2.0
# Seconds between looks at the upstreams of a service, and so between two
# requests to an agent.
_LOOK_INTERVAL_S: Final = 1.0
# Seconds between log lines about a service.
_LOG_INTERVAL_S: Final = 5.0
# Most requests for a report in one look: reports cost the leader time.
_MOST_REQUESTS: Final = 200
# Upstreams that a log line names for each reason.
_EXAMPLES: Final = 3
# Seconds since the last grant of authority within which the upstream has
# certainly answered its agent.
_RECENT_GRANT_S: Final = 1.0


class Obstacle(StrEnum):
    """Why nothing starts on an upstream, according to the leader's view."""

    NOT_LINKED = 'not linked'
    NOT_REPORTED = 'not reported'
    NOT_ENROLLED = 'not enrolled'
    NO_AUTHORITY = 'no authority'
    NO_ROOM = 'no room'
    UNSUITABLE = 'unsuitable'
    EVACUATED = 'evacuated'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'
    # Closed without a reason that the view holds.
    CLOSED = 'closed'
    SUSPENDED = 'suspended'
    # A short time after it has refused a start.
    PAUSED = 'paused'
    ON_TRIAL = 'on trial'
    EXCLUSIVE = 'exclusive run'
    RESERVED = 'reserved'
    # Open and free.
    NONE = 'none'


# With these an upstream can't take work, whatever the leader decides.
_UNUSABLE: Final = frozenset(
    (
        Obstacle.NOT_LINKED,
        Obstacle.NOT_REPORTED,
        Obstacle.NOT_ENROLLED,
        Obstacle.NO_AUTHORITY,
        Obstacle.NO_ROOM,
        Obstacle.UNSUITABLE,
    )
)
# With these the view doesn't explain why nothing starts.
_UNEXPLAINED: Final = frozenset((Obstacle.CLOSED, Obstacle.NONE))


def find_obstacle(
    view: AgentView,
    step: Step,
    pool: TargetPool,
    authority_s: float,
    is_evacuated: bool,
    now: float,
) -> Obstacle:
    """Return why a task of a step doesn't start on an upstream.

    `authority_s` is the age up to which authority permits a start.
    """
    target = view.target
    if view.connection is None or target is None:
        return Obstacle.NOT_LINKED
    return (
        _obstacle_of_agent(view, authority_s)
        or _obstacle_of_step(target, step)
        or _obstacle_of_state(view, target, is_evacuated)
        or _obstacle_of_use(target, pool, now)
        or Obstacle.NONE
    )


def _obstacle_of_agent(view: AgentView, authority_s: float) -> Obstacle | None:
    if not view.has_reported:
        return Obstacle.NOT_REPORTED
    if not view.is_enrolled:
        return Obstacle.NOT_ENROLLED
    if not view.may_start(authority_s):
        return Obstacle.NO_AUTHORITY
    return None


def _obstacle_of_step(target: PlacementTarget, step: Step) -> Obstacle | None:
    if not step.demand.fits_in(target.free):
        return Obstacle.NO_ROOM
    if step.required_label not in ('', *target.labels):
        return Obstacle.UNSUITABLE
    return None


def _obstacle_of_state(
    view: AgentView, target: PlacementTarget, is_evacuated: bool
) -> Obstacle | None:
    if target.is_open:
        return None
    upstream = view.upstream
    if is_evacuated:
        return Obstacle.EVACUATED
    if upstream is not None and upstream.is_draining:
        return Obstacle.DRAINING
    if upstream is not None and not upstream.is_reachable:
        return Obstacle.UNREACHABLE
    return Obstacle.CLOSED


def _obstacle_of_use(
    target: PlacementTarget, pool: TargetPool, now: float
) -> Obstacle | None:
    health = target.health
    if health.is_suspended(now):
        return Obstacle.SUSPENDED
    if now < health.refused_until:
        return Obstacle.PAUSED
    if not health.accepts_run(target.running, now):
        return Obstacle.ON_TRIAL
    if target.is_exclusive:
        return Obstacle.EXCLUSIVE
    if pool.is_reserved(target.name):
        return Obstacle.RESERVED
    return None


@dataclass(slots=True)
class ServiceWait:
    """How long work of a service waits without any start.

    Times are on the monotonic clock.
    """

    wanted_since: float | None = None
    last_wanted_at: float = -math.inf
    next_look_at: float = -math.inf
    next_log_at: float = -math.inf
    # Since when the current stall is known; None without one.
    stalled_since: float | None = None

    def note(self, is_wanted: bool, last_start_at: float, now: float) -> None:
        """Record whether work waits, and the service's last start."""
        since = self.wanted_since
        has_started = since is not None and last_start_at >= since
        if has_started or now - self.last_wanted_at > _PAUSE_S:
            self.wanted_since = None
        if is_wanted:
            self.last_wanted_at = now
            if self.wanted_since is None:
                self.wanted_since = now

    def waited_s(self, now: float) -> float:
        """Return for how many seconds work has waited without a start."""
        return 0.0 if self.wanted_since is None else now - self.wanted_since

    def is_look_due(self, now: float) -> bool:
        """Return whether to look for the reasons; records that it is done."""
        if self.waited_s(now) < _STALL_S or now < self.next_look_at:
            return False
        self.next_look_at = now + _LOOK_INTERVAL_S
        return True

    def is_log_due(self, now: float) -> bool:
        """Return whether to log the reasons; records that it is done."""
        if now < self.next_log_at:
            return False
        self.next_log_at = now + _LOG_INTERVAL_S
        return True


@dataclass(frozen=True, slots=True)
class Stall:
    """The reasons for which nothing starts on a service's upstreams."""

    names_by_obstacle: Mapping[Obstacle, list[str]] = field(
        default_factory=dict
    )

    @property
    def is_real(self) -> bool:
        """Whether an upstream could take work."""
        return any(
            obstacle not in _UNUSABLE for obstacle in self.names_by_obstacle
        )

    @property
    def count_by_obstacle(self) -> dict[str, int]:
        """The number of upstreams for each reason."""
        return {
            str(obstacle): len(names)
            for obstacle, names in self.names_by_obstacle.items()
        }

    @property
    def examples_by_obstacle(self) -> dict[str, list[str]]:
        """A few upstreams for each reason."""
        return {
            str(obstacle): names[:_EXAMPLES]
            for obstacle, names in self.names_by_obstacle.items()
        }


class StallMonitor:
    """Finds, logs and counts stalls, and asks agents for full reports."""

    def __init__(
        self, term_state: TermState, timing: LeaseTiming, metrics: Metrics
    ) -> None:
        self._term_state: Final = term_state
        self._authority_s: Final = timing.authority_s - timing.longest_lease_s
        self._metrics: Final = metrics
        self.reset()
        metrics.gauge('baobabgap_stalled_services', self._stalled_services)

    def reset(self) -> None:
        """Clear all state for a new term."""
        self._wait_by_service: dict[str, ServiceWait] = {}

    def _stalled_services(self) -> float:
        waits = list(self._wait_by_service.values())
        return sum(wait.stalled_since is not None for wait in waits)

    def check(self, now: float) -> None:
        """Look at the services whose work waits; called by the leader."""
        term_state = self._term_state
        for service, queue in list(term_state.queue_by_service.items()):
            wait = self._wait_by_service.setdefault(service, ServiceWait())
            wait.note(
                len(queue) > 0,
                term_state.last_start_at_by_service[service],
                now,
            )
            if wait.waited_s(now) < _STALL_S:
                self._end_stall(service, wait, now)
            elif wait.is_look_due(now):
                self._look(service, wait, now)

    def _look(self, service: str, wait: ServiceWait, now: float) -> None:
        step = self._next_step(service)
        stall = Stall() if step is None else self._find(service, step, now)
        if not stall.is_real:
            self._end_stall(service, wait, now)
            return
        if wait.stalled_since is None:
            wait.stalled_since = now
            self._metrics.count(
                f'baobabgap_stalls_total{{service="{service}"}}'
            )
        asked = self._ask(stall, now)
        if wait.is_log_due(now):
            log_event(
                'starts_stalled',
                service=service,
                waited_ms=round(1000 * wait.waited_s(now)),
                waiting_steps=len(self._term_state.queue_by_service[service]),
                upstreams=stall.count_by_obstacle,
                examples=stall.examples_by_obstacle,
                reports_requested=asked,
            )

    def _end_stall(self, service: str, wait: ServiceWait, now: float) -> None:
        if wait.stalled_since is not None:
            log_event(
                'stall_ended',
                service=service,
                stalled_ms=round(1000 * (now - wait.stalled_since)),
            )
            wait.stalled_since = None

    def _next_step(self, service: str) -> Step | None:
        """Return the most urgent waiting step, or None."""
        first = self._term_state.queue_by_service[service].first_after(None)
        return None if first is None else first.plan.job.steps[first.step]

    def _find(self, service: str, step: Step, now: float) -> Stall:
        pool = self._term_state.pool_by_service[service]
        names_by_obstacle: dict[Obstacle, list[str]] = defaultdict(list)
        for name, target in pool.target_by_name.items():
            obstacle = find_obstacle(
                self._term_state.view_by_name[name],
                step,
                pool,
                self._authority_s,
                self._term_state.is_evacuated(target.availability_zone),
                now,
            )
            names_by_obstacle[obstacle].append(name)
        return Stall(names_by_obstacle)

    def _ask(self, stall: Stall, now: float) -> int:
        """Ask agents whose view explains nothing; return how many."""
        views = [
            view
            for obstacle, names in stall.names_by_obstacle.items()
            for name in names
            if _is_doubtful(
                obstacle, view := self._term_state.view_by_name[name]
            )
            and view.answers_report_requests
            and now - view.report_requested_at >= _LOOK_INTERVAL_S
        ]
        # Those asked first that were not asked for longest.
        views.sort(key=lambda view: view.report_requested_at)
        for view in views[:_MOST_REQUESTS]:
            assert view.connection is not None
            view.report_requested_at = now
            view.connection.send(ReportRequest(self._term_state.term))
        asked = len(views[:_MOST_REQUESTS])
        self._metrics.count('baobabgap_reports_requested_total', asked)
        return asked


def _is_doubtful(obstacle: Obstacle, view: AgentView) -> bool:
    """Return whether the view doesn't explain why nothing starts.

    An agent is granted authority only if its upstream answers it.
    """
    if obstacle is Obstacle.UNREACHABLE:
        since_grant_s = boottime_clock() - view.authority_granted_at
        return since_grant_s < _RECENT_GRANT_S
    return obstacle in _UNEXPLAINED
