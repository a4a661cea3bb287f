"""Tests that the demonstration of the README works as it stands."""

from contextlib import redirect_stdout
from io import StringIO
import unittest

from tools.demo import main


class TestDemo(unittest.TestCase):
    """The first thing that a newcomer runs."""

    def test_every_job_is_whole(self) -> None:
        output = StringIO()
        with redirect_stdout(output):
            status = main()
        shown = output.getvalue()
        self.assertEqual(0, status, shown)
        self.assertEqual(6, shown.count('  whole  '))
        for event in ('claimed', 'placed', 'agent:run started', 'ended'):
            self.assertIn(event, shown)
