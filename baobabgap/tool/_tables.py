"""Text for people: tables, jobs and pages."""

from collections.abc import Sequence
import json
from typing import Any
from typing import Final

from baobabgap.tool._submitting import JobReport

_LONGEST_CELL: Final = 100
_MOST_TASKS_SHOWN: Final = 8


def render_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[Any]],
    longest_cell: int = _LONGEST_CELL,
) -> str:
    """Align columns under their headers; longer cells are cut."""
    lines = [
        list(headers),
        *([_cell(value, longest_cell) for value in row] for row in rows),
    ]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(headers))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_job(report: JobReport) -> str:
    """Show one job: its end, and each value or the failure."""
    head = f'{report.identifier}  {report.state}'
    if report.attempts > 0:
        head += f'  {report.took_ms:.0f} ms'
    if report.attempts > 1:
        head += f', sent {report.attempts} times'
    lines = [head]
    results = report.document.get('results', [])
    lines.extend(
        f'  {result["task"]}  {json.dumps(result["value"])}'
        for result in results[:_MOST_TASKS_SHOWN]
    )
    if len(results) > _MOST_TASKS_SHOWN:
        more = len(results) - _MOST_TASKS_SHOWN
        lines.append(f'  and {more} more (--json shows all)')
    if 'error' in report.document:
        lines.append('  ' + render_error(report.document['error']))
    return '\n'.join(lines)


def render_error(error: dict[str, Any]) -> str:
    """Show a failure in one line."""
    parts = [f'{error.get("code")}: {error.get("message")}']
    for name in ('step', 'peer', 'ran'):
        if error.get(name):
            parts.append(f'{name} {error[name]}')
    if error.get('retry_after_s'):
        parts.append(f'retry after {error["retry_after_s"]} s')
    return ', '.join(parts)


def render_page(page: Any) -> str:
    """Show any JSON page: lists of maps as tables, the rest as lines."""
    if isinstance(page, list):
        return _render_list(page)
    if not isinstance(page, dict):
        return _cell(page)
    lines = []
    for key, value in page.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines.append(f'{key}:')
            lines.append(_render_list(value))
        elif isinstance(value, dict) and value:
            inner = render_page(value).splitlines()
            lines.extend([f'{key}:', *(f'  {line}' for line in inner)])
        else:
            lines.append(f'{key}: {_cell(value)}')
    return '\n'.join(lines)


def _render_list(items: list[Any]) -> str:
    if not items:
        return '(none)'
    if not all(isinstance(item, dict) for item in items):
        return '\n'.join(_cell(item) for item in items)
    headers = list(dict.fromkeys(key for item in items for key in item))
    rows = [[item.get(header, '') for header in headers] for item in items]
    return render_table(headers, rows)


def _cell(value: Any, longest: int = _LONGEST_CELL) -> str:
    if value is None:
        return '-'
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) > longest:
        return text[: longest - 3] + '...'
    return text
