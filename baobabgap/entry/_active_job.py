"""The state of one job at the entry that owns its claim."""

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
    """One task of an active job and its placement."""

    # The task as its client submitted it.
    submission: TaskSubmission
    # Expected run time in milliseconds, from declared and learned times.
    expected_ms: float
    # The agent that it is placed on, or empty while it waits.
    agent: str = ''
    # The incarnation of that agent.
    agent_incarnation: str = ''
    # Monotonic seconds of its placement.
    placed_at: float = 0.0
    # The number of its placement; 0 before the first.
    placement: int = 0

    def is_about_another_placement(self, placement: int) -> bool:
        """Return whether a numbered result isn't about this placement."""
        return placement not in (0, self.placement)


@dataclass(slots=True)
class ActiveJob:
    """A job from its admission to its only answer.

    Invariants: only the first result of a task counts; a complete answer
    has the values in the order of submission; an ended job doesn't change
    and places no tasks.
    """

    # The job as its client submitted it.
    submission: JobSubmission
    # The client that submitted it.
    client: str
    # Digest of the content, to detect reuse of the identifier.
    digest: bytes
    # Fencing token of the claim.
    token: int
    # Monotonic seconds when the job was admitted.
    arrived_at: float
    # Monotonic seconds by which the client wants the answer.
    deadline_at: float
    # Logs the events of the job.
    log: JobLog
    # Completes with the answer.
    future: Future[JobAnswer]
    # Expected run time of the longest task, in milliseconds.
    longest_expected_ms: float
    # Tasks that wait for placement, the longest last.
    waiting: list[PendingTask]
    # Placed tasks that have not ended, by identifier.
    placed_by_task: dict[str, PendingTask] = field(default_factory=dict)
    # Values of completed tasks, by identifier.
    value_by_task: dict[str, Any] = field(default_factory=dict)
    # Whether this entry is known to own the job. Until then another entry
    # may run it, and whether any task has run is unknown.
    is_claimed: bool = False
    # Whether to cancel the job as soon as it is claimed.
    is_cancel_requested: bool = False
    # Completes once the outcome of the claim is known.
    claim_settled: Future[None] = field(default_factory=Future)
    # Whether any task may have started.
    may_have_started: bool = False
    # Whether the job has ended; it then changes no more.
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
        """Create a job with all of its tasks waiting."""
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
        """Whether any task has run, as far as this entry knows."""
        if self.value_by_task:
            return Ran.YES
        is_unknown = self.may_have_started or not self.is_claimed
        return Ran.UNKNOWN if is_unknown else Ran.NO

    def place_next(
        self, agent: str, agent_incarnation: str, now: float
    ) -> PendingTask:
        """Assign the longest waiting task to an agent."""
        task = self.waiting.pop()
        task.agent = agent
        task.agent_incarnation = agent_incarnation
        task.placed_at = now
        self.placed_by_task[task.submission.identifier] = task
        self.may_have_started = True
        return task

    def requeue(self, identifier: str) -> PendingTask | None:
        """Return a placed task that did not start to the waiting tasks."""
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
        """Record a task's first value; False for any later one."""
        if self.placed_by_task.pop(identifier, None) is None:
            return False
        self.value_by_task[identifier] = value
        return True

    def is_complete(self) -> bool:
        """Return whether every task has its value."""
        return len(self.value_by_task) == len(self.submission.tasks)

    def build_answer(self) -> JobAnswer:
        """Build the answer, with all values in the order of submission."""
        results = tuple(
            TaskAnswer(task.identifier, self.value_by_task[task.identifier])
            for task in self.submission.tasks
        )
        return JobAnswer(self.identifier, results)

    def agents(self) -> Iterable[str]:
        """Return the agents with placed tasks of this job."""
        return {task.agent for task in self.placed_by_task.values()}


def _expected_ms(task: PendingTask) -> float:
    return task.expected_ms
