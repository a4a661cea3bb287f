"""Watching whether this host leads, and whether that is confirmed."""

from collections.abc import Callable
from concurrent.futures import Future
import threading
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import UnfinishedJob
from baobabgap.dispatch._events import Led
from baobabgap.dispatch._events import StoodDown
from baobabgap.dispatch._scheduler import Scheduler
from baobabgap.dispatch._timing import boot_time
from baobabgap.replication import ReplicatedLog
from baobabgap.telemetry import log_event

# Seconds between confirmations: several fit into the time for which one
# counts.
_CONFIRM_PAUSE_S: Final = 0.1
# Seconds between looks at the role of this host.
_LOOK_PAUSE_S: Final = 0.03


class Leadership:
    """Tells the scheduler when this host leads and when it has ceased to.

    A confirmation is a read barrier: a majority has answered a message
    that was sent after the moment which the confirmation counts from.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        state: AcceptedState,
        confirmation_s: float,
        on_stand_down: Callable[[], None],
    ) -> None:
        self._log: Final = log
        self._state: Final = state
        self._confirmation_s: Final = confirmation_s
        self._on_stand_down: Final = on_stand_down
        self._confirmed_at = float('-inf')
        self._confirming_since = float('-inf')
        # The term that the scheduler has been told of; 0 for none.
        self.term = 0
        self._asked_term = 0
        self._stopping = threading.Event()

    def is_confirmed(self) -> bool:
        """Tell whether this host has surely led a moment ago."""
        return boot_time() - self._confirmed_at <= self._confirmation_s

    def begin_again(self) -> None:
        """Have the scheduler begin anew in the present term."""
        self.term = 0
        self._asked_term = 0
        self._on_stand_down()

    def stop(self) -> None:
        """End the task; this host leads no more."""
        self._stopping.set()
        self.term = 0
        self._confirmed_at = float('-inf')

    def run(self, scheduler: Scheduler) -> None:
        """Watch until stopped."""
        while not self._stopping.wait(_LOOK_PAUSE_S):
            term = self._log.leading_term
            if term is None:
                self._stand_down(scheduler)
            elif term != self._asked_term:
                self._stand_down(scheduler)
                self._asked_term = term
                self._begin(scheduler, term)
            elif self.term == term:
                self._confirm()

    def _stand_down(self, scheduler: Scheduler) -> None:
        self._asked_term = 0
        self._confirmed_at = float('-inf')
        if self.term:
            self.term = 0
            scheduler.tell(StoodDown())
            self._on_stand_down()

    def _begin(self, scheduler: Scheduler, term: int) -> None:
        """Learn what earlier leaders have committed, then lead."""
        asked_at = boot_time()

        def begin(done: Future[int]) -> None:
            # Runs in the task that applies, so the state stands still.
            error = done.exception()
            if error is not None:
                log_event('leading_not_begun', term=term, error=str(error))
                self._asked_term = 0
                return
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
            self._confirmed_at = asked_at
            scheduler.tell(
                Led(term, unfinished, tuple(sorted(self._state.members)))
            )
            self.term = term

        self._log.read_barrier().add_done_callback(begin)

    def _confirm(self) -> None:
        now = boot_time()
        if now - self._confirming_since < _CONFIRM_PAUSE_S:
            return
        self._confirming_since = now

        def confirmed(done: Future[int]) -> None:
            if done.exception() is None and self.term:
                self._confirmed_at = max(self._confirmed_at, now)

        self._log.read_barrier().add_done_callback(confirmed)
