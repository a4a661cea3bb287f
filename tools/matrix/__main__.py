"""Command line of the fault matrix, called by `make matrix`.

python -m tools.matrix --steps claim,ticket --faults kill --seed 1
"""

import argparse
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
import signal
import sys
import threading
from types import FrameType
from typing import Final

from tools.matrix._cells import cells_of
from tools.matrix._cells import Fault
from tools.matrix._cells import Result
from tools.matrix._cells import Step
from tools.matrix._cells import Verdict
from tools.matrix._run import run_cells

_DEFAULT_SEED: Final = 1
_CONCURRENT_STEPS: Final = 3


def main() -> int:
    """Run the chosen cells; the exit status is 1 if any is red."""
    # Unwinds the stack on SIGTERM, so that the child processes are ended.
    signal.signal(signal.SIGTERM, _exit_on_signal)
    arguments = _parser().parse_args()
    steps = [Step(name) for name in _names(arguments.steps)] or list(Step)
    faults = [Fault(name) for name in _names(arguments.faults)] or list(Fault)
    results = _run(steps, faults, arguments.seed)
    counts = Counter(result.verdict for result in results)
    print(
        f'{len(results)} cells: '
        + ', '.join(f'{counts[verdict]} {verdict}' for verdict in Verdict)
    )
    return 1 if counts[Verdict.RED] else 0


def _run(steps: list[Step], faults: list[Fault], seed: int) -> list[Result]:
    """Run a few steps concurrently, each on its own deployments."""
    lock = threading.Lock()

    def report(result: Result) -> None:
        with lock:
            print(result.line(), flush=True)

    def run_step(step: Step) -> list[Result]:
        cells = [cell for cell in cells_of(step) if cell.fault in faults]
        return run_cells(cells, seed, report)

    with ThreadPoolExecutor(_CONCURRENT_STEPS) as pool:
        return [
            result
            for step_results in pool.map(run_step, steps)
            for result in step_results
        ]


def _names(text: str) -> list[str]:
    return [name for name in text.split(',') if name]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='python -m tools.matrix')
    parser.add_argument('--steps', default='', help='names, with commas')
    parser.add_argument('--faults', default='', help='names, with commas')
    parser.add_argument('--seed', type=int, default=_DEFAULT_SEED)
    return parser


def _exit_on_signal(number: int, frame: FrameType | None) -> None:
    sys.exit(128 + number)


if __name__ == '__main__':
    sys.exit(main())
