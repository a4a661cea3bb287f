"""Expiry of leases, overdue runs and kept results."""

import time
from typing import Final

from baobabgap.dispatch._agent_handler import AgentHandler
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._run_tracker import task_text
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import LeaseTiming
from baobabgap.scheduling import is_overdue
from baobabgap.scheduling import PlannedTask
from baobabgap.telemetry import log_event

# Seconds for which the end of a volatile job is kept: its caller submits it
# again within a few seconds if the answer was lost.
_ENDED_JOB_RETENTION_S: Final = 10.0


class TimeoutMonitor:
    """Checks all timeouts several times a second."""

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        agents: AgentHandler,
        timing: LeaseTiming,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        self._agents: Final = agents
        self._timing: Final = timing

    def check(self, now: float) -> None:
        """Check all timeouts once; called by the confirmed leader."""
        term_state = self._term_state
        for agent, row in term_state.orphans.expire(now):
            view = term_state.view_by_name.get(agent)
            if view is not None:
                self._runs.stop(view, row.task)
        self._forget_ended(now)
        term_state.crash_history.expire(now)
        for view in list(term_state.view_by_name.values()):
            if view.connection is None:
                self._check_unlinked(view)
            else:
                self._check_linked(view, now)

    def _forget_ended(self, now: float) -> None:
        ended_by_id = self._term_state.ended_by_id
        for job_id in list(ended_by_id):
            if now - ended_by_id[job_id].ended_at < _ENDED_JOB_RETENTION_S:
                return
            del ended_by_id[job_id]

    def _check_unlinked(self, view: AgentView) -> None:
        since_grant_s = boottime_clock() - view.authority_granted_at
        if since_grant_s > self._timing.lapse_s:
            self._term_state.host_losses.note_lapsed(view)
            self._runs.drop_all(view, 'lease lapsed')
            self._term_state.takeover.note_agent_report(view.name)
            # Later takeovers needn't wait for it.
            self._agents.dismiss(view)
            self._term_state.forget_agent(view)

    def _check_linked(self, view: AgentView, now: float) -> None:
        if view.target is not None:
            view.target.set_kind_slowness(
                self._term_state.run_times.slowness(view.target.kind)
            )
            view.target.note_time(now)
        if not view.has_reported:
            self._check_unreported(view, now)
        for run in list(view.run_by_task.values()):
            plan = self._term_state.plan_by_id.get(run.task.job_id)
            if plan is None or run.is_stopping:
                continue
            run_s = now - run.started_at
            task = plan.task_by_id.get(run.task)
            if task is not None and is_overdue(
                run_s,
                run.expected_s,
                plan.longest_done_s[run.task.step],
                task.overdue_runs,
            ):
                self._stop_overdue(view, run, task, run_s)

    def _check_unreported(self, view: AgentView, now: float) -> None:
        """Drop the runs of a linked agent whose lease has lapsed.

        An agent that can't reach its upstream may be linked for long and
        report nothing. Calls of an earlier process of the agent may still be
        carried out for a while.
        """
        lapse_s = self._timing.lapse_s
        if boottime_clock() - view.authority_granted_at <= lapse_s:
            return
        for run in list(view.run_by_task.values()):
            is_known = run.agent_incarnation == view.linked_incarnation
            limit_s = lapse_s if is_known else self._timing.late_run_s
            if now - run.started_at > limit_s:
                self._runs.drop(view, run.task, 'lease lapsed')

    def _stop_overdue(
        self, view: AgentView, run: Run, task: PlannedTask, run_s: float
    ) -> None:
        """Stop an overdue run, so that its task is started elsewhere."""
        task.avoided.add(view.name)
        task.overdue_runs += 1
        target = view.target
        is_suspended = target is not None and target.note_overdue(
            time.monotonic()
        )
        log_event(
            'run_overdue',
            job=run.task.job_id,
            task=task_text(run.task),
            run=run.number,
            agent=view.name,
            run_ms=round(1000 * run_s),
            expected_ms=round(1000 * run.expected_s),
            suspended=is_suspended,
        )
        self._runs.stop(view, run.task)
