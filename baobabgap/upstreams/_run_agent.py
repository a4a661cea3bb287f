"""The agent beside an upstream: orders, leases, stops and reports."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Executor
from dataclasses import dataclass
from dataclasses import replace
from queue import SimpleQueue
import threading
import traceback
from typing import Final

from baobabgap.dispatch import Authority
from baobabgap.dispatch import AuthorityRequest
from baobabgap.dispatch import boottime_clock
from baobabgap.dispatch import EndRow
from baobabgap.dispatch import EndsNoted
from baobabgap.dispatch import FullReport
from baobabgap.dispatch import LeaderReady
from baobabgap.dispatch import LeaseTiming
from baobabgap.dispatch import RunOrder
from baobabgap.dispatch import RunRow
from baobabgap.dispatch import RunsEnded
from baobabgap.dispatch import RunsFound
from baobabgap.dispatch import RunsGone
from baobabgap.dispatch import StartRuns
from baobabgap.dispatch import StopRuns
from baobabgap.dispatch import UpstreamChanged
from baobabgap.dispatch import UpstreamQuiet
from baobabgap.dispatch import UpstreamState
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection
from baobabgap.upstreams._client import Holding
from baobabgap.upstreams._client import StartOutcome
from baobabgap.upstreams._client import UpstreamClient
from baobabgap.upstreams._client import UpstreamSuperseded
from baobabgap.upstreams._clock import LeaseClock
from baobabgap.upstreams._run_table import RunTable
from baobabgap.upstreams._run_table import TrackedRun

# Tasks that send starts and stops; a call that hangs holds one of them.
_CALLERS: Final = 8
# The longest wait of one look for ends, milliseconds: several looks fit
# into a lease, so that a lost one does no harm.
_LOOK_WAIT_MS: Final = 250
# The same after a look that got no answer, since an upstream that leaves calls
# unanswered hides ends for as long as a look waits; and without a leader, as
# the next one waits for a report, which has to wait for a look.
_SHORT_LOOK_WAIT_MS: Final = 50
# Seconds for which looks stay short after one got no answer.
_WARY_S: Final = 5.0
# Seconds between two looks at least, while ends wait to be noted.
_LOOK_PAUSE_S: Final = 0.012
# Seconds between tries while the upstream doesn't answer.
_SILENT_PAUSE_S: Final = 0.1
# Looks without an answer after which the upstream counts as unreachable.
_SILENT_LOOKS: Final = 3
# Seconds between repetitions of a stop that got no answer.
_STOP_PAUSE_S: Final = 0.25
# Seconds between requests for authority.
_AUTHORITY_PAUSE_S: Final = 0.25
# Seconds after which a task that has failed runs again.
_FAILED_TASK_PAUSE_S: Final = 0.2
# Milliseconds of lease below which a start isn't worth sending.
_SHORTEST_LEASE_MS: Final = 200


@dataclass(frozen=True, slots=True)
class _Stop:
    """One stop that a caller is to send."""

    fence: int
    instance: str
    run: TrackedRun


@dataclass(frozen=True, slots=True)
class _Start:
    """One start that a caller is to send."""

    link: int
    fence: int
    instance: str
    order: RunOrder


class RunAgent:
    """The only caller of one upstream.

    It starts and stops runs as the leader orders, renews the lease of
    what runs while it has authority to, and reports ends until the leader
    says that they are durable. Orders of a leader that was superseded, or
    that came over a link which has ended, are void.
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
        # Notified when the looking task should not sleep on.
        self._changed = threading.Condition(self._lock)
        self._calls: SimpleQueue[_Start | _Stop | None] = SimpleQueue()
        self._stopping = False
        self._is_leaving = False
        self._connection: Connection | None = None
        # Counts links; orders of earlier ones are void.
        self._link = 0
        self._fence = 0
        self._upstream: UpstreamState | None = None
        self._begin_life()

    def start(self) -> None:
        """Begin to look after the upstream."""
        self._pool.submit(self._run_logged, self._look_until_stopped)
        for _ in range(_CALLERS):
            self._pool.submit(self._run_logged, self._send_calls)

    def leave(self) -> None:
        """Take nothing new; a planned stop follows once nothing runs."""
        with self._lock:
            self._is_leaving = True
            self._tell_upstream()

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing runs and no end waits to be noted."""
        with self._lock:
            return not self._table.run_by_task and not self._unnoted

    def stop(self) -> None:
        """End all tasks."""
        with self._lock:
            self._stopping = True
            self._changed.notify_all()
        for _ in range(_CALLERS):
            self._calls.put(None)

    def announce(self, upstream: UpstreamState | None) -> None:
        """Take note of what the upstream says of itself; None: it left."""
        with self._lock:
            held = self._upstream
            is_same = (
                held is not None
                and upstream is not None
                and held.instance == upstream.instance
                and held.born_ms == upstream.born_ms
            )
            if not is_same:
                self._begin_life()
            self._upstream = upstream
            if held != upstream:
                log_event(
                    'upstream_announced',
                    instance=upstream.instance if upstream else '',
                    born_ms=upstream.born_ms if upstream else 0,
                    draining=bool(upstream and upstream.is_draining),
                )
                self._tell_upstream()
            self._changed.notify_all()

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
            self._link += 1
            self._fence = ready.fence
            self._connection = connection
            # A full report follows the next look with this fence.
            self._owes_report = True
            self._authority_asked_at = float('-inf')
            self._changed.notify_all()
        try:
            for message in messages:
                self._take(message)
        finally:
            with self._lock:
                if self._connection is connection:
                    self._connection = None
                    self._link += 1

    def _begin_life(self) -> None:
        """Forget what belongs to an earlier life of the upstream."""
        self._table = RunTable()
        self._clock = LeaseClock(
            boottime_clock(), self._timing.longest_lease_s
        )
        self._authority_until_ms = 0
        # The highest end that the leader has made durable.
        self._noted = 0
        # Ends that were seen and are not noted, by number.
        self._unnoted: dict[int, EndRow] = {}
        self._silent_looks = 0
        self._silent_at = float('-inf')
        self._owes_report = True
        self._authority_asked_at = float('-inf')

    # Orders.

    def _take(self, message: object) -> None:
        match message:
            case StartRuns():
                self._take_starts(message)
            case StopRuns(fence=fence, runs=runs):
                self._take_stops(fence, runs)
            case EndsNoted():
                self._take_noted(message)
            case Authority(
                fence=fence, instance=instance, until_clock_ms=until_ms
            ):
                with self._lock:
                    upstream = self._upstream
                    if fence == self._fence and (
                        upstream is not None and upstream.instance == instance
                    ):
                        self._authority_until_ms = until_ms
                        self._changed.notify_all()

    def _take_starts(self, message: StartRuns) -> None:
        with self._lock:
            upstream = self._upstream
            is_meant = (
                upstream is not None
                and upstream.instance == message.instance
                and upstream.born_ms == message.born_ms
            )
            if message.fence != self._fence or not is_meant:
                # The leader will learn of the other life, or is gone.
                return
            assert upstream is not None
            if upstream.is_draining or self._is_leaving:
                rows = tuple(
                    RunRow(order.task, order.run, False)
                    for order in message.orders
                )
                self._send_gone(rows, 'draining')
                return
            for order in message.orders:
                self._table.run_by_task[order.task] = TrackedRun(
                    order.task, order.run, order.demand
                )
                self._calls.put(
                    _Start(self._link, self._fence, message.instance, order)
                )

    def _take_stops(self, fence: int, rows: tuple[RunRow, ...]) -> None:
        with self._lock:
            if fence != self._fence:
                return
            for row in rows:
                run = self._table.get(row.task, row.run)
                if run is None:
                    self._report_missing(row)
                    continue
                run.must_stop = True
            self._order_stops()

    def _report_missing(self, row: RunRow) -> None:
        """Answer for a run that is not here: it never was, or has ended."""
        is_ended = any(
            end.task == row.task and end.run == row.run
            for end in self._unnoted.values()
        )
        if not is_ended:
            self._send_gone((row,), 'not here')

    def _take_noted(self, message: EndsNoted) -> None:
        with self._lock:
            upstream = self._upstream
            if (
                upstream is None
                or upstream.instance != message.instance
                or upstream.born_ms != message.born_ms
            ):
                return
            self._noted = max(self._noted, message.number)
            for number in [n for n in self._unnoted if n <= self._noted]:
                del self._unnoted[number]
            self._changed.notify_all()

    # Starts.

    def _send_calls(self) -> None:
        while True:
            match self._calls.get():
                case _Start() as start:
                    self._send_start(start)
                case _Stop() as stop:
                    self._send_stop(stop)
                case None:
                    return

    def _send_start(self, start: _Start) -> None:
        lease_until_ms = self._lease_for_start(start)
        if lease_until_ms:
            asked_at = boottime_clock()
            outcome, clock_ms = self._client.start(
                start.instance, start.order, start.fence, lease_until_ms
            )
            self._take_outcome(start, outcome, clock_ms, asked_at)

    def _lease_for_start(self, job: _Start) -> int:
        """Return the lease for a start, or 0 if it isn't sent."""
        order = job.order
        with self._lock:
            run = self._table.get(order.task, order.run)
            if run is None:
                return 0
            if job.link != self._link or run.must_stop:
                self._table.remove(order.task, order.run)
                self._send_gone((run.row,), 'not sent')
                return 0
            until_ms = self._next_lease_ms()
            now_ms = self._clock.estimate_ms(boottime_clock())
            if until_ms - now_ms < _SHORTEST_LEASE_MS:
                self._table.remove(order.task, order.run)
                self._send_gone((run.row,), 'no authority')
                return 0
            self._clock.note_lease(until_ms)
            return until_ms

    def _take_outcome(
        self,
        job: _Start,
        outcome: StartOutcome,
        clock_ms: int,
        asked_at: float,
    ) -> None:
        order = job.order
        self._metrics.count(f'baobabgap_starts_total{{end="{outcome}"}}')
        with self._lock:
            if clock_ms:
                self._clock.note_reading(clock_ms, asked_at)
            run = self._table.get(order.task, order.run)
            if run is None:
                return
            run.is_in_flight = False
            match outcome:
                case StartOutcome.STARTED:
                    run.is_confirmed = True
                case StartOutcome.UNANSWERED:
                    # It may be carried out seconds later, unless a stop
                    # comes first.
                    run.must_stop = not run.is_confirmed
                    run.reason = 'unanswered'
                    self._order_stops()
                case _:
                    self._table.remove(order.task, order.run)
                    self._send_gone((run.row,), str(outcome))
        if outcome is not StartOutcome.STARTED:
            log_event(
                'start_refused',
                job=order.task.job_id,
                task=f'{order.task.step}.{order.task.index}',
                run=order.run,
                outcome=outcome,
                fence=job.fence,
            )

    # Stops.

    def _order_stops(self) -> None:
        """Have callers send the stops that are due; the lock is held."""
        upstream = self._upstream
        if upstream is None:
            return
        now = boottime_clock()
        for run in self._table.to_stop(now - _STOP_PAUSE_S):
            run.stop_sent_at = now
            self._calls.put(_Stop(self._fence, upstream.instance, run))

    def _send_stop(self, stop: _Stop) -> None:
        run = stop.run
        answered = self._client.stop(
            stop.instance, run.task, run.run, stop.fence
        )
        with self._lock:
            if answered and run.stopped_at is None:
                run.stopped_at = boottime_clock()

    # Looks.

    def _look_until_stopped(self) -> None:
        while True:
            with self._lock:
                if self._stopping:
                    return
                upstream = self._upstream
                fence = self._fence
                noted = self._noted
                lease_ms = self._next_lease_ms() if self._clock.is_known else 0
                if lease_ms:
                    self._clock.note_lease(lease_ms)
                has_unnoted = bool(self._unnoted)
                owes = self._owes_report
            if not fence:
                self._pause(_SILENT_PAUSE_S)
                continue
            asked_at = boottime_clock()
            wait_ms = 0 if owes or not lease_ms else self._look_wait_ms()
            try:
                holding = self._client.hold(
                    upstream.instance if upstream else '',
                    fence,
                    noted,
                    lease_ms,
                    wait_ms,
                )
            except UpstreamSuperseded:
                log_event('upstream_superseded', fence=fence)
                self._pause(_SILENT_PAUSE_S)
                continue
            if holding is None:
                self._take_silence()
                if self._silent_looks >= _SILENT_LOOKS:
                    self._pause(_SILENT_PAUSE_S)
                continue
            self._take_holding(upstream, fence, holding, asked_at)
            if has_unnoted or not lease_ms:
                self._pause(_LOOK_PAUSE_S)

    def _take_holding(
        self,
        upstream: UpstreamState | None,
        fence: int,
        holding: Holding,
        asked_at: float,
    ) -> None:
        with self._lock:
            if self._upstream is not upstream:
                held = self._upstream
                if (
                    upstream is None
                    or held is None
                    or (
                        held.instance != upstream.instance
                        or held.born_ms != upstream.born_ms
                    )
                ):
                    return
            if (
                self._upstream is not None
                and holding.born_ms
                and self._upstream.born_ms
                and holding.born_ms != self._upstream.born_ms
            ):
                # It has begun a new life under the same identity.
                self._begin_life()
                self._upstream = replace(
                    self._upstream, born_ms=holding.born_ms
                )
                self._tell_upstream()
                return
            self._clock.note_reading(holding.clock_ms, asked_at)
            self._note_reachable()
            self._order_stops()
            self._ask_for_authority()
            found, gone = self._table.take_holding(holding, asked_at)
            new_ends = tuple(
                row
                for row in holding.ended
                if row.number > self._noted and row.number not in self._unnoted
            )
            self._unnoted.update({row.number: row for row in new_ends})
            if self._owes_report:
                self._report_all(fence)
            else:
                self._report_changes(new_ends, found, gone)

    def _report_all(self, fence: int) -> None:
        if self._connection is None or fence != self._fence:
            return
        if self._upstream is None:
            if not self._table.run_by_task:
                self._connection.send(UpstreamQuiet(self._fence))
            return
        self._owes_report = False
        self._connection.send(
            FullReport(
                self._fence,
                self._described(),
                self._table.rows(),
                tuple(self._unnoted[n] for n in sorted(self._unnoted)),
            )
        )

    def _report_changes(
        self,
        new_ends: tuple[EndRow, ...],
        found: list[RunRow],
        gone: list[RunRow],
    ) -> None:
        upstream = self._upstream
        if self._connection is None or upstream is None:
            return
        life = (upstream.instance, upstream.born_ms)
        # Ends go first: a run that ended must not look as if it never ran.
        if new_ends:
            self._connection.send(RunsEnded(*life, new_ends))
        if found:
            self._connection.send(RunsFound(*life, tuple(found)))
        if gone:
            self._connection.send(RunsGone(*life, tuple(gone), 'stopped'))

    def _look_wait_ms(self) -> int:
        is_wary = boottime_clock() - self._silent_at < _WARY_S
        if is_wary or self._connection is None:
            return _SHORT_LOOK_WAIT_MS
        return _LOOK_WAIT_MS

    def _take_silence(self) -> None:
        """The upstream doesn't answer: judge by its lease what still runs."""
        with self._lock:
            self._silent_looks += 1
            self._silent_at = boottime_clock()
            if self._silent_looks == _SILENT_LOOKS:
                self._set_reachable(False)
            if not self._clock.has_lapsed(boottime_clock()):
                return
            rows = self._table.rows()
            if rows:
                log_event('lease_lapsed', runs=len(rows))
                self._table = RunTable()
                self._send_gone(rows, 'lapsed')
            if self._owes_report and self._connection is not None:
                # It can't be asked, but it certainly runs nothing.
                self._connection.send(UpstreamQuiet(self._fence))

    def _note_reachable(self) -> None:
        if self._silent_looks >= _SILENT_LOOKS:
            self._set_reachable(True)
        self._silent_looks = 0

    def _set_reachable(self, is_reachable: bool) -> None:
        log_event('upstream_reachable', reachable=is_reachable)
        self._tell_upstream()

    def _described(self) -> UpstreamState | None:
        """Return the upstream as the leader should see it now."""
        if self._upstream is None:
            return None
        return replace(
            self._upstream,
            is_draining=self._upstream.is_draining or self._is_leaving,
            is_reachable=self._silent_looks < _SILENT_LOOKS,
        )

    def _tell_upstream(self) -> None:
        if self._connection is None:
            return
        # A full report that is due says the same, but of a life only.
        if not self._owes_report or self._upstream is None:
            self._connection.send(UpstreamChanged(self._described()))

    def _send_gone(self, rows: tuple[RunRow, ...], reason: str) -> None:
        upstream = self._upstream
        if self._connection is not None and upstream is not None:
            self._connection.send(
                RunsGone(upstream.instance, upstream.born_ms, rows, reason)
            )

    # Leases.

    def _next_lease_ms(self) -> int:
        """Return how far a lease may go now, on the upstream's clock."""
        longest_ms = int(1000 * self._timing.longest_lease_s)
        now_ms = self._clock.estimate_ms(boottime_clock())
        return min(now_ms + longest_ms, self._authority_until_ms)

    def _ask_for_authority(self) -> None:
        now = boottime_clock()
        if now - self._authority_asked_at < _AUTHORITY_PAUSE_S:
            return
        if self._connection is None or self._upstream is None:
            return
        self._authority_asked_at = now
        self._connection.send(
            AuthorityRequest(
                self._clock.last_read_ms,
                self._upstream.instance,
                len(self._table.run_by_task),
            )
        )

    def _pause(self, seconds: float) -> None:
        with self._lock:
            if not self._stopping:
                self._changed.wait(seconds)

    def _run_logged(self, run: Callable[[], None]) -> None:
        """Run a task again should it fail: the upstream needs its agent."""
        while not self._stopping:
            try:
                run()
            except Exception as error:
                log_event(
                    'task_failed',
                    error=repr(error),
                    trace=traceback.format_exc(limit=-4),
                )
                self._pause(_FAILED_TASK_PAUSE_S)
