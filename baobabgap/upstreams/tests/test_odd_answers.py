"""Tests of the agent with answers that no true upstream gives.

After an odd answer and a true one, the state is as if only the true one had
come: otherwise the upstream is out of use for good.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import replace
import threading
import time
from typing import Any
from typing import Final
import unittest

from baobabgap.dispatch.tests.fake_upstream import FakeUpstream
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import EndRow
from baobabgap.protocol import FullReport
from baobabgap.protocol import RunOrder
from baobabgap.protocol import RunRow
from baobabgap.protocol import StartRuns
from baobabgap.protocol import StopRuns
from baobabgap.upstreams import StartOutcome
from baobabgap.upstreams import UpstreamReport
from baobabgap.upstreams._run_agent import _POLL_PAUSE_S
from baobabgap.upstreams._unreadable_rows import UnreadableRows
from baobabgap.upstreams.tests.test_restarted_upstream import AgentTest
from baobabgap.upstreams.tests.test_restarted_upstream import FENCE
from baobabgap.upstreams.tests.test_restarted_upstream import STATE
from baobabgap.upstreams.tests.test_restarted_upstream import TASK
from baobabgap.upstreams.tests.test_restarted_upstream import wait_until

# Seconds of odd answers.
_ODD_S: Final = 1.0
# Seconds after the odd answers within which a run starts and ends.
_RECOVERY_S: Final = 2.0
ODD_ROWS: Final = ('running: None',)
_ODD_CLOCKS_MS: Final = (2**53, 10**400, 1, 3_600_000)


class OddUpstream(FakeUpstream):
    """Changes its answers to polls and starts, if it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.spoil_report: Callable[[UpstreamReport], UpstreamReport] = (
            lambda report: report
        )
        self.odd_start_clock_ms = 0
        self.answers_at_once = False
        self.polls = 0

    def poll(self, *arguments: Any) -> UpstreamReport | None:
        self.polls += 1
        if self.answers_at_once:
            arguments = (*arguments[:-1], 0)
        report = super().poll(*arguments)
        return self.spoil_report(report) if report is not None else None

    def start(self, *arguments: Any) -> tuple[StartOutcome, int]:
        outcome, clock_ms = super().start(*arguments)
        return outcome, self.odd_start_clock_ms or clock_ms

    @contextlib.contextmanager
    def odd_reports(self, **fields: Any) -> Iterator[None]:
        """Replace fields of all reports."""
        self.spoil_report = lambda report: replace(report, **fields)
        try:
            yield
        finally:
            self.spoil_report = lambda report: report


class OddAnswersTest(AgentTest):
    upstream: OddUpstream

    def make_upstream(self) -> FakeUpstream:
        return OddUpstream()

    def setUp(self) -> None:
        super().setUp()
        self.tasks = 0
        self.assertTrue(self.leader.has_granted.wait(5))
        self.run_task()

    def run_task(self) -> None:
        """Order a task, as often as it takes, until its end is reported."""
        give_up_at = time.monotonic() + _RECOVERY_S
        ended = len(self.leader.ended_numbers)
        while len(self.leader.ended_numbers) <= ended:
            self.assertLess(time.monotonic(), give_up_at, 'no run has ended')
            self.tasks += 1
            self.start_task(TaskId(f'task-{self.tasks}', 0, 0))
            time.sleep(0.2)

    def start_task(self, task: TaskId) -> None:
        order = RunOrder(task, 1, 'x', Demand(1000, 10, 0))
        self.leader.order(
            StartRuns(FENCE, STATE.instance, STATE.born_ms, (order,))
        )

    def assert_lapses(self) -> None:
        """A lease lapses in time once the upstream is silent."""
        self.upstream.run_ms = 60_000
        self.order(STATE.born_ms)
        wait_until(lambda: self.upstream.running, 'a run')
        self.leader.gone.clear()
        self.upstream.is_silent = True
        wait_until(lambda: self.leader.gone, 'the lapse')
        self.assertEqual(set(), self.upstream.running)


