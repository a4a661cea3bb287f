"""Which volatile jobs of an entry a leader may have begun."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

# Seconds for which a job counts as possibly begun after no call waits for it
# any more; longer than any of its tasks can hold a lease after the loss of
# the leader.
_RETENTION_S: Final = 20.0


@dataclass(slots=True)
class _Mark:
    """A job that a leader may have begun."""

    # The time of the last reason to think so, monotonic clock.
    marked_at: float
    # The only call that submitted the job; 0 if there may be others.
    sole_call: int


class BegunJobs:
    """Knows the jobs that may have begun; the caller serialises all calls.

    A job counts from the moment at which it is sent. It no longer does when
    the leader has deferred the only call that submitted it: then the job
    begins only after `note_announced`, or another `note_sent`.
    """

    def __init__(self) -> None:
        self._mark_by_id: dict[str, _Mark] = {}
        # The marks that deferred jobs had.
        self._deferred_by_id: dict[str, _Mark] = {}
        self._next_prune_at = 0.0

    def may_have_begun(self, job_id: str) -> bool:
        """Return whether a leader may have begun a job."""
        return job_id in self._mark_by_id

    def note_sent(self, job_id: str, call: int, now: float) -> None:
        """Record that a job is about to be sent."""
        is_sole = job_id not in self._mark_by_id
        self._deferred_by_id.pop(job_id, None)
        self._mark_by_id[job_id] = _Mark(now, call if is_sole else 0)

    def note_deferred(self, job_id: str, call: int) -> None:
        """Record that the leader has not begun the job of a call.

        It has deferred or refused it.
        """
        mark = self._mark_by_id.get(job_id)
        if mark is not None and mark.sole_call == call:
            self._deferred_by_id[job_id] = self._mark_by_id.pop(job_id)

    def note_announced(self, job_ids: Iterable[str], now: float) -> None:
        """Record that the leader may begin jobs from now on."""
        for job_id in job_ids:
            deferred = self._deferred_by_id.pop(job_id, None)
            sole_call = deferred.sole_call if deferred is not None else 0
            self._mark_by_id[job_id] = _Mark(now, sole_call)

    def keep(self, job_ids: Iterable[str], now: float) -> None:
        """Extend the marks of jobs for which calls wait."""
        for job_id in job_ids:
            mark = self._mark_by_id.get(job_id)
            if mark is not None:
                mark.marked_at = now

    def is_prune_due(self, now: float) -> bool:
        """Return whether old marks should be removed."""
        return now >= self._next_prune_at

    def prune(self, now: float) -> None:
        """Remove the marks of jobs that can't run any more."""
        self._next_prune_at = now + _RETENTION_S / 4
        oldest = now - _RETENTION_S
        for mark_by_id in (self._mark_by_id, self._deferred_by_id):
            for job_id, mark in list(mark_by_id.items()):
                if mark.marked_at < oldest:
                    del mark_by_id[job_id]

    def job_ids(self) -> tuple[str, ...]:
        """Return all jobs that may have begun."""
        return tuple(self._mark_by_id)
