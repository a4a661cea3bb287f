"""Plots the JSON lines of `make slopes` into one picture::

    python -m tools.plot_slopes docs/slopes.jsonl docs/slopes.png

Requires matplotlib, an optional dependency.
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
    """A panel of the picture and the keys that it plots."""

    title: str
    # The key on the x axis, which selects the lines.
    size_key: str
    # The key on the y axis.
    value_key: str
    # The target limit at full size, drawn as a dashed line, or None.
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
    """Read JSON lines from `source` and save the plots to `picture`."""
    lines = [
        json.loads(line)
        for line in Path(source).read_text(encoding='utf-8').splitlines()
        if line.startswith('{')
    ]
    pyplot.switch_backend('Agg')
    figure, axes_grid = pyplot.subplots(2, 3, figsize=(12, 7))
    for curve, axes in zip(CURVES, axes_grid.flat, strict=True):
        _plot_curve(axes, curve, lines)
    figure.tight_layout()
    figure.savefig(picture, dpi=90)


def _plot_curve(
    axes: Any, curve: Curve, lines: Sequence[dict[str, Any]]
) -> None:
    points = sorted(
        (line[curve.size_key], line[curve.value_key])
        for line in lines
        if curve.size_key in line and curve.value_key in line
    )
    if points:
        axes.plot(*zip(*points, strict=True), marker='o')
    if curve.limit is not None:
        axes.axhline(curve.limit, linestyle='--', color='grey')
    axes.set_title(curve.title)
    axes.set_xlabel(curve.size_key)
    axes.set_ylim(bottom=0)


if __name__ == '__main__':
    fire.Fire(main)
