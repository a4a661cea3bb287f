"""Tests of `TaskScheduler` without a network.

They guard against second starts, and against tasks that are reported as not
started although they may have been, after resent messages and restarts.
"""

from collections.abc import Callable
import time
import unittest
from unittest.mock import patch

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._scheduler import TaskScheduler
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._upstream_reports import LeaseListing
from baobabgap.agent._upstream_reports import LeaseReport
from baobabgap.jobs import TaskSize
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import Hello
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics

_AGENT = 'agent-process-1'
_CAPACITY = TaskSize(4.0, 1000, 1)
_JOB = 'a.1.x'
_SMALL = TaskSize(1.0, 1, 0)


class FakeLink:
    """Records the messages sent to an entry."""

    def __init__(self, name: str = 'entry-a', incarnation: str = 'a1') -> None:
        self.peer = Hello(name, 'entry', incarnation)
        self.sent: list[object] = []
        self.is_closed = False

    def send(self, *messages: object) -> None:
        self.sent.extend(messages)

    def close(self) -> None:
        self.is_closed = True

    @property
    def results(self) -> list[TaskResult]:
        return [
            result
            for message in self.sent
            if isinstance(message, TaskResults)
            for result in message.results
        ]

    @property
    def outcomes(self) -> list[TaskOutcome]:
        return [result.outcome for result in self.results]

    @property
    def epoch(self) -> int:
        grants = [m for m in self.sent if isinstance(m, SlotGrant)]
        return grants[-1].epoch


class SchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.started: list[TaskRecord] = []
        self.stopped: list[str] = []
        self.metrics = Metrics()
        self.scheduler = TaskScheduler(
            'agent-1',
            _AGENT,
            self.metrics,
            BatchLog('agent-1'),
            self.started.append,
            self.stopped.extend,
        )
        self.set_accepting()
        self.link = self.open_link()

    def set_accepting(self, accepting: bool = True, slots: int = 2) -> None:
        reason = '' if accepting else 'not accepting'
        self.scheduler.set_offer(
            UpstreamOffer('u', slots, _CAPACITY, accepting, reason)
        )

    def open_link(
        self, name: str = 'entry-a', incarnation: str = 'a1'
    ) -> FakeLink:
        link = FakeLink(name, incarnation)
        self.scheduler.open_link(link)
        return link

    def place(
        self,
        link: FakeLink,
        *tasks: str,
        owner: str = '',
        agent: str = _AGENT,
        deadline_ms: int = 5000,
        epoch: int = 0,
        size: TaskSize = _SMALL,
        number: int = 0,
        job: str = _JOB,
    ) -> None:
        message = PlaceTasks(
            job,
            owner or link.peer.incarnation,
            agent,
            epoch or link.epoch,
            deadline_ms,
            tuple(TaskPlacement(task, 'k', None, size) for task in tasks),
            placement=number,
        )
        self.scheduler.place(link, message)

    def end(self, number: int, value: str = 'v') -> None:
        self.scheduler.end(self.started[number], TaskOutcome.DONE, value)

    def wasted(self, kind: str) -> int:
        return self.metrics.value(
            f'baobabgap_wasted_messages_total{{kind="{kind}"}}'
        )

    def test_a_placement_resent_on_a_new_link_starts_once(self) -> None:
        """Covers queued, running, ended and acknowledged tasks."""
        self.place(self.link, 'r1', 'r2', 'queued')
        link = self.open_link()
        self.place(link, 'r1', 'r2', 'queued')
        self.assertEqual(2, len(self.started))
        self.end(0)
        self.assertEqual(['r1', 'r2', 'queued'], self.started_tasks())
        link = self.open_link()
        self.place(link, 'r1')
        self.assertEqual(['r1', 'r1'], [r.task for r in link.results])
        self.assertEqual({'v'}, {r.value for r in link.results})
        self.scheduler.acknowledge(link, AcknowledgeResults(((_JOB, 'r1'),)))
        self.place(link, 'r1')
        self.assertEqual(3, len(self.started))
        self.assertIs(TaskOutcome.LOST, link.outcomes[-1])
        self.assertEqual(5, self.wasted('duplicate_placement'))

    def test_outstanding_count_can_leave_out_unlinked_entries(self) -> None:
        """Otherwise a planned stop waits for entries that have died."""
        self.place(self.link, 'ended', 'running')
        self.end(0)
        self.scheduler.remove_link(self.link)
        count = self.scheduler.count_outstanding
        self.assertEqual(2, count())
        self.assertEqual(1, count(with_unlinked=False))
        self.open_link()
        self.assertEqual(2, count(with_unlinked=False))

    def test_placements_that_must_never_start(self) -> None:
        self.place(self.link, 'first')
        other = self.open_link('entry-b', 'b1')
        cases: dict[str, tuple[Callable[[], None], FakeLink, str]] = {
            'another owner of the job': (
                lambda: self.place(other, 'new'),
                other,
                'belongs to another incarnation',
            ),
            'an owner that is not the sender': (
                lambda: self.place(self.link, 'new2', owner='a0'),
                self.link,
                'another incarnation of the entry',
            ),
            'larger than the upstream': (
                lambda: self.place(self.link, 'new3', size=TaskSize(5.0)),
                self.link,
                'larger than the upstream',
            ),
            'deadline passed': (
                lambda: self.place(self.link, 'new4', deadline_ms=0),
                self.link,
                'deadline has passed',
            ),
        }
        for name, (place_task, link, reason) in cases.items():
            with self.subTest(name):
                place_task()
                self.assertIs(TaskOutcome.NOT_STARTED, link.outcomes[-1])
                self.assertIn(reason, link.results[-1].value)
                self.assertEqual(['first'], self.started_tasks())

    def test_task_started_for_another_owner_is_reported_lost(self) -> None:
        """If reported as not started, it could be started a second time."""
        self.place(self.link, 'first')
        other = self.open_link('entry-b', 'b1')
        self.place(other, 'first')
        self.assertEqual([TaskOutcome.LOST], other.outcomes)
        self.assertEqual(['first'], self.started_tasks())

    def test_a_placement_for_an_earlier_agent_process_never_starts(
        self,
    ) -> None:
        self.scheduler.adopt(
            _listing({'earlier': True, 'several-upstreams': False})
        )
        self.place(self.link, 'running', 't1', agent='earlier')
        self.place(self.link, 't2', agent='several-upstreams')
        self.assertEqual([], self.started)
        self.assertEqual(
            {
                'ended': TaskOutcome.DONE,
                't1': TaskOutcome.NOT_STARTED,
                't2': TaskOutcome.LOST,
            },
            {r.task: r.outcome for r in self.link.results},
        )

    def test_resume_for_an_earlier_agent_process_is_deferred(self) -> None:
        """Before the listing arrives, nothing proves how the tasks ended."""
        self.scheduler.resume(
            self.link, ResumeTasks('earlier', ((_JOB, 't1'), (_JOB, 'ended')))
        )
        self.assertEqual([], self.link.results)
        self.scheduler.adopt(_listing({'earlier': True}))
        self.assertEqual(
            {'t1': TaskOutcome.NOT_STARTED, 'ended': TaskOutcome.DONE},
            {r.task: r.outcome for r in self.link.results},
        )

    def test_incomplete_listing_proves_no_task_unstarted(self) -> None:
        """The upstream may have started the task and dropped its lease."""
        self.scheduler.adopt(_listing({'earlier': True}, complete=False))
        self.scheduler.resume(
            self.link, ResumeTasks('earlier', ((_JOB, 't1'),))
        )
        self.assertIs(TaskOutcome.LOST, self.link.outcomes[-1])

    def test_resume_answers_each_task_by_its_state(self) -> None:
        self.place(self.link, 'done', 'running')
        self.end(0)
        link = self.open_link()
        self.scheduler.resume(
            link,
            ResumeTasks(
                _AGENT, ((_JOB, 'done'), (_JOB, 'running'), (_JOB, 'never'))
            ),
        )
        outcomes = {result.task: result.outcome for result in link.results}
        self.assertEqual(
            {'done': TaskOutcome.DONE, 'never': TaskOutcome.NOT_STARTED},
            outcomes,
        )

    def test_task_that_did_not_start_starts_for_a_newer_placement(
        self,
    ) -> None:
        """Its result is not acknowledged yet."""
        self.set_accepting(False)
        self.place(self.link, 't1', number=1)
        self.set_accepting()
        self.place(self.link, 't1', number=1)
        self.assertEqual([], self.started_tasks())
        self.place(self.link, 't1', number=2)
        self.assertEqual(['t1'], self.started_tasks())
        self.end(0)
        self.place(self.link, 't1', number=3)
        self.assertEqual(['t1'], self.started_tasks())
        self.assertEqual([1, 1, 2, 3], self.numbers(self.link))

    def test_resume_is_answered_for_the_placements_asked_about(
        self,
    ) -> None:
        self.place(self.link, 'ended', number=1)
        self.end(0)
        link = self.open_link()
        pairs = ((_JOB, 'ended'), (_JOB, 'never'), (_JOB, 'unnumbered'))
        self.scheduler.resume(link, ResumeTasks(_AGENT, pairs, (1, 2)))
        self.assertEqual([1, 1, 2, 0], self.numbers(link))

    def test_job_that_never_started_here_starts_for_its_next_owner(
        self,
    ) -> None:
        """One task was refused, and one waited until it was cancelled."""
        self.set_accepting(False)
        self.place(self.link, 'refused')
        self.set_accepting(slots=1)
        other = self.open_link('entry-b', 'b1')
        self.place(other, 'busy', job='a.2.y')
        self.place(self.link, 'queued')
        self.scheduler.cancel(self.link, CancelJobs((_JOB,)))
        self.end(0)
        self.place(other, 'refused', 'queued')
        self.end(1)
        self.assertEqual(['busy', 'refused', 'queued'], self.started_tasks())

    def test_owners_of_waiting_tasks_start_one_job_once(self) -> None:
        self.set_accepting(slots=1)
        other = self.open_link('entry-b', 'b1')
        self.place(other, 'busy', job='a.2.y')
        self.place(self.link, 't1')
        self.place(other, 't2')
        self.end(0)
        self.end(1)
        self.assertEqual(['busy', 't1'], self.started_tasks())
        self.assertEqual(TaskOutcome.NOT_STARTED, other.outcomes[-1])

    def test_acknowledgement_by_another_process_drops_no_result(
        self,
    ) -> None:
        self.place(self.link, 't1')
        self.end(0)
        other = self.open_link('entry-b', 'b1')
        self.scheduler.acknowledge(other, AcknowledgeResults(((_JOB, 't1'),)))
        self.assertEqual([TaskOutcome.DONE], self.open_link().outcomes)

    def test_resume_on_a_replaced_link_is_ignored(self) -> None:
        self.open_link()
        self.scheduler.resume(self.link, ResumeTasks(_AGENT, ((_JOB, 't'),)))
        self.assertEqual([], self.link.results)

    def test_placement_on_a_replaced_link_is_ignored(self) -> None:
        self.open_link()
        self.place(self.link, 't1')
        self.assertEqual([], self.started)
        self.assertEqual(1, self.wasted('old_link'))

    def test_task_with_void_token_waits_and_returns_no_token(self) -> None:
        old_epoch = self.link.epoch
        self.open_link('entry-b', 'b1')
        self.place(self.link, 't1', 't2', 't3', epoch=old_epoch)
        self.assertEqual(['t1', 't2'], self.started_tasks())
        self.end(0)
        self.assertEqual(['t1', 't2', 't3'], self.started_tasks())
        self.end(1)
        self.end(2)
        self.assertEqual(
            [False, False, False],
            [result.token_returns for result in self.link.results],
        )

    def test_declared_resources_limit_running_tasks(self) -> None:
        big = TaskSize(3.0, 10, 0)
        self.place(self.link, 't1', 't2', size=big)
        self.assertEqual(['t1'], self.started_tasks())
        self.end(0)
        self.assertEqual(['t1', 't2'], self.started_tasks())

    def test_cancel_drops_queued_tasks_and_stops_running_ones(self) -> None:
        self.place(self.link, 't1', 't2', 't3', 't4')
        other = self.open_link('entry-b', 'b1')
        self.scheduler.cancel(other, CancelJobs((_JOB,)))
        self.assertEqual([], self.stopped)
        self.scheduler.cancel(self.link, CancelJobs((_JOB, 'a.2.y')))
        self.assertEqual(
            {'t3', 't4'}, {result.task for result in self.link.results}
        )
        self.assertEqual({TaskOutcome.NOT_STARTED}, set(self.link.outcomes))
        self.assertEqual([f'{_JOB}/t1', f'{_JOB}/t2'], self.stopped)
        self.assertEqual(2, self.wasted('late_cancel'))

    def test_queue_is_dropped_if_the_upstream_accepts_no_tasks(self) -> None:
        self.place(self.link, 't1', 't2', 't3')
        self.set_accepting(False)
        self.assertEqual(['t3'], [r.task for r in self.link.results])
        self.place(self.link, 't4')
        self.assertEqual([TaskOutcome.NOT_STARTED] * 2, self.link.outcomes)
        self.end(0)
        self.assertEqual(['t1', 't2'], self.started_tasks())

    def test_lost_link_drops_queued_tasks_but_not_running_ones(self) -> None:
        self.place(self.link, 't1', 't2', 't3')
        self.scheduler.remove_link(self.link)
        self.scheduler.tick()
        with patch('time.monotonic', return_value=time.monotonic() + 4.0):
            self.scheduler.tick()
        self.end(0)
        self.assertEqual(['t1', 't2'], self.started_tasks())
        link = self.open_link()
        self.assertEqual(
            {'t1': TaskOutcome.DONE, 't3': TaskOutcome.NOT_STARTED},
            {result.task: result.outcome for result in link.results},
        )

    def test_restarted_entry_gets_no_results_of_its_predecessor(self) -> None:
        self.place(self.link, 't1', 't2', 't3')
        link = self.open_link(incarnation='a2')
        self.end(0)
        self.end(1)
        self.assertEqual(['t1', 't2'], self.started_tasks())
        self.assertEqual([], link.results)

    def test_replaced_entry_process_does_not_displace_the_later_one(
        self,
    ) -> None:
        """It lives on after a freeze, and its link is opened again."""
        later = self.open_link(incarnation='a2')
        self.assertTrue(self.link.is_closed)
        self.scheduler.remove_link(self.link)
        again = FakeLink(incarnation='a1')
        with self.assertRaises(ProtocolMismatch):
            self.scheduler.open_link(again)
        self.scheduler.remove_link(again)
        self.place(later, 't1')
        self.assertEqual(['t1'], self.started_tasks())

    def test_entry_process_returns_if_no_later_one_is_linked(self) -> None:
        later = self.open_link(incarnation='a2')
        self.scheduler.remove_link(later)
        self.place(self.open_link(incarnation='a1'), 't1')
        self.assertEqual(['t1'], self.started_tasks())

    def test_late_result_is_ignored(self) -> None:
        """The task ends at the upstream after it was reported as lost."""
        self.place(self.link, 't1')
        self.scheduler.mark_running_lost('silent')
        self.end(0)
        self.assertEqual([TaskOutcome.LOST], self.link.outcomes)
        self.assertEqual(1, self.wasted('late_result'))

    def numbers(self, link: FakeLink) -> list[int]:
        return [result.placement for result in link.results]

    def started_tasks(self) -> list[str]:
        return [record.task for record in self.started]


def _listing(
    sole_by_agent: dict[str, bool], complete: bool = True
) -> LeaseListing:
    reports = (
        LeaseReport(f'{_JOB}/running', 'entry-a/a1', 'running', None, 0.0),
        LeaseReport(f'{_JOB}/ended', 'entry-a/a1', 'done', 'v', 1.0),
    )
    return LeaseListing('u1', _AGENT, sole_by_agent, reports, complete)
