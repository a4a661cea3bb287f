"""When to look at each active job again, because time runs out for it."""

import heapq
from itertools import count
import math

from baobabgap.entry._active_job import ActiveJob


class Deadlines:
    """The active jobs in the order in which they have to be given up.

    A job of which nothing has started is given up as soon as half the
    expected run time of its longest task no longer fits before its
    deadline, so that the client hears of it while it can still do
    something else; any other job at its deadline.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ActiveJob]] = []
        self._sequence = count()

    def add(self, job: ActiveJob) -> None:
        """Watch a job from now on."""
        self._push(_hopeless_at(job), job)

    def take_due(self, now: float) -> list[ActiveJob]:
        """Return the jobs that have to be given up now."""
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
        """Return the monotonic time at which to look again."""
        return self._heap[0][0] if self._heap else math.inf

    def _push(self, at: float, job: ActiveJob) -> None:
        heapq.heappush(self._heap, (at, next(self._sequence), job))


def _hopeless_at(job: ActiveJob) -> float:
    return job.deadline_at - job.longest_expected_ms / 2000
