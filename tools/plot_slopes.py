"""Draws the lines that `make slopes` printed, one picture for all.

    python -m tools.plot_slopes docs/slopes.jsonl docs/slopes.png

Needs matplotlib, which is an optional dependency.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import json
from pathlib import Path
from typing import Any
from typing import Final

import fire
from matplotlib import pyplot


@dataclass(frozen=True, slots=True)
class Curve:
    """One panel: which lines, and what is drawn over what."""

    title: str
    # The key that only this panel's lines have, drawn to the right.
    size_key: str
    # The key drawn upwards.
    value_key: str
    # The limit of the target at full size, or None.
    limit: float | None = None


CURVES: Final = (
    Curve(
        'control host: % of a core', 'members', 'cpu_percent_of_a_core', 2.4
    ),
    Curve('control host: MB', 'members', 'memory_mb', 256.0),
    Curve('entry: % of a core, idle', 'links', 'cpu_percent_of_a_core', 2.4),
    Curve('entry: MB, idle', 'links', 'memory_mb', 256.0),
    Curve('entry: us a task', 'tasks_per_job', 'entry_cpu_us_per_task', 100.0),
    Curve('claims a second', 'batch', 'claims_per_s'),
)


def main(source: str, picture: str) -> None:
    """Read JSON lines from `source` and draw them into `picture`."""
    lines = [
        json.loads(line)
        for line in Path(source).read_text(encoding='utf-8').splitlines()
        if line.startswith('{')
    ]
    pyplot.switch_backend('Agg')
    figure, panels = pyplot.subplots(2, 3, figsize=(12, 7))
    for curve, panel in zip(CURVES, panels.flat, strict=True):
        _draw(panel, curve, lines)
    figure.tight_layout()
    figure.savefig(picture, dpi=90)


def _draw(panel: Any, curve: Curve, lines: Sequence[dict[str, Any]]) -> None:
    points = sorted(
        (line[curve.size_key], line[curve.value_key])
        for line in lines
        if curve.size_key in line and curve.value_key in line
    )
    if points:
        panel.plot(*zip(*points, strict=True), marker='o')
    if curve.limit is not None:
        panel.axhline(curve.limit, linestyle='--', color='grey')
    panel.set_title(curve.title)
    panel.set_xlabel(curve.size_key)
    panel.set_ylim(bottom=0)


if __name__ == '__main__':
    fire.Fire(main)