class OddClockTest(OddAnswersTest):
    def test_odd_clock_in_answers_to_polls(self) -> None:
        for clock_ms in _ODD_CLOCKS_MS:
            with self.subTest(clock_ms=str(clock_ms)[:20]):
                with self.upstream.odd_reports(clock_ms=clock_ms):
                    time.sleep(_ODD_S)
                self.run_task()
        self.assert_lapses()

    def test_odd_clock_in_answers_to_starts(self) -> None:
        for clock_ms in _ODD_CLOCKS_MS:
            with self.subTest(clock_ms=str(clock_ms)[:20]):
                self.upstream.odd_start_clock_ms = clock_ms
                self.run_task()
                self.upstream.odd_start_clock_ms = 0
                self.run_task()
        self.assert_lapses()


class OddEndTest(OddAnswersTest):
    def list_end(self, number: int) -> None:
        """Let the upstream list an end besides the true ones."""
        odd = EndRow(number, TaskId('odd', 0, 0), 1, RunEnd.DONE)
        self.upstream.spoil_report = lambda report: replace(
            report, ended=(*report.ended, odd)
        )

    def test_end_with_a_number_that_jumps(self) -> None:
        for number in (10**30, 2**53, 10**6):
            with self.subTest(number=number):
                self.list_end(number)
                # True ends arrive beside it.
                self.run_task()
                time.sleep(_ODD_S)
                self.upstream.spoil_report = lambda report: report
                for _ in range(3):
                    self.run_task()
                self.assertNotIn(number, self.leader.ended_numbers)

    def test_full_report_waits_for_an_end_that_is_not_believed(self) -> None:
        """A run that has ended must not seem lost to the leader."""
        agent = self.start_agent()
        self.agent.stop()
        leader = self.link_leader(agent)
        self.list_end(700)
        agent.announce(STATE)
        wait_until(
            lambda: [r for r in leader.reports if isinstance(r, FullReport)],
            'a full report',
        )
        (report,) = (r for r in leader.reports if isinstance(r, FullReport))
        self.assertEqual([700], [end.number for end in report.ended])


class UnreadableRowTest(OddAnswersTest):
    def test_run_that_a_row_may_stand_for_is_not_gone(self) -> None:
        """The leader would start its task elsewhere while it runs."""
        self.upstream.run_ms = 60_000
        self.order(STATE.born_ms)
        wait_until(lambda: self.upstream.running, 'a run')
        time.sleep(0.5)
        self.upstream.spoil_report = lambda report: replace(
            report, running=(), unreadable_rows=ODD_ROWS
        )
        self.upstream.stop_ms = 3000
        self.leader.order(StopRuns(FENCE, (RunRow(TASK, 1, True),)))
        time.sleep(1.0)
        self.assertEqual({TASK}, self.upstream.running)
        self.assertEqual([], self.leader.gone)
        self.upstream.spoil_report = lambda report: report
        ended = len(self.leader.ended_numbers)
        wait_until(lambda: len(self.leader.ended_numbers) > ended, 'its end')

    def test_next_leader_gets_no_report_and_no_request_while_a_row_stays(
        self,
    ) -> None:
        """It would take the run for lost, or for lapsed."""
        self.upstream.spoil_report = lambda report: replace(
            report, unreadable_rows=ODD_ROWS
        )
        time.sleep(0.5)
        leader = self.link_leader(self.agent)
        time.sleep(0.5)
        self.assertEqual([], leader.reports)
        self.assertEqual([], leader.requests)
        self.upstream.spoil_report = lambda report: report
        wait_until(lambda: leader.reports and leader.requests, 'a report')

    def test_next_leader_uses_the_upstream_once_leases_have_expired(
        self,
    ) -> None:
        """Regression: it used none beside a row that stays (review/2)."""
        self.upstream.run_ms = 60_000
        self.order(STATE.born_ms)
        wait_until(lambda: self.upstream.running, 'a run')
        self.upstream.spoil_report = lambda report: replace(
            report, unreadable_rows=ODD_ROWS
        )
        time.sleep(0.5)
        self.leader = leader = self.link_leader(self.agent)
        wait_until(lambda: leader.reports and leader.requests, 'a report')
        report = leader.reports[0]
        assert isinstance(report, FullReport)
        self.assertEqual((), report.running)
        self.assertEqual(set(), self.upstream.running)
        self.upstream.run_ms = 30
        self.run_task()

    def test_run_that_began_after_a_row_is_told_as_gone(self) -> None:
        """Regression: its task could start nowhere while the row stayed."""
        self.upstream.spoil_report = lambda report: replace(
            report, unreadable_rows=ODD_ROWS
        )
        time.sleep(0.5)
        self.upstream.leaves_unanswered = lambda order: True
        self.start_task(TASK)
        wait_until(lambda: self.leader.gone, 'the loss of the run')
        self.assertEqual(
            [TASK], [run.task for run in self.leader.gone[0].runs]
        )


