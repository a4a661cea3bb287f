"""Callers, and the operator, who record what they are told."""

import itertools
import random
import threading
import time
from typing import Final

from baobabgap.dispatch import CallAnswer
from baobabgap.dispatch import CallOutcome
from baobabgap.dispatch import CancelPath
from baobabgap.dispatch import ReadPath
from baobabgap.dispatch import SubmitJob
from baobabgap.dispatch.tests.deployment import PREFIX
from baobabgap.dispatch.tests.deployment import QUEUE_HOST
from baobabgap.dispatch.tests.deployment import step
from baobabgap.leaderlink import LeaderCalls
from tools.job_history._control_group import ControlGroup
from tools.job_history._moments import Moment
from tools.job_history._moments import Moments
from tools.job_history._records import Called
from tools.job_history._records import ConfigurationRead
from tools.job_history._records import JobHistory
from tools.job_history._records import Put

_ANSWER_S: Final = 3.0
_PAUSE_S: Final = 0.15
_CANCELLED_SHARE: Final = 0.1
_STORED_SHARE: Final = 0.6
_UNCLEAR: Final = (CallOutcome.UNKNOWN, CallOutcome.UNAVAILABLE)
# Seconds that all that was accepted has to end once nothing is hurt.
_SETTLE_S: Final = 25.0


class Callers:
    """Hands jobs in, resends what is unclear, cancels some, reads all."""

    def __init__(
        self,
        entries: list[LeaderCalls],
        history: JobHistory,
        moments: Moments,
        seed: int,
    ) -> None:
        self._moments = moments
        self._entries = entries
        self._history = history
        self._seed = seed

    def call(self, number: int, over: threading.Event) -> None:
        """Be one caller until it is over."""
        chance = random.Random(f'{self._seed} caller {number}')
        for count in itertools.count():
            if over.wait(chance.uniform(0.0, 2 * _PAUSE_S)):
                return
            self._serve_job(f'{number}-{count}', chance)

    def _serve_job(self, job: str, chance: random.Random) -> None:
        is_stored = chance.random() < _STORED_SHARE
        tasks = chance.choice((1, 1, 2, 5))
        self._history.tasks_by_job[job] = tasks
        if is_stored:
            self._history.stored_jobs.add(job)
        call = SubmitJob(
            0, QUEUE_HOST, PREFIX + job, '', (step(tasks, 40),), not is_stored
        )
        for _ in range(3):
            entry = chance.choice(self._entries)
            if self._ask('submit', job, call, entry) not in _UNCLEAR:
                break
        if is_stored and chance.random() < _CANCELLED_SHARE:
            self.cancel(job, chance)
        elif is_stored:
            self.read(job, chance.choice(self._entries))

    def cancel(self, job: str, chance: random.Random) -> None:
        """Cancel a job."""
        call = CancelPath(0, QUEUE_HOST, PREFIX + job)
        self._ask('cancel', job, call, chance.choice(self._entries))

    def read(self, job: str, entry: LeaderCalls) -> Called:
        """Read a job's state."""
        call = ReadPath(0, QUEUE_HOST, PREFIX + job)
        self._ask('read', job, call, entry)
        return self._history.calls[-1]

    def settle(self) -> None:
        """Wait for the ends of all stored jobs, and try a new one."""
        history = self._history
        give_up_at = time.monotonic() + _SETTLE_S
        waiting = {
            job
            for job in history.stored_jobs
            if any(
                call.outcome is CallOutcome.ACCEPTED
                for call in history.calls_of(job, 'submit')
            )
        }
        while waiting and time.monotonic() < give_up_at:
            for job in sorted(waiting):
                state = self.read(job, self._entries[0]).state
                history.final_states[job] = state
                if state in ('completed', 'failed', 'cancelled'):
                    waiting.discard(job)
            time.sleep(_PAUSE_S)
        call = SubmitJob(
            0, QUEUE_HOST, f'{PREFIX}last', '', (step(2, 40),), True
        )
        history.tasks_by_job['last'] = 2
        outcome = self._ask('submit', 'last', call, self._entries[-1])
        history.has_recovered = outcome is CallOutcome.FOUND

    def _ask(
        self,
        verb: str,
        job: str,
        call: SubmitJob | ReadPath | CancelPath,
        entry: LeaderCalls,
    ) -> CallOutcome:
        match call:
            case SubmitJob(is_volatile=False):
                self._moments.reach(Moment.ACCEPT)
            case CancelPath():
                self._moments.reach(Moment.CANCEL)
        asked_at = time.monotonic()
        answer: CallAnswer = entry.forward(
            call, _ANSWER_S, _ANSWER_S, lambda: False
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
    """Puts configurations with rising numbers, and reads them."""

    def __init__(
        self, group: ControlGroup, history: JobHistory, moments: Moments
    ) -> None:
        self._moments = moments
        self._group = group
        self._history = history

    def operate(self, over: threading.Event) -> None:
        """Put and read until it is over."""
        for version in itertools.count(2):
            if over.wait(2 * _PAUSE_S):
                return
            self.put(version)
            self.read()

    def put(self, version: int) -> bool:
        """Hand a version in at one host after the other."""
        self._moments.reach(Moment.PUT)
        for process in self._group.processes:
            if process.ask('put', version)[0] == 'done':
                self._history.add(Put(version, time.monotonic(), True))
                return True
        self._history.add(Put(version, time.monotonic(), False))
        return False

    def read(self) -> None:
        """Read at every host; one that doesn't lead may decline."""
        for process in self._group.processes:
            asked_at = time.monotonic()
            answer = process.ask('read')
            if answer[0] == 'done':
                self._history.add(ConfigurationRead(asked_at, int(answer[1])))
