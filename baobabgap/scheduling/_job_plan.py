"""Scheduling state of one unfinished job."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import math
from typing import Final

from baobabgap.accepted import UnfinishedJob
from baobabgap.jobmodel import AcceptedJob
from baobabgap.jobmodel import CrashEvidence
from baobabgap.jobmodel import is_given_up
from baobabgap.jobmodel import must_run_alone
from baobabgap.jobmodel import TaskId
from baobabgap.scheduling._run_times import RunTimes

# Multiple of the objective of a job after which it is hardly worth running.
LATE_FACTOR: Final = 3.0


@dataclass(slots=True)
class PlannedTask:
    """Scheduling state of one task that is not known to be done."""

    task: TaskId
    # The highest run number assigned or reported.
    last_run: int = 0
    # Upstreams on which a run of the task has failed or hung.
    avoided: set[str] = field(default_factory=set)
    failed_runs: set[int] = field(default_factory=set)
    # Runs that were lost in crashes of their upstreams.
    evidence_by_run: dict[int, CrashEvidence] = field(default_factory=dict)
    # Number of its runs that were stopped because they took too long.
    overdue_runs: int = 0
    # The upstream where the task runs or may run; empty while it waits.
    upstream: str = ''
    # The last run of an earlier submission that it waited for, as in logs,
    # and when it ended on the monotonic clock.
    earlier_run: str = ''
    earlier_run_ended_at: float = 0.0

    @property
    def is_given_up(self) -> bool:
        """Whether it must not start again, as upstreams crash under it."""
        return is_given_up(self.evidence_by_run)

    @property
    def must_run_alone(self) -> bool:
        """Whether it must not endanger other runs on its upstream."""
        return must_run_alone(self.evidence_by_run)


class JobPlan:
    """The remaining tasks of a job and the times by which they must start.

    Times are seconds on the scheduler's clock.
    """

    def __init__(
        self, job: AcceptedJob, arrived_at: float, run_times: RunTimes
    ) -> None:
        self.job: Final = job
        self.arrived_at: Final = arrived_at
        # Called after each change that matters to the order of starts.
        self.on_change: Callable[[JobPlan], None] = _ignore_change
        # Time until which a caller waits for the end of a volatile job.
        self.awaited_until = math.inf
        self.has_started = False
        # Whether an earlier leader may have started tasks of the job.
        self.may_have_begun = False
        # Whether its queue has been removed since an earlier leader accepted
        # it: its runs are continued, but without any it doesn't start again.
        self.is_queue_removed = False
        self.task_by_id: dict[TaskId, PlannedTask] = {}
        # Tasks that wait for a start, by step.
        self.waiting_by_step: list[list[PlannedTask]] = []
        self._remaining_by_step: list[int] = []
        # Longest successful run of each step, seconds.
        self.longest_done_s: list[float | None] = [None] * len(job.steps)
        self.expected_s: tuple[float, ...] = tuple(
            run_times.expected_s(job.queue, step.estimate_ms)
            for step in job.steps
        )
        for number, step in enumerate(job.steps):
            tasks = [
                PlannedTask(TaskId(job.job_id, number, index))
                for index in range(step.tasks)
            ]
            self.task_by_id.update({task.task: task for task in tasks})
            self.waiting_by_step.append(tasks)
            self._remaining_by_step.append(step.tasks)
        self._after_s = _critical_path_after(job, self.expected_s)
        critical_path_s = max(
            own + after
            for own, after in zip(self.expected_s, self._after_s, strict=True)
        )
        self.objective_s: Final = (
            job.stretch * critical_path_s + job.latency_allowance_ms / 1000
        )

    @classmethod
    def from_unfinished(
        cls, unfinished: UnfinishedJob, arrived_at: float, run_times: RunTimes
    ) -> 'JobPlan':
        """Plan the remaining work of a job that an earlier leader accepted."""
        plan = cls(unfinished.job, arrived_at, run_times)
        for (step, index), runs in unfinished.failed_runs_by_task.items():
            task = plan.task_by_id[TaskId(plan.job.job_id, step, index)]
            task.failed_runs |= runs
            task.last_run = max(runs)
        for (step, index), crashes in unfinished.crashes_by_task.items():
            task = plan.task_by_id[TaskId(plan.job.job_id, step, index)]
            for run, evidence in crashes.items():
                plan.note_crash(task, run, evidence)
        for step, index in unfinished.done:
            plan.note_done(TaskId(plan.job.job_id, step, index))
        return plan

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return not self.task_by_id

    @property
    def has_waiting(self) -> bool:
        """Whether a task waits to start, now or after another step."""
        return any(self.waiting_by_step)

    def ready_steps(self) -> Iterator[tuple[int, list[PlannedTask]]]:
        """Yield each step whose predecessors are done, with waiting tasks."""
        for number, waiting in enumerate(self.waiting_by_step):
            if waiting and self.is_ready(number):
                yield number, waiting

    def is_ready(self, step: int) -> bool:
        """Return whether all predecessors of a step are done."""
        after = self.job.steps[step].after
        return not any(self._remaining_by_step[number] for number in after)

    def await_until(self, time: float) -> None:
        """Extend the time for which a caller waits for the end."""
        self.awaited_until = max(self.awaited_until, time)
        self.on_change(self)

    def latest_start(self, step: int) -> float:
        """Return when a step must start for the job to be on time."""
        return self.arrived_at + self.objective_s - self._remaining_s(step)

    def latest_useful_start(self, step: int) -> float:
        """Return the latest time at which starting a step is still useful.

        A job started later would end far past its objective, or after its
        caller has stopped waiting.
        """
        return self.latest_useful_end - self._remaining_s(step)

    @property
    def latest_useful_end(self) -> float:
        """The latest time at which the end of the job is still useful."""
        expires_at = self.arrived_at + LATE_FACTOR * self.objective_s
        return min(expires_at, self.awaited_until)

    def latest_awaited_start(self, step: int) -> float:
        """Return the latest start with which a caller gets the answer.

        Infinity for a job whose end no caller waits for.
        """
        return self.awaited_until - self._remaining_s(step)

    def begun_and_awaited_until(self, step: int) -> float:
        """Return until when the job has begun and its caller awaits its end.

        The caller does as long as a step that starts then lets the job end
        before the caller stops waiting. Minus infinity if the job has not
        begun.
        """
        if not self.has_started:
            return -math.inf
        return self.latest_awaited_start(step)

    def _remaining_s(self, step: int) -> float:
        """Return the expected time from the start of a step to the end."""
        return self.expected_s[step] + self._after_s[step]

    def note_started(self, task: PlannedTask, upstream: str, run: int) -> None:
        """Record a run that was ordered, or was found on an upstream."""
        waiting = self.waiting_by_step[task.task.step]
        if task in waiting:
            waiting.remove(task)
        task.upstream = upstream
        task.last_run = max(task.last_run, run)
        self.has_started = True
        self.on_change(self)

    def task_core_s(self, step: int) -> float:
        """Return the expected work of one task of a step in core-seconds."""
        cores = self.job.steps[step].demand.cpu_millicores / 1000
        return self.expected_s[step] * cores

    @property
    def waiting_core_s(self) -> float:
        """The expected work of all waiting tasks in core-seconds."""
        return sum(
            len(waiting) * self.task_core_s(step)
            for step, waiting in enumerate(self.waiting_by_step)
        )

    def note_run_time(self, step: int, run_s: float) -> None:
        """Record the duration of a successful run of a step in seconds."""
        longest_s = self.longest_done_s[step]
        self.longest_done_s[step] = max(longest_s or 0.0, run_s)

    def note_crash(
        self, task: PlannedTask, run: int, evidence: CrashEvidence
    ) -> None:
        """Record that a run, perhaps an earlier leader's, was in a crash."""
        task.evidence_by_run.setdefault(run, evidence)
        task.last_run = max(task.last_run, run)
        self.has_started = True
        self.on_change(self)

    def requeue(self, task: PlannedTask) -> None:
        """Let a task wait again after a run that ended without success."""
        if task.upstream:
            task.upstream = ''
            self.waiting_by_step[task.task.step].append(task)
            self.on_change(self)

    def note_done(self, task_id: TaskId) -> None:
        """Record that a task is done; a repeated call has no effect."""
        task = self.task_by_id.pop(task_id, None)
        if task is None:
            return
        self._remaining_by_step[task_id.step] -= 1
        self.has_started = True
        if not task.upstream:
            self.waiting_by_step[task_id.step].remove(task)
        self.on_change(self)


def _ignore_change(plan: JobPlan) -> None:
    """Do nothing: the plan is in no queue."""


def _critical_path_after(
    job: AcceptedJob, expected_s: tuple[float, ...]
) -> list[float]:
    """Return the length of the critical path after each step, seconds."""
    after_s = [0.0] * len(job.steps)
    for number in range(len(job.steps) - 1, -1, -1):
        path_s = expected_s[number] + after_s[number]
        for earlier in job.steps[number].after:
            after_s[earlier] = max(after_s[earlier], path_s)
    return after_s
