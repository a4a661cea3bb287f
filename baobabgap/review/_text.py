"""Text form of a review."""

import json
from typing import Any

from baobabgap.review._findings import Review


def render_review(review: Review) -> str:
    """Render the findings, then the differences, one line each."""
    lines = [
        f'{finding.severity}: {finding.subject}: {finding.text}'
        for finding in review.findings
    ]
    lines.extend(
        f'{difference.subject}: '
        f'{_as_text(difference.before)} -> {_as_text(difference.after)}'
        for difference in review.differences
    )
    return '\n'.join(lines) or 'no findings and no differences'


def _as_text(value: Any) -> str:
    return '(none)' if value is None else json.dumps(value, default=repr)
