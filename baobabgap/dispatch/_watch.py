"""What only the passing of time changes: lapsed leases, overdue runs."""

import time
from typing import Final

from baobabgap.dispatch._agent_desk import AgentDesk
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._books import Books
from baobabgap.dispatch._run_book import RunBook
from baobabgap.dispatch._run_book import task_text
from baobabgap.dispatch._timing import boot_time
from baobabgap.dispatch._timing import LeaseTiming
from baobabgap.scheduling import is_overdue
from baobabgap.scheduling import PlannedTask
from baobabgap.telemetry import log_event

# Seconds for which the end of a volatile job is kept: its caller hands it
# in again within a few seconds if the answer was lost.
_KEPT_ENDED_S: Final = 10.0


class Watch:
    """Looks at everything that may have run out, a few times a second."""

    def __init__(
        self,
        books: Books,
        runs: RunBook,
        agents: AgentDesk,
        timing: LeaseTiming,
    ) -> None:
        self._books: Final = books
        self._runs: Final = runs
        self._agents: Final = agents
        self._timing: Final = timing

    def look(self, now: float) -> None:
        """Look once, as the confirmed leader."""
        books = self._books
        for agent, row in books.orphans.expire(now):
            view = books.view_by_name.get(agent)
            if view is not None:
                self._runs.stop(view, row.task)
        self._forget_ended(now)
        for view in list(books.view_by_name.values()):
            if view.connection is None:
                self._look_at_silent(view)
            else:
                self._look_at_linked(view, now)

    def _forget_ended(self, now: float) -> None:
        ended_by_id = self._books.ended_by_id
        for job_id in list(ended_by_id):
            if now - ended_by_id[job_id].ended_at < _KEPT_ENDED_S:
                return
            del ended_by_id[job_id]

    def _look_at_silent(self, view: AgentView) -> None:
        silent_s = boot_time() - view.authority_granted_at
        if silent_s > self._timing.lapse_s:
            self._runs.drop_all(view, 'lease lapsed')
            self._books.takeover.hear_agent(view.name)
            # So that no later takeover waits for it.
            self._agents.dismiss(view)
            del self._books.view_by_name[view.name]

    def _look_at_linked(self, view: AgentView, now: float) -> None:
        if view.target is not None:
            view.target.kind_slowness = self._books.run_times.slowness(
                view.target.kind
            )
        for run in list(view.run_by_task.values()):
            plan = self._books.plan_by_id.get(run.task.job_id)
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
                self._replace(view, run, task, run_s)

    def _replace(
        self, view: AgentView, run: Run, task: PlannedTask, run_s: float
    ) -> None:
        """Stop a run that hangs, so that its task runs elsewhere."""
        task.avoided.add(view.name)
        task.overdue_runs += 1
        target = view.target
        is_suspended = target is not None and target.health.note_overdue(
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
