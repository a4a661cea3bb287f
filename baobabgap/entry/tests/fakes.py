"""Fakes for the interfaces of the entry."""

from concurrent.futures import Future
from typing import Any
from typing import cast
from typing import Final
from typing import TypeVar

from baobabgap.configuration import Configuration
from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._admission import Admission
from baobabgap.entry._dispatcher import Dispatcher
from baobabgap.entry._joins import Joins
from baobabgap.entry._kept_answers import KeptAnswers
from baobabgap.entry._quota_ledger import QuotaLedger
from baobabgap.entry._submissions import Submissions
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import TaskSize
from baobabgap.messages import Claim
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import ClaimStatus
from baobabgap.messages import Hello
from baobabgap.messages import PlaceTasks
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import UpstreamOffer
from baobabgap.settings import EntrySettings
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection

_Message = TypeVar('_Message')

CAPACITY = TaskSize(32.0, 65536, 0)


class FakeLink:
    """A link that records sent messages."""

    def __init__(
        self, name: str, role: str, incarnation: str = 'i1', zone: str = 'z'
    ) -> None:
        self.peer = Hello(name, role, incarnation, '', zone)
        self.sent: list[Any] = []
        self.is_closed = False

    def send(self, *messages: object) -> None:
        """Record messages."""
        self.sent.extend(messages)

    def close(self) -> None:
        """Record that the link was closed."""
        self.is_closed = True

    def pop_sent(self, message_class: type[_Message]) -> list[_Message]:
        """Return the recorded messages of one class, and clear all."""
        found = [item for item in self.sent if isinstance(item, message_class)]
        self.sent.clear()
        return found

    @property
    def connection(self) -> Connection:
        """This link, typed as the code under test expects it."""
        return cast(Connection, self)


class FakeControl:
    """A control client whose answers the test triggers."""

    def __init__(self) -> None:
        self.claims: list[tuple[Claim, Future[ClaimOutcome]]] = []
        self.lookups: list[tuple[Claim, Future[ClaimOutcome]]] = []
        self.released: list[str] = []
        self.is_superseded = False

    def claim(self, claim: Claim) -> Future[ClaimOutcome]:
        """Record a claim."""
        future: Future[ClaimOutcome] = Future()
        self.claims.append((claim, future))
        return future

    def look_up(self, claim: Claim) -> Future[ClaimOutcome]:
        """Record a lookup."""
        future: Future[ClaimOutcome] = Future()
        self.lookups.append((claim, future))
        return future

    def release(self, jobs: list[str]) -> None:
        """Record released jobs."""
        self.released.extend(jobs)

    def settle_claim(
        self, status: ClaimStatus = ClaimStatus.GRANTED, owner: str = 'entry-1'
    ) -> None:
        """Answer the oldest claim."""
        claim, future = self.claims.pop(0)
        future.set_result(ClaimOutcome(claim.job, status, owner, 'i1', 'x:1'))

    def settle_lookup(
        self, status: ClaimStatus = ClaimStatus.UNCLAIMED, owner: str = ''
    ) -> None:
        """Answer the oldest lookup."""
        claim, future = self.lookups.pop(0)
        future.set_result(ClaimOutcome(claim.job, status, owner, 'i1', 'x:1'))


GENEROUS_CONFIGURATION: Final = Configuration.from_state(
    1, {'policy': {'default_quota': {'tasks_per_second': 1000}}}
)


class FakeEntry:
    """The components of an entry, connected without sockets."""

    def __init__(
        self,
        configuration: Configuration | None = None,
        *,
        has_configuration: bool = True,
    ) -> None:
        settings = EntrySettings(kept_answers=4)
        self.metrics = Metrics()
        self.control = FakeControl()
        self.joins = Joins(settings.owner_return_s)
        self.dispatcher = Dispatcher(
            settings, 'z', 'own', self.metrics, self._end
        )
        self.submissions = Submissions(
            self.dispatcher,
            Admission(QuotaLedger()),
            self.joins,
            KeptAnswers(settings.kept_answers, settings.kept_values),
            self.control,
            self.metrics,
        )
        if has_configuration:
            self.dispatcher.set_configuration(
                configuration or GENEROUS_CONFIGURATION
            )

    def _end(self, job: ActiveJob, answer: JobAnswer) -> None:
        self.submissions.end(job, answer)

    def add_agent(
        self,
        name: str,
        slots: int = 2,
        *,
        tokens: int | None = None,
        zone: str = 'z',
        incarnation: str = 'i1',
    ) -> FakeLink:
        """Connect an agent and grant its tokens."""
        link = FakeLink(name, 'agent', incarnation, zone)
        self.dispatcher.agent_up(link.connection)
        offer = UpstreamOffer(name, slots, CAPACITY, True)
        self.dispatcher.handle_offer(link.connection, offer)
        granted = slots if tokens is None else tokens
        self.dispatcher.handle_grant(link.connection, SlotGrant(1, granted))
        return link

    def add_peer(self, name: str) -> FakeLink:
        """Connect a peer entry."""
        link = FakeLink(name, 'entry')
        self.dispatcher.balancer.add_peer(link.connection)
        return link

    def submit(self, submission: JobSubmission) -> Future[JobAnswer]:
        """Submit a job and grant its claim if one is made."""
        future = self.submissions.submit(submission, '')
        if self.control.claims:
            self.control.settle_claim()
        return future

    def finish(
        self,
        link: FakeLink,
        placed: PlaceTasks,
        outcome: TaskOutcome = TaskOutcome.DONE,
    ) -> None:
        """Return results from an agent for all placed tasks."""
        results = tuple(
            TaskResult(
                placed.job, task.task, outcome, task.payload, 50.0, True, 1
            )
            for task in placed.tasks
        )
        self.dispatcher.handle_results(link.connection, TaskResults(results))


def job(
    number: int = 1,
    tasks: int = 1,
    *,
    deadline_ms: int = 10_000,
    run_time_ms: int = 100,
    team: str = 'rowing',
) -> JobSubmission:
    """Build a submission whose task payloads are their indexes."""
    return JobSubmission.from_document(
        {
            'identifier': f'kurek.{number}.a',
            'team': team,
            'deadline_ms': deadline_ms,
            'tasks': [
                {
                    'identifier': f't{index}',
                    'kind': 'seat',
                    'payload': index,
                    'run_time_ms': run_time_ms,
                }
                for index in range(tasks)
            ],
        }
    )
