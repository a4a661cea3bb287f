"""Tests of storing run ends when the outcome of a commit is unknown."""

from collections.abc import Callable
import time
from typing import Any
import unittest
from unittest.mock import Mock

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import JobEnd
from baobabgap.accepted import NoteEnds
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import JobState
from baobabgap.jobmodel import RunEnd
from baobabgap.jobmodel import TaskEnd
from baobabgap.jobmodel import TaskId
from baobabgap.protocol import EndsNoted
from baobabgap.telemetry import Metrics


class HeldCommitter:
    """Keeps proposals until the test ends them."""

    def __init__(self) -> None:
        self.proposals: list[tuple[NoteEnds, Callable[[Any], None]]] = []

    def propose(
        self, command: NoteEnds, on_end: Callable[[Any], None]
    ) -> None:
        self.proposals.append((command, on_end))


class UnknownOutcomeTest(unittest.TestCase):
    """An end must not be confirmed to its upstream before it is durable.

    The upstream discards confirmed ends: if the leader is lost afterwards,
    nobody knows any more that the task is done.
    """

    def setUp(self) -> None:
        self.committer = HeldCommitter()
        self.term_state = TermState()
        self.term_state.term = 1
        self.connection = Mock()
        self.term_state.view_by_name['agent'] = Mock(
            connection=self.connection
        )
        self.events: list[EndsStored] = []
        self.state = Mock(AcceptedState)
        self.closer = JobCloser(
            self.term_state,
            Mock(),
            self.state,
            self.committer,  # type: ignore[arg-type]
            self.events.append,  # type: ignore[arg-type]
            Metrics(),
        )

    def _store(self, number: int) -> None:
        end = TaskEnd(TaskId(f'job{number}', 0, 0), 1, RunEnd.DONE)
        self.closer.add_end(end)
        self.closer.add_noted('agent', EndsNoted('i', 1, number))
        self.closer.store()

    def _end_proposal(self, index: int, result: Any) -> None:
        self.committer.proposals[index][1](result)
        self.closer.handle_stored(self.events.pop())

    def _confirmed_numbers(self) -> list[int]:
        return [
            call.args[0].number for call in self.connection.send.mock_calls
        ]

    def _repeat(self) -> None:
        time.sleep(0.06)
        self.closer.store()

    def test_later_batch_does_not_confirm_one_of_unknown_outcome(
        self,
    ) -> None:
        self._store(1)
        self._store(2)
        self._end_proposal(0, None)
        self._end_proposal(1, [])
        self.assertEqual([], self._confirmed_numbers())
        self._repeat()
        repeated = self.committer.proposals[2][0]
        self.assertEqual(self.committer.proposals[0][0].ends, repeated.ends)
        self._end_proposal(2, [])
        self.assertEqual([1, 2], self._confirmed_numbers())

    def test_job_that_the_lost_proposal_ended_is_closed(self) -> None:
        plan = Mock(task_by_id={}, arrived_at=0.0, objective_s=1.0)
        plan.job.service = 'desk'
        plan.job.job_id = 'job1'
        plan.job.steps = ()
        self.term_state.plan_by_id['job1'] = plan
        self._store(1)
        self._end_proposal(0, None)
        self.state.state_of.return_value = JobState.COMPLETED
        self._repeat()
        # The repeated command changes nothing and names no ended job.
        self._end_proposal(1, [])
        self.assertNotIn('job1', self.term_state.plan_by_id)

    def test_durable_batch_closes_its_jobs(self) -> None:
        plan = Mock(task_by_id={}, arrived_at=0.0, objective_s=1.0)
        plan.job.service = 'desk'
        plan.job.job_id = 'job1'
        plan.job.steps = ()
        self.term_state.plan_by_id['job1'] = plan
        self._store(1)
        self._end_proposal(0, [JobEnd('job1', JobState.COMPLETED)])
        self.assertNotIn('job1', self.term_state.plan_by_id)
        self.assertEqual([1], self._confirmed_numbers())
