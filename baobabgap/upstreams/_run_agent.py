"""Carries out the leader's orders on the upstream and reports to it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent.futures import Executor
from dataclasses import dataclass
from dataclasses import replace
from queue import SimpleQueue
import threading
import traceback
from typing import Final

from baobabgap.protocol import Authority
from baobabgap.protocol import AuthorityRequest
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import CRASHED
from baobabgap.protocol import EndRow
from baobabgap.protocol import EndsNoted
from baobabgap.protocol import EVACUATED
from baobabgap.protocol import FullReport
from baobabgap.protocol import LeaderReady
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import ReportRequest
from baobabgap.protocol import RunOrder
from baobabgap.protocol import RunRow
from baobabgap.protocol import RunsEnded
from baobabgap.protocol import RunsFound
from baobabgap.protocol import RunsGone
from baobabgap.protocol import StartRuns
from baobabgap.protocol import StopRuns
from baobabgap.protocol import UpstreamChanged
from baobabgap.protocol import UpstreamQuiet
from baobabgap.protocol import UpstreamState
from baobabgap.protocol import ZoneEvacuated
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection
from baobabgap.upstreams._client import CallNotDelivered
from baobabgap.upstreams._client import StartOutcome
from baobabgap.upstreams._client import UpstreamClient
from baobabgap.upstreams._client import UpstreamNotListening
from baobabgap.upstreams._client import UpstreamReport
from baobabgap.upstreams._client import UpstreamSuperseded
from baobabgap.upstreams._clock import LeaseClock
from baobabgap.upstreams._clock import SentLease
from baobabgap.upstreams._coldness import is_only_less_cold
from baobabgap.upstreams._crash_reports import CrashReports
from baobabgap.upstreams._crash_reports import log_lost_runs
from baobabgap.upstreams._crash_reports import rows_with_ages
from baobabgap.upstreams._end_numbers import EndNumbers
from baobabgap.upstreams._late_starts import LateStarts
from baobabgap.upstreams._late_starts import SentStart
from baobabgap.upstreams._run_table import RunTable
from baobabgap.upstreams._run_table import TrackedRun
from baobabgap.upstreams._unreadable_rows import UnreadableRows
from baobabgap.upstreams._zone_gate import ZoneGate

# Threads that send starts and stops; a call that hangs occupies one.
_CALLER_THREADS: Final = 8
# Milliseconds for which a poll waits for a run to end: several polls fit into
# a lease, so that a lost poll does not let it expire.
_POLL_WAIT_MS: Final = 250
# The same shortly after an unanswered poll, since an upstream that leaves
# calls unanswered delays the news of ended runs by the wait of each lost poll;
# and without a leader, since the next leader waits for a full report, which
# in turn waits for the poll in progress.
_SHORT_POLL_WAIT_MS: Final = 50
# Seconds for which polls use the short wait after an unanswered one.
_SHORT_POLL_PERIOD_S: Final = 5.0
# Seconds between two polls while ended runs wait for acknowledgement, as the
# upstream then answers at once, or while no lease can be renewed.
_POLL_PAUSE_S: Final = 0.012
# Seconds between polls while the upstream is unreachable or rejects the fence,
# and between checks for a first leader.
_POLL_RETRY_PAUSE_S: Final = 0.1
# Consecutive unanswered polls after which the upstream is unreachable.
_UNREACHABLE_AFTER_POLLS: Final = 3
# Seconds between repetitions of an unanswered stop.
_STOP_RETRY_PAUSE_S: Final = 0.25
# Seconds between requests for authority.
_AUTHORITY_PAUSE_S: Final = 0.25
# Seconds after which a background thread that failed starts again.
_THREAD_RESTART_PAUSE_S: Final = 0.2
# Milliseconds of remaining lease below which no start is sent.
_SHORTEST_LEASE_MS: Final = 200


@dataclass(frozen=True, slots=True)
class _StopCall:
    """A stop call to send."""

    fence: int
    instance: str
    run: TrackedRun


@dataclass(frozen=True, slots=True)
class _StartCall:
    """A start call to send."""

    link_number: int
    fence: int
    instance: str
    born_ms: int
    order: RunOrder


class RunAgent:
    """Starts, stops and watches the runs of one upstream.

    No other process calls the upstream. The agent starts and stops runs as
    the leader orders, renews their lease while the leader grants it the
    authority to, and reports ended runs until the leader confirms that they
    are durable. It ignores orders of a superseded leader, and orders that
    came over a link that has ended.
    """

    def __init__(
        self,
        client: UpstreamClient,
        timing: LeaseTiming,
        pool: Executor,
        metrics: Metrics,
    ) -> None:
        self._client: Final = client
        self._timing: Final = timing
        self._pool: Final = pool
        self._metrics: Final = metrics
        self._lock = threading.RLock()
        # Notified to wake the polling thread from a pause.
        self._poll_wakeup = threading.Condition(self._lock)
        self._calls: SimpleQueue[_StartCall | _StopCall | None] = SimpleQueue()
        self._stopping = False
        self._is_draining = False
        self._connection: Connection | None = None
        # Number of the current link; orders of earlier links are ignored.
        self._link_number = 0
        # Number of messages `StartRuns` on the current link.
        self._starts_received = 0
        # Unlike a due report, a requested one covers no later change: it may
        # have to wait until the upstream answers again.
        self._is_report_requested = False
        # The leader's term.
        self._fence = 0
        # The current link's first message; None before the first link.
        self._leader_ready: LeaderReady | None = None
        # Counts the upstream's incarnations on the current link.
        self._incarnation_number = 0
        self._upstream_fence = 0
        self._upstream: UpstreamState | None = None
        # What an incarnation announced of itself last.
        self._announced: UpstreamState | None = None
        self._crash_reports: Final = CrashReports()
        self._late_starts: Final = LateStarts(timing, boottime_clock())
        self._zone_gate: Final = ZoneGate(metrics)
        self._reset_incarnation()

    def start(self) -> None:
        """Start polling and calling the upstream, in threads of the pool."""
        self._pool.submit(self._run_with_restarts, self._poll_until_stopped)
        for _ in range(_CALLER_THREADS):
            self._pool.submit(self._run_with_restarts, self._send_calls)

    def drain(self) -> None:
        """Refuse new runs from now on, before a planned stop."""
        with self._lock:
            self._is_draining = True
            self._report_upstream()

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and every end is acknowledged."""
        with self._lock:
            return (
                not self._table.run_by_task and not self._unacknowledged_ends
            )

    def stop(self) -> None:
        """End all threads of the agent."""
        with self._lock:
            self._stopping = True
            self._poll_wakeup.notify_all()
        for _ in range(_CALLER_THREADS):
            self._calls.put(None)

    @property
    def upstream_fence(self) -> int:
        """The fence of calls to the upstream; 0 before the first leader.

        It rises with each link and each incarnation, so that the upstream
        rejects late calls of an earlier process of the agent, and late calls
        to an earlier incarnation of itself.
        """
        return self._upstream_fence

    def announce(
        self, upstream: UpstreamState | None, *, is_confirmed: bool = False
    ) -> None:
        """Set what the upstream announces of itself; None if it has left.

        `is_confirmed` states that the upstream has just confirmed which
        incarnation it is.
        """
        with self._lock:
            if upstream is not None and self._refuses_announcement(
                upstream, is_confirmed
            ):
                return
            current, has_answered = self._upstream, self._has_answered
            is_first = self._awaits_description
            if not _is_same_incarnation(current, upstream):
                self._replace_incarnation(upstream)
                self._is_confirmed = is_confirmed
            self._upstream = self._announced = upstream
            if is_first or (
                current != upstream
                and not is_only_less_cold(current, upstream)
            ):
                log_event(
                    'upstream_announced',
                    instance=upstream.instance if upstream else '',
                    born_ms=upstream.born_ms if upstream else 0,
                    draining=bool(upstream and upstream.is_draining),
                )
                if upstream is not None:
                    self._report_upstream()
                elif current is not None:
                    self._report_leave(current, has_answered=has_answered)
            self._poll_wakeup.notify_all()

    def _refuses_announcement(
        self, upstream: UpstreamState, is_confirmed: bool
    ) -> bool:
        """Log and refuse what an earlier upstream may have announced."""
        if not (
            is_confirmed and not self._is_answering
        ) and self._is_earlier_life(upstream.instance, upstream.born_ms):
            log_event(
                'announcement_too_late',
                instance=upstream.instance,
                born_ms=upstream.born_ms,
            )
            return True
        if (
            not is_confirmed
            and self._has_answered
            and self._is_other_identity(upstream.instance)
        ):
            log_event(
                'announcement_not_confirmed',
                instance=upstream.instance,
                born_ms=upstream.born_ms,
                reason='another upstream has answered',
            )
            return True
        return False

    def _replace_incarnation(self, upstream: UpstreamState | None) -> None:
        """Begin another incarnation; the runs of the current one are lost."""
        current = self._upstream
        self._report_lost_runs(
            'replaced' if upstream else 'left',
            has_crashed=upstream is not None
            and not (current and current.is_draining),
        )
        self._begin_incarnation(upstream)

    def leave(self, instance: str, born_ms: int) -> None:
        """Process that the incarnation that started at `born_ms` leaves."""
        with self._lock:
            if self._is_earlier_life(
                instance, born_ms
            ) or self._is_other_identity(instance):
                log_event('leave_too_late', instance=instance, born_ms=born_ms)
                return
            self.announce(None)

    def _is_other_identity(self, instance: str) -> bool:
        """Return whether an upstream with another identity is current."""
        current = self._upstream
        return current is not None and current.instance != instance

    def _is_earlier_life(self, instance: str, born_ms: int) -> bool:
        """Return whether a later incarnation of it is the current one."""
        current = self._upstream
        return (
            current is not None
            and current.instance == instance
            and born_ms < current.born_ms
        )

    @property
    def _awaits_description(self) -> bool:
        """Whether the upstream's incarnation has announced nothing so far.

        What is known of its kind is that of an earlier one, so that it takes
        no starts. An answer to a poll says only when it started.
        """
        return self._upstream is not None and not _is_same_incarnation(
            self._announced, self._upstream
        )

    def session(
        self,
        connection: Connection,
        ready: LeaderReady,
        messages: Iterator[object],
    ) -> None:
        """Serve one leader until the link ends; for a `LeaderLink`."""
        with self._lock:
            if ready.fence < self._fence:
                log_event(
                    'leader_superseded',
                    fence=ready.fence,
                    newest_fence=self._fence,
                )
                return
            self._link_number += 1
            self._starts_received = 0
            self._is_report_requested = False
            self._fence = ready.fence
            self._leader_ready = ready
            self._incarnation_number = 0
            self._raise_upstream_fence()
            self._zone_gate.begin_link()
            self._connection = connection
            # The next poll with this fence triggers a full report.
            self._is_full_report_due = True
            self._are_crashes_told = False
            self._authority_requested_at = float('-inf')
            self._poll_wakeup.notify_all()
        try:
            for message in messages:
                self._handle_message(message)
        finally:
            with self._lock:
                if self._connection is connection:
                    self._connection = None
                    self._link_number += 1

    def _begin_incarnation(self, upstream: UpstreamState | None) -> None:
        """Use the next incarnation of the upstream, or none.

        The runs that it may still start are stopped, and are reported as
        runs until then.
        """
        self._reset_incarnation()
        self._incarnation_number += 1
        self._raise_upstream_fence()
        self._upstream = upstream
        if upstream is None:
            return
        for run in self._late_starts.runs_to_stop(
            upstream.instance, boottime_clock()
        ):
            log_event(
                'late_start_possible',
                job=run.task.job_id,
                task=f'{run.task.step}.{run.task.index}',
                run=run.run,
                instance=upstream.instance,
                born_ms=upstream.born_ms,
            )
            self._table.run_by_task[run.task] = run
        self._queue_due_stops()

    def _raise_upstream_fence(self) -> None:
        if self._leader_ready is not None:
            self._upstream_fence = self._leader_ready.upstream_fence(
                self._incarnation_number
            )

    def _reset_incarnation(self) -> None:
        """Discard the state of an earlier incarnation of the upstream."""
        self._table = RunTable()
        self._clock = LeaseClock(
            boottime_clock(), self._timing.longest_lease_s
        )
        self._authority_until_ms = 0
        self._end_numbers = EndNumbers()
        self._unreadable_rows = UnreadableRows()
        # The highest number of an end that the leader has made durable.
        self._acknowledged_number = 0
        # Ends that the leader has not made durable yet, by number.
        self._unacknowledged_ends: dict[int, EndRow] = {}
        self._unanswered_polls = 0
        # When the first of the latest unanswered polls failed.
        self._unanswered_since: float | None = None
        self._last_unanswered_at = float('-inf')
        # Another start time that the last answer stated; 0 if it didn't.
        self._other_born_ms = 0
        # Whether this incarnation has answered a poll.
        self._is_answering = False
        # Whether it has confirmed its identity when it was announced.
        self._is_confirmed = False
        # Whether the last poll was refused for want of a listening process.
        self._is_refused = False
        # Runs whose lease has lapsed since the upstream's last answer.
        self._lapsed_rows: tuple[RunRow, ...] = ()
        self._is_full_report_due = True
        # Whether the crashes were told before the full report that is due.
        self._are_crashes_told = False
        self._authority_requested_at = float('-inf')

    @property
    def _has_answered(self) -> bool:
        """Whether this incarnation has answered this process of the agent."""
        return self._is_answering or self._is_confirmed

    # The leader's orders.

    def _handle_message(self, message: object) -> None:
        match message:
            case StartRuns():
                self._handle_starts(message)
            case StopRuns(fence=fence, runs=runs):
                self._handle_stops(fence, runs)
            case EndsNoted():
                self._handle_ends_noted(message)
            case ZoneEvacuated(fence=fence):
                with self._lock:
                    if fence == self._fence:
                        self._zone_gate.note(message)
            case Authority():
                self._handle_authority(message)
            case ReportRequest(fence=fence):
                with self._lock:
                    self._is_report_requested = fence == self._fence

    def _handle_authority(self, message: Authority) -> None:
        with self._lock:
            upstream = self._upstream
            if (
                message.fence != self._fence
                or upstream is None
                or upstream.instance != message.instance
            ):
                return
            if message.born_ms not in (0, upstream.born_ms):
                # It was counted from the clock of another incarnation.
                log_event(
                    'authority_refused',
                    instance=message.instance,
                    born_ms=message.born_ms,
                    current_born_ms=upstream.born_ms,
                    until_clock_ms=message.until_clock_ms,
                )
                return
            most_ms = self._clock.most_ms(boottime_clock())
            if message.until_clock_ms > most_ms + self._authority_ms:
                # It was counted from a reading that was refused since.
                log_event(
                    'authority_refused',
                    instance=message.instance,
                    born_ms=message.born_ms,
                    until_clock_ms=message.until_clock_ms,
                    most_clock_ms=int(most_ms),
                )
                return
            self._zone_gate.compare(message)
            self._authority_until_ms = message.until_clock_ms
            self._poll_wakeup.notify_all()

    def _handle_starts(self, message: StartRuns) -> None:
        with self._lock:
            self._starts_received += 1
            upstream = self._upstream
            is_current = (
                upstream is not None
                and upstream.instance == message.instance
                and upstream.born_ms == message.born_ms
            )
            if message.fence != self._fence:
                # The leader is superseded.
                return
            rows = tuple(
                RunRow(order.task, order.run, False)
                for order in message.orders
            )
            if upstream is None or not is_current:
                self._refuse_for_other_life(message, rows)
                return
            if upstream.is_draining or self._is_draining:
                self._send_runs_gone(rows, 'draining')
                return
            if self._awaits_description:
                self._send_runs_gone(rows, 'undescribed')
                return
            if self._zone_gate.refuses(upstream, len(rows)):
                self._send_runs_gone(rows, EVACUATED)
                return
            for order in message.orders:
                known = self._table.run_by_task.get(order.task)
                if known is not None:
                    self._refuse_beside(order, known)
                    continue
                self._table.run_by_task[order.task] = TrackedRun(
                    order.task, order.run, order.demand
                )
                self._calls.put(
                    _StartCall(
                        self._link_number,
                        self._upstream_fence,
                        message.instance,
                        message.born_ms,
                        order,
                    )
                )

    def _refuse_for_other_life(
        self, message: StartRuns, rows: tuple[RunRow, ...]
    ) -> None:
        """Refuse starts for another incarnation than the current one.

        The leader doesn't know the current one, which may stay silent for
        long before it is reported.
        """
        log_event(
            'starts_for_other_life',
            instance=message.instance,
            born_ms=message.born_ms,
            starts=len(rows),
        )
        if self._connection is not None:
            self._connection.send(
                RunsGone(message.instance, message.born_ms, rows, 'not sent')
            )

    def _refuse_beside(self, order: RunOrder, known: TrackedRun) -> None:
        """Refuse a start while another run of the task may be running.

        The leader must know that one first, to count its room and its end.
        """
        if known.run == order.run:
            return
        log_event(
            'start_beside_run',
            job=order.task.job_id,
            task=f'{order.task.step}.{order.task.index}',
            run=order.run,
            known_run=known.run,
        )
        rows = (RunRow(order.task, order.run, False, order.demand),)
        self._send_runs_gone(rows, 'other run', (known.row,))

    def _handle_stops(self, fence: int, rows: tuple[RunRow, ...]) -> None:
        with self._lock:
            if fence != self._fence:
                return
            for row in rows:
                run = self._table.get(row.task, row.run)
                if run is None:
                    self._handle_unknown_stop(row)
                    continue
                run.must_stop = True
            self._queue_due_stops()

    def _handle_unknown_stop(self, row: RunRow) -> None:
        """Stop a run that is not known here, unless it has ended.

        An earlier process may have sent its start, which the upstream may
        still carry out unless a stop arrives first.
        """
        upstream = self._upstream
        is_ended = any(
            end.task == row.task and end.run == row.run
            for end in self._unacknowledged_ends.values()
        )
        if is_ended or upstream is None:
            return
        other = self._table.run_by_task.get(row.task)
        if other is not None:
            self._send_runs_gone((row,), 'not here', (other.row,))
            return
        run = self._table.run_by_task[row.task] = TrackedRun(
            row.task,
            row.run,
            row.demand,
            is_in_flight=False,
            must_stop=True,
            reason='not here',
        )
        self._late_starts.begin(upstream.instance, run, boottime_clock())

    def _handle_ends_noted(self, message: EndsNoted) -> None:
        with self._lock:
            upstream = self._upstream
            if (
                upstream is None
                or upstream.instance != message.instance
                or upstream.born_ms != message.born_ms
            ):
                return
            self._acknowledged_number = max(
                self._acknowledged_number, message.number
            )
            for number in [
                n
                for n in self._unacknowledged_ends
                if n <= self._acknowledged_number
            ]:
                del self._unacknowledged_ends[number]
            self._poll_wakeup.notify_all()

    # Start calls.

    def _send_calls(self) -> None:
        while True:
            match self._calls.get():
                case _StartCall() as start:
                    self._send_start(start)
                case _StopCall() as stop:
                    self._send_stop(stop)
                case None:
                    return

    def _send_start(self, start: _StartCall) -> None:
        sent_at = boottime_clock()
        sent = self._begin_start(start, sent_at)
        if sent is None:
            return
        lease, sent_start = sent
        outcome, clock_ms = self._client.start(
            start.instance, start.order, start.fence, lease.until_ms
        )
        with self._lock:
            self._clock.settle_lease(
                lease,
                was_delivered=outcome is not StartOutcome.NOT_DELIVERED,
            )
            self._settle_start(sent_start, outcome)
        self._handle_start_outcome(start, outcome, clock_ms, sent_at)

    def _settle_start(self, start: SentStart, outcome: StartOutcome) -> None:
        match outcome:
            case StartOutcome.UNANSWERED | StartOutcome.STARTED_BY_REPETITION:
                return
            case StartOutcome.STARTED:
                self._late_starts.note_answered(start, boottime_clock())
            case _:
                self._late_starts.settle(start)

    def _begin_start(
        self, call: _StartCall, sent_at: float
    ) -> tuple[SentLease, SentStart] | None:
        """Record a start that is about to be sent, or return None."""
        order = call.order
        with self._lock:
            run = self._table.get(order.task, order.run)
            if run is None or not self._is_current(call):
                return None
            if call.link_number != self._link_number or run.must_stop:
                self._table.remove(order.task, order.run)
                self._send_runs_gone((run.row,), 'not sent')
                return None
            if self._zone_gate.refuses(self._upstream, 1):
                self._table.remove(order.task, order.run)
                self._send_runs_gone((run.row,), EVACUATED)
                return None
            until_ms = self._next_lease_end_ms()
            now_ms = self._clock.estimate_ms(sent_at)
            if until_ms - now_ms < _SHORTEST_LEASE_MS or self._other_born_ms:
                self._table.remove(order.task, order.run)
                self._send_runs_gone((run.row,), 'no authority')
                return None
            run.began_at = sent_at
            return (
                self._clock.begin_lease(until_ms),
                self._late_starts.begin(call.instance, run, sent_at),
            )

    def _is_current(self, call: _StartCall) -> bool:
        """Return whether a start was ordered for the current incarnation."""
        upstream = self._upstream
        return (
            upstream is not None
            and upstream.instance == call.instance
            and upstream.born_ms == call.born_ms
        )

    def _handle_start_outcome(
        self,
        call: _StartCall,
        outcome: StartOutcome,
        clock_ms: int,
        sent_at: float,
    ) -> None:
        order = call.order
        answered_at = boottime_clock()
        end = StartOutcome.STARTED if outcome.has_started else outcome
        self._metrics.count(f'baobabgap_starts_total{{end="{end}"}}')
        with self._lock:
            if not self._is_current(call):
                # Neither the clock nor the run is that of the current one.
                return
            self._record_reading(clock_ms, sent_at, answered_at)
            run = self._table.get(order.task, order.run)
            if run is None:
                return
            run.is_in_flight = False
            match outcome:
                case StartOutcome.STARTED | StartOutcome.STARTED_BY_REPETITION:
                    run.is_confirmed = True
                case StartOutcome.UNANSWERED:
                    # The upstream may still carry it out seconds later,
                    # unless a stop arrives first.
                    run.must_stop = run.must_stop or not run.is_confirmed
                    run.reason = 'unanswered'
                    self._queue_due_stops()
                case _:
                    self._table.remove(order.task, order.run)
                    self._send_runs_gone((run.row,), str(outcome))
        if not outcome.has_started:
            log_event(
                'start_refused',
                job=order.task.job_id,
                task=f'{order.task.step}.{order.task.index}',
                run=order.run,
                outcome=outcome,
                fence=call.fence,
            )

    # Stop calls.

    def _queue_due_stops(self) -> None:
        """Queue the stops that are due; the caller holds the lock."""
        upstream = self._upstream
        if upstream is None:
            return
        now = boottime_clock()
        for run in self._table.stops_due(now - _STOP_RETRY_PAUSE_S):
            run.stop_sent_at = now
            self._calls.put(
                _StopCall(self._upstream_fence, upstream.instance, run)
            )

    def _send_stop(self, stop: _StopCall) -> None:
        run = stop.run
        answered = self._client.stop(
            stop.instance, run.task, run.run, stop.fence
        )
        with self._lock:
            if answered and run.stopped_at is None:
                run.stopped_at = boottime_clock()

    # Polls.

    def _poll_until_stopped(self) -> None:
        while True:
            with self._lock:
                if self._stopping:
                    return
                upstream = self._upstream
                fence = self._upstream_fence
                # Another incarnation would discard its own ends.
                may_have_restarted = (
                    self._other_born_ms or self._unanswered_polls
                )
                acknowledged_number = (
                    0 if may_have_restarted else self._acknowledged_number
                )
                lease_end_ms = (
                    self._next_lease_end_ms()
                    if self._clock.is_known and not self._other_born_ms
                    else 0
                )
                is_full_report_due = self._is_full_report_due
                is_answer_due = self._table.has_rejected_run
            if not fence:
                self._pause(_POLL_RETRY_PAUSE_S)
                continue
            sent_at = boottime_clock()
            wait_ms = (
                0
                if is_full_report_due or not lease_end_ms or is_answer_due
                else self._poll_wait_ms()
            )
            try:
                report = self._poll(
                    upstream.instance if upstream else '',
                    fence,
                    acknowledged_number,
                    lease_end_ms,
                    wait_ms,
                )
            except UpstreamSuperseded:
                log_event('upstream_superseded', fence=fence)
                self._pause(_POLL_RETRY_PAUSE_S)
                continue
            if report is None:
                self._handle_unanswered_poll()
                if self._unanswered_polls >= _UNREACHABLE_AFTER_POLLS:
                    self._pause(_POLL_RETRY_PAUSE_S)
                continue
            self._handle_report(upstream, fence, report, sent_at)
            if (
                not lease_end_ms
                or self._is_full_report_due
                or report.unreadable_rows
            ):
                self._pause(_POLL_PAUSE_S)
            else:
                self._wait_for_acknowledgement()

    def _poll(
        self,
        instance: str,
        fence: int,
        acknowledged_number: int,
        lease_end_ms: int,
        wait_ms: int,
    ) -> UpstreamReport | None:
        """Poll the upstream; return None if it doesn't answer."""
        with self._lock:
            lease = self._clock.begin_lease(lease_end_ms)
        was_delivered, is_refused = True, False
        report = None
        try:
            report = self._client.poll(
                instance, fence, acknowledged_number, lease_end_ms, wait_ms
            )
            return report
        except CallNotDelivered as error:
            was_delivered = False
            is_refused = isinstance(error, UpstreamNotListening)
            return None
        finally:
            with self._lock:
                is_settled = report is not None and not report.was_repeated
                self._clock.settle_lease(
                    lease,
                    was_delivered=was_delivered,
                    answered_at=boottime_clock() if is_settled else None,
                )
                self._is_refused = is_refused

    def _wait_for_acknowledgement(self) -> None:
        """Wait briefly while ended runs aren't acknowledged.

        Until then, the upstream answers every poll at once.
        """
        with self._lock:
            self._poll_wakeup.wait_for(
                lambda: (
                    self._stopping
                    or self._is_full_report_due
                    or not (
                        self._unacknowledged_ends
                        or self._end_numbers.open_rows
                    )
                ),
                _POLL_PAUSE_S,
            )

    def _handle_report(
        self,
        upstream: UpstreamState | None,
        fence: int,
        report: UpstreamReport,
        sent_at: float,
    ) -> None:
        answered_at = boottime_clock()
        with self._lock:
            if self._upstream is not upstream and not _is_same_incarnation(
                self._upstream, upstream
            ):
                return
            if (
                self._upstream is not None
                and report.born_ms
                and self._upstream.born_ms
                and report.born_ms != self._upstream.born_ms
            ):
                if report.born_ms != self._other_born_ms:
                    log_event(
                        'start_time_not_believed',
                        born_ms=report.born_ms,
                        current_born_ms=self._upstream.born_ms,
                        reason='a second answer has to state it',
                    )
                    self._other_born_ms = report.born_ms
                    return
                # The upstream restarted under the same identity.
                self._report_lost_runs(
                    'restarted', has_crashed=not self._upstream.is_draining
                )
                self._begin_incarnation(
                    replace(self._upstream, born_ms=report.born_ms)
                )
                if self._awaits_description:
                    log_event(
                        'description_awaited',
                        instance=self._upstream.instance,
                        born_ms=report.born_ms,
                    )
                self._is_answering = True
                self._report_upstream()
                return
            self._is_answering = True
            self._other_born_ms = 0
            self._late_starts.settle_answered(sent_at)
            self._record_reading(report.clock_ms, sent_at, answered_at)
            self._handle_answered_poll()
            self._queue_due_stops()
            report = replace(
                report,
                ended=self._end_numbers.believed_rows(
                    report.ended, answered_at
                ),
            )
            open_runs = frozenset(
                (row.task, row.run) for row in self._end_numbers.open_rows
            )
            self._note_unreadable_rows(report, answered_at)
            unknown, gone = self._table.apply_report(
                report, sent_at, open_runs, self._unreadable_rows.may_hide
            )
            if unknown:
                self._log_found_runs(unknown, fence)
            new_ends = tuple(
                row
                for row in report.ended
                if row.number > self._acknowledged_number
                and row.number not in self._unacknowledged_ends
            )
            self._unacknowledged_ends.update(
                {row.number: row for row in new_ends}
            )
            # The leader would take a run that isn't reported for lost.
            is_complete = not self._unreadable_rows.may_hide(None) and all(
                self._table.get(*run) for run in open_runs
            )
            if self._is_full_report_due or (
                self._is_report_requested and is_complete
            ):
                if is_complete:
                    self._send_full_report(fence)
            else:
                self._send_run_changes(new_ends, unknown, gone)
            if not self._is_full_report_due:
                # Else a takeover could end while the authority is valid.
                self._request_authority()

    def _log_found_runs(self, rows: list[RunRow], fence: int) -> None:
        upstream = self._upstream
        if upstream is None:
            # They are found again once it has announced itself.
            return
        log_event(
            'runs_found',
            instance=upstream.instance,
            born_ms=upstream.born_ms,
            fence=fence,
            runs=[
                f'{row.task.job_id}.{row.task.step}.{row.task.index}#{row.run}'
                for row in rows
            ],
        )

    def _note_unreadable_rows(
        self, report: UpstreamReport, answered_at: float
    ) -> None:
        """Decide what unreadable rows may stand for; the lock is held.

        A new leader grants no authority before the full report, so that the
        leases expire which could keep a run alive that isn't readable.
        """
        is_idle = (
            not report.running
            and self._clock.has_lapsed(answered_at)
            and not self._table.may_run_at(answered_at)
        )
        self._unreadable_rows.note_listed(
            report.unreadable_rows, answered_at, is_idle=is_idle
        )
        if not is_idle or not report.unreadable_rows:
            return
        lapsed = self._table.pop_lapsed(answered_at)
        if lapsed:
            # Their ends may be among the rows.
            self._log_lost_runs(lapsed, 'lease lapsed')
            self._send_runs_gone(tuple(run.row for run in lapsed), 'lapsed')

    def _send_full_report(self, fence: int) -> None:
        if self._connection is None or fence != self._upstream_fence:
            return
        if self._upstream is None:
            if not self._table.run_by_task:
                self._connection.send(UpstreamQuiet(self._fence))
            return
        self._is_full_report_due = False
        self._is_report_requested = False
        self._connection.send(
            FullReport(
                self._fence,
                self._reported_upstream(),
                self._table.rows(),
                tuple(
                    self._unacknowledged_ends[n]
                    for n in sorted(self._unacknowledged_ends)
                ),
                self._crash_reports.latest(boottime_clock()),
                self._starts_received,
            )
        )

    def _send_run_changes(
        self,
        new_ends: tuple[EndRow, ...],
        unknown: list[RunRow],
        gone: list[RunRow],
    ) -> None:
        upstream = self._upstream
        if self._connection is None or upstream is None:
            return
        incarnation = (upstream.instance, upstream.born_ms)
        # Ends go first: otherwise the leader could take a run that ended for
        # one that never ran.
        if new_ends:
            self._connection.send(RunsEnded(*incarnation, new_ends))
        if unknown:
            self._connection.send(RunsFound(*incarnation, tuple(unknown)))
        if gone:
            self._connection.send(
                RunsGone(*incarnation, tuple(gone), 'stopped')
            )

    def _poll_wait_ms(self) -> int:
        had_unanswered_poll = (
            boottime_clock() - self._last_unanswered_at < _SHORT_POLL_PERIOD_S
        )
        if had_unanswered_poll or self._connection is None:
            return _SHORT_POLL_WAIT_MS
        return _POLL_WAIT_MS

    def _handle_unanswered_poll(self) -> None:
        """Count an unanswered poll; once the lease expired, drop the runs."""
        with self._lock:
            self._unanswered_polls += 1
            self._last_unanswered_at = boottime_clock()
            if self._unanswered_since is None:
                self._unanswered_since = self._last_unanswered_at
            if self._unanswered_polls == _UNREACHABLE_AFTER_POLLS:
                self._report_reachability(False)
            if not self._clock.has_lapsed(boottime_clock()):
                return
            if self._table.run_by_task:
                self._handle_lapsed_lease()
            if (
                self._is_full_report_due
                and self._connection is not None
                and not self._table.run_by_task
            ):
                # The upstream can't be polled, but with its lease expired it
                # runs nothing.
                self._send_crashes()
                self._connection.send(UpstreamQuiet(self._fence))

    def _send_crashes(self) -> None:
        """Tell of the crashes that the due full report would tell of.

        The leader is about to start what ran there again.
        """
        if self._connection is None or self._are_crashes_told:
            return
        self._are_crashes_told = True
        for crash in self._crash_reports.latest(boottime_clock()):
            self._connection.send(crash)

    def _handle_lapsed_lease(self) -> None:
        """Give up the runs that end with it; the caller holds the lock."""
        lapsed = self._table.pop_lapsed(boottime_clock())
        if not lapsed:
            return
        rows = tuple(run.row for run in lapsed)
        has_crashed = self._is_refused and not (
            self._upstream and self._upstream.is_draining
        )
        log_event('lease_lapsed', runs=len(rows), crashed=has_crashed)
        lost = self._log_lost_runs(lapsed, 'lease lapsed')
        if has_crashed:
            self._send_runs_gone(self._note_crash(lost), CRASHED)
        else:
            # Whether the upstream has crashed shows when it is back.
            self._lapsed_rows = lost
        self._send_runs_gone(rows, 'lapsed')

    def _report_lost_runs(self, reason: str, *, has_crashed: bool) -> None:
        """Log and report the runs that ended with the upstream.

        The caller holds the lock, and discards the runs afterwards.
        """
        upstream = self._upstream
        lost = self._log_lost_runs(self._table.run_by_task.values(), reason)
        if upstream is None or not has_crashed:
            return
        rows = self._note_crash(lost)
        now = boottime_clock()
        if not self._late_starts.are_possible(upstream.instance, now):
            self._send_runs_gone(rows, CRASHED)
        # Else the next full report tells of the crash, and which runs the
        # next incarnation has or may still start.

    def _log_lost_runs(
        self, runs: Iterable[TrackedRun], reason: str
    ) -> tuple[RunRow, ...]:
        """Log and return the runs that ended with the upstream."""
        upstream = self._upstream
        now = boottime_clock()
        ended_at = self._unanswered_since or now
        rows = self._lapsed_rows + rows_with_ages(runs, ended_at)
        if upstream is not None and rows:
            log_lost_runs(
                upstream,
                rows,
                reason,
                round(1000 * (now - ended_at)),
                self._clock.remaining_ms(now),
            )
        return rows

    def _note_crash(self, rows: tuple[RunRow, ...]) -> tuple[RunRow, ...]:
        """Keep a crash for the next leaders; return the runs."""
        if self._upstream is not None and rows:
            self._crash_reports.add(self._upstream, rows, boottime_clock())
        return rows

    def _handle_answered_poll(self) -> None:
        was_unreachable = self._unanswered_polls >= _UNREACHABLE_AFTER_POLLS
        self._unanswered_polls = 0
        self._unanswered_since = None
        self._lapsed_rows = ()
        if was_unreachable:
            # The report is computed from the state set above.
            self._report_reachability(True)

    def _report_reachability(self, is_reachable: bool) -> None:
        log_event('upstream_reachable', reachable=is_reachable)
        self._report_upstream()

    def _reported_upstream(self) -> UpstreamState | None:
        """Return the upstream's state as reported to the leader."""
        if self._upstream is None:
            return None
        return replace(
            self._upstream,
            is_draining=self._upstream.is_draining or self._is_draining,
            is_reachable=self._unanswered_polls < _UNREACHABLE_AFTER_POLLS
            and not self._awaits_description,
        )

    def _report_upstream(self) -> None:
        if self._connection is None or self._upstream is None:
            return
        # A full report that is due covers the change.
        if not self._is_full_report_due:
            self._connection.send(UpstreamChanged(self._reported_upstream()))

    def _report_leave(
        self, left: UpstreamState, *, has_answered: bool
    ) -> None:
        """Report that the upstream has left; it certainly runs nothing.

        Unless it has never answered this process: then it may have left
        before another incarnation that is there now, and a lapsed lease
        shows that nothing runs.
        """
        if not has_answered:
            log_event(
                'leave_not_reported',
                instance=left.instance,
                born_ms=left.born_ms,
                reason='this incarnation has not answered',
            )
        elif self._connection is not None:
            self._connection.send(
                UpstreamChanged(None, left.instance, left.born_ms)
            )

    def _send_runs_gone(
        self,
        rows: tuple[RunRow, ...],
        reason: str,
        found: tuple[RunRow, ...] = (),
    ) -> None:
        upstream = self._upstream
        if rows and self._connection is not None and upstream is not None:
            self._connection.send(
                RunsGone(
                    upstream.instance, upstream.born_ms, rows, reason, found
                )
            )

    # Leases.

    @property
    def _authority_ms(self) -> int:
        return int(1000 * self._timing.authority_s)

    def _record_reading(
        self, clock_ms: int, sent_at: float, answered_at: float
    ) -> None:
        """Record a reading of the upstream's clock, if an answer has one."""
        if not clock_ms:
            return
        replacements = self._clock.replacements
        refusal = self._clock.record_reading(clock_ms, answered_at, sent_at)
        is_replaced = self._clock.replacements != replacements
        if is_replaced:
            # It was counted from the readings before.
            self._authority_until_ms = 0
            self._authority_requested_at = float('-inf')
        if refusal:
            log_event(
                'clock_refused',
                clock_ms=clock_ms,
                reason=refusal,
                readings_replaced=is_replaced,
            )

    def _next_lease_end_ms(self) -> int:
        """Return the latest permitted end of a lease sent now.

        In milliseconds of the upstream's clock.
        """
        longest_ms = int(1000 * self._timing.longest_lease_s)
        now_ms = self._clock.estimate_ms(boottime_clock())
        return min(now_ms + longest_ms, self._authority_until_ms)

    def _request_authority(self) -> None:
        now = boottime_clock()
        if now - self._authority_requested_at < _AUTHORITY_PAUSE_S:
            return
        upstream = self._reported_upstream()
        if self._connection is None or upstream is None:
            return
        if not self._clock.is_known:
            return
        self._authority_requested_at = now
        self._connection.send(
            AuthorityRequest(
                self._clock.last_read_ms,
                upstream.instance,
                len(self._table.run_by_task),
                upstream.born_ms,
                upstream.is_draining,
                upstream.is_reachable,
                upstream.capacity,
                upstream.description_crc,
            )
        )

    def _pause(self, seconds: float) -> None:
        with self._lock:
            if not self._stopping:
                self._poll_wakeup.wait(seconds)

    def _run_with_restarts(self, run: Callable[[], None]) -> None:
        """Run a thread's function, and again after each exception.

        Without the agent, the upstream's lease expires and its runs end.
        """
        while not self._stopping:
            try:
                run()
            except Exception as error:
                log_event(
                    'task_failed',
                    error=repr(error),
                    trace=traceback.format_exc(limit=-4),
                )
                self._pause(_THREAD_RESTART_PAUSE_S)


def _is_same_incarnation(
    one: UpstreamState | None, other: UpstreamState | None
) -> bool:
    if one is None or other is None:
        return False
    return (one.instance, one.born_ms) == (other.instance, other.born_ms)
