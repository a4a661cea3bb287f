"""The interface that the HTTP application needs from an entry."""

from concurrent.futures import Future
from typing import Any
from typing import Protocol

from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobSubmission
from baobabgap.messages import TicketOutcome
from baobabgap.telemetry import Metrics


class EntryService(Protocol):
    """The operations of an entry that its HTTP application calls.

    The futures of jobs always resolve to a `JobAnswer`: a refusal or a
    failure is an answer too. The futures of `put_ticket` and
    `query_control` raise a `BaobabgapError` if the control group is
    unavailable.
    """

    @property
    def metrics(self) -> Metrics:
        """The metrics of the process."""

    def submit(
        self, submission: JobSubmission, log_action: str
    ) -> Future[JobAnswer]:
        """Run a job, or join it if it is already known."""

    def wait_for_claim(self, identifier: str, timeout_s: float) -> None:
        """Wait until other entries can find the job or it has ended."""

    def fetch(self, identifier: str) -> Future[JobAnswer]:
        """Join a running job or return the stored answer of an ended one."""

    def cancel(self, identifier: str) -> Future[JobAnswer]:
        """Cancel a job and return how it ended."""

    def is_accepting(self) -> bool:
        """Return whether the load balancer should send new requests."""

    def is_ready(self) -> bool:
        """Return whether control and at least one upstream are connected."""

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Submit a change ticket to the control group."""

    def query_control(self, topic: str) -> Future[Any]:
        """Request a status page from the control group."""

    def drain(self) -> None:
        """Start draining for a planned stop; return without waiting."""
