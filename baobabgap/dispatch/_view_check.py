"""Comparison of the leader's view of an upstream with what its agent tells.

Answers the load of a report that was lost or wrong: an agent tells each
change once, and what the leader takes for true decides on service. Each
request for authority repeats it, a few times a second.
"""

from dataclasses import replace
import time
from typing import Final

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.protocol import AuthorityRequest
from baobabgap.protocol import UpstreamState
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds for which a full report may be under way: less than the time between
# two requests for authority, so that the second one shows that it isn't.
_REPORT_GRACE_S: Final = 0.2
# Seconds between two times that an agent is asked for a full report.
_REPORT_PAUSE_S: Final = 1.0


class ViewCheck:
    """Finds differences, logs and counts them.

    Reports and requests of an agent arrive in the order in which they were
    sent, so that a difference is none that a report under way would end.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics: Final = metrics

    def differing_state(
        self, view: AgentView, request: AuthorityRequest
    ) -> UpstreamState | None:
        """Return the state to assume if the agent's differs, or None.

        Another instance is no difference: its full report follows.
        """
        believed = view.upstream
        if believed is None or not _has_reported(view, request):
            return None
        if _is_as_told(believed, request):
            return None
        told = _state_told(believed, request)
        now = time.monotonic()
        self._metrics.count('baobabgap_views_corrected_total')
        log_event(
            'view_corrected',
            agent=view.name,
            instance=believed.instance,
            believed=_fields(believed),
            told=_fields(told),
            believed_ms=round(1000 * (now - view.upstream_told_at)),
        )
        return replace(told, cold_left_ms=_cold_left_ms(view, now))

    def is_report_missing(
        self, view: AgentView, request: AuthorityRequest
    ) -> bool:
        """Return whether to ask an agent for a full report.

        An agent whose upstream answers reports in full at once, after each
        new link and for each new incarnation.
        """
        now = time.monotonic()
        if request.capacity is None or _has_reported(view, request):
            view.unreported_since = None
            return False
        if view.unreported_since is None:
            view.unreported_since = now
        unreported_s = now - view.unreported_since
        if (
            unreported_s < _REPORT_GRACE_S
            or now - view.report_requested_at < _REPORT_PAUSE_S
        ):
            return False
        view.report_requested_at = now
        believed = view.upstream
        self._metrics.count('baobabgap_full_reports_wanted_total')
        log_event(
            'full_report_wanted',
            agent=view.name,
            reported=view.has_reported,
            believed_instance=believed.instance if believed else '',
            believed_born_ms=believed.born_ms if believed else 0,
            instance=request.instance,
            born_ms=request.born_ms,
            unreported_ms=round(1000 * unreported_s),
        )
        return True

    def note_recovered_link(self, agent: str, view: AgentView | None) -> None:
        """Log and count a link that was taken for lost, and is in use."""
        lost_at = view.unlinked_at if view is not None else 0.0
        self._metrics.count('baobabgap_links_recovered_total')
        log_event(
            'link_recovered',
            agent=agent,
            known=view is not None,
            # When it was taken for lost is known with the view only.
            lost_ms=round(1000 * (time.monotonic() - lost_at))
            if lost_at
            else None,
        )


def _has_reported(view: AgentView, request: AuthorityRequest) -> bool:
    """Return whether the sender's incarnation has reported in full.

    A report with another service, zone or labels doesn't count.
    """
    upstream = view.upstream
    return (
        view.has_reported
        and upstream is not None
        and view.is_current_instance(request.instance, request.born_ms)
        and request.description_crc in (0, upstream.description_crc)
    )


def _is_as_told(believed: UpstreamState, request: AuthorityRequest) -> bool:
    """Return whether a view agrees with what the agent tells, if it does."""
    return request.capacity is None or (
        believed.is_reachable is request.is_reachable
        and believed.is_draining is request.is_draining
        and believed.capacity == request.capacity
    )


def _state_told(
    believed: UpstreamState, request: AuthorityRequest
) -> UpstreamState:
    """Return the believed state with all that a request tells."""
    return replace(
        believed,
        is_draining=bool(request.is_draining),
        is_reachable=bool(request.is_reachable),
        capacity=request.capacity or believed.capacity,
    )


def _cold_left_ms(view: AgentView, now: float) -> int:
    """Return the rest of the cold time, which the leader counts down."""
    target = view.target
    if target is None or not target.is_cold:
        return 0
    return max(0, round(1000 * (target.cold_until - now)))


def _fields(state: UpstreamState) -> dict[str, object]:
    return {
        'reachable': state.is_reachable,
        'draining': state.is_draining,
        'cpu_millicores': state.capacity.cpu_millicores,
        'memory_mb': state.capacity.memory_mb,
    }
