"""Injects every fault at every step of a job: `make job-matrix`.

The exit status is 1 if a cell is RED.
"""

import argparse
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
import sys
import threading
from typing import Final

from tools.job_history._cells import CellResult
from tools.job_history._cells import GroupFault
from tools.job_history._cells import run_cell
from tools.job_history._injection_points import InjectionPoint

_CONCURRENT_CELLS: Final = 3


def main() -> int:
    """Run the chosen cells, print a line for each; return the status."""
    arguments = _parser().parse_args()
    points = [
        InjectionPoint(name) for name in _names(arguments.steps)
    ] or list(InjectionPoint)
    faults = [GroupFault(name) for name in _names(arguments.faults)] or list(
        GroupFault
    )
    lock = threading.Lock()

    def run(point: InjectionPoint, fault: GroupFault) -> CellResult:
        cell = run_cell(point, fault, arguments.seed)
        with lock:
            print(cell.line(), flush=True)
            for breach in cell.result.breaches:
                print(f'  {breach}', flush=True)
        return cell

    pairs = [(point, fault) for point in points for fault in faults]
    with ThreadPoolExecutor(_CONCURRENT_CELLS) as pool:
        cells = list(pool.map(lambda pair: run(*pair), pairs))
    counts = Counter(cell.verdict for cell in cells)
    print(
        f'{len(cells)} cells: '
        + ', '.join(f'{count} {verdict}' for verdict, count in counts.items())
    )
    return 1 if counts['RED'] else 0


def _names(text: str) -> list[str]:
    return [name for name in text.split(',') if name]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='python -m tools.job_history.matrix')
    parser.add_argument('--steps', default='', help='names, with commas')
    parser.add_argument('--faults', default='', help='names, with commas')
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    sys.exit(main())
