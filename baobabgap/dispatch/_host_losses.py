"""Crashes that no agent reports, as the agent went with its host."""

import time

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.jobmodel import Demand
from baobabgap.protocol import CRASHED
from baobabgap.protocol import FullReport
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsGone
from baobabgap.protocol import UpstreamState


class HostLosses:
    """Finds out whether runs were lost in a crash of their whole host.

    An agent that restarted has no record of what its upstream ran before.
    If the upstream is another instance, too, and had not drained, what the
    leader knows to have run there was lost in a crash.
    """

    def __init__(self) -> None:
        # What ran on upstreams when their lease lapsed, with the process of
        # the agent, by the agent's name.
        self._lapsed_by_agent: dict[str, tuple[str, RunsGone]] = {}

    def note_lapsed(self, view: AgentView) -> None:
        """Remember the runs of an agent that is about to be forgotten."""
        crash = _possible_crash(view)
        if crash is not None:
            self._lapsed_by_agent[view.name] = view.linked_incarnation, crash

    def find_crash(
        self, view: AgentView, report: FullReport
    ) -> RunsGone | None:
        """Return the crash that an agent's first report shows, or None.

        Call this before the report changes the view.
        """
        incarnation, crash = self._lapsed_by_agent.pop(
            view.name, (view.reporting_incarnation, _possible_crash(view))
        )
        view.reporting_incarnation = view.linked_incarnation
        if incarnation == view.linked_incarnation or report.upstream is None:
            # An agent that still runs reports crashes by itself.
            return None
        if crash is None or _is_instance(crash, report.upstream):
            return None
        return crash


def _possible_crash(view: AgentView) -> RunsGone | None:
    upstream = view.upstream
    if upstream is None or upstream.is_draining or not view.run_by_task:
        return None
    last_heard_at = view.unlinked_at or time.monotonic()
    rows = tuple(
        RunRow(
            run.task,
            run.number,
            True,
            run.demand or Demand(),
            max(0, round(1000 * (last_heard_at - run.started_at))),
        )
        for run in view.run_by_task.values()
    )
    return RunsGone(upstream.instance, upstream.born_ms, rows, CRASHED)


def _is_instance(crash: RunsGone, upstream: UpstreamState) -> bool:
    return (crash.instance, crash.born_ms) == (
        upstream.instance,
        upstream.born_ms,
    )