class UnreadableRowsTest(unittest.TestCase):
    def test_new_row_may_stand_for_each_run_that_began_before(self) -> None:
        rows = UnreadableRows()
        rows.note_listed(['a'], 5.0, is_idle=False)
        rows.note_listed(['a'], 6.0, is_idle=False)
        self.assertTrue(rows.may_hide(4.0))
        self.assertFalse(rows.may_hide(5.5))
        rows.note_listed(['a', 'a'], 7.0, is_idle=False)
        self.assertTrue(rows.may_hide(5.5))
        rows.note_listed([], 8.0, is_idle=False)
        self.assertFalse(rows.may_hide(None))

    def test_row_of_an_idle_upstream_stands_for_no_run(self) -> None:
        rows = UnreadableRows()
        rows.note_listed(['a'], 5.0, is_idle=False)
        self.assertTrue(rows.may_hide(None))
        rows.note_listed(['a'], 6.0, is_idle=True)
        rows.note_listed(['a'], 7.0, is_idle=False)
        self.assertFalse(rows.may_hide(None))
        rows.note_listed(['a', 'b'], 8.0, is_idle=False)
        self.assertTrue(rows.may_hide(None))


class OddStartTimeTest(OddAnswersTest):
    def test_run_goes_on_after_an_answer_with_another_start_time(self) -> None:
        """It was reported as lost, and its task started elsewhere."""
        self.upstream.run_ms = 60_000
        self.order(STATE.born_ms)
        wait_until(lambda: self.upstream.running, 'a run')
        time.sleep(0.5)
        for born_ms in (2**53, 5):
            is_spoilt = threading.Event()

            def spoil(
                report: UpstreamReport,
                born_ms: int = born_ms,
                is_spoilt: threading.Event = is_spoilt,
            ) -> UpstreamReport:
                if is_spoilt.is_set():
                    return report
                is_spoilt.set()
                return replace(report, born_ms=born_ms, running=())

            self.upstream.spoil_report = spoil
            self.assertTrue(is_spoilt.wait(5))
            time.sleep(0.5)
            self.assertEqual([], self.leader.gone)
            self.assertEqual(STATE.born_ms, self.reported_start())
            self.assertEqual({TASK}, self.upstream.running)


class PollRateTest(OddAnswersTest):
    def test_unreadable_row_is_polled_without_a_pause(self) -> None:
        self.upstream.answers_at_once = True
        with self.upstream.odd_reports(unreadable_rows=ODD_ROWS):
            time.sleep(0.2)
            polls = self.upstream.polls
            began_at = time.monotonic()
            time.sleep(_ODD_S)
            polls = self.upstream.polls - polls
            polling_s = time.monotonic() - began_at
        # Pauses may be shorter by the rounding of timers.
        self.assertLess(polls, 1.1 * polling_s / _POLL_PAUSE_S)
        self.upstream.answers_at_once = False
        self.run_task()


class OddFirstClockTest(OddAnswersTest):
    def make_upstream(self) -> FakeUpstream:
        self.upstream = OddUpstream()
        self.odd_polls = 1

        def spoil(report: UpstreamReport) -> UpstreamReport:
            self.odd_polls -= 1
            if self.odd_polls >= 0:
                return replace(report, clock_ms=2**53)
            return report

        self.upstream.spoil_report = spoil
        return self.upstream

    def test_first_answer_with_an_odd_clock(self) -> None:
        """Without a task that ends, `setUp` fails."""
        self.assert_lapses()


if __name__ == '__main__':
    unittest.main()
