"""Cancels of jobs, which are stored before they are acknowledged."""

import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import CancelAccepted
from baobabgap.accepted import CancelVolatile
from baobabgap.accepted import JobEnd
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CancelStored
from baobabgap.dispatch._events import PostEvent
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._start_deferral import StartDeferral
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import JobState
from baobabgap.protocol import CallOutcome

# Seconds of a term within which entries hand over jobs of an earlier one;
# those that stay without a link for longer are dismissed.
_HAND_OVER_S: Final = 30.0
# Characters of a job's identifier; cancels of longer paths aren't stored.
_LONGEST_ID: Final = 64


class JobCanceller:
    """Cancels jobs for callers; used by the confirmed leader.

    A volatile job is in the memory of its leader only. Its cancel is stored
    all the same, as otherwise the next leader would begin the job again when
    it is submitted once more.
    """

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        closer: JobCloser,
        deferral: StartDeferral,
        state: AcceptedState,
        committer: Committer,
        post_event: PostEvent,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        self._closer: Final = closer
        self._deferral: Final = deferral
        # Only read by single look-ups, which are safe against concurrent
        # updates.
        self._state: Final = state
        self._committer: Final = committer
        self._post_event: Final = post_event

    def cancel(self, arrived: CallArrived, job_id: str) -> None:
        """Cancel a job; the call is answered once that is durable."""
        term_state = self._term_state
        is_stored = self._state.state_of(job_id) is not None
        if (
            job_id in term_state.storing_by_id
            or is_stored
            and job_id in term_state.plan_by_id
        ):
            self._propose(arrived, job_id, CancelAccepted)
        elif is_stored or not self.may_be_handed_over(job_id):
            is_cancelled = self._state.state_of(job_id) is JobState.CANCELLED
            answer(
                arrived,
                CallOutcome.CANCELLED
                if is_cancelled
                else CallOutcome.NO_SUCH_JOB,
            )
        else:
            self._propose(arrived, job_id, CancelVolatile)

    def may_be_handed_over(self, job_id: str) -> bool:
        """Return whether a volatile job is known, or may be submitted again.

        An entry may not have sent its jobs of an earlier term to this leader
        yet, and a caller whose answer was lost sends its job again.
        """
        term_state = self._term_state
        if not 0 < len(job_id) <= _LONGEST_ID:
            return False
        return (
            job_id in term_state.callers_by_id
            or job_id in term_state.ended_by_id
            or term_state.orphans.has_job(job_id)
            or term_state.age_s(time.monotonic()) < _HAND_OVER_S
        )

    def _propose(
        self,
        arrived: CallArrived,
        job_id: str,
        command: type[CancelAccepted] | type[CancelVolatile],
    ) -> None:
        """Store the cancel, so that the next leader knows of it, too."""
        term_state = self._term_state
        waiting = term_state.cancelling_by_id.setdefault(job_id, [])
        waiting.append(arrived)
        if len(waiting) > 1:
            return
        term_state.hold_plan(job_id)
        term = term_state.term
        self._committer.propose(
            command((job_id,), int(time.time() * 1000)),
            lambda result: self._post_event(
                CancelStored(term, job_id, result is not None)
            ),
        )

    def handle_stored(self, event: CancelStored) -> None:
        """Answer the callers of a cancel; close the job if it is durable."""
        if event.term != self._term_state.term:
            return
        calls = self._term_state.cancelling_by_id.pop(event.job_id, [])
        if not self._deferral.is_deferred(event.job_id):
            self._term_state.resume_plan(event.job_id)
        state = self._state.state_of(event.job_id)
        is_cancelled = event.succeeded and state is JobState.CANCELLED
        for call in calls:
            if is_cancelled:
                answer(call, CallOutcome.CANCELLED)
            elif event.succeeded:
                answer(call, CallOutcome.NO_SUCH_JOB)
            else:
                answer(call, CallOutcome.UNKNOWN, detail='not stored')
        if is_cancelled:
            self._runs.stop_orphans(event.job_id)
            self._closer.close(JobEnd(event.job_id, JobState.CANCELLED))
