"""Answers of ended jobs, kept for clients that ask again."""

from collections import OrderedDict
from dataclasses import dataclass

from baobabgap.jobs import JobAnswer


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The end of one job."""

    # Tells the job's content from any other under its identifier.
    digest: bytes
    # How it ended.
    answer: JobAnswer


class KeptAnswers:
    """The answers of the last jobs that ended here; the oldest go first."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._kept_by_job: OrderedDict[str, KeptAnswer] = OrderedDict()

    def keep(self, digest: bytes, answer: JobAnswer) -> None:
        """Keep one answer, and drop the oldest beyond the maximum."""
        self._kept_by_job[answer.identifier] = KeptAnswer(digest, answer)
        while len(self._kept_by_job) > self._maximum:
            self._kept_by_job.popitem(last=False)

    def get(self, job: str) -> KeptAnswer | None:
        """Return the end of a job if it is still kept."""
        return self._kept_by_job.get(job)
