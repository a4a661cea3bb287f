"""The leader's scheduler: one task that owns all volatile state.

Everything that happens is put into one queue; the task drains it, then
looks once at which tasks can start. So a burst of events costs one look.
"""

from collections.abc import Callable
from queue import Empty
from queue import SimpleQueue
import threading
import time
import traceback
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.dispatch._agent_desk import AgentDesk
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._books import Books
from baobabgap.dispatch._call_desk import CallDesk
from baobabgap.dispatch._closing import JobCloser
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._entry_desk import EntryDesk
from baobabgap.dispatch._events import AgentLinked
from baobabgap.dispatch._events import AgentReported
from baobabgap.dispatch._events import AgentUnlinked
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import CancelStored
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._events import Event
from baobabgap.dispatch._events import JobsStored
from baobabgap.dispatch._events import Led
from baobabgap.dispatch._events import MembersEnrolled
from baobabgap.dispatch._events import StoodDown
from baobabgap.dispatch._messages import CallOutcome
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._replies import answer_unavailable
from baobabgap.dispatch._roles import AGENT_ROLE
from baobabgap.dispatch._run_book import RunBook
from baobabgap.dispatch._starter import TaskStarter
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._timing import boot_time
from baobabgap.dispatch._timing import LeaseTiming
from baobabgap.dispatch._watch import Watch
from baobabgap.queues import QueueTable
from baobabgap.scheduling import JobPlan
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds between looks at what only the clock changes.
_TICK_S: Final = 0.05


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
        off_rack_factor: float,
        is_confirmed: Callable[[], bool],
        on_failure: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._timing: Final = timing
        # Whether a majority has confirmed lately that this host leads.
        self._is_confirmed: Final = is_confirmed
        # Called when this host must begin to lead anew.
        self._on_failure: Final = on_failure
        self._look_at = 0.0
        self._events: SimpleQueue[Event] = SimpleQueue()
        self._stopping = threading.Event()
        self._books = books = Books()
        runs = RunBook(books)
        self._closer = JobCloser(books, runs, committer, self.tell, metrics)
        self._calls = CallDesk(
            books, runs, self._closer, state, committer, self.tell, metrics
        )
        self._agents = AgentDesk(
            books, runs, self._closer, state, committer, timing, self.tell
        )
        self._entries = EntryDesk(books, state, committer)
        self._watch = Watch(books, runs, self._agents, timing)
        self._starter = TaskStarter(
            books, runs, off_rack_factor, timing, metrics
        )

    def tell(self, event: Event) -> None:
        """Hand over what has happened."""
        self._events.put(event)

    def put_in_force(self, table: QueueTable) -> None:
        """Use a newer configuration from now on."""
        self._books.table = table

    def stop(self) -> None:
        """End the task."""
        self._stopping.set()

    def run(self) -> None:
        """Work until stopped."""
        while not self._stopping.is_set():
            try:
                self._work()
            except Exception as error:
                # What is in memory may be wrong now; a leader that begins
                # anew learns it from the log and the agents.
                log_event(
                    'scheduler:failed',
                    error=repr(error),
                    trace=traceback.format_exc(limit=-6),
                )
                self._stand_down()
                self._on_failure()

    def _work(self) -> None:
        self._take_events()
        if not self._books.term:
            return
        self._closer.store()
        if not self._is_confirmed():
            return
        now = time.monotonic()
        is_look_due = now >= self._look_at
        if is_look_due:
            self._look_at = now + _TICK_S
            self._watch.look(now)
            self._entries.look(now)
        self._starter.start()
        if is_look_due:
            # Only what found no room: estimates are rough.
            self._calls.give_up_worthless(now)

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
            case Led():
                self._lead(event)
            case StoodDown():
                self._stand_down()
            case CallArrived():
                self._take_call(event)
            case _ if self._books.term:
                self._take_as_leader(event)

    def _take_as_leader(self, event: Event) -> None:
        match event:
            case CallDropped():
                self._calls.take_dropped(event)
            case JobsStored():
                self._calls.take_stored_jobs(event)
            case CancelStored():
                self._calls.take_stored_cancel(event)
            case EndsStored():
                self._closer.take_stored(event)
            case EntryLinked():
                self._entries.take_link(event)
            case EntryUnlinked():
                self._entries.take_lost_link(event)
            case _:
                self._take_of_agent(event)

    def _take_of_agent(self, event: Event) -> None:
        match event:
            case AgentReported(connection=connection, message=message):
                self._agents.take(connection, message, self._is_confirmed())
            case AgentLinked(connection=connection):
                self._agents.take_link(connection)
            case AgentUnlinked(connection=connection):
                self._agents.take_lost_link(connection)
            case MembersEnrolled():
                self._agents.take_enrolled(event)

    def _take_call(self, event: CallArrived) -> None:
        if self._books.term and self._is_confirmed():
            self._calls.take(event)
        else:
            answer_unavailable(event, 'this host does not lead')

    def _lead(self, event: Led) -> None:
        now = time.monotonic()
        books = self._books
        ends_at = now + self._timing.takeover_s
        books.open_term(
            event.term, Takeover(event.term, event.members, ends_at)
        )
        self._closer.reset()
        self._entries.reset()
        prefix = f'{AGENT_ROLE}/'
        for member in event.members:
            if member.startswith(prefix):
                view = AgentView(member.removeprefix(prefix), is_enrolled=True)
                view.authority_granted_at = boot_time()
                books.view_by_name[view.name] = view
        for unfinished in event.unfinished:
            plan = JobPlan.from_unfinished(unfinished, now, books.run_times)
            books.plan_by_id[unfinished.job.job_id] = plan
        log_event(
            'scheduler:leads',
            term=event.term,
            inherited_jobs=len(event.unfinished),
            members=event.members,
        )

    def _stand_down(self) -> None:
        books = self._books
        waiting = books.waiting_calls()
        log_event(
            'scheduler:stood_down',
            term=books.term,
            jobs=len(books.plan_by_id),
            calls=len(waiting),
        )
        books.open_term(0, Takeover.none())
        for call in waiting:
            answer(call, CallOutcome.UNKNOWN, detail='leader changed')
