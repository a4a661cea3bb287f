"""Messages between two entries. The entry with the smaller name dials."""

from dataclasses import dataclass

from baobabgap.jobs import JobAnswer


@dataclass(frozen=True, slots=True)
class EntryState:
    """Backlog and idle tokens of the sender.

    Sent on change, at least a few milliseconds apart. Times are relative
    to the time of sending, so that clocks of hosts are not compared.
    """

    # Claimed tasks that wait for a token.
    backlog_tasks: int
    # Milliseconds until the virtual deadline of the most urgent waiting
    # task; negative if the deadline has passed.
    head_slack_ms: float
    # Idle tokens that the sender holds, over all upstreams.
    idle_tokens: int
    # Learned run time of all waiting and running tasks, in milliseconds.
    outstanding_work_ms: float


@dataclass(frozen=True, slots=True)
class TokenTransfer:
    """Transfers idle tokens of one agent to the receiver."""

    # The agent's name.
    agent: str
    # The agent's incarnation that granted the tokens.
    agent_incarnation: str
    # The grant epoch of the tokens.
    epoch: int
    # The number of tokens transferred.
    tokens: int


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """The demand of one team at the sender, as of this report."""

    # The team's name.
    team: str
    # Demand in tasks per second, averaged by the sender.
    tasks_per_second: float


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """The sender's part of the demand of each team that it serves."""

    # Only teams whose demand changed since the last report.
    teams: tuple[TeamDemand, ...]


@dataclass(frozen=True, slots=True)
class JoinJob:
    """Asks the owner of a job for its answer, once it is available."""

    # Chosen by the sender to match the answer.
    request: int
    # The job's identifier.
    job: str
    # Digest of the job's content; empty for any content.
    digest: bytes = b''


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
    # The job's answer, or None if the receiver does not know the job with
    # this content and can't determine its outcome.
    answer: JobAnswer | None
