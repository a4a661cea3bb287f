"""A fake upstream that records when each run began and ended."""

from collections.abc import Callable
from dataclasses import dataclass
import random
import threading
import time
from typing import Final

from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskId
from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.protocol import RunOrder
from baobabgap.upstreams import StartOutcome
from baobabgap.upstreams import UpstreamReport
from tools.job_history._injection_points import InjectionPoint
from tools.job_history._injection_points import InjectionPoints

# Ends the identifiers of jobs whose first task makes upstreams crash.
HARMFUL_SUFFIX: Final = '-harmful'
# The longest delay until an unanswered order is carried out.
_MAX_DELAY_S: Final = 2.0
# The share of runs that fail without an injected fault.
_FAILURE_SHARE: Final = 0.03


# Durations of runs, milliseconds, and how many runs have each.
_RUN_MS: Final = (40, 300)
_RUN_MS_WEIGHTS: Final = (2, 1)
# The longest time from the answer to a stop to the end of the run, seconds.
_MAX_STOP_S: Final = 0.05
# Time from the start of a harmful task to the crash of its upstream, and for
# which the upstream is down then.
_CRASH_DELAY_S: Final = 0.005
# A harmful run takes longer by this, as the crash may come late.
_LATEST_CRASH_MS: Final = 2000
_DOWN_S: Final = (0.3, 1.8)


def is_harmful(task: TaskId) -> bool:
    """Return whether upstreams crash under a task."""
    return task.index == 0 and task.job_id.endswith(HARMFUL_SUFFIX)


@dataclass(slots=True)
class RunRecord:
    """One run; times are seconds on the monotonic clock."""

    task: TaskId
    run: int
    began_at: float
    ended_at: float = float('inf')
    end: RunEnd | None = None
    # The number of its end at the upstream's instance, and when the end was
    # acknowledged as recorded.
    number: int = 0
    noted_at: float = float('inf')
    # Whether the upstream crashed under it.
    was_crashed: bool = False
    # The availability zone of its upstream.
    zone: str = ''


class RecordedUpstream(FakeUpstream):
    """Records runs and can lose a share of the answers to starts."""

    def __init__(
        self,
        seed: int,
        zone: str,
        points: InjectionPoints,
        on_return: Callable[[], None],
    ) -> None:
        self.zone = zone
        self._points = points
        # Called when a crashed upstream is back.
        self._on_return = on_return
        self.records: list[RunRecord] = []
        self._open_records: dict[TaskId, RunRecord] = {}
        self._rng = random.Random(seed)
        # The share of starts that are not answered and are carried out late.
        self.lost_answer_share = 0.0
        super().__init__(born_ms=1)

    def start(
        self, instance: str, order: RunOrder, fence: int, lease_until_ms: int
    ) -> tuple[StartOutcome, int]:
        self._points.report(InjectionPoint.ORDER)
        if self._rng.random() >= self.lost_answer_share:
            return super().start(instance, order, fence, lease_until_ms)
        born_ms = self.born_ms
        self._after(
            self._rng.uniform(0.0, _MAX_DELAY_S),
            lambda: self._carry_out_late(
                born_ms, order, fence, lease_until_ms
            ),
        )
        return StartOutcome.UNANSWERED, 0

    def _after(self, delay_s: float, act: Callable[[], None]) -> None:
        timer = threading.Timer(delay_s, act)
        timer.daemon = True
        timer.start()

    def carry_out(
        self, order: RunOrder, fence: int, lease_until_ms: int
    ) -> StartOutcome:
        with self._lock:
            before = len(self.starts)
            self.run_ms = self._rng.choices(_RUN_MS, _RUN_MS_WEIGHTS)[0]
            outcome = super().carry_out(order, fence, lease_until_ms)
            if len(self.starts) > before:
                record = RunRecord(
                    order.task, order.run, time.monotonic(), zone=self.zone
                )
                self.records.append(record)
                self._open_records[order.task] = record
                if is_harmful(order.task):
                    # It can't be done before the crash, which would be told
                    # by nobody then.
                    self._running[order.task].done_at_ms += _LATEST_CRASH_MS
                    self._after(_CRASH_DELAY_S, self._crash)
            return outcome

    def stop(self, instance: str, task: TaskId, run: int, fence: int) -> bool:
        with self._lock:
            held = self._running.get(task)
            if held is None or held.run > run or self.is_refusing:
                return super().stop(instance, task, run, fence)
            born_ms = self.born_ms
            self._after(
                self._rng.uniform(0.0, _MAX_STOP_S),
                lambda: self._stop_later(born_ms, instance, task, run, fence),
            )
            return fence >= self._fence

    def _stop_later(
        self, born_ms: int, instance: str, task: TaskId, run: int, fence: int
    ) -> None:
        with self._lock:
            if self.born_ms == born_ms:
                super().stop(instance, task, run, fence)

    def poll(
        self,
        instance: str,
        fence: int,
        noted: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> UpstreamReport | None:
        with self._lock:
            if self._lease_ms < self.clock_ms:
                # The leader may have given up its runs, these ends included.
                self._ended_records.clear()
        upstream_report = super().poll(
            instance, fence, noted, lease_until_ms, wait_ms
        )
        if upstream_report is not None:
            now = time.monotonic()
            with self._lock:
                for record in self._ended_records:
                    if record.number <= noted:
                        record.noted_at = min(record.noted_at, now)
        return upstream_report

    def restart(self, born_ms: int) -> None:
        with self._lock:
            self._advance()
            now = time.monotonic()
            for record in self._open_records.values():
                record.ended_at = now
                record.end = RunEnd.INTERRUPTED
                record.was_crashed = True
            super().restart(born_ms)
            self.is_refusing = False

    def _crash(self) -> None:
        """Refuse connections for a while, then return as a new instance."""
        with self._lock:
            if self.is_refusing:
                return
            self.is_refusing = True
            self.restart(self.born_ms + 1)
            self.is_refusing = True
        self._after(self._rng.uniform(*_DOWN_S), self._return)

    def _return(self) -> None:
        self.is_refusing = False
        self._on_return()

    def _carry_out_late(
        self, born_ms: int, order: RunOrder, fence: int, lease_until_ms: int
    ) -> None:
        with self._lock:
            if self.born_ms == born_ms and not self.is_refusing:
                self.carry_out(order, fence, lease_until_ms)

    def _start_instance(self) -> None:
        super()._start_instance()
        self._open_records = {}
        self._ended_records: list[RunRecord] = []

    def _end(self, task: TaskId, end: RunEnd) -> None:
        run = self._running[task]
        fails_at_random = self._rng.random() < _FAILURE_SHARE
        if end is RunEnd.DONE and fails_at_random:
            end = RunEnd.FAILED
        # An end noticed late happened when the lease or the work ended.
        ended_ms = min(self.clock_ms, run.done_at_ms, self._lease_ms)
        super()._end(task, end)
        record = self._open_records.pop(task)
        record.end = end
        record.number = self._last_number
        record.ended_at = self._began_at + ended_ms / 1000
        self._ended_records.append(record)
        self._points.report(InjectionPoint.NOTE_END)
