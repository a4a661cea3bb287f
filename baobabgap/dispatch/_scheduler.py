"""The leader's scheduler: a single task that owns all volatile state.

All events go through one queue. The task drains it and then plans starts
once, so that a burst of events costs a single planning pass.
"""

from collections.abc import Callable
from queue import Empty
from queue import SimpleQueue
import threading
import time
import traceback
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.dispatch._agent_handler import AgentHandler
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._call_handler import CallHandler
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._crash_recorder import CrashRecorder
from baobabgap.dispatch._entry_registry import EntryRegistry
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._events import AgentLinked
from baobabgap.dispatch._events import AgentReported
from baobabgap.dispatch._events import AgentUnlinked
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import CancelStored
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._events import EntryEnrolled
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._events import Event
from baobabgap.dispatch._events import JobsStored
from baobabgap.dispatch._events import LeadershipGained
from baobabgap.dispatch._events import LeadershipLost
from baobabgap.dispatch._events import MembersEnrolled
from baobabgap.dispatch._events import OrderApplied
from baobabgap.dispatch._events import StartsNoted
from baobabgap.dispatch._events import ZoneChanged
from baobabgap.dispatch._job_canceller import JobCanceller
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._queue_report import QueueReport
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._replies import answer_unavailable
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._stall_monitor import StallMonitor
from baobabgap.dispatch._start_deferral import StartDeferral
from baobabgap.dispatch._starter import TaskStarter
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch._timeout_monitor import TimeoutMonitor
from baobabgap.dispatch._view_check import ViewCheck
from baobabgap.protocol import AGENT_ROLE
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import LeaseTiming
from baobabgap.queues import QueueConfiguration
from baobabgap.queues import QueueTable
from baobabgap.scheduling import JobPlan
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds between checks of timeouts.
_CHECK_INTERVAL_S: Final = 0.05


