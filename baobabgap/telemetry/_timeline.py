"""The timeline of one job, merged from the logs of many processes.

All processes log a job within one tree of eliot actions. Host clocks
differ, but the tree fixes a partial order: a record that a process logs
under an action continued from another process is later than the records
that the other process logged in that action before. A clock that
contradicts this order is behind by at least the difference, and all
records of its process are shifted by that amount.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from baobabgap.telemetry._records import LogRecord
from baobabgap.telemetry._records import read_records

_US_PER_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One event of a job."""

    # Milliseconds since the first event, corrected by the clock shift.
    offset_ms: float
    # The log record of the event.
    record: LogRecord


@dataclass(frozen=True, slots=True)
class Timeline:
    """The ordered events that all processes logged about one job."""

    # The job's identifier.
    job: str
    # Oldest first.
    events: tuple[TimelineEvent, ...]
    # Least number of milliseconds by which a clock was behind, by process
    # name; processes whose clocks contradict nothing are left out.
    shift_ms_by_process: dict[str, float]

    @classmethod
    def from_files(cls, job: str, paths: Sequence[str | Path]) -> 'Timeline':
        """Collect the events of a job; none if the files lack it."""
        task_uuids = {
            record.task_uuid
            for record in read_records(paths, containing=[job])
            if record.job == job
        }
        if not task_uuids:
            return cls(job, (), {})
        records = read_records(paths, containing=sorted(task_uuids))
        job_records = [
            record
            for record in records
            if record.task_uuid in task_uuids and record.job in ('', job)
        ]
        return cls.from_records(job, job_records)

    @classmethod
    def from_records(
        cls, job: str, records: Sequence[LogRecord]
    ) -> 'Timeline':
        """Order the records of one job."""
        shift_us_by_process = _estimate_clock_shifts(records)
        timed_records = [
            (record.timestamp_us + shift_us_by_process[record.process], record)
            for record in records
        ]
        timed_records.sort(key=lambda pair: (pair[0], pair[1].task_level))
        start_us = timed_records[0][0] if timed_records else 0
        events = tuple(
            TimelineEvent((time_us - start_us) / _US_PER_MS, record)
            for time_us, record in timed_records
        )
        shift_ms_by_process = {
            process: shift_us / _US_PER_MS
            for process, shift_us in sorted(shift_us_by_process.items())
            if shift_us > 0
        }
        return cls(job, events, shift_ms_by_process)


def _estimate_clock_shifts(records: Sequence[LogRecord]) -> dict[str, int]:
    """Return how far each clock is behind at least, in microseconds."""
    causal_pairs = _causal_pairs(records)
    shift_us_by_process: dict[str, int] = defaultdict(int)
    # Each round carries shifts one process further, so as many rounds as
    # processes suffice unless the clocks contradict each other.
    for _ in range(len({record.process for record in records})):
        for earlier, later in causal_pairs:
            lower_bound = (
                earlier.timestamp_us + shift_us_by_process[earlier.process]
            )
            current = later.timestamp_us + shift_us_by_process[later.process]
            shift_us_by_process[later.process] += max(0, lower_bound - current)
    return shift_us_by_process


def _causal_pairs(
    records: Sequence[LogRecord],
) -> list[tuple[LogRecord, LogRecord]]:
    """Pair each record with its predecessor from another process."""
    record_by_position = {
        (record.task_uuid, record.task_level): record for record in records
    }
    causal_pairs = []
    for record in records:
        predecessor = _find_predecessor(record, record_by_position)
        if predecessor is not None and predecessor.process != record.process:
            causal_pairs.append((predecessor, record))
    return causal_pairs


def _find_predecessor(
    record: LogRecord,
    record_by_position: dict[tuple[str, tuple[int, ...]], LogRecord],
) -> LogRecord | None:
    """Return the latest record that precedes this one in its tree."""
    level = record.task_level
    for depth in range(len(level) - 1, -1, -1):
        for number in range(level[depth] - 1, 0, -1):
            position = (record.task_uuid, (*level[:depth], number))
            if position in record_by_position:
                return record_by_position[position]
    return None


@dataclass(frozen=True, slots=True)
class JobSummary:
    """The result of one submission of a job, from its entry's log."""

    # The job's identifier.
    job: str
    # `whole`, `pending` or a failure code.
    state: str
    # The name of the entry that served it.
    process: str
    # Milliseconds from the request to its answer.
    duration_ms: float


def summarize_jobs(records: Iterable[LogRecord]) -> list[JobSummary]:
    """Return all submissions that ended, the slowest first."""
    start_by_task_uuid: dict[str, LogRecord] = {}
    summaries = []
    for record in records:
        if record.event == 'job started':
            start_by_task_uuid[record.task_uuid] = record
        elif record.event in ('job succeeded', 'job failed'):
            start = start_by_task_uuid.pop(record.task_uuid, None)
            if start is not None:
                summaries.append(_summarize(start, record))
    summaries.sort(key=lambda summary: -summary.duration_ms)
    return summaries


def _summarize(start: LogRecord, end: LogRecord) -> JobSummary:
    state = str(end.field_by_name.get('state', 'internal'))
    duration_ms = (end.timestamp_us - start.timestamp_us) / _US_PER_MS
    return JobSummary(start.job, state, start.process, duration_ms)
