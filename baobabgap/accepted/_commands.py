"""Commands of the accepted jobs' state, as the replicated log holds them."""

from dataclasses import dataclass

from baobabgap.accepted._model import AcceptedJob
from baobabgap.accepted._model import JobState
from baobabgap.accepted._model import TaskEnd
from baobabgap.messages import register
from baobabgap.queues import QueueConfiguration


@dataclass(frozen=True, slots=True)
class AcceptJobs:
    """Keep jobs; one that is known already stays as it is."""

    jobs: tuple[AcceptedJob, ...]


@dataclass(frozen=True, slots=True)
class NoteEnds:
    """Keep the ends of runs; ends of unknown jobs change nothing."""

    ends: tuple[TaskEnd, ...]
    # Milliseconds since 1970 on the leader's clock.
    now_ms: int


@dataclass(frozen=True, slots=True)
class CancelAccepted:
    """Cancel jobs that have not ended."""

    job_ids: tuple[str, ...]
    now_ms: int


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Put a configuration in force unless a higher version is."""

    configuration: QueueConfiguration


@dataclass(frozen=True, slots=True)
class EnrolMembers:
    """Remember agents that may hold runs, and entries that may hold calls.

    Names are `agent/name` and `entry/name/incarnation`.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DismissMembers:
    """Forget members that certainly hold nothing of an earlier term."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoredJob:
    """An unfinished job in a snapshot."""

    job: AcceptedJob
    # Steps and indexes of the tasks that are done.
    done: tuple[tuple[int, int], ...]
    # Step, index and run of each failed run.
    failed_runs: tuple[tuple[int, int, int], ...]


@dataclass(frozen=True, slots=True)
class StoredEnd:
    """An ended job in a snapshot."""

    job_id: str
    queue: str
    state: JobState
    ended_ms: int


@dataclass(frozen=True, slots=True)
class AcceptedSnapshot:
    """The whole state."""

    configuration: QueueConfiguration | None
    jobs: tuple[StoredJob, ...]
    ended: tuple[StoredEnd, ...]
    members: tuple[str, ...]
    # The latest time that a command carried.
    now_ms: int


register(
    AcceptedSnapshot,
    AcceptJobs,
    CancelAccepted,
    DismissMembers,
    EnrolMembers,
    NoteEnds,
    PutConfiguration,
)
