"""Reads and parses the log files of several processes."""

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
import json
from pathlib import Path
from typing import Any
from typing import Final

_RESERVED_KEYS: Final = frozenset(
    {
        'action_status',
        'action_type',
        'message_type',
        'process',
        'role',
        'task_level',
        'task_uuid',
        'timestamp',
    }
)


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One line of a log file."""

    # Microseconds since the Unix epoch, 1970, on the process's host clock.
    timestamp_us: int
    # The name of the process that wrote it.
    process: str
    # The role of that process.
    role: str
    # The message type, or the action type and status.
    event: str
    # The eliot task, a tree of actions, that it belongs to.
    task_uuid: str
    # The position in that tree.
    task_level: tuple[int, ...]
    # All other logged fields.
    field_by_name: dict[str, Any]

    @classmethod
    def from_line(cls, line: str) -> 'LogRecord | None':
        """Parse one line, or return None if it is not a valid record.

        A process that dies during a write leaves a truncated line.
        """
        try:
            document = json.loads(line)
            if not isinstance(document, dict):
                return None
            return cls(
                timestamp_us=round(float(document['timestamp']) * 1e6),
                process=str(document.get('process', '')),
                role=str(document.get('role', '')),
                event=_event_name(document),
                task_uuid=str(document['task_uuid']),
                task_level=tuple(int(n) for n in document['task_level']),
                field_by_name={
                    name: value
                    for name, value in document.items()
                    if name not in _RESERVED_KEYS
                },
            )
        except (ValueError, OverflowError, LookupError, TypeError):
            return None

    @property
    def job(self) -> str:
        """The job that the record names, or an empty string."""
        return str(self.field_by_name.get('job', ''))


def read_records(
    paths: Sequence[str | Path], *, containing: Sequence[str] = ()
) -> Iterator[LogRecord]:
    """Yield the records of all files, one file after the other.

    With `containing`, only lines with one of these strings are parsed,
    which makes the search for a job in large files fast. Raises
    `OSError` if a file can't be read.
    """
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as lines:
            for line in lines:
                if containing and not any(text in line for text in containing):
                    continue
                record = LogRecord.from_line(line)
                if record is not None:
                    yield record


def _event_name(document: dict[str, Any]) -> str:
    if 'message_type' in document:
        return str(document['message_type'])
    return f'{document["action_type"]} {document["action_status"]}'
