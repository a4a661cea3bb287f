"""Retains the answers of ended jobs for repeated requests."""

from collections import OrderedDict
from dataclasses import dataclass

from baobabgap.jobs import JobAnswer


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The answer of one ended job."""

    # Digest of the job's content, to detect reuse of its identifier.
    digest: bytes
    # The answer that the job ended with.
    answer: JobAnswer


class KeptAnswers:
    """A bounded store of answers that evicts the oldest first.

    Both the number of answers and the number of task values in them are
    limited, since one answer may hold a thousand values.
    """

    def __init__(self, max_answers: int, max_values: int) -> None:
        self._max_answers = max_answers
        self._max_values = max_values
        self._values = 0
        self._kept_by_job: OrderedDict[str, KeptAnswer] = OrderedDict()

    def keep(self, digest: bytes, answer: JobAnswer) -> None:
        """Store one answer, and evict the oldest beyond the limits."""
        self._kept_by_job[answer.identifier] = KeptAnswer(digest, answer)
        self._values += len(answer.results)
        while self._exceeds_limits():
            _, dropped = self._kept_by_job.popitem(last=False)
            self._values -= len(dropped.answer.results)

    def get(self, job: str) -> KeptAnswer | None:
        """Return the answer of a job, or None if it isn't kept."""
        return self._kept_by_job.get(job)

    def _exceeds_limits(self) -> bool:
        return (
            len(self._kept_by_job) > self._max_answers
            or self._values > self._max_values
        )
