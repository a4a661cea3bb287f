"""Commands and snapshot of the accepted jobs, as stored in the log."""

from dataclasses import dataclass

from baobabgap.jobmodel._crashes import CrashEvidence
from baobabgap.jobmodel._model import AcceptedJob
from baobabgap.jobmodel._model import JobState
from baobabgap.jobmodel._model import TaskEnd
from baobabgap.queues import QueueConfiguration
from baobabgap.wire import register


@dataclass(frozen=True, slots=True)
class AcceptJobs:
    """Store jobs; a job that is known already is left unchanged."""

    jobs: tuple[AcceptedJob, ...]


@dataclass(frozen=True, slots=True)
class NoteEnds:
    """Record the ends of runs; those of unknown jobs have no effect."""

    ends: tuple[TaskEnd, ...]
    # Milliseconds since 1970 on the leader's clock.
    now_ms: int


@dataclass(frozen=True, slots=True)
class CancelAccepted:
    """Cancel jobs; those that have ended or are unknown stay unchanged."""

    job_ids: tuple[str, ...]
    now_ms: int


@dataclass(frozen=True, slots=True)
class CancelVolatile:
    """Cancel jobs that are in no log, so that no leader begins them again.

    A job that was accepted is cancelled, too; one that has ended stays
    unchanged.
    """

    job_ids: tuple[str, ...]
    now_ms: int


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Activate a configuration, unless one at least as new is active."""

    configuration: QueueConfiguration


@dataclass(frozen=True, slots=True)
class BeginEvacuation:
    """Start nothing more in an availability zone; its runs go on."""

    zone: str


@dataclass(frozen=True, slots=True)
class EndEvacuation:
    """Take back the evacuation of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class EnrolMembers:
    """Add agents that may hold runs, and entries that may hold calls.

    Names are `agent/name` and `entry/name/incarnation`.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DismissMembers:
    """Remove members that cannot hold anything of an earlier term."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoredJob:
    """An unfinished job in a snapshot."""

    job: AcceptedJob
    # Steps and indexes of the tasks that are done.
    done: tuple[tuple[int, int], ...]
    # Step, index and run of each failed run.
    failed_runs: tuple[tuple[int, int, int], ...]
    # Step, index and run of each run that was lost in a crash.
    crashed_runs: tuple[tuple[int, int, int, CrashEvidence], ...] = ()


@dataclass(frozen=True, slots=True)
class StoredEnd:
    """An ended job in a snapshot."""

    job_id: str
    queue: str
    state: JobState
    ended_ms: int
    # Why it failed, if not by failed runs; empty otherwise.
    reason: str = ''


@dataclass(frozen=True, slots=True)
class AcceptedSnapshot:
    """The complete state in a snapshot."""

    configuration: QueueConfiguration | None
    jobs: tuple[StoredJob, ...]
    ended: tuple[StoredEnd, ...]
    members: tuple[str, ...]
    # The latest time in any command, milliseconds since 1970.
    now_ms: int
    # Evacuated zones with the log indexes of the orders.
    evacuated_zones: tuple[tuple[str, int], ...] = ()


register(
    AcceptedSnapshot,
    AcceptJobs,
    BeginEvacuation,
    CancelAccepted,
    CancelVolatile,
    DismissMembers,
    EndEvacuation,
    EnrolMembers,
    NoteEnds,
    PutConfiguration,
)
