"""Handling of agents: links, reports, authority and ends of runs."""

import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.accepted import JobEnd
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._committer import ignore_result
from baobabgap.dispatch._crash_recorder import CrashRecorder
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._events import MembersEnrolled
from baobabgap.dispatch._events import PostEvent
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._run_tracker import task_text
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch._view_check import ViewCheck
from baobabgap.jobmodel import JobState
from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskEnd
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import Authority
from baobabgap.protocol import AuthorityRequest
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import CRASHED
from baobabgap.protocol import EndRow
from baobabgap.protocol import EndsNoted
from baobabgap.protocol import FullReport
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import ReportRequest
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsEnded
from baobabgap.protocol import RunsFound
from baobabgap.protocol import RunsGone
from baobabgap.protocol import UpstreamChanged
from baobabgap.protocol import UpstreamQuiet
from baobabgap.protocol import UpstreamState
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import PlacementTarget
from baobabgap.scheduling import PlannedTask
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection

# Reasons with which an upstream or its agent refuses a start.
_REFUSALS: Final = (
    'room',
    'unhealthy',
    'late',
    'no authority',
    'not sent',
    'not delivered',
)


class AgentHandler:
    """Handles links and messages of agents, as the leader."""

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        closer: JobCloser,
        crashes: CrashRecorder,
        evacuations: Evacuations,
        view_check: ViewCheck,
        state: AcceptedState,
        committer: Committer,
        timing: LeaseTiming,
        post_event: PostEvent,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        self._closer: Final = closer
        self._crashes: Final = crashes
        self._evacuations: Final = evacuations
        self._view_check: Final = view_check
        self._state: Final = state
        self._committer: Final = committer
        self._timing: Final = timing
        self._post_event: Final = post_event

    def handle_link(self, connection: Connection) -> None:
        """Process a new link of an agent; its full report follows."""
        name = connection.peer.name
        view = self._term_state.view_by_name.get(name)
        if view is None:
            view = self._term_state.view_by_name[name] = AgentView(name)
        view.begin_link(connection)
        self._evacuations.handle_link(view)
        self._enrol(view)

    def handle_lost_link(self, connection: Connection) -> None:
        """Process a lost link; the upstream's lease continues for a while."""
        view = self._term_state.view_by_name.get(connection.peer.name)
        if view is None or view.connection is not connection:
            return
        log_event('agent_lost', agent=view.name, runs=len(view.run_by_task))
        view.connection = None
        view.unlinked_at = time.monotonic()
        view.has_reported = False

    def handle_enrolled(self, event: MembersEnrolled) -> None:
        """Process an enrolment; if it is durable, runs may be sent.

        Else the next request for authority repeats it.
        """
        view = self._term_state.view_by_name.get(event.name)
        if event.term == self._term_state.term and view is not None:
            view.is_enrolling = False
            view.is_enrolled = view.is_enrolled or event.succeeded

    def handle(
        self, connection: Connection, message: object, is_confirmed: bool
    ) -> None:
        """Process one message of an agent."""
        view = self._term_state.view_by_name.get(connection.peer.name)
        if view is None or view.connection is not connection:
            if isinstance(message, AuthorityRequest):
                self._recover_link(view, connection)
            return
        match message:
            case FullReport():
                self._handle_full_report(view, message)
            case AuthorityRequest():
                self._handle_request(view, message, is_confirmed)
            case UpstreamQuiet(fence=fence):
                if fence == self._term_state.term:
                    self._handle_quiet(view)
            case UpstreamChanged():
                self._handle_upstream_change(view, message)
            case RunsEnded() | RunsGone() | RunsFound():
                self._handle_run_message(view, message)

    def _handle_quiet(self, view: AgentView) -> None:
        """Drop the runs of an upstream that runs nothing.

        Calls of an earlier process of the agent may still be carried out.
        """
        self._term_state.takeover.note_agent_report(view.name)
        now = time.monotonic()
        for run in list(view.run_by_task.values()):
            if (
                run.agent_incarnation == view.linked_incarnation
                or now - run.started_at > self._timing.late_run_s
            ):
                self._runs.drop(view, run.task, 'upstream is quiet')

    def _handle_upstream_change(
        self, view: AgentView, message: UpstreamChanged
    ) -> None:
        """Process that the upstream has changed or left.

        Only a full report, which follows an answer of the upstream, replaces
        an incarnation by an earlier one. Another message about that one may
        be late, and the runs are those of the later one.
        """
        told = message.upstream
        instance = told.instance if told else message.left_instance
        born_ms = told.born_ms if told else message.left_born_ms
        if not view.is_earlier_life(instance, born_ms):
            self._change_upstream(view, told)
            return
        log_event(
            'upstream_change_refused',
            agent=view.name,
            instance=instance,
            born_ms=born_ms,
            current_born_ms=view.upstream.born_ms if view.upstream else 0,
            has_left=told is None,
            reason='a later incarnation has reported',
        )
        self._want_full_report(view)

    def _handle_run_message(
        self, view: AgentView, message: RunsEnded | RunsGone | RunsFound
    ) -> None:
        match message:
            case RunsGone(reason=reason) if reason == CRASHED:
                self._handle_crash(view, message)
            case _ if not view.is_current_instance(
                message.instance, message.born_ms
            ):
                return
            case RunsEnded(ended=ended):
                self._handle_ends(view, ended)
            case RunsGone():
                self._handle_gone_runs(view, message)
            case RunsFound(runs=rows):
                self._adopt(view, rows)

    def dismiss(self, view: AgentView) -> None:
        """Durably remove an agent that certainly has no run."""
        if view.is_enrolled and not view.run_by_task:
            view.is_enrolled = False
            log_event('agent_dismissed', agent=view.name)
            self._committer.propose(
                DismissMembers((f'{AGENT_ROLE}/{view.name}',)), ignore_result
            )

    def _enrol(self, view: AgentView) -> None:
        """Enrol an agent durably, which is required before it gets runs."""
        if view.is_enrolled or view.is_enrolling:
            return
        view.is_enrolling = True
        name, term = view.name, self._term_state.term
        self._committer.propose(
            EnrolMembers((f'{AGENT_ROLE}/{name}',)),
            lambda result: self._post_event(
                MembersEnrolled(term, name, succeeded=result is not None)
            ),
        )

    def _handle_request(
        self, view: AgentView, request: AuthorityRequest, is_confirmed: bool
    ) -> None:
        """Process a request for authority, and what it tells."""
        told = self._view_check.differing_state(view, request)
        if told is not None:
            self._change_upstream(view, told)
        if self._view_check.is_report_missing(view, request):
            self._want_full_report(view)
        self._enrol(view)
        # Else the runs of an earlier term could outlive the takeover.
        is_heard = not self._term_state.takeover.awaits_agent(view.name)
        if is_confirmed and view.is_enrolled and is_heard:
            self._grant_authority(view, request)

    def _recover_link(
        self, view: AgentView | None, connection: Connection
    ) -> None:
        """Use a link over which an agent requests authority.

        Otherwise an agent whose link was hidden by a late event of an
        earlier one would never be used again, as it has no reason to renew
        its link.
        """
        current = view.connection if view is not None else None
        if connection.is_closed or (
            current is not None and not current.is_closed
        ):
            return
        self._view_check.note_recovered_link(connection.peer.name, view)
        self.handle_link(connection)
        self._want_full_report(
            self._term_state.view_by_name[connection.peer.name]
        )

    def _want_full_report(self, view: AgentView) -> None:
        if view.connection is not None:
            view.connection.send(ReportRequest(self._term_state.term))

    def _grant_authority(
        self, view: AgentView, request: AuthorityRequest
    ) -> None:
        """Grant an agent authority to renew leases, as confirmed leader."""
        assert view.connection is not None
        view.authority_granted_at = boottime_clock()
        until_ms = request.clock_ms + int(1000 * self._timing.authority_s)
        zone, evacuation_version = self._evacuations.version_of(view)
        view.connection.send(
            Authority(
                self._term_state.term,
                request.instance,
                until_ms,
                request.born_ms,
                zone,
                evacuation_version,
            )
        )

    def _handle_full_report(self, view: AgentView, report: FullReport) -> None:
        if report.fence != self._term_state.term:
            return
        unknown = view.unknown_to_process(report)
        for crash in report.crashes:
            self._handle_crash(view, crash)
        host_crash = self._term_state.host_losses.find_crash(view, report)
        if host_crash is not None:
            self._handle_crash(view, host_crash)
        view.unlinked_at = 0.0
        self._change_upstream(view, report.upstream)
        if report.upstream is None:
            return
        self._enrol(view)
        view.has_reported = True
        view.unreported_since = None
        view.answers_report_requests = report.starts_received is not None
        self._term_state.takeover.note_agent_report(view.name)
        self._handle_ends(view, report.ended)
        unknown_tasks = {row.task for row in unknown}
        for task_id in view.unreported_runs(report):
            if task_id not in unknown_tasks:
                self._runs.drop(view, task_id, 'not reported')
        self._adopt(view, report.running)
        self._stop_unknown(view, unknown)
        self._runs.repeat_stops(view)
        log_event(
            'agent_reported',
            agent=view.name,
            instance=report.upstream.instance,
            running=len(report.running),
            ended=len(report.ended),
        )

    def _change_upstream(
        self, view: AgentView, upstream: UpstreamState | None
    ) -> None:
        now = time.monotonic()
        previous = view.upstream
        is_same = upstream is not None and view.is_current_instance(
            upstream.instance, upstream.born_ms
        )
        if not is_same:
            if previous is not None:
                self._runs.drop_all(view, 'upstream is gone')
            view.last_end_number = 0
            self._term_state.set_target(view, None)
        view.upstream = upstream
        view.upstream_told_at = now
        if upstream is None:
            self.dismiss(view)
            return
        if view.target is None or not _is_described(view.target, upstream):
            self._term_state.set_target(view, _target_of(view, upstream))
        assert view.target is not None
        view.target.set_capacity(upstream.capacity)
        view.target.set_cold_left(upstream.cold_left_ms / 1000, now)
        self._evacuations.update_target(view)
        if previous != upstream:
            log_event(
                'upstream_changed',
                agent=view.name,
                instance=upstream.instance,
                born_ms=upstream.born_ms,
                service=upstream.service,
                zone=upstream.availability_zone,
                labels=upstream.labels,
                cpu_millicores=upstream.capacity.cpu_millicores,
                memory_mb=upstream.capacity.memory_mb,
                draining=upstream.is_draining,
                reachable=upstream.is_reachable,
                cold_left_ms=upstream.cold_left_ms,
            )

    def _adopt(self, view: AgentView, rows: tuple[RunRow, ...]) -> None:
        """Track runs found on the upstream; stop those that are not needed."""
        for row in rows:
            known = view.run_by_task.get(row.task)
            if known is not None and known.number >= row.run:
                continue
            found = self._term_state.find(row.task)
            if found is not None and not found[1].upstream:
                self._runs.add(view, *found, row.run, was_found=True)
                continue
            self._runs.add_unwanted(view, row)
            if self._may_be_submitted(row.task.job_id):
                now = time.monotonic()
                self._term_state.orphans.add_run(view.name, row, now)
            else:
                self._runs.stop(view, row.task)
        view.note_listed(rows)

    def _stop_unknown(self, view: AgentView, rows: list[RunRow]) -> None:
        """Stop runs that an earlier process of the agent may have sent.

        They are tracked until the upstream rejects or has ended them. The
        caller repeats the orders of stops.
        """
        for row in rows:
            if row.task not in view.run_by_task:
                # It was dropped with the upstream's earlier incarnation.
                found = self._term_state.find(row.task)
                if found is not None and not found[1].upstream:
                    self._runs.add(view, *found, row.run, was_found=True)
                else:
                    self._runs.add_unwanted(view, row)
            run = view.run_by_task[row.task]
            if run.number == row.run:
                run.is_stopping = True

    def _may_be_submitted(self, job_id: str) -> bool:
        """Return whether a job may still be submitted to this leader."""
        return (
            job_id not in self._term_state.plan_by_id
            and job_id not in self._term_state.ended_by_id
            and self._state.state_of(job_id) is None
        )

    def _handle_crash(self, view: AgentView, message: RunsGone) -> None:
        """Record a crash of the current instance or an earlier one.

        Full reports repeat crashes, and a run of a later instance may have
        the number of one that was lost, as its job was submitted again.
        """
        # Recorded first, so that no task starts again that is given up.
        self._crashes.record(view.name, message)
        if not view.is_current_instance(message.instance, message.born_ms):
            return
        for row in message.runs:
            run = view.run_by_task.get(row.task)
            if run is not None and run.number == row.run:
                self._runs.drop(view, row.task, message.reason)

    def _handle_gone_runs(self, view: AgentView, message: RunsGone) -> None:
        if message.reason in _REFUSALS and view.target is not None:
            view.target.note_refused(time.monotonic())
        for row in message.runs:
            run = view.run_by_task.get(row.task)
            if run is not None and run.number == row.run:
                self._runs.drop(view, row.task, message.reason)
        self._adopt(view, message.found)

    def _handle_ends(self, view: AgentView, rows: tuple[EndRow, ...]) -> None:
        upstream = view.upstream
        assert upstream is not None
        for row in rows:
            if row.number > view.last_end_number:
                view.last_end_number = row.number
                self._handle_end(view, row)
        if rows:
            self._closer.add_noted(
                view.name,
                EndsNoted(
                    upstream.instance, upstream.born_ms, view.last_end_number
                ),
            )

    def _handle_end(self, view: AgentView, row: EndRow) -> None:
        run = view.run_by_task.get(row.task)
        if run is not None and run.number != row.run:
            run = None
        self._store_end(row)
        if run is not None:
            self._record_outcome(view, row, run)
            self._runs.remove(view, row.task)
        found = self._term_state.find(row.task)
        if found is not None:
            # A job that was submitted again may run elsewhere by now.
            is_current = run is not None and found[1].upstream == view.name
            self._apply_end(view, row, *found, run if is_current else None)
        elif self._may_be_submitted(row.task.job_id):
            self._term_state.orphans.add_end(row, time.monotonic())

    def _store_end(self, row: EndRow) -> None:
        if row.end is RunEnd.INTERRUPTED:
            return
        if self._state.state_of(row.task.job_id) is not None:
            self._closer.add_end(TaskEnd(row.task, row.run, row.end))

    def _apply_end(
        self,
        view: AgentView,
        row: EndRow,
        plan: JobPlan,
        task: PlannedTask,
        current: Run | None,
    ) -> None:
        """Update a task with the end of one of its runs.

        `current` is that run if the task doesn't run elsewhere by now.
        """
        task.last_run = max(task.last_run, row.run)
        match row.end:
            case RunEnd.DONE:
                self._apply_done(plan, task)
            case RunEnd.FAILED:
                task.failed_runs.add(row.run)
                task.avoided.add(view.name)
                self._apply_failed(view, plan, task, current)
            case RunEnd.INTERRUPTED:
                if current is not None:
                    self._runs.let_wait(view, current, plan, task)

    def _apply_done(self, plan: JobPlan, task: PlannedTask) -> None:
        # Other runs of the same task may be in progress elsewhere.
        self._runs.stop_all(task.task)
        plan.note_done(task.task)
        if plan.is_done and plan.job.is_volatile:
            self._closer.close(JobEnd(plan.job.job_id, JobState.COMPLETED))

    def _apply_failed(
        self,
        view: AgentView,
        plan: JobPlan,
        task: PlannedTask,
        current: Run | None,
    ) -> None:
        """Queue a failed task again unless its job fails."""
        if len(task.failed_runs) < plan.job.attempts:
            if current is not None:
                self._runs.let_wait(view, current, plan, task)
        elif plan.job.is_volatile:
            if current is not None:
                task.upstream = ''
            self._closer.close(JobEnd(plan.job.job_id, JobState.FAILED))

    def _record_outcome(self, view: AgentView, row: EndRow, run: Run) -> None:
        """Update the upstream's health and the run times from an end."""
        target = view.target
        if target is None:
            return
        now = time.monotonic()
        run_s = now - run.started_at
        match row.end:
            case RunEnd.DONE:
                self._record_run_time(target, row, run, run_s)
            case RunEnd.FAILED:
                is_suspended = target.note_failed(now)
                log_event(
                    'run_failed',
                    job=row.task.job_id,
                    task=task_text(row.task),
                    run=row.run,
                    agent=view.name,
                    run_ms=round(1000 * run_s),
                    failures_in_row=target.health.failures_in_row,
                    suspended=is_suspended,
                )

    def _record_run_time(
        self, target: PlacementTarget, row: EndRow, run: Run, run_s: float
    ) -> None:
        if run.was_found or run.was_cold:
            # Its total run time is unknown, or longer than the usual one.
            target.note_done(run.expected_s, run.expected_s)
            return
        expected_s = run.expected_s * target.kind_slowness
        target.note_done(run_s, expected_s)
        self._record_speed(target, run_s, expected_s)
        plan = self._term_state.plan_by_id.get(row.task.job_id)
        if plan is not None:
            step = plan.job.steps[row.task.step]
            plan.note_run_time(row.task.step, run_s)
            self._term_state.run_times.observe(
                plan.job.queue, target.kind, step.estimate_ms, run_s
            )

    def _record_speed(
        self, target: PlacementTarget, run_s: float, expected_s: float
    ) -> None:
        log_ratio = self._term_state.speed_baseline.relative(run_s, expected_s)
        if target.note_speed(log_ratio, time.monotonic()):
            log_event(
                'upstream_speed_changed',
                agent=target.name,
                kind=target.kind,
                kind_slowness=round(target.kind_slowness, 2),
                factor=target.speed.factor,
                confidence=round(target.speed.confidence, 2),
            )


def _is_described(target: PlacementTarget, upstream: UpstreamState) -> bool:
    """Return whether a target has an upstream's service, zone and labels."""
    return (target.service, target.availability_zone, target.labels) == (
        upstream.service,
        upstream.availability_zone,
        upstream.labels,
    )


def _target_of(view: AgentView, upstream: UpstreamState) -> PlacementTarget:
    target = PlacementTarget(
        view.name,
        upstream.service,
        upstream.availability_zone,
        upstream.labels,
        upstream.capacity,
        upstream.capacity,
    )
    for run in view.run_by_task.values():
        target.occupy(run.demand, expected=run.expected)
    return target
