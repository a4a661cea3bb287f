"""Schedules the deadline checks of active jobs."""

import heapq
from itertools import count
import math

from baobabgap.entry._active_job import ActiveJob


class Deadlines:
    """The active jobs, ordered by the time of their next deadline check.

    A job without a started task expires as soon as half the expected run
    time of its longest task no longer fits before its deadline, so that
    the client learns of it early enough to react. Any other job expires at
    its deadline.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ActiveJob]] = []
        self._sequence = count()

    def add(self, job: ActiveJob) -> None:
        """Schedule the first check of a job."""
        self._push(_latest_start_at(job), job)

    def pop_due(self, now: float) -> list[ActiveJob]:
        """Remove and return the jobs that have expired."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            job = heapq.heappop(self._heap)[2]
            if job.ended:
                continue
            if now >= job.deadline_at or not job.may_have_started:
                due.append(job)
            else:
                self._push(job.deadline_at, job)
        return due

    def next_at(self) -> float:
        """Return the monotonic time of the next check."""
        return self._heap[0][0] if self._heap else math.inf

    def _push(self, at: float, job: ActiveJob) -> None:
        heapq.heappush(self._heap, (at, next(self._sequence), job))


def _latest_start_at(job: ActiveJob) -> float:
    return job.deadline_at - job.longest_expected_ms / 2000
