"""Tests that the demonstration in the README works."""

from contextlib import redirect_stdout
from io import StringIO
import unittest

from tools.demo import main


class TestDemo(unittest.TestCase):
    """Guards against a demonstration that breaks with a change of the tool."""

    def test_every_job_is_whole(self) -> None:
        output = StringIO()
        with redirect_stdout(output):
            status = main()
        printed = output.getvalue()
        self.assertEqual(0, status, printed)
        self.assertEqual(6, printed.count('  whole  '))
        for event in ('claimed', 'placed', 'agent:run started', 'ended'):
            self.assertIn(event, printed)
