"""An in-memory upstream with simulated run times and faults."""

from collections.abc import Callable
from dataclasses import dataclass
import math
import threading
import time

from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import EndRow
from baobabgap.protocol import RunOrder
from baobabgap.upstreams import ActiveRun
from baobabgap.upstreams import StartOutcome
from baobabgap.upstreams import UpstreamNotListening
from baobabgap.upstreams import UpstreamReport
from baobabgap.upstreams import UpstreamSuperseded

LONGEST_LEASE_MS = 1000


@dataclass(slots=True)
class FakeRun:
    """A run and its end on the upstream's clock."""

    task: TaskId
    run: int
    done_at_ms: int
    stopped_at_ms: float = math.inf
    # Readings of the monotonic clock.
    began_at: float = 0.0
    ended_at: float = math.inf


class FakeUpstream:
    """Implements `UpstreamClient`; `starts` lists all runs ever started.

    So does `runs`, also those of earlier instances.
    """

    def __init__(self, born_ms: int = 1, run_ms: int = 30) -> None:
        self.born_ms = born_ms
        self.run_ms = run_ms
        # Called for each start, which is left unanswered if it returns true.
        self.leaves_unanswered: Callable[[RunOrder], bool] = lambda _: False
        # Milliseconds that a run goes on after its stop.
        self.stop_ms = 0
        # Whether runs fail.
        self.fails = False
        # Whether `hold` requests get no answer.
        self.is_silent = False
        # Whether stops get no answer and have no effect.
        self.fails_stops = False
        # Whether no connection can be opened.
        self.is_refusing = False
        # The longest wait of the last `hold` request, milliseconds.
        self.last_wait_ms = 0
        self.starts: list[tuple[TaskId, int]] = []
        self.runs: list[FakeRun] = []
        self._lock = threading.Condition()
        self._start_instance()

    def restart(self, born_ms: int) -> None:
        """Start a new instance without the state of the earlier one."""
        with self._lock:
            self.born_ms = born_ms
            self.starts = []
            for run in self._running.values():
                run.ended_at = time.monotonic()
            self._start_instance()
            self._lock.notify_all()

    def _start_instance(self) -> None:
        self._began_at = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._running: dict[TaskId, FakeRun] = {}
        self._ended: list[EndRow] = []
        self._last_number = 0
        self._highest_ended: dict[TaskId, int] = {}

    @property
    def clock_ms(self) -> int:
        """The upstream's monotonic clock, milliseconds."""
        return 1 + int(1000 * (time.monotonic() - self._began_at))

    @property
    def running(self) -> set[TaskId]:
        """The tasks that are running."""
        with self._lock:
            self._advance()
            return set(self._running)

    def start(
        self, instance: str, order: RunOrder, fence: int, lease_until_ms: int
    ) -> tuple[StartOutcome, int]:
        if self.is_refusing:
            return StartOutcome.NOT_DELIVERED, 0
        if self.leaves_unanswered(order):
            return StartOutcome.UNANSWERED, 0
        return self.carry_out(order, fence, lease_until_ms), self.clock_ms

    def carry_out(
        self, order: RunOrder, fence: int, lease_until_ms: int
    ) -> StartOutcome:
        with self._lock:
            self._advance()
            if fence < self._fence:
                return StartOutcome.SUPERSEDED
            self._fence = fence
            self._renew(lease_until_ms)
            if order.run <= self._highest_ended.get(order.task, 0):
                return StartOutcome.OLD
            if lease_until_ms <= self.clock_ms:
                return StartOutcome.LATE
            if order.task in self._running:
                return StartOutcome.STARTED
            run = FakeRun(
                order.task,
                order.run,
                self.clock_ms + self.run_ms,
                began_at=time.monotonic(),
            )
            self._running[order.task] = run
            self.runs.append(run)
            self.starts.append((order.task, order.run))
            return StartOutcome.STARTED

    def stop(self, instance: str, task: TaskId, run: int, fence: int) -> bool:
        if self.is_refusing or self.fails_stops:
            return False
        with self._lock:
            self._advance()
            if fence < self._fence:
                return False
            held = self._running.get(task)
            if held is not None and held.run <= run:
                held.stopped_at_ms = min(
                    held.stopped_at_ms, self.clock_ms + self.stop_ms
                )
                self._advance()
            highest = self._highest_ended.get(task, 0)
            self._highest_ended[task] = max(highest, run)
            return True

    def poll(
        self,
        instance: str,
        fence: int,
        noted: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> UpstreamReport | None:
        self.last_wait_ms = wait_ms
        if self.is_refusing:
            raise UpstreamNotListening
        if self.is_silent:
            return None
        give_up_at = time.monotonic() + wait_ms / 1000
        with self._lock:
            if fence < self._fence:
                raise UpstreamSuperseded
            self._fence = fence
            self._advance()
            self._renew(lease_until_ms)
            self._ended = [row for row in self._ended if row.number > noted]
            while not self._ended and time.monotonic() < give_up_at:
                self._lock.wait(0.005)
                if self.is_refusing:
                    # The connection ends with the process.
                    return None
                self._advance()
            return UpstreamReport(
                self.clock_ms,
                self.born_ms,
                tuple(
                    ActiveRun(task, run.run)
                    for task, run in self._running.items()
                ),
                tuple(self._ended),
            )

    def _renew(self, until_ms: int) -> None:
        longest = self.clock_ms + LONGEST_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest))

    def _advance(self) -> None:
        now_ms = self.clock_ms
        for task, run in list(self._running.items()):
            if run.done_at_ms <= min(now_ms, self._lease_ms):
                self._end(task, RunEnd.FAILED if self.fails else RunEnd.DONE)
            elif self._lease_ms < now_ms or run.stopped_at_ms <= now_ms:
                self._end(task, RunEnd.INTERRUPTED)

    def _end(self, task: TaskId, end: RunEnd) -> None:
        run = self._running.pop(task)
        run.ended_at = time.monotonic()
        self._last_number += 1
        self._ended.append(EndRow(self._last_number, task, run.run, end))
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, run.run)
        self._lock.notify_all()
