"""Evacuated availability zones, as the leader acts on them.

Answers the load of a zone that is emptied: its targets close before the
operator is answered, so that admission and starts count on the remaining
capacity only, and its agents refuse the starts that they have not sent yet.
"""

from collections.abc import Mapping
from typing import Final

from baobabgap.accepted import ZoneState
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import ZoneEvacuated
from baobabgap.scheduling import Refusal
from baobabgap.scheduling import RefusalKind
from baobabgap.telemetry import log_event

# Milliseconds after which a refused caller should retry while all zones are
# evacuated: the longest delay, as nothing says when one returns.
_RETRY_AFTER_MS: Final = 10_000


def refuse_evacuated(
    term_state: TermState, service: str, patience_s: float
) -> Refusal | None:
    """Refuse a job that all upstreams of its service are closed for.

    A job that is worth waiting longer than a refused caller would may wait
    for the return of a zone.
    """
    if 1000 * patience_s >= _RETRY_AFTER_MS:
        return None
    if not term_state.are_all_evacuated(service):
        return None
    return Refusal(
        _RETRY_AFTER_MS,
        'all zones of its service are evacuated',
        RefusalKind.EVACUATED,
    )


class Evacuations:
    """Opens and closes targets, and tells agents of their zone's state."""

    def __init__(self, term_state: TermState) -> None:
        self._term_state: Final = term_state

    def begin_term(self, version_by_zone: Mapping[str, int]) -> None:
        """Start a term with the zones that the log says are evacuated."""
        self._term_state.version_by_evacuated_zone = dict(version_by_zone)

    def handle_change(self, change: ZoneState) -> None:
        """Close or open the targets of a zone; tell its agents."""
        version_by_zone = self._term_state.version_by_evacuated_zone
        if change.is_evacuated:
            version_by_zone[change.zone] = change.version
        else:
            version_by_zone.pop(change.zone, None)
        targets = 0
        for view in self._term_state.view_by_name.values():
            zone = view.upstream.availability_zone if view.upstream else ''
            # Also those elsewhere: an upstream may come to announce the zone.
            self._tell(view, change)
            if zone == change.zone:
                self.update_target(view)
                targets += view.target is not None
        log_event(
            'zone_targets_changed',
            zone=change.zone,
            is_evacuated=change.is_evacuated,
            version=change.version,
            targets=targets,
        )

    def handle_link(self, view: AgentView) -> None:
        """Tell an agent with a new link all zones that are evacuated.

        Its upstream, and so its zone, may not be known yet.
        """
        version_by_zone = self._term_state.version_by_evacuated_zone
        for zone, version in version_by_zone.items():
            self._tell(view, ZoneState(zone, version, is_evacuated=True))

    def version_of(self, view: AgentView) -> tuple[str, int]:
        """Return the zone of an agent's upstream and its evacuation.

        This is the log index of the order, 0 if the zone isn't evacuated.
        """
        zone = view.upstream.availability_zone if view.upstream else ''
        version_by_zone = self._term_state.version_by_evacuated_zone
        return zone, version_by_zone.get(zone, 0)

    def update_target(self, view: AgentView) -> None:
        """Set whether new runs may start on an agent's upstream."""
        upstream, target = view.upstream, view.target
        if upstream is None or target is None:
            return
        target.set_open(
            upstream.is_reachable
            and not upstream.is_draining
            and not self._term_state.is_evacuated(upstream.availability_zone)
        )

    def _tell(self, view: AgentView, change: ZoneState) -> None:
        if view.connection is not None:
            view.connection.send(
                ZoneEvacuated(
                    self._term_state.term,
                    change.zone,
                    change.version,
                    change.is_evacuated,
                )
            )
