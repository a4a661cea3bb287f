"""The answer to a job: the values of all its tasks, or one failure."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class FailureCode(StrEnum):
    """Why a job was refused or failed; docs/OPERATIONS.md has the list."""

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too_large'
    NEVER_FITS = 'never_fits'
    UNKNOWN_TEAM = 'unknown_team'
    UNKNOWN_JOB = 'unknown_job'
    OVER_QUOTA = 'over_quota'
    OVERLOADED = 'overloaded'
    DRAINING = 'draining'
    NO_UPSTREAM = 'no_upstream'
    CONTROL_UNAVAILABLE = 'control_unavailable'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    TASK_FAILED = 'task_failed'
    TASK_LOST = 'task_lost'
    OWNER_LOST = 'owner_lost'
    WINDOW_PASSED = 'window_passed'
    # An error in the system itself; the entry's log has the traceback.
    INTERNAL = 'internal'


class Ran(StrEnum):
    """Whether any task of the job has started."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class JobFailure:
    """Why a job failed, and what its client may do about it."""

    # The cause of the failure.
    code: FailureCode
    # Human-readable description.
    message: str
    # The stage of the job that failed.
    step: str
    # The name of the peer process, or empty.
    peer: str
    # Whether any task of the job has started.
    ran: Ran
    # Seconds after which a retry may succeed; 0 if it never will.
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskAnswer:
    """The value that one task returned."""

    # The identifier of the task within its job.
    task: str
    # What the upstream returned: any JSON value.
    value: Any


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The result of a job: all values in submission order, or a failure."""

    # The job's identifier.
    identifier: str
    # One answer for each task, in submission order; empty if failed.
    results: tuple[TaskAnswer, ...] = ()
    # Set if and only if the job was refused or has failed.
    failure: JobFailure | None = None

    @classmethod
    def from_failure(cls, identifier: str, failure: JobFailure) -> 'JobAnswer':
        """Build the answer of a job that was refused or has failed."""
        return cls(identifier, (), failure)

    @property
    def has_all_values(self) -> bool:
        """Whether the answer has every task's value."""
        return self.failure is None
