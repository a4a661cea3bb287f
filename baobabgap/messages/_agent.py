"""Messages between an entry and an agent. The agent dials the entry.

A slot token is the right to start one task on an upstream at once. The
agent grants its idle slots to the entries; a token comes back to the
entry with the result of the task, and entries pass idle tokens to each
other. A token belongs to a grant epoch: whenever the agent suspects that
tokens were lost it starts a new epoch, and tokens of earlier ones are
void. Tokens only avoid queues: the agent alone decides about starts, and
a task that arrives with a void token waits there for a free slot. A result
brings a token of the current epoch whenever the idle tokens and the tasks
at the agent are fewer than the slots, and none otherwise.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from baobabgap.jobs import TaskSize


@dataclass(frozen=True, slots=True)
class UpstreamOffer:
    """What the agent's upstream can do; sent after `Hello`, on change.

    An upstream that is not accepting gets no new tasks, and entries drop
    the tokens that they hold for it.
    """

    # The name of the upstream that announced itself to the agent.
    upstream: str
    # How many tasks it runs at once.
    slots: int
    # The largest task it can hold.
    capacity: TaskSize
    # Whether it takes new tasks.
    accepting: bool
    # Why it takes none, for people; empty if it does.
    reason: str = ''
    # The rack that the upstream stands in.
    rack: str = ''


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """How busy the upstream is, each 100 ms under `least_reported` only.

    Only the baseline policies need it; see `PlacementPolicy`.
    """

    # Tasks that run.
    running: int
    # Tasks that wait at the agent.
    queued: int


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """The idle tokens that the entry holds from now on in this epoch.

    It replaces all idle tokens of earlier epochs for this agent.
    """

    # Counts up with each redistribution by this agent's incarnation.
    epoch: int
    # How many idle tokens the receiver now holds.
    tokens: int


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """One task handed to an agent."""

    # The task's identifier within its job.
    task: str
    # The sort of work.
    kind: str
    # Handed to the upstream as it is.
    payload: Any
    # The declared resources.
    size: TaskSize


@dataclass(frozen=True, slots=True)
class PlaceTasks:
    """Tasks of one job to start now, each with a token of `epoch`.

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


class TaskOutcome(StrEnum):
    """How a placed task ended at its agent."""

    # Ran to its end and returned a value.
    DONE = 'done'
    # Ran, and the upstream reported an error.
    FAILED = 'failed'
    # Never started and never will by this placement.
    NOT_STARTED = 'not_started'
    # Started, or may have, and what became of it can't be known.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class TaskResult:
    """The end of one placed task."""

    # The job's identifier.
    job: str
    # The task's identifier within its job.
    task: str
    # How it ended.
    outcome: TaskOutcome
    # The value if done, else the reason as text.
    value: Any
    # Milliseconds from start to end on the upstream; 0 if never started.
    run_time_ms: float
    # Whether the task's token returns to the receiver as idle.
    token_returns: bool
    # The grant epoch of that token.
    epoch: int


@dataclass(frozen=True, slots=True)
class TaskResults:
    """Results that were ready together, oldest first."""

    # One element for each ended task.
    results: tuple[TaskResult, ...]


@dataclass(frozen=True, slots=True)
class AcknowledgeResults:
    """The entry has these results; the agent need not resend them.

    Until then the agent's answer for a task stays the same, also if the
    task is placed there anew; so acknowledge `NOT_STARTED` before placing
    the task again with the same agent.
    """

    # Pairs of job and task identifiers.
    tasks: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Drop what has not started of these jobs, and stop what has.

    The agent answers each of the tasks concerned with its `TaskResult`.
    """

    # Identifiers of jobs.
    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ResumeTasks:
    """Sent by the entry on each new link: what it still waits for.

    For each task listed that the agent neither runs, queues, nor has a
    result for, the agent answers `NOT_STARTED` if it can prove that, and
    `LOST` if it can't, for example if both it and its upstream have
    restarted. An agent that has just restarted answers once its upstream
    has bound itself to it.
    """

    # The agent's incarnation that the tasks were placed with.
    agent_incarnation: str
    # Pairs of job and task identifiers.
    tasks: tuple[tuple[str, str], ...]
