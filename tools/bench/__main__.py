"""Command line of the benchmark, used by `make bench`.

Runs real processes under seeded traces and prints one JSON line for
each case and policy::

    python -m tools.bench --cases load-0.8,burst --seconds 30 --seed 1
"""

import argparse
import json
import signal
import sys
from types import FrameType
from typing import Final

from tools.bench._cases import all_cases
from tools.bench._cases import choose_cases
from tools.bench._cases import choose_policies
from tools.bench._cases import WIDE_PREFIX
from tools.bench._report import slope_line
from tools.bench._run import run_cases

_DEFAULT_SECONDS: Final = 30.0
_DEFAULT_SEED: Final = 1


def main() -> None:
    """Run the selected cases and print one JSON line for each."""
    # Exits through the context managers, which stop the processes.
    signal.signal(signal.SIGTERM, _exit)
    arguments = _parser().parse_args()
    names = tuple(name for name in arguments.cases.split(',') if name)
    policies = tuple(name for name in arguments.policies.split(',') if name)
    cases = all_cases(arguments.seed, arguments.seconds)
    try:
        selected = choose_policies(choose_cases(cases, names), policies)
    except ValueError as error:
        sys.exit(str(error))
    wide_lines = []
    for line in run_cases(selected, arguments.seed):
        print(json.dumps(line), flush=True)
        if line['case'].startswith(WIDE_PREFIX):
            wide_lines.append(line)
    if len(wide_lines) > 1:
        print(json.dumps(slope_line(wide_lines)), flush=True)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='python -m tools.bench')
    parser.add_argument(
        '--cases',
        default='',
        help='comma-separated names or prefixes; all if empty',
    )
    parser.add_argument(
        '--policies', default='', help='comma-separated names; all if empty'
    )
    parser.add_argument('--seconds', type=float, default=_DEFAULT_SECONDS)
    parser.add_argument('--seed', type=int, default=_DEFAULT_SEED)
    return parser


def _exit(number: int, frame: FrameType | None) -> None:
    sys.exit(128 + number)


if __name__ == '__main__':
    main()
