"""Crashes under tasks of volatile jobs, kept for their next submission."""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from baobabgap.jobmodel import CrashEvidence
from baobabgap.jobmodel import TaskId

# Seconds for which the crashes under a job's tasks are kept: longer than a
# client takes to submit a job again whose answer it didn't get.
_RETENTION_S: Final = 60.0
# Jobs that are kept at most; the oldest are dropped first.
_KEPT_JOBS: Final = 10_000


@dataclass(slots=True)
class JobCrashes:
    """The crashes under the tasks of one job."""

    # The time of the latest, monotonic clock.
    noted_at: float = 0.0
    evidence_by_run: dict[tuple[TaskId, int], CrashEvidence] = field(
        default_factory=dict
    )


class CrashHistory:
    """Remembers crashes when the leader has forgotten the job itself.

    A volatile job is forgotten when its caller leaves. Its client may submit
    it again, to the same leader or the next one.
    """

    def __init__(self) -> None:
        # The least recently noted first.
        self._crashes_by_id: dict[str, JobCrashes] = {}

    def add(
        self, task: TaskId, run: int, evidence: CrashEvidence, now: float
    ) -> bool:
        """Record a crash under a run; return whether it is news."""
        crashes = self._crashes_by_id.pop(task.job_id, None) or JobCrashes()
        self._crashes_by_id[task.job_id] = crashes
        crashes.noted_at = now
        if (task, run) in crashes.evidence_by_run:
            return False
        crashes.evidence_by_run[task, run] = evidence
        if len(self._crashes_by_id) > _KEPT_JOBS:
            del self._crashes_by_id[next(iter(self._crashes_by_id))]
        return True

    def of_job(self, job_id: str) -> dict[tuple[TaskId, int], CrashEvidence]:
        """Return the evidence against a job's tasks, by task and run."""
        crashes = self._crashes_by_id.get(job_id)
        return dict(crashes.evidence_by_run) if crashes else {}

    def expire(self, now: float) -> None:
        """Forget jobs under which nothing has crashed for a while."""
        for job_id in list(self._crashes_by_id):
            if now - self._crashes_by_id[job_id].noted_at < _RETENTION_S:
                return
            del self._crashes_by_id[job_id]
