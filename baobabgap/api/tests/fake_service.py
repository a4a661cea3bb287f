"""A small fake entry that answers as a test tells it to."""

from concurrent.futures import Future
from typing import Any

from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran
from baobabgap.jobs import TaskAnswer
from baobabgap.messages import TicketOutcome
from baobabgap.messages import TicketStatus
from baobabgap.telemetry import Metrics

JOB = 'kurek.1764800000000.heat-4'
WHOLE = JobAnswer(JOB, (TaskAnswer('t1', {'seat': 3}),))


def failed(
    code: FailureCode, ran: Ran = Ran.NO, retry_after_s: float = 0.0
) -> JobAnswer:
    """Build the answer of a job that was refused or has failed."""
    failure = JobFailure(code, 'why', 'place', 'agent-1', ran, retry_after_s)
    return JobAnswer.from_failure(JOB, failure)


class FakeService:
    """Answers every job with `answer`, or never if that is None."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.answer: JobAnswer | None = WHOLE
        self.error: Exception | None = None
        self.accepting = True
        self.submissions: list[JobSubmission] = []
        self.log_actions: list[str] = []
        self.awaited_claims: list[str] = []
        self.tickets: list[tuple[int, dict[str, Any]]] = []
        self.ticket_status = TicketStatus.ACCEPTED

    def submit(
        self, submission: JobSubmission, log_action: str
    ) -> Future[JobAnswer]:
        """Keep what was submitted and answer."""
        self.submissions.append(submission)
        self.log_actions.append(log_action)
        return self._answered()

    def wait_for_claim(self, identifier: str, timeout_s: float) -> None:
        """Note that the claim was waited for."""
        self.awaited_claims.append(identifier)

    def fetch(self, identifier: str) -> Future[JobAnswer]:
        """Answer as told."""
        return self._answered()

    def cancel(self, identifier: str) -> Future[JobAnswer]:
        """Answer as told."""
        return self._answered()

    def is_accepting(self) -> bool:
        """Tell what the test set."""
        return self.accepting

    def is_ready(self) -> bool:
        """Tell what the test set."""
        return self.accepting

    def drain(self) -> None:
        """Accept no more."""
        self.accepting = False

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Keep the ticket and answer with the status told."""
        self.tickets.append((number, state_by_key))
        outcome = TicketOutcome(1, self.ticket_status, number, 7, 'why')
        return self._ended(outcome)

    def query_control(self, topic: str) -> Future[Any]:
        """Return a page that names its topic."""
        return self._ended({'topic': topic})

    def _answered(self) -> Future[JobAnswer]:
        if self.answer is None and self.error is None:
            return Future()
        return self._ended(self.answer)

    def _ended(self, result: Any) -> Future[Any]:
        future: Future[Any] = Future()
        if self.error is not None:
            future.set_exception(self.error)
        else:
            future.set_result(result)
        return future
