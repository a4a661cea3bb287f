"""Callers and an operator that record the answers they receive."""

import itertools
import random
import threading
import time
from typing import Final

from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.leaderlink import LeaderCalls
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import ReadPath
from baobabgap.protocol import SubmitJob
from tools.job_history._control_group import ANSWER_TIMEOUT_S
from tools.job_history._control_group import ControlGroup
from tools.job_history._injection_points import InjectionPoint
from tools.job_history._injection_points import InjectionPoints
from tools.job_history._recorded_upstream import HARMFUL_SUFFIX
from tools.job_history._records import Called
from tools.job_history._records import ConfigurationRead
from tools.job_history._records import JobHistory
from tools.job_history._records import Put
from tools.job_history._records import ZoneOrder

_ANSWER_TIMEOUT_S: Final = 3.0
_ATTEMPTS: Final = 3
_PAUSE_S: Final = 0.15
_CANCELLED_SHARE: Final = 0.1
_STORED_SHARE: Final = 0.6
_HARMFUL_SHARE: Final = 0.03
# The share of calls for volatile jobs whose caller leaves, for how long such
# a caller waits, and the longest pause until the job is sent again, seconds.
_LEAVING_SHARE: Final = 0.5
_PATIENCE_S: Final = (0.01, 0.4)
_LONGEST_RESEND_PAUSE_S: Final = 0.3
# The longest pause between two evacuations, and the longest evacuation.
_ZONE_PAUSE_S: Final = 0.5
_EVACUATED_S: Final = 3.0
# The share of acknowledged orders to begin one that are given again.
_REPEATED_SHARE: Final = 0.3
# Time after which an order is given up, and the pause between two attempts.
_ORDER_TIMEOUT_S: Final = 20.0
_ORDER_PAUSE_S: Final = 0.05
_RETRIED_OUTCOMES: Final = (CallOutcome.UNKNOWN, CallOutcome.UNAVAILABLE)
# Time for all accepted jobs to end after the last fault.
_SETTLE_TIMEOUT_S: Final = 25.0


class Callers:
    """Submits jobs, retries unknown outcomes, and cancels or reads jobs."""

    def __init__(
        self,
        entries: list[LeaderCalls],
        history: JobHistory,
        points: InjectionPoints,
        seed: int,
    ) -> None:
        self._points = points
        self._entries = entries
        self._history = history
        self._seed = seed

    def run_caller(self, number: int, stopping: threading.Event) -> None:
        """Run one caller until the run ends."""
        rng = random.Random(f'{self._seed} caller {number}')
        for count in itertools.count():
            if stopping.wait(rng.uniform(0.0, 2 * _PAUSE_S)):
                return
            is_harmful = rng.random() < _HARMFUL_SHARE
            suffix = HARMFUL_SUFFIX if is_harmful else ''
            self._run_job(f'{number}-{count}{suffix}', rng)

    def _run_job(self, job: str, rng: random.Random) -> None:
        is_stored = rng.random() < _STORED_SHARE
        tasks = rng.choice((1, 1, 2, 5))
        self._history.tasks_by_job[job] = tasks
        if is_stored:
            self._history.stored_jobs.add(job)
        call = SubmitJob(
            0, QUEUE_HOST, PREFIX + job, '', (step(tasks, 40),), not is_stored
        )
        for _ in range(_ATTEMPTS):
            entry = rng.choice(self._entries)
            is_leaving = not is_stored and rng.random() < _LEAVING_SHARE
            patience_s = (
                rng.uniform(*_PATIENCE_S) if is_leaving else _ANSWER_TIMEOUT_S
            )
            outcome = self._call('submit', job, call, entry, patience_s)
            if outcome not in _RETRIED_OUTCOMES:
                break
            time.sleep(rng.uniform(0.0, _LONGEST_RESEND_PAUSE_S))
        if is_stored and rng.random() < _CANCELLED_SHARE:
            self.cancel(job, rng)
        elif is_stored:
            self.read(job, rng.choice(self._entries))

    def cancel(self, job: str, rng: random.Random) -> None:
        """Cancel a job."""
        call = CancelPath(0, QUEUE_HOST, PREFIX + job)
        self._call('cancel', job, call, rng.choice(self._entries))

    def read(self, job: str, entry: LeaderCalls) -> Called:
        """Read a job's state; return the recorded call."""
        call = ReadPath(0, QUEUE_HOST, PREFIX + job)
        self._call('read', job, call, entry)
        return self._history.calls[-1]

    def settle(self) -> None:
        """Wait for the ends of all stored jobs and submit a new one."""
        history = self._history
        give_up_at = time.monotonic() + _SETTLE_TIMEOUT_S
        unfinished = {
            job
            for job in history.stored_jobs
            if any(
                call.outcome is CallOutcome.ACCEPTED
                for call in history.calls_of(job, 'submit')
            )
        }
        while unfinished and time.monotonic() < give_up_at:
            for job in sorted(unfinished):
                state = self.read(job, self._entries[0]).state
                history.final_states[job] = state
                if state in ('completed', 'failed', 'cancelled'):
                    unfinished.discard(job)
            time.sleep(_PAUSE_S)
        call = SubmitJob(
            0, QUEUE_HOST, f'{PREFIX}last', '', (step(2, 40),), True
        )
        history.tasks_by_job['last'] = 2
        outcome = self._call('submit', 'last', call, self._entries[-1])
        history.has_recovered = outcome is CallOutcome.FOUND

    def _call(
        self,
        verb: str,
        job: str,
        call: SubmitJob | ReadPath | CancelPath,
        entry: LeaderCalls,
        patience_s: float = _ANSWER_TIMEOUT_S,
    ) -> CallOutcome:
        match call:
            case SubmitJob(is_volatile=False):
                self._points.report(InjectionPoint.ACCEPT)
            case CancelPath():
                self._points.report(InjectionPoint.CANCEL)
        asked_at = time.monotonic()
        answer: CallAnswer = entry.forward(
            call, _ANSWER_TIMEOUT_S, patience_s, lambda: False
        )
        self._history.add(
            Called(
                verb,
                job,
                asked_at,
                time.monotonic(),
                answer.outcome,
                answer.state,
            )
        )
        return answer.outcome


