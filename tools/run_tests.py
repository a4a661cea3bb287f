"""Runs all tests; failures named in KNOWN-RED.txt are printed, not fatal.

An entry of KNOWN-RED.txt begins with `test: ` and the test's full name.
A listed test that passes is reported too, so that its entry goes.
"""

import faulthandler
import os
from pathlib import Path
import sys
from typing import Final
import unittest

_KNOWN_RED: Final = Path('KNOWN-RED.txt')
# Folders with tests, each with the folder that its packages lie in.
_ROOTS: Final = (
    ('baobabgap', '.'),
    ('tools', '.'),
    ('platform/baobabgap_platform', 'platform'),
)
_WHOLE_RUN_LIMIT_S: Final = 900.0


def main() -> int:
    """Run the tests and return the exit status."""
    faulthandler.dump_traceback_later(_WHOLE_RUN_LIMIT_S, exit=True)
    names = sys.argv[1:]
    result = unittest.TextTestRunner(verbosity=1).run(_collect(names))
    known = _read_known_red()
    bad = {test.id(): trace for test, trace in result.failures + result.errors}
    new = sorted(set(bad) - known)
    for name in sorted(set(bad) & known):
        print(f'KNOWN RED: {name}')
    for name in sorted(known - set(bad)) if not names else []:
        print(f'listed in {_KNOWN_RED} but not failing: {name}')
    passed = result.testsRun - len(bad)
    print(f'{passed} passed, {len(new)} failed')
    return 1 if new or result.testsRun == 0 else 0


def _collect(names: list[str]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for root, top_level in _ROOTS:
        suite.addTests(
            loader.discover(root, pattern='test_*.py', top_level_dir=top_level)
        )
    return suite


def _read_known_red() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


if __name__ == '__main__':
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # A failed test may leave tasks behind that would never end.
    os._exit(status)
