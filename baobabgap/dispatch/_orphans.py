"""Runs and ends of jobs that this leader has not been handed in yet."""

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskId
from baobabgap.dispatch._messages import EndRow
from baobabgap.dispatch._messages import RunRow

# Seconds within which an entry hands a volatile job in to a new leader, or
# its client does so itself.
_GRACE_S: Final = 2.0


@dataclass(slots=True)
class JobOrphans:
    """What is left of one job."""

    found_at: float = 0.0
    # Names of agents with the runs there.
    runs: list[tuple[str, RunRow]] = field(default_factory=list)
    done: list[TaskId] = field(default_factory=list)


class Orphans:
    """Keeps them for a while, so that a job goes on where it was."""

    def __init__(self) -> None:
        self._by_id: dict[str, JobOrphans] = defaultdict(JobOrphans)

    def add_run(self, agent: str, row: RunRow, now: float) -> None:
        """Keep a run."""
        orphans = self._by_id[row.task.job_id]
        orphans.found_at = orphans.found_at or now
        orphans.runs.append((agent, row))

    def add_end(self, row: EndRow, now: float) -> None:
        """Keep a task that is done."""
        if row.end is RunEnd.DONE:
            orphans = self._by_id[row.task.job_id]
            orphans.found_at = orphans.found_at or now
            orphans.done.append(row.task)

    def expects(self, job_id: str) -> bool:
        """Tell whether a job may yet be handed in."""
        return job_id in self._by_id

    def take(self, job_id: str) -> JobOrphans:
        """Return what is left of a job, and forget it here."""
        return self._by_id.pop(job_id, JobOrphans())

    def expire(self, now: float) -> list[tuple[str, RunRow]]:
        """Forget what nobody has asked for; return the runs to be stopped."""
        runs: list[tuple[str, RunRow]] = []
        for job_id in list(self._by_id):
            if now - self._by_id[job_id].found_at > _GRACE_S:
                runs.extend(self._by_id.pop(job_id).runs)
        return runs
