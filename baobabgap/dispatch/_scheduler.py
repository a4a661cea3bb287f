"""The leader's scheduler: one task that owns all volatile state.

Everything that happens is put into one queue; the task drains it, then
looks once at which tasks can start. So a burst of events costs one look.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
import math
from queue import Empty
from queue import SimpleQueue
import threading
import time
from typing import Final

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import AcceptedState
from baobabgap.accepted import AcceptJobs
from baobabgap.accepted import CancelJobs
from baobabgap.accepted import Demand
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.accepted import JobEnd
from baobabgap.accepted import JobState
from baobabgap.accepted import NoteEnds
from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskEnd
from baobabgap.accepted import TaskId
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._agent_view import Run
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import AgentLinked
from baobabgap.dispatch._events import AgentReported
from baobabgap.dispatch._events import AgentUnlinked
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import CancelStored
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import Event
from baobabgap.dispatch._events import JobsStored
from baobabgap.dispatch._events import Led
from baobabgap.dispatch._events import MembersEnrolled
from baobabgap.dispatch._events import StoodDown
from baobabgap.dispatch._messages import Authority
from baobabgap.dispatch._messages import AuthorityRequest
from baobabgap.dispatch._messages import CallAnswer
from baobabgap.dispatch._messages import CallOutcome
from baobabgap.dispatch._messages import CancelPath
from baobabgap.dispatch._messages import EndRow
from baobabgap.dispatch._messages import EndsNoted
from baobabgap.dispatch._messages import FullReport
from baobabgap.dispatch._messages import ReadPath
from baobabgap.dispatch._messages import RunOrder
from baobabgap.dispatch._messages import RunRow
from baobabgap.dispatch._messages import RunsEnded
from baobabgap.dispatch._messages import RunsFound
from baobabgap.dispatch._messages import RunsGone
from baobabgap.dispatch._messages import StartRuns
from baobabgap.dispatch._messages import StopRuns
from baobabgap.dispatch._messages import SubmitJob
from baobabgap.dispatch._messages import UpstreamChanged
from baobabgap.dispatch._messages import UpstreamState
from baobabgap.dispatch._orphans import Orphans
from baobabgap.dispatch._roles import AGENT_ROLE
from baobabgap.dispatch._roles import ENTRY_ROLE
from baobabgap.dispatch._timing import LeaseTiming
from baobabgap.queues import QueueMatch
from baobabgap.queues import QueueTable
from baobabgap.scheduling import admit
from baobabgap.scheduling import is_overdue
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import LATE_FACTOR
from baobabgap.scheduling import plan_starts
from baobabgap.scheduling import Room
from baobabgap.scheduling import RunTimes
from baobabgap.scheduling import TaskState
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds between looks at what only the clock changes.
_TICK_S: Final = 0.05
# Run numbers of a later term begin this far above those of an earlier
# one, so that a new leader need not know what the earlier one gave out.
_RUNS_PER_TERM: Final = 1000
# Retry-After of a call that found no working leader, milliseconds: about
# one election.
_NO_LEADER_RETRY_MS: Final = 1000

# Seconds for which the end of a volatile job is kept: its caller hands it
# in again within a few seconds if the answer was lost.
_KEPT_ENDED_S: Final = 10.0
# Seconds of silence after which an agent is forgotten: far longer than its
# upstream can hold a lease.
_DISMISSED_AFTER_S: Final = 8.0


@dataclass(frozen=True, slots=True)
class _EndedJob:
    """How a volatile job ended, and when."""

    state: JobState
    ended_at: float


def boot_time() -> float:
    """Return seconds on a clock that counts suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Scheduler:
    """Answers calls, places tasks and follows their runs, as the leader.

    `tell` may be called by any task; everything else runs in the
    scheduler's own.
    """

    def __init__(
        self,
        state: AcceptedState,
        committer: Committer,
        timing: LeaseTiming,
        far_factor: float,
        is_confirmed: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._state: Final = state
        self._committer: Final = committer
        self._timing: Final = timing
        self._far_factor: Final = far_factor
        # Whether a majority has confirmed lately that this host leads.
        self._is_confirmed: Final = is_confirmed
        self._metrics: Final = metrics
        self._events: SimpleQueue[Event] = SimpleQueue()
        self._stopping = threading.Event()
        self._table: QueueTable | None = None
        self._run_times = RunTimes()
        self._term = 0
        self._reset()

    def tell(self, event: Event) -> None:
        """Hand over what has happened."""
        self._events.put(event)

    def put_in_force(self, table: QueueTable) -> None:
        """Use a newer configuration from now on."""
        self._table = table

    def stop(self) -> None:
        """End the task."""
        self._stopping.set()

    def run(self) -> None:
        """Work until stopped."""
        tick_at = 0.0
        while not self._stopping.is_set():
            self._take_events()
            now = time.monotonic()
            if self._term and now >= tick_at:
                tick_at = now + _TICK_S
                self._tick(now)
            if self._term:
                self._store_ends()
                self._start_tasks(time.monotonic())

    def _reset(self) -> None:
        self._plan_by_id: dict[str, JobPlan] = {}
        # Jobs whose acceptance is not durable yet, with who waits for it.
        self._storing_by_id: dict[str, tuple[JobPlan, list[CallArrived]]] = {}
        self._cancelling_by_id: dict[str, list[CallArrived]] = {}
        # Who waits for the end of a volatile job.
        self._callers_by_id: dict[str, list[CallArrived]] = {}
        # Volatile jobs that ended lately, for callers that ask again.
        self._ended_by_id: dict[str, _EndedJob] = {}
        # Runs and ends of jobs that nobody has handed in to this leader
        # yet: its predecessor may have had them.
        self._orphans = Orphans()
        # Reads that wait until a job's last end is durable.
        self._readers_by_id: dict[str, list[CallArrived]] = defaultdict(list)
        self._view_by_name: dict[str, AgentView] = {}
        # Agents that may hold runs of an earlier term, and entries that may
        # have handed such jobs in. While there are any, only what is
        # certainly new starts: other tasks may run there.
        self._unheard: set[str] = set()
        self._unheard_entries: set[str] = set()
        # Volatile jobs that an earlier leader may have begun.
        self._begun_before: set[str] = set()
        self._takeover_ends_at = 0.0
        self._is_taking_over = False
        self._unstored_ends: list[TaskEnd] = []
        # Highest end numbers by agent that the next batch makes durable.
        self._unstored_numbers: dict[str, EndsNoted] = {}
        self._numbers_by_batch: dict[int, dict[str, EndsNoted]] = {}
        self._last_batch = 0

    # Events.

    def _take_events(self) -> None:
        try:
            event = self._events.get(timeout=_TICK_S)
            while True:
                self._take(event)
                event = self._events.get_nowait()
        except Empty:
            return

    def _take(self, event: Event) -> None:
        match event:
            case CallArrived():
                self._take_call(event)
            case CallDropped():
                self._take_dropped(event)
            case AgentReported(connection=connection, message=message):
                view = self._view_by_name.get(connection.peer.name)
                if view is not None and view.connection is connection:
                    self._take_report(view, message)
            case JobsStored():
                self._take_stored_jobs(event)
            case EndsStored():
                self._take_stored_ends(event)
            case AgentLinked(connection=connection):
                self._take_link(connection.peer.name, event)
            case AgentUnlinked(connection=connection):
                view = self._view_by_name.get(connection.peer.name)
                if view is not None and view.connection is connection:
                    self._lose_link(view)
            case CancelStored():
                self._take_stored_cancel(event)
            case MembersEnrolled():
                self._take_enrolled(event)
            case EntryLinked():
                self._take_entry(event)
            case Led():
                self._lead(event)
            case StoodDown():
                self._stand_down()

    def _lead(self, event: Led) -> None:
        self._reset()
        self._term = event.term
        now = time.monotonic()
        agents = _named(AGENT_ROLE, event.members)
        self._unheard = set(agents)
        self._unheard_entries = _named(ENTRY_ROLE, event.members)
        self._takeover_ends_at = now + self._timing.takeover_s
        for name in agents:
            view = AgentView(name, is_enrolled=True)
            view.authority_granted_at = boot_time()
            self._view_by_name[name] = view
        for unfinished in event.unfinished:
            plan = JobPlan.from_unfinished(unfinished, now, self._run_times)
            self._plan_by_id[unfinished.job.job_id] = plan
        self._is_taking_over = True
        log_event(
            'scheduler:leads',
            term=event.term,
            inherited_jobs=len(event.unfinished),
            members=event.members,
        )

    def _stand_down(self) -> None:
        log_event(
            'scheduler:stood_down',
            term=self._term,
            jobs=len(self._plan_by_id),
        )
        waiting = [
            *(calls for _, calls in self._storing_by_id.values()),
            *self._cancelling_by_id.values(),
            *self._readers_by_id.values(),
            *self._callers_by_id.values(),
        ]
        self._reset()
        self._term = 0
        for calls in waiting:
            for call in calls:
                _answer(call, CallOutcome.UNKNOWN, detail='leader changed')

    # Calls.

    def _take_call(self, arrived: CallArrived) -> None:
        table = self._table
        if not self._term or not self._is_confirmed():
            self._answer_unavailable(arrived, 'this host does not lead')
            return
        if table is None:
            self._answer_unavailable(arrived, 'no configuration yet')
            return
        call = arrived.call
        match = table.find(call.host, call.path)
        if match is None:
            _answer(arrived, CallOutcome.NO_SUCH_QUEUE)
            return
        match call:
            case SubmitJob():
                self._submit(arrived, call, match)
            case ReadPath():
                self._read(arrived, match)
            case CancelPath():
                self._cancel(arrived, match.rest)

    def _answer_unavailable(self, arrived: CallArrived, detail: str) -> None:
        _answer(
            arrived,
            CallOutcome.UNAVAILABLE,
            retry_after_ms=_NO_LEADER_RETRY_MS,
            detail=detail,
        )

    def _submit(
        self, arrived: CallArrived, call: SubmitJob, match: QueueMatch
    ) -> None:
        job_id = match.rest
        if self._join(arrived, call, job_id):
            return
        queue = match.queue
        job = AcceptedJob(
            job_id,
            queue.name,
            queue.service,
            queue.priority,
            queue.attempts,
            queue.stretch,
            queue.latency_allowance_ms,
            call.payload,
            call.steps,
            int(time.time() * 1000),
            self._term,
            call.is_volatile,
        )
        plan = JobPlan(job, time.monotonic(), self._run_times)
        if not self._admit(arrived, plan):
            return
        if job.is_volatile:
            self._take_in(plan, arrived)
            return
        self._storing_by_id[job_id] = (plan, [arrived])
        self._committer.propose(
            AcceptJobs((job,)), self._jobs_stored(self._term, (job_id,))
        )

    def _join(
        self, arrived: CallArrived, call: SubmitJob, job_id: str
    ) -> bool:
        """Answer for a job that is known already; tell whether it is."""
        if job_id in self._callers_by_id:
            self._callers_by_id[job_id].append(arrived)
        elif job_id in self._ended_by_id:
            ended = self._ended_by_id[job_id]
            _answer(arrived, CallOutcome.FOUND, state=ended.state)
        elif job_id in self._storing_by_id:
            self._storing_by_id[job_id][1].append(arrived)
        elif self._state.state_of(job_id) is not None:
            _answer(arrived, CallOutcome.ACCEPTED)
        else:
            return False
        return True

    def _take_in(self, plan: JobPlan, arrived: CallArrived) -> None:
        """Begin with a volatile job, where an earlier leader has left off."""
        job_id = plan.job.job_id
        self._plan_by_id[job_id] = plan
        self._callers_by_id[job_id] = [arrived]
        orphans = self._orphans.take(job_id)
        for task_id in orphans.done:
            if task_id in plan.task_by_id:
                plan.note_done(task_id)
        for agent, row in orphans.runs:
            view = self._view_by_name[agent]
            run = view.run_by_task.get(row.task)
            task = plan.task_by_id.get(row.task)
            if run is None or run.number != row.run:
                continue
            if task is None or task.upstream:
                self._stop_run(view, row.task)
            else:
                self._remove_run(view, row.task)
                self._add_run(view, plan, task, row.run, was_found=True)
        log_event(
            'job_taken_in',
            job=job_id,
            queue=plan.job.queue,
            tasks=len(plan.task_by_id),
            objective_ms=round(1000 * plan.objective_s),
            done_before=len(orphans.done),
            adopted_runs=len(orphans.runs),
            term=self._term,
        )
        if plan.is_done:
            self._end_job(JobEnd(job_id, JobState.COMPLETED))

    def _take_dropped(self, event: CallDropped) -> None:
        """Cancel a volatile job that nobody waits for any more."""
        for job_id, calls in self._callers_by_id.items():
            left = [
                call
                for call in calls
                if call.connection is not event.connection
                or call.call.call != event.call
            ]
            if len(left) < len(calls):
                self._callers_by_id[job_id] = left
                if not left:
                    self._end_job(JobEnd(job_id, JobState.CANCELLED))
                return

    def _admit(self, arrived: CallArrived, plan: JobPlan) -> bool:
        job = plan.job
        if job.job_id in self._begun_before:
            # A refusal would say that nothing of it has run.
            return True
        rooms = self._rooms_of(job.service)
        backlog_core_s = self._backlog_core_s(job.service)
        slack_s = LATE_FACTOR * plan.objective_s - max(plan.expected_s)
        refusal = admit(rooms, job.steps, backlog_core_s, slack_s)
        if refusal is None:
            return True
        self._metrics.count('baobabgap_jobs_total{end="refused"}')
        log_event(
            'job_refused',
            job=job.job_id,
            queue=job.queue,
            reason=refusal.reason,
            backlog_core_s=round(backlog_core_s, 2),
            patience_s=round(slack_s, 3),
            upstreams=len(rooms),
            retry_after_ms=refusal.retry_after_ms,
        )
        _answer(
            arrived,
            CallOutcome.OVERLOADED,
            retry_after_ms=refusal.retry_after_ms,
            detail=refusal.reason,
        )
        return False

    def _backlog_core_s(self, service: str) -> float:
        """Return the work that waits in a service."""
        plans = [
            *self._plan_by_id.values(),
            *(plan for plan, _ in self._storing_by_id.values()),
        ]
        return sum(
            len(waiting)
            * plan.expected_s[number]
            * plan.job.steps[number].demand.cpu_millicores
            / 1000
            for plan in plans
            if plan.job.service == service and self._may_start(plan)
            for number, waiting in enumerate(plan.waiting_by_step)
        )

    def _read(self, arrived: CallArrived, match: QueueMatch) -> None:
        job_id = match.rest
        if not job_id:
            _answer(
                arrived,
                CallOutcome.COUNTED,
                waiting=self._count_waiting(match.queue.name),
            )
            return
        plan = self._plan_by_id.get(job_id)
        if plan is not None and plan.is_done:
            self._readers_by_id[job_id].append(arrived)
        elif plan is not None:
            state = JobState.RUNNING if plan.has_started else JobState.QUEUED
            _answer(arrived, CallOutcome.FOUND, state=state)
        else:
            self._answer_ended(arrived, job_id)

    def _answer_ended(self, arrived: CallArrived, job_id: str) -> None:
        if job_id in self._storing_by_id:
            self._answer_unavailable(arrived, 'the job is being stored')
            return
        state = self._state.state_of(job_id)
        if state is None:
            _answer(arrived, CallOutcome.NO_SUCH_JOB)
        else:
            _answer(arrived, CallOutcome.FOUND, state=state)

    def _count_waiting(self, queue: str) -> int:
        return sum(
            1
            for plan in self._plan_by_id.values()
            if plan.job.queue == queue and not plan.has_started
        )

    def _cancel(self, arrived: CallArrived, job_id: str) -> None:
        known = job_id in self._plan_by_id or job_id in self._storing_by_id
        if not known:
            is_cancelled = self._state.state_of(job_id) is JobState.CANCELLED
            _answer(
                arrived,
                CallOutcome.CANCELLED
                if is_cancelled
                else CallOutcome.NO_SUCH_JOB,
            )
            return
        waiting = self._cancelling_by_id.setdefault(job_id, [])
        waiting.append(arrived)
        if len(waiting) > 1:
            return
        term = self._term
        self._committer.propose(
            CancelJobs((job_id,), int(time.time() * 1000)),
            lambda result: self.tell(
                CancelStored(term, job_id, result is not None)
            ),
        )

    def _take_stored_cancel(self, event: CancelStored) -> None:
        if event.term != self._term:
            return
        calls = self._cancelling_by_id.pop(event.job_id, [])
        state = self._state.state_of(event.job_id)
        for call in calls:
            if not event.succeeded:
                _answer(call, CallOutcome.UNKNOWN, detail='not stored')
            elif state is JobState.CANCELLED:
                _answer(call, CallOutcome.CANCELLED)
            else:
                _answer(call, CallOutcome.NO_SUCH_JOB)
        if event.succeeded and state is JobState.CANCELLED:
            self._end_job(JobEnd(event.job_id, JobState.CANCELLED))

    # Storing.

    def _jobs_stored(
        self, term: int, job_ids: tuple[str, ...]
    ) -> Callable[[object], None]:
        return lambda result: self.tell(
            JobsStored(term, job_ids, result is not None)
        )

    def _take_stored_jobs(self, event: JobsStored) -> None:
        if event.term != self._term:
            return
        for job_id in event.job_ids:
            plan, calls = self._storing_by_id.pop(job_id)
            if not event.succeeded:
                for call in calls:
                    _answer(call, CallOutcome.UNKNOWN, detail='not stored')
                continue
            self._metrics.observe_seconds(
                'baobabgap_accept_seconds', time.monotonic() - plan.arrived_at
            )
            for call in calls:
                _answer(call, CallOutcome.ACCEPTED)
            if self._state.state_of(job_id) is JobState.QUEUED:
                self._plan_by_id[job_id] = plan
            log_event(
                'job_accepted',
                job=job_id,
                queue=plan.job.queue,
                tasks=len(plan.task_by_id),
                objective_ms=round(1000 * plan.objective_s),
                term=self._term,
            )

    def _store_ends(self) -> None:
        if not self._unstored_numbers:
            return
        if not self._unstored_ends and not self._numbers_by_batch:
            # Nothing to store, and nothing that must be stored before.
            self._send_noted(self._unstored_numbers)
            self._unstored_numbers = {}
            return
        self._last_batch += 1
        batch, term = self._last_batch, self._term
        self._numbers_by_batch[batch] = self._unstored_numbers
        ends = tuple(self._unstored_ends)
        self._unstored_ends = []
        self._unstored_numbers = {}

        def stored(result: list[JobEnd] | None) -> None:
            if result is not None:
                self.tell(EndsStored(term, batch, tuple(result)))

        self._committer.propose(
            NoteEnds(ends, int(time.time() * 1000)), stored
        )

    def _take_stored_ends(self, event: EndsStored) -> None:
        if event.term != self._term:
            return
        self._send_noted(self._numbers_by_batch.pop(event.batch))
        for job_end in event.job_ends:
            self._end_job(job_end)

    def _send_noted(self, noted_by_name: dict[str, EndsNoted]) -> None:
        for name, noted in noted_by_name.items():
            view = self._view_by_name.get(name)
            if view is not None and view.connection is not None:
                view.connection.send(noted)

    def _end_job(self, job_end: JobEnd) -> None:
        """Let go of a job that has ended, and stop what still runs."""
        callers = self._callers_by_id.pop(job_end.job_id, [])
        if callers:
            self._ended_by_id[job_end.job_id] = _EndedJob(
                job_end.state, time.monotonic()
            )
        for caller in callers:
            _answer(caller, CallOutcome.FOUND, state=job_end.state)
        plan = self._plan_by_id.pop(job_end.job_id, None)
        for reader in self._readers_by_id.pop(job_end.job_id, []):
            _answer(reader, CallOutcome.FOUND, state=job_end.state)
        if plan is None:
            return
        for task in plan.task_by_id.values():
            if task.upstream:
                self._stop_run(self._view_by_name[task.upstream], task.task)
        taken_s = time.monotonic() - plan.arrived_at
        self._metrics.count(f'baobabgap_jobs_total{{end="{job_end.state}"}}')
        self._metrics.observe_seconds('baobabgap_job_seconds', taken_s)
        log_event(
            'job_ended',
            job=job_end.job_id,
            state=job_end.state,
            taken_ms=round(1000 * taken_s),
            objective_ms=round(1000 * plan.objective_s),
        )

    # Agents.

    def _take_link(self, name: str, event: AgentLinked) -> None:
        if not self._term:
            event.connection.close()
            return
        view = self._view_by_name.get(name)
        if view is None:
            view = self._view_by_name[name] = AgentView(name)
        view.connection = event.connection
        view.has_reported = False
        self._enrol(view)

    def _enrol(self, view: AgentView) -> None:
        """Have an agent durably known before it gets runs."""
        name = view.name
        if not view.is_enrolled and not view.is_enrolling:
            view.is_enrolling = True
            term = self._term
            self._committer.propose(
                EnrolMembers((f'{AGENT_ROLE}/{name}',)),
                lambda result: self.tell(MembersEnrolled(term, name)),
            )

    def _take_enrolled(self, event: MembersEnrolled) -> None:
        view = self._view_by_name.get(event.name)
        if event.term == self._term and view is not None:
            view.is_enrolled = True
            view.is_enrolling = False

    def _take_entry(self, event: EntryLinked) -> None:
        self._unheard_entries.discard(event.name)
        self._begun_before.update(event.begun_job_ids)
        member = f'{ENTRY_ROLE}/{event.name}'
        if self._term and member not in self._state.members:
            self._committer.propose(EnrolMembers((member,)), _ignore)

    def _lose_link(self, view: AgentView) -> None:
        log_event('agent_lost', agent=view.name, runs=len(view.run_by_task))
        view.connection = None
        view.has_reported = False

    def _take_report(self, view: AgentView, message: object) -> None:
        match message:
            case FullReport():
                self._take_full_report(view, message)
            case RunsEnded(instance=instance, born_ms=born_ms, ended=ended):
                if view.is_life(instance, born_ms):
                    self._take_ends(view, ended)
            case AuthorityRequest():
                self._grant(view, message)
            case RunsGone():
                self._take_gone(view, message)
            case RunsFound(instance=instance, born_ms=born_ms, runs=runs):
                if view.is_life(instance, born_ms):
                    self._adopt_runs(view, runs)
            case UpstreamChanged(upstream=upstream):
                self._change_upstream(view, upstream)

    def _grant(self, view: AgentView, request: AuthorityRequest) -> None:
        """Let an agent renew leases, if this host surely still leads."""
        if not view.is_enrolled or not self._is_confirmed():
            return
        connection = view.connection
        if connection is None:
            return
        view.authority_granted_at = boot_time()
        until_ms = request.clock_ms + int(1000 * self._timing.authority_s)
        connection.send(Authority(self._term, request.instance, until_ms))

    def _take_full_report(self, view: AgentView, report: FullReport) -> None:
        if report.fence != self._term:
            return
        self._change_upstream(view, report.upstream)
        if report.upstream is None:
            return
        self._enrol(view)
        view.has_reported = True
        self._unheard.discard(view.name)
        self._take_ends(view, report.ended)
        held = {row.task for row in report.running}
        for task_id in list(view.run_by_task):
            if task_id not in held:
                self._drop_run(view, task_id, 'not reported')
        self._adopt_runs(view, report.running)
        self._stop_unwanted(view)
        log_event(
            'agent_reported',
            agent=view.name,
            instance=report.upstream.instance,
            running=len(report.running),
            ended=len(report.ended),
            unheard=len(self._unheard),
        )

    def _change_upstream(
        self, view: AgentView, upstream: UpstreamState | None
    ) -> None:
        held = view.upstream
        is_same = (
            held is not None
            and upstream is not None
            and view.is_life(upstream.instance, upstream.born_ms)
        )
        if not is_same:
            if held is not None:
                self._drop_all_runs(view, 'upstream is gone')
            view.last_end_number = 0
            view.room = None
        view.upstream = upstream
        if upstream is None:
            self._dismiss(view)
            return
        if view.room is None:
            view.room = Room(
                view.name,
                upstream.service,
                upstream.availability_zone,
                upstream.labels,
                upstream.capacity,
                upstream.capacity,
            )
            for run in view.run_by_task.values():
                view.room.occupy(run.demand)
        view.room.is_open = upstream.is_reachable and not upstream.is_draining
        if not is_same or held != upstream:
            log_event(
                'upstream_changed',
                agent=view.name,
                instance=upstream.instance,
                service=upstream.service,
                draining=upstream.is_draining,
                reachable=upstream.is_reachable,
            )

    def _adopt_runs(self, view: AgentView, rows: tuple[RunRow, ...]) -> None:
        """Follow runs that the upstream has; stop what nobody wants."""
        for row in rows:
            known = view.run_by_task.get(row.task)
            if known is not None and known.number >= row.run:
                continue
            plan = self._plan_by_id.get(row.task.job_id)
            task = plan.task_by_id.get(row.task) if plan else None
            if plan is not None and task is not None and not task.upstream:
                self._add_run(view, plan, task, row.run, was_found=True)
                continue
            self._follow_unwanted(view, row)
            if plan is None and self._is_new_here(row.task.job_id):
                self._orphans.add_run(view.name, row, time.monotonic())
            else:
                self._stop_run(view, row.task)

    def _is_new_here(self, job_id: str) -> bool:
        """Tell whether a job may yet be handed in to this leader."""
        return (
            job_id not in self._ended_by_id
            and self._state.state_of(job_id) is None
        )

    def _follow_unwanted(self, view: AgentView, row: RunRow) -> None:
        """Keep a run in the books whose demand isn't known here."""
        if row.task in view.run_by_task:
            self._remove_run(view, row.task)
        view.run_by_task[row.task] = Run(
            row.task, row.run, Demand(), time.monotonic(), math.inf
        )
        if view.room is not None:
            view.room.occupy(Demand())

    def _dismiss(self, view: AgentView) -> None:
        """Forget durably an agent that certainly holds no run."""
        if view.is_enrolled and not view.run_by_task:
            view.is_enrolled = False
            log_event('agent_dismissed', agent=view.name)
            self._committer.propose(
                DismissMembers((f'{AGENT_ROLE}/{view.name}',)), _ignore
            )

    def _stop_unwanted(self, view: AgentView) -> None:
        """Repeat stops that may have been lost with an earlier link."""
        for run in view.run_by_task.values():
            plan = self._plan_by_id.get(run.task.job_id)
            wanted = plan is not None and run.task in plan.task_by_id
            if run.is_stopping or not wanted:
                run.is_stopping = True
                self._send_stop(view, (RunRow(run.task, run.number, True),))

    def _add_run(
        self,
        view: AgentView,
        plan: JobPlan,
        task: TaskState,
        number: int,
        *,
        was_found: bool = False,
    ) -> None:
        demand = plan.job.steps[task.task.step].demand
        plan.note_started(task, view.name, number)
        view.run_by_task[task.task] = Run(
            task.task,
            number,
            demand,
            time.monotonic(),
            plan.expected_s[task.task.step],
            was_found,
        )
        if view.room is not None:
            view.room.occupy(demand)

    def _take_ends(self, view: AgentView, rows: tuple[EndRow, ...]) -> None:
        upstream = view.upstream
        assert upstream is not None
        for row in rows:
            if row.number <= view.last_end_number:
                continue
            view.last_end_number = row.number
            self._take_end(view, row)
        if rows:
            self._unstored_numbers[view.name] = EndsNoted(
                upstream.instance, upstream.born_ms, view.last_end_number
            )

    def _take_end(self, view: AgentView, row: EndRow) -> None:
        run = view.run_by_task.get(row.task)
        plan = self._plan_by_id.get(row.task.job_id)
        task = plan.task_by_id.get(row.task) if plan else None
        is_current = run is not None and run.number == row.run
        is_stored = plan is None or not plan.job.is_volatile
        is_known = self._state.state_of(row.task.job_id) is not None
        if row.end is not RunEnd.INTERRUPTED and is_stored and is_known:
            self._unstored_ends.append(TaskEnd(row.task, row.run, row.end))
        self._judge_end(view, row, run if is_current else None, plan)
        if is_current:
            self._remove_run(view, row.task)
        if plan is None and self._is_new_here(row.task.job_id):
            self._orphans.add_end(row, time.monotonic())
        if plan is None or task is None:
            return
        task.last_run = max(task.last_run, row.run)
        match row.end:
            case RunEnd.DONE:
                if task.upstream and not is_current:
                    self._stop_run(self._view_by_name[task.upstream], row.task)
                plan.note_done(row.task)
                if plan.is_done and plan.job.is_volatile:
                    self._end_job(JobEnd(plan.job.job_id, JobState.COMPLETED))
            case RunEnd.FAILED:
                task.failed_runs.add(row.run)
                task.avoided.add(view.name)
                if is_current:
                    self._retry(plan, task)
            case RunEnd.INTERRUPTED:
                if is_current:
                    plan.note_gone(task)

    def _retry(self, plan: JobPlan, task: TaskState) -> None:
        """Let a failed task wait again, unless its job fails by it."""
        if len(task.failed_runs) < plan.job.attempts:
            plan.note_gone(task)
        elif plan.job.is_volatile:
            task.upstream = ''
            self._end_job(JobEnd(plan.job.job_id, JobState.FAILED))

    def _judge_end(
        self,
        view: AgentView,
        row: EndRow,
        run: Run | None,
        plan: JobPlan | None,
    ) -> None:
        """Learn from an end about the upstream and the queue."""
        room = view.room
        if room is None or run is None:
            return
        now = time.monotonic()
        run_s = now - run.started_at
        match row.end:
            case RunEnd.DONE if run.was_found:
                room.health.note_done(run.expected_s, run.expected_s)
            case RunEnd.DONE:
                room.health.note_done(
                    run_s, run.expected_s * room.kind_slowness
                )
                if plan is not None:
                    step = plan.job.steps[row.task.step]
                    plan.note_run_time(row.task.step, run_s)
                    self._run_times.observe(
                        plan.job.queue, room.kind, step.estimate_ms, run_s
                    )
            case RunEnd.FAILED:
                log_event(
                    'run_failed',
                    job=row.task.job_id,
                    task=_task_text(row.task),
                    run=row.run,
                    agent=view.name,
                    run_ms=round(1000 * run_s),
                )
                if room.health.note_failed(now):
                    self._log_suspension(view, room, 'runs fail')

    def _log_suspension(
        self, view: AgentView, room: Room, reason: str
    ) -> None:
        log_event(
            'upstream_suspended',
            agent=view.name,
            reason=reason,
            failures=room.health.failures_in_row,
            suspensions=room.health.suspensions,
        )

    def _take_gone(self, view: AgentView, message: RunsGone) -> None:
        if not view.is_life(message.instance, message.born_ms):
            return
        for row in message.runs:
            run = view.run_by_task.get(row.task)
            if run is not None and run.number == row.run:
                self._drop_run(view, row.task, message.reason)

    def _drop_all_runs(self, view: AgentView, reason: str) -> None:
        for task_id in list(view.run_by_task):
            self._drop_run(view, task_id, reason)

    def _drop_run(self, view: AgentView, task_id: TaskId, reason: str) -> None:
        """A run is over, or never was, and its end is not listed."""
        run = self._remove_run(view, task_id)
        plan = self._plan_by_id.get(task_id.job_id)
        task = plan.task_by_id.get(task_id) if plan else None
        log_event(
            'run_gone',
            job=task_id.job_id,
            task=_task_text(task_id),
            run=run.number,
            agent=view.name,
            reason=reason,
        )
        if plan is not None and task is not None:
            if reason in ('unanswered', 'unhealthy'):
                task.avoided.add(view.name)
            plan.note_gone(task)

    def _remove_run(self, view: AgentView, task_id: TaskId) -> Run:
        run = view.run_by_task.pop(task_id)
        if view.room is not None:
            view.room.release(run.demand)
        return run

    def _stop_run(self, view: AgentView, task_id: TaskId) -> None:
        run = view.run_by_task.get(task_id)
        if run is None or run.is_stopping:
            return
        run.is_stopping = True
        self._send_stop(view, (RunRow(task_id, run.number, True),))

    def _send_stop(self, view: AgentView, rows: tuple[RunRow, ...]) -> None:
        if view.connection is not None:
            view.connection.send(StopRuns(self._term, rows))
            for row in rows:
                log_event(
                    'run_stop_ordered',
                    job=row.task.job_id,
                    task=_task_text(row.task),
                    run=row.run,
                    agent=view.name,
                )

    # Time.

    def _tick(self, now: float) -> None:
        self._end_takeover(now)
        for agent, row in self._orphans.expire(now):
            self._stop_run(self._view_by_name[agent], row.task)
        for job_id in list(self._ended_by_id):
            if now - self._ended_by_id[job_id].ended_at < _KEPT_ENDED_S:
                break
            del self._ended_by_id[job_id]
        if self._is_confirmed():
            for view in list(self._view_by_name.values()):
                self._look_at(view, now)

    def _end_takeover(self, now: float) -> None:
        if not self._is_taking_over:
            return
        if self._unheard and now < self._takeover_ends_at:
            return
        self._is_taking_over = False
        log_event(
            'takeover_ended',
            term=self._term,
            jobs=len(self._plan_by_id),
            unheard=sorted(self._unheard),
        )
        self._unheard = set()
        self._unheard_entries = set()
        self._begun_before = set()

    def _may_start(self, plan: JobPlan) -> bool:
        """Tell whether no run of an earlier term can be under way."""
        if not self._is_taking_over:
            return True
        if plan.job.is_volatile:
            job_id = plan.job.job_id
            return (
                not self._unheard_entries and job_id not in self._begun_before
            )
        return plan.job.term == self._term

    def _look_at(self, view: AgentView, now: float) -> None:
        if view.connection is None:
            silent_s = boot_time() - view.authority_granted_at
            if silent_s > self._timing.lapse_s:
                self._drop_all_runs(view, 'lease lapsed')
                self._unheard.discard(view.name)
            if silent_s > _DISMISSED_AFTER_S:
                self._dismiss(view)
                del self._view_by_name[view.name]
            return
        if view.room is not None:
            view.room.kind_slowness = self._run_times.slowness(view.room.kind)
        for run in list(view.run_by_task.values()):
            plan = self._plan_by_id.get(run.task.job_id)
            if plan is None or run.is_stopping:
                continue
            run_s = now - run.started_at
            sibling_s = plan.longest_done_s[run.task.step]
            if is_overdue(run_s, run.expected_s, sibling_s):
                self._replace_overdue(view, run, plan, run_s)

    def _replace_overdue(
        self, view: AgentView, run: Run, plan: JobPlan, run_s: float
    ) -> None:
        """Stop a run that hangs, so that its task runs elsewhere."""
        task = plan.task_by_id.get(run.task)
        if task is not None:
            task.avoided.add(view.name)
        log_event(
            'run_overdue',
            job=run.task.job_id,
            task=_task_text(run.task),
            run=run.number,
            agent=view.name,
            run_ms=round(1000 * run_s),
            expected_ms=round(1000 * run.expected_s),
        )
        room = view.room
        if room is not None and room.health.note_overdue(time.monotonic()):
            self._log_suspension(view, room, 'runs hang')
        self._stop_run(view, run.task)

    # Starts.

    def _start_tasks(self, now: float) -> None:
        plans = [
            plan
            for job_id, plan in self._plan_by_id.items()
            if plan.has_waiting
            and job_id not in self._cancelling_by_id
            and self._may_start(plan)
        ]
        if not plans or not self._is_confirmed():
            return
        rooms_by_service: dict[str, list[Room]] = defaultdict(list)
        for view in self._view_by_name.values():
            if view.may_start and view.room is not None:
                rooms_by_service[view.room.service].append(view.room)
        orders_by_name: dict[str, list[RunOrder]] = defaultdict(list)
        agents_by_job: dict[str, list[str]] = defaultdict(list)
        for placement in plan_starts(
            plans, rooms_by_service, self._far_factor, now
        ):
            # The planner has taken the room; `_add_run` takes it again.
            plan, task, room = placement.plan, placement.task, placement.room
            room.release(plan.job.steps[task.task.step].demand)
            number = self._next_run(plan.job, task)
            self._add_run(self._view_by_name[room.name], plan, task, number)
            orders_by_name[room.name].append(
                RunOrder(task.task, number, plan.job.payload)
            )
            agents_by_job[plan.job.job_id].append(
                f'{_task_text(task.task)}#{number}@{room.name}'
            )
        for name, orders in orders_by_name.items():
            self._send_orders(self._view_by_name[name], tuple(orders))
        for job_id, runs in agents_by_job.items():
            plan = self._plan_by_id[job_id]
            log_event(
                'job_placed',
                job=job_id,
                runs=runs,
                waited_ms=round(1000 * (now - plan.arrived_at)),
                term=self._term,
            )

    def _send_orders(
        self, view: AgentView, orders: tuple[RunOrder, ...]
    ) -> None:
        assert view.connection is not None and view.upstream is not None
        self._metrics.count('baobabgap_starts_total', len(orders))
        view.connection.send(
            StartRuns(
                self._term,
                view.upstream.instance,
                view.upstream.born_ms,
                orders,
            )
        )

    def _next_run(self, job: AcceptedJob, task: TaskState) -> int:
        first = 1 + _RUNS_PER_TERM * max(0, self._term - job.term)
        return max(first, task.last_run + 1)

    def _rooms_of(self, service: str) -> list[Room]:
        return [
            view.room
            for view in self._view_by_name.values()
            if view.room is not None and view.room.service == service
        ]


def _answer(
    arrived: CallArrived,
    outcome: CallOutcome,
    *,
    state: str = '',
    waiting: int = 0,
    retry_after_ms: int = 0,
    detail: str = '',
) -> None:
    arrived.connection.send(
        CallAnswer(
            arrived.call.call, outcome, state, waiting, retry_after_ms, detail
        )
    )


def _named(role: str, members: tuple[str, ...]) -> set[str]:
    """Return the names of the members with a role."""
    prefix = f'{role}/'
    return {
        member.removeprefix(prefix)
        for member in members
        if member.startswith(prefix)
    }


def _ignore(result: object) -> None:
    """Wait for nothing: a lost command is proposed again when needed."""


def _task_text(task: TaskId) -> str:
    return f'{task.step}.{task.index}'
