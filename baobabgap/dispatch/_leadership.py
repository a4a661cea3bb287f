"""Monitoring of this host's leadership and its confirmation."""

from collections.abc import Callable
from concurrent.futures import Future
import threading
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import UnfinishedJob
from baobabgap.dispatch._events import LeadershipGained
from baobabgap.dispatch._events import LeadershipLost
from baobabgap.dispatch._scheduler import Scheduler
from baobabgap.protocol import boottime_clock
from baobabgap.replication import ReplicatedLog
from baobabgap.telemetry import log_event

# Seconds between confirmations; several fit into the validity of one.
_CONFIRM_INTERVAL_S: Final = 0.1
# Seconds between checks of the role of this host.
_CHECK_INTERVAL_S: Final = 0.03
# Seconds for which links are kept for the answers to waiting calls.
_ANSWERS_WAIT_S: Final = 0.1


class Leadership:
    """Notifies the scheduler when this host gains or loses leadership.

    A confirmation is a read barrier: a majority has answered a message
    sent after the time from which the confirmation is valid.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        state: AcceptedState,
        confirmation_s: float,
        on_step_down: Callable[[], None],
    ) -> None:
        self._log: Final = log
        self._state: Final = state
        self._confirmation_s: Final = confirmation_s
        self._on_step_down: Final = on_step_down
        self._confirmed_at = float('-inf')
        self._confirm_requested_at = float('-inf')
        # The term that the scheduler has been notified of; 0 for none.
        self.term = 0
        self._requested_term = 0
        self._stopping = threading.Event()

    def is_confirmed(self) -> bool:
        """Return whether a majority has recently confirmed this leader."""
        return boottime_clock() - self._confirmed_at <= self._confirmation_s

    def restart_term(self) -> None:
        """Start the current term again, after a failure of the scheduler."""
        self.term = 0
        self._requested_term = 0
        self._on_step_down()

    def stop(self) -> None:
        """Stop the task; this host no longer leads."""
        self._stopping.set()
        self.term = 0
        self._confirmed_at = float('-inf')

    def run(self, scheduler: Scheduler) -> None:
        """Monitor leadership until stopped."""
        while not self._stopping.wait(_CHECK_INTERVAL_S):
            term = self._log.leading_term
            if term is None:
                self._step_down(scheduler)
            elif term != self._requested_term:
                self._step_down(scheduler)
                self._requested_term = term
                self._begin_term(scheduler, term)
            elif self.term == term:
                self._confirm()

    def _step_down(self, scheduler: Scheduler) -> None:
        self._requested_term = 0
        self._confirmed_at = float('-inf')
        if self.term:
            self.term = 0
            lost = LeadershipLost()
            scheduler.post_event(lost)
            # Entries learn from the answers what has not begun.
            lost.handled.wait(_ANSWERS_WAIT_S)
            self._on_step_down()

    def _begin_term(self, scheduler: Scheduler, term: int) -> None:
        """Apply all that earlier leaders committed, then start to lead."""
        asked_at = boottime_clock()

        def begin(done: Future[int]) -> None:
            # Runs in the task that applies commands, so that the state
            # doesn't change meanwhile.
            try:
                done.result()
                gained = self._gained(term)
            except Exception as error:
                log_event('leading_not_begun', term=term, error=str(error))
                self._requested_term = 0
                return
            self._confirmed_at = asked_at
            scheduler.post_event(gained)
            self.term = term

        self._log.read_barrier().add_done_callback(begin)

    def _gained(self, term: int) -> LeadershipGained:
        """Copy from the state what the scheduler begins a term with."""
        unfinished = tuple(
            UnfinishedJob(
                job.job,
                set(job.done),
                {
                    task: set(runs)
                    for task, runs in job.failed_runs_by_task.items()
                },
            )
            for job in self._state.unfinished_by_id.values()
        )
        return LeadershipGained(
            term,
            unfinished,
            tuple(sorted(self._state.members)),
            self._state.evacuated_zones,
        )

    def _confirm(self) -> None:
        now = boottime_clock()
        if now - self._confirm_requested_at < _CONFIRM_INTERVAL_S:
            return
        self._confirm_requested_at = now

        def confirmed(done: Future[int]) -> None:
            if done.exception() is None and self.term:
                self._confirmed_at = max(self._confirmed_at, now)

        self._log.read_barrier().add_done_callback(confirmed)
