"""What the HTTP face needs of the entry behind it."""

from concurrent.futures import Future
from typing import Any
from typing import Protocol

from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobSubmission
from baobabgap.messages import TicketOutcome
from baobabgap.telemetry import Metrics


class EntryService(Protocol):
    """An entry as its HTTP face sees it.

    The futures of jobs always end with a `JobAnswer`: a refusal or a
    failure is an answer too. The futures of `put_ticket` and
    `query_control` end with a `BaobabgapError` if the control group can't
    be asked.
    """

    @property
    def metrics(self) -> Metrics:
        """The metrics of the process."""

    def submit(
        self, submission: JobSubmission, log_action: str
    ) -> Future[JobAnswer]:
        """Run a job, or join it if it is known already."""

    def wait_for_claim(self, identifier: str, timeout_s: float) -> None:
        """Wait until other entries can find the job, or it has ended."""

    def fetch(self, identifier: str) -> Future[JobAnswer]:
        """Join a running job or find the kept answer of an ended one."""

    def cancel(self, identifier: str) -> Future[JobAnswer]:
        """Cancel a job and return how it ended."""

    def is_accepting(self) -> bool:
        """Tell whether the balancer should send new requests here."""

    def is_ready(self) -> bool:
        """Tell whether control and an upstream or more are connected."""

    def put_ticket(
        self, number: int, state_by_key: dict[str, Any]
    ) -> Future[TicketOutcome]:
        """Hand a change ticket to the control group."""

    def query_control(self, topic: str) -> Future[Any]:
        """Ask the control group for one of its pages."""

    def drain(self) -> None:
        """Begin the draining of a planned stop; return at once."""
