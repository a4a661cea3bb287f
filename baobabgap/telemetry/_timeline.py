"""The time line of one job, merged from the logs of many processes.

All processes log a job within one tree of eliot actions. Clocks of hosts
differ, but the tree tells some things for sure: what a process logs
under an action that another one handed to it came after what the other
had logged in that action before. Where a clock contradicts this, it is
late by at least the difference, and all its records are shifted by that.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from baobabgap.telemetry._records import LogRecord
from baobabgap.telemetry._records import read_records

_US_IN_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One event of a job."""

    # Milliseconds since the first event, with the clock's shift.
    offset_ms: float
    # What was logged.
    record: LogRecord


@dataclass(frozen=True, slots=True)
class Timeline:
    """What all processes logged about one job, in order."""

    # The job's identifier.
    job: str
    # Oldest first.
    events: tuple[TimelineEvent, ...]
    # Milliseconds by which a process's clock was late at least, by the
    # name of the process; processes with a plausible clock are left out.
    shift_ms_by_process: dict[str, float]

    @classmethod
    def from_files(cls, job: str, paths: Sequence[str | Path]) -> 'Timeline':
        """Collect a job from log files; it is empty if they lack it."""
        trees = {
            record.task_uuid
            for record in read_records(paths, containing=[job])
            if record.job == job
        }
        if not trees:
            return cls(job, (), {})
        records = read_records(paths, containing=sorted(trees))
        own = [
            record
            for record in records
            if record.task_uuid in trees and record.job in ('', job)
        ]
        return cls.from_records(job, own)

    @classmethod
    def from_records(
        cls, job: str, records: Sequence[LogRecord]
    ) -> 'Timeline':
        """Order the records of one job."""
        shift_by_process = _find_shifts(records)
        timed = [
            (record.timestamp_us + shift_by_process[record.process], record)
            for record in records
        ]
        timed.sort(key=lambda pair: (pair[0], pair[1].task_level))
        start_us = timed[0][0] if timed else 0
        events = tuple(
            TimelineEvent((time_us - start_us) / _US_IN_MS, record)
            for time_us, record in timed
        )
        shift_ms_by_process = {
            process: shift_us / _US_IN_MS
            for process, shift_us in sorted(shift_by_process.items())
            if shift_us > 0
        }
        return cls(job, events, shift_ms_by_process)


def _find_shifts(records: Sequence[LogRecord]) -> dict[str, int]:
    """Return by how many microseconds each clock is late at least."""
    pairs = _handovers(records)
    shift_by_process: dict[str, int] = defaultdict(int)
    # One more hand-over can follow from each shift, so as many rounds
    # as processes are enough unless the clocks contradict each other.
    for _ in range(len({record.process for record in records})):
        for earlier, later in pairs:
            earliest = earlier.timestamp_us + shift_by_process[earlier.process]
            found = later.timestamp_us + shift_by_process[later.process]
            shift_by_process[later.process] += max(0, earliest - found)
    return shift_by_process


def _handovers(
    records: Sequence[LogRecord],
) -> list[tuple[LogRecord, LogRecord]]:
    """Pair what a process logged first with what must have come before."""
    record_by_place = {
        (record.task_uuid, record.task_level): record for record in records
    }
    pairs = []
    for record in records:
        before = _last_before(record, record_by_place)
        if before is not None and before.process != record.process:
            pairs.append((before, record))
    return pairs


def _last_before(
    record: LogRecord,
    record_by_place: dict[tuple[str, tuple[int, ...]], LogRecord],
) -> LogRecord | None:
    """Find the latest record of the action that led to this one."""
    level = record.task_level
    for depth in range(len(level) - 1, -1, -1):
        for number in range(level[depth] - 1, 0, -1):
            place = (record.task_uuid, (*level[:depth], number))
            if place in record_by_place:
                return record_by_place[place]
    return None


@dataclass(frozen=True, slots=True)
class JobSummary:
    """How one submission of a job went, by its entry's log."""

    # The job's identifier.
    job: str
    # `whole`, `pending` or a failure code.
    state: str
    # The entry that served it.
    process: str
    # Milliseconds from the request to its answer.
    duration_ms: float


def summarize_jobs(records: Iterable[LogRecord]) -> list[JobSummary]:
    """List all submissions that ended, the slowest first."""
    start_by_tree: dict[str, LogRecord] = {}
    summaries = []
    for record in records:
        if record.event == 'job started':
            start_by_tree[record.task_uuid] = record
        elif record.event in ('job succeeded', 'job failed'):
            start = start_by_tree.pop(record.task_uuid, None)
            if start is not None:
                summaries.append(_summary(start, record))
    summaries.sort(key=lambda summary: -summary.duration_ms)
    return summaries


def _summary(start: LogRecord, end: LogRecord) -> JobSummary:
    state = str(end.field_by_name.get('state', 'internal'))
    duration_ms = (end.timestamp_us - start.timestamp_us) / _US_IN_MS
    return JobSummary(start.job, state, start.process, duration_ms)
