"""Tests reconciliation of runs and lease expiry.

A wrong conclusion from the upstream's reports or clock makes the leader
start a task again that is done or still runs.
"""

import unittest

from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import EndRow
from baobabgap.protocol import RunRow
from baobabgap.upstreams import ActiveRun
from baobabgap.upstreams import UpstreamReport
from baobabgap.upstreams._run_table import RunTable
from baobabgap.upstreams._run_table import TrackedRun

TASK = TaskId('a', 0, 0)
OTHER = TaskId('b', 0, 0)


def report(
    *running: ActiveRun, ended: tuple[EndRow, ...] = ()
) -> UpstreamReport:
    return UpstreamReport(1000, 1, running, ended)


class RunTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RunTable()
        self.tracked = TrackedRun(TASK, 2, is_in_flight=False)
        self.table.run_by_task[TASK] = self.tracked

    def test_listed_run_is_confirmed(self) -> None:
        unknown, gone = self.table.apply_report(
            report(ActiveRun(TASK, 2)), 1.0
        )
        self.assertEqual(([], []), (unknown, gone))
        self.assertTrue(self.tracked.is_confirmed)

    def test_unlisted_start_is_not_gone(self) -> None:
        """A start call may take effect after the report was made."""
        _, gone = self.table.apply_report(report(), 1.0)
        self.assertEqual([], gone)
        self.assertEqual(1, len(self.table.rows()))

    def test_stopped_run_is_gone_only_after_a_later_poll(self) -> None:
        self.tracked.must_stop = True
        self.tracked.stopped_at = 5.0
        _, gone = self.table.apply_report(report(), 4.9)
        self.assertEqual([], gone)
        _, gone = self.table.apply_report(report(ActiveRun(TASK, 2)), 5.1)
        self.assertEqual([], gone)
        _, gone = self.table.apply_report(report(), 5.2)
        self.assertEqual([RunRow(TASK, 2, True)], gone)
        self.assertEqual((), self.table.rows())

    def test_report_on_a_rejected_run_waits_for_the_end_of_another(
        self,
    ) -> None:
        self.assertFalse(self.table.has_rejected_run)
        self.tracked.stopped_at = 5.0
        self.assertTrue(self.table.has_rejected_run)
        self.table.apply_report(report(ActiveRun(TASK, 2)), 5.1)
        self.assertFalse(self.table.has_rejected_run)

    def test_stopped_run_that_had_ended_is_not_gone(self) -> None:
        """Reported as gone, its task would run again though it is done."""
        self.tracked.must_stop = True
        self.tracked.stopped_at = 5.0
        end = EndRow(1, TASK, 2, RunEnd.DONE)
        _, gone = self.table.apply_report(report(ended=(end,)), 5.1)
        self.assertEqual([], gone)
        self.assertEqual((), self.table.rows())

    def test_lower_run_is_taken_for_the_tracked_one(self) -> None:
        """It went on, and nothing told the leader of it."""
        unknown, gone = self.table.apply_report(
            report(ActiveRun(TASK, 1)), 1.0
        )
        self.assertEqual(([], []), (unknown, gone))
        self.assertFalse(self.tracked.is_confirmed)
        (lower,) = self.table.stops_due(1.0)
        self.assertEqual((TASK, 1), (lower.task, lower.run))
        lower.stop_sent_at = 1.5
        self.table.apply_report(report(ActiveRun(TASK, 1)), 1.6)
        self.assertEqual([], self.table.stops_due(1.4))
        self.assertEqual([lower], self.table.stops_due(1.6))
        self.table.apply_report(report(), 1.7)
        self.assertEqual([], self.table.stops_due(1.8))
        self.assertEqual([RunRow(TASK, 2, False)], list(self.table.rows()))

    def test_run_without_an_order_is_reported(self) -> None:
        unknown, _ = self.table.apply_report(report(ActiveRun(OTHER, 1)), 1.0)
        self.assertEqual([RunRow(OTHER, 1, True)], unknown)

    def test_late_start_of_an_earlier_life_outlasts_the_lease(self) -> None:
        """With it, an upstream whose lease has expired isn't idle."""
        self.assertFalse(self.table.may_run_at(5.0))
        self.tracked.may_run_until = 5.0
        self.assertTrue(self.table.may_run_at(5.0))
        self.assertFalse(self.table.may_run_at(5.1))

    def test_stop_waits_for_start_and_is_repeated(self) -> None:
        self.tracked.must_stop = True
        self.tracked.is_in_flight = True
        self.assertEqual([], self.table.stops_due(1.0))
        self.tracked.is_in_flight = False
        self.assertEqual([self.tracked], self.table.stops_due(1.0))
        self.tracked.stop_sent_at = 1.5
        self.assertEqual([], self.table.stops_due(1.4))
        self.assertEqual([self.tracked], self.table.stops_due(1.5))
        self.tracked.stopped_at = 1.6
        self.assertEqual([], self.table.stops_due(9.0))


if __name__ == '__main__':
    unittest.main()
