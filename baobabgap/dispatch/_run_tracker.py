"""Tracking of runs and of the resources they occupy on upstreams."""

import math
import time
from typing import Final

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import RunRow
from baobabgap.protocol import StopRuns
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlannedTask
from baobabgap.telemetry import log_event

# Reasons for the loss of a run that suggest a fault of its upstream.
_SUSPICIOUS_REASONS: Final = ('unanswered', 'unhealthy')


def task_text(task: TaskId) -> str:
    """Return the log representation of a task within its job."""
    return f'{task.step}.{task.index}'


class RunTracker:
    """Adds and removes runs and orders stops."""

    def __init__(self, term_state: TermState) -> None:
        self._term_state: Final = term_state

    def add(
        self,
        view: AgentView,
        plan: JobPlan,
        task: PlannedTask,
        number: int,
        *,
        was_found: bool = False,
    ) -> None:
        """Record a run that was ordered or found on an upstream."""
        plan.note_started(task, view.name, number)
        step = task.task.step
        self._occupy(
            view,
            Run(
                task.task,
                number,
                plan.job.steps[step].demand,
                time.monotonic(),
                plan.expected_s[step],
                plan,
                was_found=was_found,
                was_cold=view.target is not None and view.target.is_cold,
            ),
            is_exclusive=task.must_run_alone,
        )

    def add_unwanted(self, view: AgentView, row: RunRow) -> None:
        """Record a run that belongs to no known job."""
        self._occupy(
            view,
            Run(
                row.task,
                row.run,
                self._demand_of(row),
                time.monotonic(),
                math.inf,
                was_found=True,
            ),
        )
        found = self._term_state.find(row.task)
        if found is not None and not found[1].upstream:
            self.await_tracked_run(*found)

    def remove(self, view: AgentView, task_id: TaskId) -> Run:
        """Remove an ended run and release its resources."""
        run = view.run_by_task.pop(task_id)
        self._term_state.run_index.discard(task_id, view.name)
        if view.target is not None:
            view.target.release(run.demand, run.expected)
        return run

    def drop(self, view: AgentView, task_id: TaskId, reason: str) -> None:
        """Remove a run that ended without a reported end or never existed."""
        run = self.remove(view, task_id)
        found = self._term_state.find(task_id)
        log_event(
            'run_gone',
            job=task_id.job_id,
            task=task_text(task_id),
            run=run.number,
            agent=view.name,
            reason=reason,
            earlier_submission=found is None or run.plan is not found[0],
        )
        if found is not None:
            plan, task = found
            if reason in _SUSPICIOUS_REASONS:
                task.avoided.add(view.name)
            if task.upstream == view.name:
                # Else the job was submitted again and runs elsewhere.
                self.let_wait(view, run, plan, task)

    def let_wait(
        self, view: AgentView, run: Run, plan: JobPlan, task: PlannedTask
    ) -> None:
        """Let a task wait again after a run that ended without success.

        It waits for the last of its runs that are tracked elsewhere.
        """
        if run.plan is not plan:
            task.earlier_run = (
                f'{task_text(task.task)}#{run.number}@{view.name}'
            )
            task.earlier_run_ended_at = time.monotonic()
        if not self.await_tracked_run(plan, task):
            plan.requeue(task)

    def await_tracked_run(self, plan: JobPlan, task: PlannedTask) -> bool:
        """Let a task wait for the end of a run of it, if one is tracked.

        While any view tracks one, the task must not start: that run, of an
        earlier submission or term perhaps, may still go on although its
        stop is ordered. Returns whether there is one.
        """
        for name in self._term_state.run_index.agents_of(task.task):
            run = self._term_state.view_by_name[name].run_by_task[task.task]
            plan.note_started(task, name, run.number)
            log_event(
                'task_awaits_run',
                job=task.task.job_id,
                task=task_text(task.task),
                run=run.number,
                agent=name,
                stopping=run.is_stopping,
                earlier_submission=run.plan is not plan,
            )
            return True
        return False

    def stop_all(self, task_id: TaskId) -> None:
        """Order the stops of all tracked runs of a task."""
        for name in self._term_state.run_index.agents_of(task_id):
            self.stop(self._term_state.view_by_name[name], task_id)

    def stop_orphans(self, job_id: str) -> None:
        """Order the stops of all runs of a job that nobody submits again."""
        for agent, row in self._term_state.orphans.pop(job_id).runs:
            view = self._term_state.view_by_name.get(agent)
            if view is not None:
                self.stop(view, row.task)

    def drop_all(self, view: AgentView, reason: str) -> None:
        """Drop all runs of an upstream."""
        for task_id in list(view.run_by_task):
            self.drop(view, task_id, reason)

    def stop(self, view: AgentView, task_id: TaskId) -> None:
        """Order a run's stop once; it occupies resources until it ends."""
        run = view.run_by_task.get(task_id)
        if run is None or run.is_stopping:
            return
        run.is_stopping = True
        self._send_stop(view, run)

    def repeat_stops(self, view: AgentView) -> None:
        """Repeat stop orders that may have been lost with an earlier link."""
        for run in view.run_by_task.values():
            is_wanted = self._term_state.find(run.task) is not None
            if not is_wanted and not self._term_state.orphans.has_job(
                run.task.job_id
            ):
                run.is_stopping = True
            if run.is_stopping:
                self._send_stop(view, run)

    def _demand_of(self, row: RunRow) -> Demand | None:
        """Return the demand of a found run, or None if nobody knows it."""
        if row.demand != Demand():
            return row.demand
        plan = self._term_state.plan_by_id.get(row.task.job_id)
        if plan is None or row.task.step >= len(plan.job.steps):
            return None
        return plan.job.steps[row.task.step].demand

    def _occupy(
        self, view: AgentView, run: Run, *, is_exclusive: bool = False
    ) -> None:
        replaced = view.run_by_task.get(run.task)
        if replaced is not None:
            # An upstream lists one run of a task at a time.
            self.remove(view, run.task)
            log_event(
                'run_replaced',
                job=run.task.job_id,
                task=task_text(run.task),
                run=replaced.number,
                by_run=run.number,
                agent=view.name,
            )
        view.run_by_task[run.task] = run
        self._term_state.run_index.add(run.task, view.name)
        if view.target is None:
            return
        if run.demand is not None and run.expected_s < math.inf:
            run.expected = view.target.expect_run(
                run.demand, run.expected_s, run.started_at
            )
        view.target.occupy(
            run.demand, is_exclusive=is_exclusive, expected=run.expected
        )

    def _send_stop(self, view: AgentView, run: Run) -> None:
        if view.connection is None:
            return
        rows = (RunRow(run.task, run.number, True),)
        view.connection.send(StopRuns(self._term_state.term, rows))
        log_event(
            'run_stop_ordered',
            job=run.task.job_id,
            task=task_text(run.task),
            run=run.number,
            agent=view.name,
        )
