"""Runs the tests; failures listed in KNOWN-RED.txt aren't fatal.

An entry of KNOWN-RED.txt begins with `test: ` and the test's full name.
Listed tests that fail are printed. A run of all tests also prints listed
tests that no longer fail, so that their entries can be removed.
"""

import faulthandler
import os
from pathlib import Path
import sys
from typing import Final
import unittest

_KNOWN_FAILURES_FILE: Final = Path('KNOWN-RED.txt')
# Folders with tests, each with its top-level package directory.
_TEST_ROOTS: Final = (
    ('baobabgap', '.'),
    ('tools', '.'),
    ('platform/baobabgap_platform', 'platform'),
)
_WHOLE_RUN_LIMIT_S: Final = 2700.0


def main() -> int:
    """Run the tests and return the exit status."""
    faulthandler.dump_traceback_later(_WHOLE_RUN_LIMIT_S, exit=True)
    names = sys.argv[1:]
    result = unittest.TextTestRunner(verbosity=1).run(_collect(names))
    known_failures = _read_known_failures()
    failures = {
        test.id(): traceback
        for test, traceback in result.failures + result.errors
    }
    new_failures = sorted(set(failures) - known_failures)
    for name in sorted(set(failures) & known_failures):
        print(f'KNOWN RED: {name}')
    for name in sorted(known_failures - set(failures)) if not names else []:
        print(f'listed in {_KNOWN_FAILURES_FILE} but not failing: {name}')
    passed = result.testsRun - len(failures)
    print(f'{passed} passed, {len(new_failures)} failed')
    return 1 if new_failures or result.testsRun == 0 else 0


def _collect(names: list[str]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for root, top_level in _TEST_ROOTS:
        suite.addTests(
            loader.discover(root, pattern='test_*.py', top_level_dir=top_level)
        )
    return suite


def _read_known_failures() -> set[str]:
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    lines = _KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


if __name__ == '__main__':
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads that a failed test left running would block a normal exit.
    os._exit(status)
