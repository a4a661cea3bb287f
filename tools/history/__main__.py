"""Runs seeds one after the other: `make history SEEDS=50`."""

import argparse
import signal
import sys
from typing import Final

from tools.history._run import run
from tools.launcher import LaunchError

_DEFAULT_SECONDS: Final = 6.0


def main() -> int:
    """Run the seeds, print a line for each, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_DEFAULT_SECONDS)
    arguments = parser.parse_args()
    # Raises KeyboardInterrupt on SIGTERM, so that the child processes end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    count_by_verdict = {'held': 0, 'RED': 0, 'not-run': 0}
    for seed in seeds:
        verdict = _run_one(seed, arguments.seconds)
        count_by_verdict[verdict] += 1
    counts = ' '.join(f'{v} {count}' for v, count in count_by_verdict.items())
    print(f'{len(seeds)} seeds: {counts}')
    return 0 if count_by_verdict['held'] == len(seeds) else 1


def _run_one(seed: int, seconds: float) -> str:
    try:
        result = run(seed, seconds)
    except LaunchError as error:
        print(f'seed {seed} not-run {error}', flush=True)
        return 'not-run'
    print(result.line(), flush=True)
    if not result.held:
        print(result.explanation(), flush=True)
    return 'held' if result.held else 'RED'


if __name__ == '__main__':
    sys.exit(main())
