"""One job in progress at the entry that owns its claim."""

from collections.abc import Iterable
from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from baobabgap.entry._job_log import JobLog
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran
from baobabgap.jobs import TaskAnswer
from baobabgap.jobs import TaskSubmission


@dataclass(slots=True)
class PendingTask:
    """One task of an active job and where it stands."""

    # What the client asked for.
    submission: TaskSubmission
    # Expected run time in milliseconds, learned or declared.
    expected_ms: float
    # The agent it was handed to, or empty while it waits.
    agent: str = ''
    # The incarnation of that agent.
    agent_incarnation: str = ''
    # Monotonic seconds when it was handed over.
    placed_at: float = 0.0


@dataclass(slots=True)
class ActiveJob:
    """A claimed job from admission to its one answer.

    The aggregate keeps these rules: every task's first result counts and
    later ones don't; a whole answer has each value in its place; after
    the end nothing changes and nothing is taken from it.
    """

    # The job as its client submitted it.
    submission: JobSubmission
    # The name of the client.
    client: str
    # Tells this content from any other under the same identifier.
    digest: bytes
    # Fencing token of the claim.
    token: int
    # Monotonic seconds when the job was admitted.
    arrived_at: float
    # Monotonic seconds by which the client wants the answer.
    deadline_at: float
    # Where the job's events are logged.
    log: JobLog
    # Where the answer goes.
    future: Future[JobAnswer]
    # Expected run time of the longest task, in milliseconds.
    longest_expected_ms: float
    # Tasks that wait for a token, the longest last.
    waiting: list[PendingTask]
    # Tasks handed to an agent and not yet ended, by their identifier.
    placed_by_task: dict[str, PendingTask] = field(default_factory=dict)
    # Values of ended tasks by their identifier.
    value_by_task: dict[str, Any] = field(default_factory=dict)
    # Whether this entry is known to own the job. Until then another entry
    # may run it, so that nothing can be told of it.
    is_claimed: bool = False
    # Whether the job is to end as soon as it is claimed.
    is_cancel_wanted: bool = False
    # Ends once the outcome of the claim is known here.
    claim_settled: Future[None] = field(default_factory=Future)
    # Whether any task may have started.
    may_have_started: bool = False
    # Whether the one answer has been given.
    ended: bool = False

    @classmethod
    def from_submission(
        cls,
        submission: JobSubmission,
        digest: bytes,
        *,
        token: int,
        now: float,
        log: JobLog,
        expected_ms: list[float],
    ) -> 'ActiveJob':
        """Build the job with all of its tasks waiting."""
        waiting = [
            PendingTask(task, task_ms)
            for task, task_ms in zip(
                submission.tasks, expected_ms, strict=True
            )
        ]
        waiting.sort(key=_expected_ms)
        return cls(
            submission=submission,
            client=submission.client,
            digest=digest,
            token=token,
            arrived_at=now,
            deadline_at=now + submission.deadline_ms / 1000,
            log=log,
            future=Future(),
            longest_expected_ms=waiting[-1].expected_ms,
            waiting=waiting,
        )

    @property
    def identifier(self) -> str:
        """The job's identifier."""
        return self.submission.identifier

    @property
    def ran(self) -> Ran:
        """Whether any task has run, as far as this entry can tell."""
        if self.value_by_task:
            return Ran.YES
        is_unknown = self.may_have_started or not self.is_claimed
        return Ran.UNKNOWN if is_unknown else Ran.NO

    def place_next(
        self, agent: str, agent_incarnation: str, now: float
    ) -> PendingTask:
        """Take the longest waiting task and note where it goes."""
        task = self.waiting.pop()
        task.agent = agent
        task.agent_incarnation = agent_incarnation
        task.placed_at = now
        self.placed_by_task[task.submission.identifier] = task
        self.may_have_started = True
        return task

    def take_back(self, identifier: str) -> PendingTask | None:
        """Let a placed task that was proved unstarted wait again."""
        task = self.placed_by_task.pop(identifier, None)
        if task is None:
            return None
        task.agent = ''
        self.waiting.append(task)
        self.waiting.sort(key=_expected_ms)
        if not self.placed_by_task and not self.value_by_task:
            self.may_have_started = False
        return task

    def record_value(self, identifier: str, value: Any) -> bool:
        """Keep the first value of a task; tell whether it was the first."""
        if self.placed_by_task.pop(identifier, None) is None:
            return False
        self.value_by_task[identifier] = value
        return True

    def is_complete(self) -> bool:
        """Tell whether every task has its value."""
        return len(self.value_by_task) == len(self.submission.tasks)

    def whole_answer(self) -> JobAnswer:
        """Return all values in the order of submission."""
        results = tuple(
            TaskAnswer(task.identifier, self.value_by_task[task.identifier])
            for task in self.submission.tasks
        )
        return JobAnswer(self.identifier, results)

    def agents(self) -> Iterable[str]:
        """Return the agents that still hold tasks of this job."""
        return {task.agent for task in self.placed_by_task.values()}


def _expected_ms(task: PendingTask) -> float:
    return task.expected_ms
