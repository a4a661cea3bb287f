"""The omniscient baseline: one FIFO queue without any overhead."""

from collections.abc import Sequence
import heapq

from tools.bench._trace import TraceJob


def omniscient_responses(
    jobs: Sequence[TraceJob], slots: int
) -> dict[int, float]:
    """Return the response time in seconds by job number.

    All slots serve one queue in order of arrival, and the tasks of a job
    in their order. At its cancel time, a job's queued tasks are dropped
    and its running ones end. A job that is cancelled before its end has
    no response.
    """
    slot_free_s = [0.0] * slots
    response_by_number: dict[int, float] = {}
    for job in sorted(jobs, key=lambda job: (job.arrival_s, job.number)):
        end_s = job.arrival_s
        for task in job.tasks:
            start_s = max(slot_free_s[0], job.arrival_s)
            if job.cancel_s is not None and start_s >= job.cancel_s:
                continue
            task_end_s = start_s + task.true_ms / 1000.0
            if job.cancel_s is not None:
                task_end_s = min(task_end_s, job.cancel_s)
            heapq.heapreplace(slot_free_s, task_end_s)
            end_s = max(end_s, task_end_s)
        if job.cancel_s is None or end_s < job.cancel_s:
            response_by_number[job.number] = end_s - job.arrival_s
    return response_by_number


def quantile(values: Sequence[float], share: float) -> float | None:
    """Return the smallest value that at least `share` do not exceed.

    Returns None without values.
    """
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, -int(-share * len(ordered) // 1))
    return ordered[rank - 1]
