"""Implements the timeline command."""

from collections.abc import Sequence
import json
from typing import Any
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap.jobs import JobIdentifier
from baobabgap.telemetry import JobSummary
from baobabgap.telemetry import read_records
from baobabgap.telemetry import summarize_jobs
from baobabgap.telemetry import Timeline
from baobabgap.telemetry import TimelineEvent
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._exit import ToolError
from baobabgap.tool._tables import render_table

_MAX_SUMMARIES: Final = 10
_MAX_FIELDS_WIDTH: Final = 400
# A pending submission counts as answered: its client fetches the result
# later.
_ANSWERED_STATES: Final = ('whole', 'pending')


def show_timeline(arguments: Sequence[str], as_json: bool) -> ExitCode:
    """Print the timeline of a job, or the slowest and the failed jobs.

    The first argument is a job if it parses as an identifier, otherwise a
    log file.
    """
    job, files = _split_arguments(arguments)
    if not files:
        raise InvalidInput('needs one log file at least', step='timeline')
    try:
        if job:
            return _show_job(job, files, as_json)
        return _show_summaries(files, as_json)
    except OSError as error:
        raise InvalidInput(str(error), step='timeline') from error


def _split_arguments(arguments: Sequence[str]) -> tuple[str, Sequence[str]]:
    # A file named twice would show each event twice.
    files = list(dict.fromkeys(arguments))
    if not files:
        return '', files
    try:
        JobIdentifier.from_text(files[0])
    except InvalidInput:
        return '', files
    return files[0], files[1:]


def _show_job(job: str, files: Sequence[str], as_json: bool) -> ExitCode:
    timeline = Timeline.from_files(job, files)
    if not timeline.events:
        raise ToolError(
            f'{job} is in none of {len(files)} files',
            ExitCode.USAGE,
            step='timeline',
        )
    if as_json:
        for event in timeline.events:
            print(json.dumps(_event_document(event)))
        return ExitCode.DONE
    rows = [
        (
            f'{event.offset_ms:.3f}',
            event.record.process,
            event.record.role,
            event.record.event,
            _format_fields(event.record.field_by_name),
        )
        for event in timeline.events
    ]
    print(f'{job}: {len(rows)} events')
    headers = ('ms', 'process', 'role', 'event', 'fields')
    print(render_table(headers, rows, _MAX_FIELDS_WIDTH))
    print(_describe_clock_shifts(timeline))
    return ExitCode.DONE


def _describe_clock_shifts(timeline: Timeline) -> str:
    shifts = timeline.shift_ms_by_process
    if not shifts:
        return (
            'No clock contradicts the order of events; between hosts, times '
            'are as good as their clocks.'
        )
    parts = [f'{name} by {ms:.3f} ms' for name, ms in shifts.items()]
    return (
        f'Late clocks, moved on by the least that fits: {", ".join(parts)}. '
        'Times of these processes may be further off.'
    )


def _event_document(event: TimelineEvent) -> dict[str, Any]:
    record = event.record
    return {
        'offset_ms': event.offset_ms,
        'process': record.process,
        'role': record.role,
        'event': record.event,
        'fields': record.field_by_name,
    }


def _format_fields(field_by_name: dict[str, Any]) -> str:
    return ' '.join(
        f'{name}={value if isinstance(value, str) else json.dumps(value)}'
        for name, value in field_by_name.items()
    )


def _show_summaries(files: Sequence[str], as_json: bool) -> ExitCode:
    summaries = summarize_jobs(read_records(files))
    failed = [
        summary
        for summary in summaries
        if summary.state not in _ANSWERED_STATES
    ]
    if as_json:
        for summary in summaries:
            print(json.dumps(_summary_document(summary)))
        return ExitCode.DONE
    print(f'{len(summaries)} submissions ended, {len(failed)} without answer')
    print(f'The slowest {min(len(summaries), _MAX_SUMMARIES)}:')
    print(_summary_table(summaries))
    print(f'Without answer, the slowest {min(len(failed), _MAX_SUMMARIES)}:')
    print(_summary_table(failed))
    return ExitCode.DONE


def _summary_document(summary: JobSummary) -> dict[str, Any]:
    return {
        'job': summary.job,
        'state': summary.state,
        'process': summary.process,
        'duration_ms': summary.duration_ms,
    }


def _summary_table(summaries: Sequence[JobSummary]) -> str:
    rows = [
        (
            f'{summary.duration_ms:.1f}',
            summary.job,
            summary.state,
            summary.process,
        )
        for summary in summaries[:_MAX_SUMMARIES]
    ]
    return render_table(('ms', 'job', 'state', 'process'), rows)