class Scheduler:
    """Answers calls, places tasks and tracks their runs, as the leader.

    `post_event`, `use_configuration` and `stop` may be called by any task;
    everything else runs in the scheduler's task.
    """

    def __init__(
        self,
        state: AcceptedState,
        committer: Committer,
        timing: LeaseTiming,
        off_rack_factor: float,
        is_confirmed: Callable[[], bool],
        on_failure: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._timing: Final = timing
        # Whether a majority has recently confirmed that this host leads.
        self._is_confirmed: Final = is_confirmed
        # Called when this host has to restart its term.
        self._on_failure: Final = on_failure
        self._next_check_at = 0.0
        self._events: SimpleQueue[Event] = SimpleQueue()
        self._stopping = threading.Event()
        self._term_state = term_state = TermState()
        runs = RunTracker(term_state)
        self._closer = JobCloser(
            term_state, runs, state, committer, self.post_event, metrics
        )
        self._deferral = StartDeferral(term_state, metrics)
        self._canceller = JobCanceller(
            term_state,
            runs,
            self._closer,
            self._deferral,
            state,
            committer,
            self.post_event,
        )
        self._calls = CallHandler(
            term_state,
            runs,
            self._closer,
            self._canceller,
            self._deferral,
            state,
            committer,
            self.post_event,
            metrics,
        )
        self._evacuations = Evacuations(term_state)
        self._agents = AgentHandler(
            term_state,
            runs,
            self._closer,
            CrashRecorder(term_state, self._closer, state, metrics),
            self._evacuations,
            ViewCheck(metrics),
            state,
            committer,
            timing,
            self.post_event,
        )
        self._entries = EntryRegistry(
            term_state, state, committer, self.post_event
        )
        self._timeout_monitor = TimeoutMonitor(
            term_state, runs, self._agents, timing
        )
        self._starter = TaskStarter(
            term_state, runs, off_rack_factor, timing, metrics
        )
        self._stall_monitor = StallMonitor(term_state, timing, metrics)
        self._queue_report = QueueReport(term_state)
        metrics.add_source(self._queue_report.values)

    def post_event(self, event: Event) -> None:
        """Queue an event."""
        self._events.put(event)

    def use_configuration(self, configuration: QueueConfiguration) -> None:
        """Use the queues of a newer configuration."""
        self._term_state.queue_table = QueueTable.from_configuration(
            configuration, self._term_state.queue_table
        )

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def run(self) -> None:
        """Process events until stopped."""
        while not self._stopping.is_set():
            try:
                self._run_once()
            except Exception as error:
                # The state in memory may be inconsistent; it is rebuilt
                # from the log and the agents' reports.
                log_event(
                    'scheduler:failed',
                    error=repr(error),
                    trace=traceback.format_exc(limit=-6),
                )
                self._step_down(is_consistent=False)
                self._on_failure()

    def _run_once(self) -> None:
        self._handle_events()
        if not self._term_state.term:
            return
        self._closer.store()
        if not self._is_confirmed():
            return
        now = time.monotonic()
        is_check_due = now >= self._next_check_at
        if is_check_due:
            self._next_check_at = now + _CHECK_INTERVAL_S
            self._timeout_monitor.check(now)
            self._entries.check(now)
        self._term_state.release_held_plans(self._calls.admit_released)
        self._starter.start()
        if is_check_due:
            # Only jobs that found no room, as estimates are rough.
            self._calls.give_up_late_jobs(now)
            self._calls.drop_unawaited_jobs(now)
            self._stall_monitor.check(now)
            self._queue_report.update(now)
        self._deferral.check(now)

    def _handle_events(self) -> None:
        try:
            event = self._events.get(timeout=_CHECK_INTERVAL_S)
            while True:
                self._handle(event)
                event = self._events.get_nowait()
        except Empty:
            return

    def _handle(self, event: Event) -> None:
        match event:
            case LeadershipGained():
                self._begin_term(event)
            case LeadershipLost(handled=handled):
                self._step_down()
                handled.set()
            case CallArrived():
                self._handle_call(event)
            case OrderApplied(notify=notify):
                # Also by a host that no longer leads: the order is stored,
                # and it starts nothing.
                notify()
            case _ if self._term_state.term:
                self._handle_as_leader(event)

    def _handle_as_leader(self, event: Event) -> None:
        match event:
            case CallDropped():
                self._entries.handle_dropped_call(event)
                self._calls.handle_dropped_call(event)
            case JobsStored():
                self._calls.handle_stored_jobs(event)
            case CancelStored():
                self._canceller.handle_stored(event)
            case EndsStored():
                self._closer.handle_stored(event)
            case EntryLinked() | EntryUnlinked() | EntryEnrolled():
                self._handle_entry_event(event)
            case ZoneChanged(change=change):
                self._evacuations.handle_change(change)
            case StartsNoted(job_ids=job_ids):
                self._deferral.handle_noted(job_ids)
            case _:
                self._handle_agent_event(event)

    def _handle_entry_event(
        self, event: EntryLinked | EntryUnlinked | EntryEnrolled
    ) -> None:
        match event:
            case EntryLinked():
                self._entries.handle_link(event)
            case EntryUnlinked():
                self._entries.handle_lost_link(event)
            case EntryEnrolled():
                for call in self._entries.handle_enrolled(event):
                    self._handle_call(call)

    def _handle_agent_event(self, event: Event) -> None:
        match event:
            case AgentReported(connection=connection, message=message):
                self._agents.handle(connection, message, self._is_confirmed())
            case AgentLinked(connection=connection):
                self._agents.handle_link(connection)
            case AgentUnlinked(connection=connection):
                self._agents.handle_lost_link(connection)
            case MembersEnrolled():
                self._agents.handle_enrolled(event)

    def _handle_call(self, event: CallArrived) -> None:
        if not self._term_state.term or not self._is_confirmed():
            answer_unavailable(event, 'this host does not lead')
        elif not self._entries.hold(event):
            self._calls.handle(event)

    def _begin_term(self, event: LeadershipGained) -> None:
        now = time.monotonic()
        term_state = self._term_state
        ends_at = now + self._timing.takeover_s
        term_state.begin_term(
            event.term,
            Takeover(
                event.term,
                event.members,
                ends_at,
                (unfinished.job.job_id for unfinished in event.unfinished),
            ),
        )
        self._evacuations.begin_term(event.version_by_evacuated_zone)
        self._closer.reset()
        self._deferral.reset()
        self._entries.reset()
        self._stall_monitor.reset()
        prefix = f'{AGENT_ROLE}/'
        for member in event.members:
            if member.startswith(prefix):
                view = AgentView(member.removeprefix(prefix), is_enrolled=True)
                # An earlier leader may grant authority until then.
                view.authority_granted_at = (
                    boottime_clock() + self._timing.confirmation_s
                )
                term_state.view_by_name[view.name] = view
        for unfinished in event.unfinished:
            plan = JobPlan.from_unfinished(
                unfinished, now, term_state.run_times
            )
            term_state.add_plan(plan)
        log_event(
            'scheduler:leads',
            term=event.term,
            inherited_jobs=len(event.unfinished),
            members=event.members,
            evacuated_zones=dict(event.version_by_evacuated_zone),
        )

    def _step_down(self, *, is_consistent: bool = True) -> None:
        term_state = self._term_state
        waiting = term_state.waiting_calls()
        not_begun = self._calls.calls_not_begun() if is_consistent else []
        held = self._entries.pop_held()
        log_event(
            'scheduler:stood_down',
            term=term_state.term,
            jobs=len(term_state.plan_by_id),
            calls=len(waiting),
            not_begun=len(not_begun),
            held=len(held),
        )
        term_state.begin_term(0, Takeover.none())
        not_begun_ids = {id(call) for call in not_begun}
        for call in (*not_begun, *held):
            answer_unavailable(call, 'leader changed, not begun')
        for call in waiting:
            if id(call) not in not_begun_ids:
                answer(call, CallOutcome.UNKNOWN, detail='leader changed')
