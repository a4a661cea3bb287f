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
    """The answers of the last jobs that ended here; the oldest go first.

    Both the number of answers and the number of task values in them are
    bounded, since one answer may hold a thousand values.
    """

    def __init__(self, most_answers: int, most_values: int) -> None:
        self._most_answers = most_answers
        self._most_values = most_values
        self._values = 0
        self._kept_by_job: OrderedDict[str, KeptAnswer] = OrderedDict()

    def keep(self, digest: bytes, answer: JobAnswer) -> None:
        """Keep one answer, and drop the oldest beyond the bounds."""
        self._kept_by_job[answer.identifier] = KeptAnswer(digest, answer)
        self._values += len(answer.results)
        while self._is_over():
            _, dropped = self._kept_by_job.popitem(last=False)
            self._values -= len(dropped.answer.results)

    def get(self, job: str) -> KeptAnswer | None:
        """Return the end of a job if it is still kept."""
        return self._kept_by_job.get(job)

    def _is_over(self) -> bool:
        return (
            len(self._kept_by_job) > self._most_answers
            or self._values > self._most_values
        )
