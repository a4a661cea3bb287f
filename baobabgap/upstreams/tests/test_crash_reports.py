"""Tests which crashes an agent tells to a new leader."""

import unittest

from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import UpstreamState
from baobabgap.upstreams import _crash_reports
from baobabgap.upstreams._crash_reports import CrashReports
from baobabgap.upstreams._crash_reports import rows_with_ages
from baobabgap.upstreams._run_table import TrackedRun

TASK = TaskId('a', 0, 0)


def upstream(born_ms: int) -> UpstreamState:
    return UpstreamState(
        'u', born_ms, 's', 'z', (), Demand(), False, is_reachable=True
    )


class CrashReportsTest(unittest.TestCase):
    def test_latest_crashes_are_kept_for_a_while(self) -> None:
        reports = CrashReports()
        for number in range(_crash_reports._KEPT_CRASHES + 2):
            reports.add(upstream(number), (), float(number))
        born_ms = [crash.born_ms for crash in reports.latest(20.0)]
        self.assertEqual(list(range(2, len(born_ms) + 2)), born_ms)
        later = _crash_reports._RETENTION_S + 10.0
        self.assertEqual(
            [number for number in born_ms if number > 10],
            [crash.born_ms for crash in reports.latest(later)],
        )

    def test_run_whose_start_was_not_sent_is_left_out(self) -> None:
        runs = [
            TrackedRun(TASK, 1, began_at=3.0),
            TrackedRun(TASK, 2, is_confirmed=True),
            TrackedRun(TASK, 3),
            # Sent after the last sign of life.
            TrackedRun(TASK, 4, began_at=5.5),
        ]
        self.assertEqual(
            [(1, 2000), (2, None), (4, 0)],
            [(row.run, row.age_ms) for row in rows_with_ages(runs, 5.0)],
        )
