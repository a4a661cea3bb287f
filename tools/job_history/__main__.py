"""Runs seeds one after the other: `make job-history SEEDS=50`."""

import argparse
import sys
from typing import Final

from tools.job_history._run import run

_DEFAULT_SECONDS: Final = 8.0


def main() -> int:
    """Run the seeds, print a line for each, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_DEFAULT_SECONDS)
    arguments = parser.parse_args()
    red = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = run(seed, arguments.seconds)
        print(result.line(), flush=True)
        for breach in result.breaches:
            print(f'  {breach}', flush=True)
        red += bool(result.breaches)
    print(f'{arguments.seeds} seeds, {red} RED')
    return 1 if red else 0


if __name__ == '__main__':
    sys.exit(main())
