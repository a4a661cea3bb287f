"""A fake entry that returns the answers configured by a test."""

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

JOB_ID = 'kurek.1764800000000.heat-4'
WHOLE_ANSWER = JobAnswer(JOB_ID, (TaskAnswer('t1', {'seat': 3}),))


def failed_answer(
    code: FailureCode, ran: Ran = Ran.NO, retry_after_s: float = 0.0
) -> JobAnswer:
    """Build the answer of a refused or failed job."""
    failure = JobFailure(code, 'why', 'place', 'agent-1', ran, retry_after_s)
    return JobAnswer.from_failure(JOB_ID, failure)


class FakeService:
    """Answers every job with `answer`; its futures stay pending if None."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.answer: JobAnswer | None = WHOLE_ANSWER
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
        """Record the submission and return the configured answer."""
        self.submissions.append(submission)
        self.log_actions.append(log_action)
        return self._answer_future()

    def wait_for_claim(self, identifier: str, timeout_s: float) -> None:
        """Record that the claim was awaited."""
        self.awaited_claims.append(identifier)

    def fetch(self, identifier: str) -> Future[JobAnswer]:
        """Return the configured answer."""
        return self._answer_future()

    def cancel(self, identifier: str) -> Future[JobAnswer]:
        """Return the configured answer."""
        return self._answer_future()

    def is_accepting(self) -> bool:
        """Return the configured value."""
        return self.accepting

    def is_ready(self) -> bool:
        """Return the configured value."""
        return self.accepting

    def drain(self) -> None:
        """Stop accepting."""
        self.accepting = False

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Record the ticket and return the configured status."""
        self.tickets.append((number, state_by_key))
        outcome = TicketOutcome(1, self.ticket_status, number, 7, 'why')
        return self._resolved_future(outcome)

    def query_control(self, topic: str) -> Future[Any]:
        """Return a page that names its topic."""
        return self._resolved_future({'topic': topic})

    def _answer_future(self) -> Future[JobAnswer]:
        if self.answer is None and self.error is None:
            return Future()
        return self._resolved_future(self.answer)

    def _resolved_future(self, result: Any) -> Future[Any]:
        future: Future[Any] = Future()
        if self.error is not None:
            future.set_exception(self.error)
        else:
            future.set_result(result)
        return future
