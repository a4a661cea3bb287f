"""Messages between an entry and an agent. The agent dials the entry.

A slot token is the right to start one task on an upstream immediately.
The agent grants its idle slots to the entries; a token returns to the
entry with the result of the task, and entries transfer idle tokens to each
other. A token belongs to a grant epoch: whenever the agent suspects that
tokens were lost it starts a new epoch, which invalidates the tokens of
earlier ones. Tokens only avoid queueing: the agent alone decides whether a
task starts, and a task that arrives with an invalid token waits there for
a free slot. A result returns a token of the current epoch whenever the
idle tokens and the tasks at the agent are fewer than the slots, and none
otherwise.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from baobabgap.jobs import TaskSize


@dataclass(frozen=True, slots=True)
class UpstreamOffer:
    """Capacity of the agent's upstream; sent after `Hello` and on change.

    An upstream that is not accepting gets no new tasks, and entries
    discard the tokens that they hold for it.
    """

    # The name of the upstream that announced itself to the agent.
    upstream: str
    # The number of tasks it runs concurrently.
    slots: int
    # The largest task it can run.
    capacity: TaskSize
    # Whether it takes new tasks.
    accepting: bool
    # Human-readable reason why it takes none; empty if it takes tasks.
    reason: str = ''
    # The rack of the upstream.
    rack: str = ''


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load of the upstream, every 100 ms under `least_reported` only.

    Only the baseline policies need it; see `PlacementPolicy`.
    """

    # Running tasks.
    running: int
    # Tasks queued at the agent.
    queued: int


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """The number of idle tokens that the entry holds in this epoch.

    It replaces all idle tokens of earlier epochs for this agent.
    """

    # Increases with each redistribution by this agent's incarnation.
    epoch: int
    # The number of idle tokens that the receiver now holds.
    tokens: int


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """One task handed to an agent."""

    # The task's identifier within its job.
    task: str
    # The kind of work.
    kind: str
    # Passed to the upstream unchanged.
    payload: Any
    # The declared resources.
    size: TaskSize


@dataclass(frozen=True, slots=True)
class PlaceTasks:
    """Tasks of one job to start immediately, each with an `epoch` token.

    Resent unchanged after a reconnect; the agent starts each pair of job
    and task at most once.
    """

    # The job's identifier.
    job: str
    # The entry's incarnation that owns the job's claim; the same as in
    # its `Hello`.
    owner_incarnation: str
    # The agent's incarnation that granted the tokens. Another one never
    # starts these tasks; it answers as to `ResumeTasks`.
    agent_incarnation: str
    # The grant epoch whose tokens are spent.
    epoch: int
    # Milliseconds until the job's deadline at the time of sending.
    deadline_ms: int
    # The tasks to start.
    tasks: tuple[TaskPlacement, ...]
    # The serialised eliot action under which the agent logs.
    log_action: str = ''
    # The number of this placement, which no other placement of this
    # entry's incarnation has; 0 from entries that don't number them.
    placement: int = 0


class TaskOutcome(StrEnum):
    """How a placed task ended at its agent."""

    # Completed and returned a value.
    DONE = 'done'
    # Ran, and the upstream reported an error.
    FAILED = 'failed'
    # Not started, and will not be started by this placement.
    NOT_STARTED = 'not_started'
    # Started, or may have started, and its outcome can't be determined.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class TaskResult:
    """The end of one placed task."""

    # The job's identifier.
    job: str
    # The task's identifier within its job.
    task: str
    # The outcome of the task.
    outcome: TaskOutcome
    # The value if done, else the reason as text.
    value: Any
    # Milliseconds from start to end on the upstream; 0 if never started.
    run_time_ms: float
    # Whether the task's token returns to the receiver as an idle token.
    token_returns: bool
    # The grant epoch of that token.
    epoch: int
    # The number of the placement that has ended, or 0 if it isn't known.
    placement: int = 0


@dataclass(frozen=True, slots=True)
class TaskResults:
    """A batch of results, oldest first."""

    # One element for each ended task.
    results: tuple[TaskResult, ...]


@dataclass(frozen=True, slots=True)
class AcknowledgeResults:
    """The entry has these results; the agent need not resend them.

    Until the acknowledgement the agent repeats its answer for a task, also
    if the task is placed there again without a newer number; so acknowledge
    `NOT_STARTED` before placing the task again with the same agent.
    """

    # Pairs of job and task identifiers.
    tasks: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Discard the queued tasks of these jobs and stop the running ones.

    The agent answers each of these tasks with its `TaskResult`.
    """

    # Identifiers of jobs.
    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ResumeTasks:
    """The tasks that an entry still waits for; sent on each new link.

    For each task listed that the agent neither runs, queues, nor has a
    result for, the agent answers `NOT_STARTED` if it can prove that, and
    `LOST` if it can't, for example if both it and its upstream have
    restarted. An agent that has just restarted answers once its upstream
    is bound to it.
    """

    # The agent's incarnation that the tasks were placed with.
    agent_incarnation: str
    # Pairs of job and task identifiers.
    tasks: tuple[tuple[str, str], ...]
    # The number of each task's placement, in the order of `tasks`; empty
    # from entries that don't number them.
    placements: tuple[int, ...] = ()
