"""The omniscient baseline: one first-come queue, exact and delay-free."""

from collections.abc import Sequence
import heapq

from tools.bench._trace import TraceJob


def omniscient_responses(
    jobs: Sequence[TraceJob], slots: int
) -> dict[int, float]:
    """Return the response in seconds by job number.

    All slots serve one queue in order of arrival, and the tasks of a job
    in their order. A cancelled job's waiting tasks vanish and its running
    ones end at that moment; it has no response.
    """
    free_at = [0.0] * slots
    response_by_number: dict[int, float] = {}
    for job in sorted(jobs, key=lambda job: (job.arrival_s, job.number)):
        end = job.arrival_s
        for task in job.tasks:
            start = max(free_at[0], job.arrival_s)
            if job.cancel_s is not None and start >= job.cancel_s:
                continue
            task_end = start + task.true_ms / 1000.0
            if job.cancel_s is not None:
                task_end = min(task_end, job.cancel_s)
            heapq.heapreplace(free_at, task_end)
            end = max(end, task_end)
        if job.cancel_s is None or end < job.cancel_s:
            response_by_number[job.number] = end - job.arrival_s
    return response_by_number


def quantile(values: Sequence[float], share: float) -> float | None:
    """Return the smallest value that at least `share` of all reach."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, -int(-share * len(ordered) // 1))
    return ordered[rank - 1]
