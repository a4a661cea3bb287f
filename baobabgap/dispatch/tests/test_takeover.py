"""Starts of jobs after an election and claims of orphaned runs."""

from dataclasses import replace
from types import SimpleNamespace
from typing import cast
import unittest
from unittest.mock import Mock
from unittest.mock import patch

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import UnfinishedJob
from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch._events import LeadershipGained
from baobabgap.dispatch._orphans import Orphans
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._scheduler import Scheduler
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import AcceptedJob
from baobabgap.jobmodel import Demand
from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import Step
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import boottime_clock
from baobabgap.protocol import EndRow
from baobabgap.protocol import LeaseTiming
from baobabgap.protocol import RunRow
from baobabgap.protocol import StopRuns
from baobabgap.telemetry import Metrics
from baobabgap.transport import Connection

TERM = 5
MEMBERS = ('agent/a', 'agent/b', 'entry/e/1')


def make_job(job_id: str, *, volatile: bool, term: int = TERM) -> AcceptedJob:
    return AcceptedJob(
        job_id, 'q', 's', 0, 1, 1.0, 0, '', (), 0, term, volatile
    )


class TakeoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.takeover = Takeover(TERM, MEMBERS, ends_at=10.0)
        self.fresh = make_job('fresh', volatile=True)
        self.begun = make_job('begun', volatile=True)
        self.inherited = make_job('inherited', volatile=False, term=4)
        self.stored = make_job('stored', volatile=False)

    def may_start(self) -> list[str]:
        jobs = (self.fresh, self.begun, self.inherited, self.stored)
        return [job.job_id for job in jobs if self.takeover.may_start(job)]

    def test_no_volatile_job_starts_before_entries_report(
        self,
    ) -> None:
        self.assertEqual(['stored'], self.may_start())

    def test_new_volatile_job_starts_after_entries_report(self) -> None:
        self.takeover.note_entry_report('e/1', ('begun',))
        self.assertEqual(['fresh', 'stored'], self.may_start())

    def test_all_jobs_start_after_all_agents_report(self) -> None:
        self.takeover.note_entry_report('e/1', ('begun',))
        self.takeover.note_agent_report('a')
        self.takeover.end_if_due(0.0)
        self.assertEqual(['fresh', 'stored'], self.may_start())
        self.takeover.note_agent_report('b')
        self.takeover.end_if_due(0.0)
        self.assertEqual(
            ['fresh', 'begun', 'inherited', 'stored'], self.may_start()
        )

    def test_report_of_a_restarted_entry_does_not_suffice(self) -> None:
        """Clients may resubmit jobs of the entry's earlier incarnation."""
        self.takeover.note_entry_report('e/2', ())
        self.assertEqual(['stored'], self.may_start())

    def test_all_jobs_start_after_all_leases_lapse(self) -> None:
        self.takeover.end_if_due(9.9)
        self.assertEqual(['stored'], self.may_start())
        self.takeover.end_if_due(10.0)
        self.assertEqual(4, len(self.may_start()))

    def test_no_grant_of_an_earlier_leader_outlives_the_takeover(
        self,
    ) -> None:
        """The last grant is made `confirmation_s` after the election."""
        timing = LeaseTiming()
        slowest_clock = 0.98
        real_s = timing.authority_s / slowest_clock + timing.stop_s
        self.assertGreaterEqual(
            timing.takeover_s, timing.confirmation_s + real_s
        )


class OrphansTest(unittest.TestCase):
    def test_job_claims_its_orphans(self) -> None:
        orphans = Orphans()
        task, other = TaskId('a', 0, 0), TaskId('a', 0, 1)
        row = RunRow(task, 1, True)
        orphans.add_run('agent', row, 0.0)
        orphans.add_end(EndRow(1, other, 1, RunEnd.DONE), 0.0)
        orphans.add_end(EndRow(2, task, 1, RunEnd.FAILED), 0.0)
        taken = orphans.pop('a')
        self.assertEqual([('agent', row)], taken.runs)
        self.assertEqual([other], taken.done)
        self.assertEqual([], orphans.pop('a').runs)

    def test_run_reported_before_its_job_is_not_stopped(self) -> None:
        """Regression: a report that preceded its job stopped the runs."""
        term_state = TermState()
        runs = RunTracker(term_state)
        sent: list[object] = []
        connection = SimpleNamespace(send=sent.append)
        view = AgentView('agent', cast(Connection, connection))
        row = RunRow(TaskId('a', 0, 0), 1, True)
        runs.add_unwanted(view, row)
        term_state.orphans.add_run('agent', row, 0.0)
        runs.repeat_stops(view)
        self.assertEqual([], sent)
        term_state.orphans.expire(3.0)
        runs.repeat_stops(view)
        self.assertEqual([StopRuns(0, (row,))], sent)

    def test_unclaimed_runs_are_stopped(self) -> None:
        orphans = Orphans()
        row = RunRow(TaskId('a', 0, 0), 1, True)
        orphans.add_run('agent', row, 0.0)
        self.assertEqual([], orphans.expire(1.0))
        self.assertEqual([('agent', row)], orphans.expire(3.0))


def make_scheduler() -> Scheduler:
    state = Mock(AcceptedState, members={'agent/a'})
    return Scheduler(
        state, Mock(), LeaseTiming(), 1.0, lambda: True, Mock(), Metrics()
    )


class UnheardAgentTest(unittest.TestCase):
    def is_over(self, after_s: float) -> bool:
        """Return whether a takeover is over that long after its begin."""
        scheduler = make_scheduler()
        scheduler._begin_term(LeadershipGained(TERM, (), ('agent/a',), {}))
        with patch(
            'baobabgap.dispatch._timeout_monitor.boottime_clock',
            return_value=boottime_clock() + after_s,
        ):
            scheduler._timeout_monitor.check(0.0)
        # The time of the takeover itself has not come.
        scheduler._term_state.takeover.end_if_due(0.0)
        return scheduler._term_state.takeover.is_over

    def test_authority_of_an_earlier_leader_is_awaited(self) -> None:
        """An earlier leader grants some for a while after the election."""
        self.assertFalse(self.is_over(LeaseTiming().takeover_s - 0.1))
        self.assertTrue(self.is_over(LeaseTiming().takeover_s + 0.1))


class RestartedTermTest(unittest.TestCase):
    def test_stored_job_of_a_restarted_term_waits_for_agents(self) -> None:
        """Regression: a leader whose scheduler failed started it again."""
        step = Step(1, Demand(1000, 10, 0), 100)
        job = replace(make_job('begun', volatile=False), steps=(step,))
        scheduler = make_scheduler()
        scheduler._begin_term(
            LeadershipGained(TERM, (UnfinishedJob(job),), ('agent/a',), {})
        )
        takeover = scheduler._term_state.takeover
        self.assertFalse(takeover.may_start(job))
        self.assertTrue(takeover.may_start(make_job('new', volatile=False)))
        takeover.note_agent_report('a')
        takeover.end_if_due(0.0)
        self.assertTrue(takeover.may_start(job))


if __name__ == '__main__':
    unittest.main()
