"""The replicated state of accepted jobs and of the operator's orders."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from baobabgap.accepted._commands import AcceptedSnapshot
from baobabgap.accepted._commands import AcceptJobs
from baobabgap.accepted._commands import BeginEvacuation
from baobabgap.accepted._commands import CancelAccepted
from baobabgap.accepted._commands import CancelVolatile
from baobabgap.accepted._commands import DismissMembers
from baobabgap.accepted._commands import EndEvacuation
from baobabgap.accepted._commands import EnrolMembers
from baobabgap.accepted._commands import NoteEnds
from baobabgap.accepted._commands import PutConfiguration
from baobabgap.accepted._commands import StoredEnd
from baobabgap.accepted._commands import StoredJob
from baobabgap.accepted._evacuations import EvacuatedZones
from baobabgap.accepted._evacuations import ZoneState
from baobabgap.jobmodel._crashes import CrashEvidence
from baobabgap.jobmodel._crashes import is_given_up
from baobabgap.jobmodel._crashes import UPSTREAM_CRASHES
from baobabgap.jobmodel._model import AcceptedJob
from baobabgap.jobmodel._model import JobState
from baobabgap.jobmodel._model import RunEnd
from baobabgap.jobmodel._model import TaskEnd
from baobabgap.jobmodel._model import TaskId
from baobabgap.queues import QueueConfiguration
from baobabgap.wire import decode
from baobabgap.wire import encode

# The queue of a volatile job isn't stored.
_NO_QUEUE: Final = ''


@dataclass(slots=True)
class UnfinishedJob:
    """An accepted job with the durable ends of its runs."""

    job: AcceptedJob
    done: set[tuple[int, int]] = field(default_factory=set)
    failed_runs_by_task: dict[tuple[int, int], set[int]] = field(
        default_factory=dict
    )
    # Runs lost in crashes of their upstreams, with the evidence against
    # them, by task.
    crashes_by_task: dict[tuple[int, int], dict[int, CrashEvidence]] = field(
        default_factory=dict
    )

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return len(self.done) == sum(step.tasks for step in self.job.steps)

    def failed_runs(self, task: TaskId) -> int:
        """Return how many runs of a task have failed."""
        runs = self.failed_runs_by_task.get((task.step, task.index), ())
        return len(runs)


@dataclass(frozen=True, slots=True)
class JobEnd:
    """The final state of a job."""

    job_id: str
    state: JobState
    # Why it failed, if not by failed runs; empty otherwise.
    reason: str = ''


class AcceptedState:
    """Implements `StateMachine` of the replication for accepted jobs.

    The retention of ended jobs is measured by the times in the commands,
    so that every host drops the same jobs. Methods must be called and
    attributes read by the task that applies commands, or through a read
    barrier. `retention_ms` is the time for which an ended job is kept.
    """

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms: Final = retention_ms
        self.configuration: QueueConfiguration | None = None
        self.unfinished_by_id: dict[str, UnfinishedJob] = {}
        # In the order in which the jobs ended, the oldest first.
        self.ended_by_id: dict[str, StoredEnd] = {}
        # Agents and entries, as `role/name`.
        self.members: set[str] = set()
        self.now_ms = 0
        # Called with each configuration that becomes active.
        self.on_configuration: Callable[[QueueConfiguration], None] = (
            _ignore_configuration
        )
        self._evacuated_zones = EvacuatedZones({})
        # Called with each change of a zone's evacuation.
        self.on_zone_change: Callable[[ZoneState], None] = _ignore_zone_change

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one encoded command.

        Return the `JobEnd` list of a `NoteEnds`, else None. Raise
        `ValueError` for a message that is no command of this state.
        """
        for message in decode(command, peer='log'):
            return self._apply(index, message)
        return None

    def _apply(self, index: int, command: object) -> Any:
        match command:
            case AcceptJobs(jobs=jobs):
                for job in jobs:
                    self._accept(job)
                return None
            case NoteEnds(ends=ends, now_ms=now_ms):
                self._drop_expired(now_ms)
                return self._note_ends(ends)
            case CancelAccepted(job_ids=job_ids, now_ms=now_ms):
                self._drop_expired(now_ms)
                for job_id in job_ids:
                    self._end_job(job_id, JobState.CANCELLED)
                return None
            case CancelVolatile(job_ids=job_ids, now_ms=now_ms):
                self._drop_expired(now_ms)
                for job_id in job_ids:
                    self._cancel_volatile(job_id)
                return None
            case EnrolMembers(names=names):
                self.members.update(names)
                return None
            case DismissMembers(names=names):
                self.members.difference_update(names)
                return None
            case _:
                self._apply_order(index, command)
                return None

    def _apply_order(self, index: int, command: object) -> None:
        """Apply an operator's order."""
        match command:
            case PutConfiguration(configuration=configuration):
                self._put_configuration(configuration)
            case BeginEvacuation(zone=zone):
                self._report_change(self._evacuated_zones.begin(zone, index))
            case EndEvacuation(zone=zone):
                self._report_change(self._evacuated_zones.end(zone, index))
            case _:
                raise ValueError(
                    f'not a command of the accepted jobs: {command!r}'
                )

    @property
    def evacuated_zones(self) -> dict[str, int]:
        """The evacuated zones with the log indexes of the orders."""
        return self._evacuated_zones.version_by_zone

    def state_of(self, job_id: str) -> JobState | None:
        """Return the durable state of a job, or None if it is unknown.

        An unfinished job is `QUEUED`, whether or not it runs.
        """
        ended = self.ended_by_id.get(job_id)
        if ended is not None:
            return ended.state
        if job_id in self.unfinished_by_id:
            return JobState.QUEUED
        return None

    def failure_reason(self, job_id: str) -> str:
        """Return why a job failed; empty if not or by failed runs."""
        ended = self.ended_by_id.get(job_id)
        return ended.reason if ended else ''

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        return encode(
            [
                AcceptedSnapshot(
                    self.configuration,
                    tuple(
                        _to_stored(unfinished)
                        for unfinished in self.unfinished_by_id.values()
                    ),
                    tuple(self.ended_by_id.values()),
                    tuple(sorted(self.members)),
                    self.now_ms,
                    self._evacuated_zones.rows(),
                )
            ]
        )

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state by one that `snapshot` encoded."""
        (stored,) = decode(snapshot, peer='snapshot')
        self.unfinished_by_id = {
            job.job.job_id: _from_stored(job) for job in stored.jobs
        }
        self.ended_by_id = {end.job_id: end for end in stored.ended}
        self.members = set(stored.members)
        self.now_ms = stored.now_ms
        self.configuration = stored.configuration
        if stored.configuration is not None:
            self.on_configuration(stored.configuration)
        earlier = self._evacuated_zones
        self._evacuated_zones = EvacuatedZones.from_rows(
            stored.evacuated_zones
        )
        for change in self._evacuated_zones.changes_since(earlier, index):
            self._report_change(change)

    def _accept(self, job: AcceptedJob) -> None:
        self._drop_expired(job.accepted_ms)
        if self.state_of(job.job_id) is None:
            self.unfinished_by_id[job.job_id] = UnfinishedJob(job)

    def _note_ends(self, ends: tuple[TaskEnd, ...]) -> list[JobEnd]:
        job_ends = []
        for end in ends:
            job_end = self._note_end(end)
            if job_end is not None:
                self._end_job(job_end.job_id, job_end.state, job_end.reason)
                job_ends.append(job_end)
        return job_ends

    def _note_end(self, end: TaskEnd) -> JobEnd | None:
        """Record one end; return the end of the job if it ends the job."""
        job_id = end.task.job_id
        unfinished = self.unfinished_by_id.get(end.task.job_id)
        if unfinished is None:
            return None
        task = (end.task.step, end.task.index)
        if task in unfinished.done:
            return None
        match end.end:
            case RunEnd.DONE:
                unfinished.done.add(task)
                if unfinished.is_complete:
                    return JobEnd(job_id, JobState.COMPLETED)
            case RunEnd.FAILED:
                runs = unfinished.failed_runs_by_task.setdefault(task, set())
                runs.add(end.run)
                if len(runs) >= unfinished.job.attempts:
                    return JobEnd(job_id, JobState.FAILED)
            case RunEnd.INTERRUPTED if end.crash is not None:
                crashes = unfinished.crashes_by_task.setdefault(task, {})
                crashes.setdefault(end.run, end.crash)
                if is_given_up(crashes):
                    return JobEnd(job_id, JobState.FAILED, UPSTREAM_CRASHES)
        return None

    def _end_job(self, job_id: str, state: JobState, reason: str = '') -> None:
        unfinished = self.unfinished_by_id.pop(job_id, None)
        if unfinished is not None:
            self.ended_by_id[job_id] = StoredEnd(
                job_id, unfinished.job.queue, state, self.now_ms, reason
            )

    def _cancel_volatile(self, job_id: str) -> None:
        self._end_job(job_id, JobState.CANCELLED)
        if job_id not in self.ended_by_id:
            self.ended_by_id[job_id] = StoredEnd(
                job_id, _NO_QUEUE, JobState.CANCELLED, self.now_ms
            )

    def _put_configuration(self, configuration: QueueConfiguration) -> None:
        current = self.configuration
        if current is None or configuration.version > current.version:
            self.configuration = configuration
            self.on_configuration(configuration)

    def _report_change(self, change: ZoneState | None) -> None:
        if change is not None:
            self.on_zone_change(change)

    def _drop_expired(self, now_ms: int) -> None:
        """Advance the time, and drop jobs past their retention."""
        self.now_ms = max(self.now_ms, now_ms)
        oldest_ms = self.now_ms - self._retention_ms
        while self.ended_by_id:
            job_id = next(iter(self.ended_by_id))
            if self.ended_by_id[job_id].ended_ms >= oldest_ms:
                return
            del self.ended_by_id[job_id]


def _to_stored(unfinished: UnfinishedJob) -> StoredJob:
    return StoredJob(
        unfinished.job,
        tuple(sorted(unfinished.done)),
        tuple(
            (step, index, run)
            for (step, index), runs in sorted(
                unfinished.failed_runs_by_task.items()
            )
            for run in sorted(runs)
        ),
        tuple(
            (step, index, run, evidence)
            for (step, index), crashes in sorted(
                unfinished.crashes_by_task.items()
            )
            for run, evidence in sorted(crashes.items())
        ),
    )


def _from_stored(stored: StoredJob) -> UnfinishedJob:
    unfinished = UnfinishedJob(stored.job, set(stored.done))
    for step, index, run in stored.failed_runs:
        runs = unfinished.failed_runs_by_task.setdefault((step, index), set())
        runs.add(run)
    for step, index, run, evidence in stored.crashed_runs:
        crashes = unfinished.crashes_by_task.setdefault((step, index), {})
        crashes[run] = evidence
    return unfinished


def _ignore_configuration(configuration: QueueConfiguration) -> None:
    """Do nothing; the default of `on_configuration`."""


def _ignore_zone_change(change: ZoneState) -> None:
    """Do nothing; the default of `on_zone_change`."""
