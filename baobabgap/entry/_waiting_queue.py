"""The queue of jobs with waiting tasks, the most urgent first."""

from collections.abc import Iterator
import heapq
from itertools import count

from baobabgap.configuration import OrderPolicy
from baobabgap.configuration import Policy
from baobabgap.entry._active_job import ActiveJob


class WaitingQueue:
    """A priority queue of jobs, ordered by virtual deadline or arrival.

    A job's virtual deadline is its arrival plus a multiple of its longest
    expected run time, so that waiting delays jobs in proportion to their
    length. Ended jobs are removed lazily when they reach the head, so that
    cancelling many jobs at once is cheap.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ActiveJob]] = []
        self._sequence = count()
        # Fencing tokens of the jobs in the heap: each is there once. An
        # ended job may still be there when its identifier is used again.
        self._queued: set[int] = set()

    def add(self, job: ActiveJob, policy: Policy) -> None:
        """Queue a job that has waiting tasks, unless it is queued already."""
        if job.token in self._queued:
            return
        self._queued.add(job.token)
        virtual_deadline = _virtual_deadline(job, policy)
        heapq.heappush(
            self._heap, (virtual_deadline, next(self._sequence), job)
        )

    def pop(self) -> ActiveJob | None:
        """Remove and return the most urgent job with waiting tasks, if any."""
        self._drop_ended()
        if not self._heap:
            return None
        return self._pop_head()

    def head_deadline(self) -> float | None:
        """Return the earliest virtual deadline in monotonic seconds."""
        self._drop_ended()
        return self._heap[0][0] if self._heap else None

    def waiting_task_count(self) -> int:
        """Return the number of waiting tasks."""
        return sum(len(job.waiting) for job in self._jobs())

    def _jobs(self) -> Iterator[ActiveJob]:
        return (job for _, _, job in self._heap if not job.ended)

    def _drop_ended(self) -> None:
        while self._heap and _has_nothing_to_place(self._heap[0][2]):
            self._pop_head()

    def _pop_head(self) -> ActiveJob:
        job = heapq.heappop(self._heap)[2]
        self._queued.discard(job.token)
        return job


def _has_nothing_to_place(job: ActiveJob) -> bool:
    return job.ended or not job.waiting


def _virtual_deadline(job: ActiveJob, policy: Policy) -> float:
    match policy.order:
        case OrderPolicy.FIRST_COME:
            return job.arrived_at
        case OrderPolicy.VIRTUAL_DEADLINE:
            allowance_ms = policy.stretch_weight * job.longest_expected_ms
            return job.arrived_at + allowance_ms / 1000
