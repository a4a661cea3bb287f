"""Renders tables, jobs and control pages as text."""

from collections.abc import Sequence
import json
from typing import Any
from typing import Final

from baobabgap.tool._submitter import JobReport

_MAX_CELL_WIDTH: Final = 100
_MAX_TASKS_SHOWN: Final = 8


def render_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[Any]],
    max_cell_width: int = _MAX_CELL_WIDTH,
) -> str:
    """Align columns under their headers; truncate longer cells."""
    lines = [
        list(headers),
        *(
            [_format_cell(value, max_cell_width) for value in row]
            for row in rows
        ),
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
    """Render one job: its state, and its values or failure."""
    heading = f'{report.identifier}  {report.state}'
    if report.attempts > 0:
        heading += f'  {report.took_ms:.0f} ms'
    if report.attempts > 1:
        heading += f', sent {report.attempts} times'
    lines = [heading]
    results = report.document.get('results', [])
    lines.extend(
        f'  {result["task"]}  {json.dumps(result["value"])}'
        for result in results[:_MAX_TASKS_SHOWN]
    )
    if len(results) > _MAX_TASKS_SHOWN:
        omitted_count = len(results) - _MAX_TASKS_SHOWN
        lines.append(f'  and {omitted_count} more (--json shows all)')
    if 'error' in report.document:
        lines.append('  ' + render_error(report.document['error']))
    return '\n'.join(lines)


def render_error(error: dict[str, Any]) -> str:
    """Render a failure in one line."""
    parts = [f'{error.get("code")}: {error.get("message")}']
    for name in ('step', 'peer', 'ran'):
        if error.get(name):
            parts.append(f'{name} {error[name]}')
    if error.get('retry_after_s'):
        parts.append(f'retry after {error["retry_after_s"]} s')
    return ', '.join(parts)


def render_page(page: Any) -> str:
    """Render a JSON page: lists of objects as tables, the rest as lines."""
    if isinstance(page, list):
        return _render_list(page)
    if not isinstance(page, dict):
        return _format_cell(page)
    lines = []
    for key, value in page.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines.append(f'{key}:')
            lines.append(_render_list(value))
        elif isinstance(value, dict) and value:
            nested_lines = render_page(value).splitlines()
            lines.extend([f'{key}:', *(f'  {line}' for line in nested_lines)])
        else:
            lines.append(f'{key}: {_format_cell(value)}')
    return '\n'.join(lines)


def _render_list(items: list[Any]) -> str:
    if not items:
        return '(none)'
    if not all(isinstance(item, dict) for item in items):
        return '\n'.join(_format_cell(item) for item in items)
    headers = list(dict.fromkeys(key for item in items for key in item))
    rows = [[item.get(header, '') for header in headers] for item in items]
    return render_table(headers, rows)


def _format_cell(value: Any, max_width: int = _MAX_CELL_WIDTH) -> str:
    if value is None:
        return '-'
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) > max_width:
        return text[: max_width - 3] + '...'
    return text