class Operator:
    """Puts configurations with increasing versions and reads them."""

    def __init__(
        self, group: ControlGroup, history: JobHistory, points: InjectionPoints
    ) -> None:
        self._points = points
        self._group = group
        self._history = history

    def run(self, stopping: threading.Event) -> None:
        """Put and read until the run ends."""
        for version in itertools.count(2):
            if stopping.wait(2 * _PAUSE_S):
                return
            self.put(version)
            self.read()

    def put(self, version: int) -> bool:
        """Put a version, trying each host; tell whether one accepted it."""
        self._points.report(InjectionPoint.PUT)
        for process in self._group.processes:
            if process.ask('put', version)[0] == 'done':
                self._history.add(Put(version, time.monotonic(), True))
                return True
        self._history.add(Put(version, time.monotonic(), False))
        return False

    def read(self) -> None:
        """Read from every host; a host that isn't the leader may fail."""
        for process in self._group.processes:
            asked_at = time.monotonic()
            answer = process.ask('read')
            if answer[0] == 'done':
                self._history.add(ConfigurationRead(asked_at, int(answer[1])))


class ZoneOperator:
    """Empties one zone after the other and takes each back."""

    def __init__(
        self,
        group: ControlGroup,
        history: JobHistory,
        zones: list[str],
        seed: int,
    ) -> None:
        self._group = group
        self._history = history
        self._zones = zones
        self._rng = random.Random(f'{seed} zones')

    def run(self, stopping: threading.Event) -> None:
        """Give orders until the run ends, then take the last zone back."""
        while not stopping.wait(self._rng.uniform(0.0, _ZONE_PAUSE_S)):
            zone = self._rng.choice(self._zones)
            if self._order(zone, is_begin=True):
                if self._rng.random() < _REPEATED_SHARE:
                    self._order(zone, is_begin=True)
                stopping.wait(self._rng.uniform(0.0, _EVACUATED_S))
            self._order(zone, is_begin=False)

    def _order(self, zone: str, *, is_begin: bool) -> bool:
        """Ask host after host; return whether one acknowledged the order."""
        give_up_at = time.monotonic() + _ORDER_TIMEOUT_S
        while time.monotonic() < give_up_at:
            process = self._rng.choice(self._group.processes)
            asked_at = time.monotonic()
            answer = process.ask(
                'evacuate', zone, is_begin, asked_at + ANSWER_TIMEOUT_S
            )
            is_acknowledged = answer[0] == 'done'
            self._history.add(
                ZoneOrder(
                    zone,
                    is_begin,
                    asked_at,
                    time.monotonic(),
                    is_acknowledged,
                )
            )
            if is_acknowledged:
                return True
            time.sleep(_ORDER_PAUSE_S)
        return False
