"""Runs and ends of jobs not submitted to this leader yet."""

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import EndRow
from baobabgap.protocol import RunRow

# Seconds within which an entry, or its client, submits a volatile job again
# to a new leader.
_SUBMIT_GRACE_S: Final = 2.0


@dataclass(slots=True)
class JobOrphans:
    """Runs and finished tasks of one job."""

    found_at: float = 0.0
    # Pairs of an agent's name and a run on its upstream.
    runs: list[tuple[str, RunRow]] = field(default_factory=list)
    done: list[TaskId] = field(default_factory=list)


class Orphans:
    """Keeps orphaned runs for a limited time, so that a job can resume."""

    def __init__(self) -> None:
        self._by_id: dict[str, JobOrphans] = defaultdict(JobOrphans)

    def add_run(self, agent: str, row: RunRow, now: float) -> None:
        """Record a run."""
        orphans = self._by_id[row.task.job_id]
        orphans.found_at = orphans.found_at or now
        orphans.runs.append((agent, row))

    def add_end(self, row: EndRow, now: float) -> None:
        """Record the task if the run was successful."""
        if row.end is RunEnd.DONE:
            orphans = self._by_id[row.task.job_id]
            orphans.found_at = orphans.found_at or now
            orphans.done.append(row.task)

    def has_job(self, job_id: str) -> bool:
        """Return whether anything is kept for a job."""
        return job_id in self._by_id

    def pop(self, job_id: str) -> JobOrphans:
        """Remove and return what is kept for a job."""
        return self._by_id.pop(job_id, JobOrphans())

    def expire(self, now: float) -> list[tuple[str, RunRow]]:
        """Discard what was not claimed in time; return the runs to stop."""
        runs: list[tuple[str, RunRow]] = []
        for job_id in list(self._by_id):
            if now - self._by_id[job_id].found_at > _SUBMIT_GRACE_S:
                runs.extend(self._by_id.pop(job_id).runs)
        return runs
