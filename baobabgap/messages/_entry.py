"""Messages between two entries. The entry with the smaller name dials."""

from dataclasses import dataclass

from baobabgap.jobs import JobAnswer


@dataclass(frozen=True, slots=True)
class EntryState:
    """How much work waits at the sender and how many tokens lie idle.

    Sent on change, a few milliseconds apart at the least. Times are
    relative to the moment of sending, so that no clocks are compared.
    """

    # Claimed tasks that wait for a token.
    backlog_tasks: int
    # Milliseconds until the virtual deadline of the most urgent waiting
    # task; negative if it has passed.
    head_slack_ms: float
    # Idle tokens that the sender holds, all upstreams together.
    idle_tokens: int
    # Learned run time of all waiting and running tasks, in milliseconds.
    outstanding_work_ms: float


@dataclass(frozen=True, slots=True)
class TokenTransfer:
    """Idle tokens of one agent that now belong to the receiver."""

    # The agent's name.
    agent: str
    # The agent's incarnation that granted the tokens.
    agent_incarnation: str
    # The grant epoch of the tokens.
    epoch: int
    # How many tokens change hands.
    tokens: int


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Tasks asked for by one team at the sender since its last report."""

    # The team's name.
    team: str
    # Demand in tasks a second, averaged by the sender.
    tasks_per_second: float


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """The sender's share of demand for each team that it heard from."""

    # Only teams whose demand changed since the last report.
    teams: tuple[TeamDemand, ...]


@dataclass(frozen=True, slots=True)
class JoinJob:
    """Asks the owner of a job for its answer, once there is one."""

    # Chosen by the sender to match the answer.
    request: int
    # The job's identifier.
    job: str


@dataclass(frozen=True, slots=True)
class CancelOwnedJob:
    """Asks the owner of a job to cancel it."""

    # The job's identifier.
    job: str


@dataclass(frozen=True, slots=True)
class JoinedAnswer:
    """The answer to `JoinJob`."""

    # The number of the request that is answered.
    request: int
    # The job's end, or None if the receiver has no such job and can't
    # tell what became of it.
    answer: JobAnswer | None
