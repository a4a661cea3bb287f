"""Tests of placement, results, requeued tasks and lost agents."""

import time
import unittest

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.configuration import Configuration
from baobabgap.entry._failures import deadline_exceeded
from baobabgap.entry.tests.fakes import CAPACITY
from baobabgap.entry.tests.fakes import FakeEntry
from baobabgap.entry.tests.fakes import FakeLink
from baobabgap.entry.tests.fakes import job
from baobabgap.jobs import FailureCode
from baobabgap.jobs import Ran
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import EntryState
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.messages import SlotGrant
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import TokenTransfer
from baobabgap.messages import UpstreamOffer


class TestPlacement(unittest.TestCase):
    """Tasks are placed only on tokens, the most urgent task first."""

    def test_whole_answer_in_order(self) -> None:
        entry = FakeEntry()
        agents = [entry.add_agent('a', 2), entry.add_agent('b', 2)]
        future = entry.submit(job(tasks=4))
        for agent in agents:
            for placed in agent.pop_sent(PlaceTasks):
                entry.finish(agent, placed)
        answer = future.result(1)
        self.assertTrue(answer.has_all_values)
        self.assertEqual(
            [('t0', 0), ('t1', 1), ('t2', 2), ('t3', 3)],
            [(item.task, item.value) for item in answer.results],
        )

    def test_tasks_of_a_job_for_one_agent_share_a_message(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 8)
        entry.submit(job(tasks=5))
        self.assertEqual(
            [5], [len(placed.tasks) for placed in agent.pop_sent(PlaceTasks)]
        )

    def test_no_placement_without_token(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 2)
        entry.submit(job(1, tasks=2))
        entry.submit(job(2, tasks=1))
        first = agent.pop_sent(PlaceTasks)
        self.assertEqual(['kurek.1.a'], [placed.job for placed in first])
        entry.finish(agent, first[0])
        self.assertEqual(
            ['kurek.2.a'],
            [placed.job for placed in agent.pop_sent(PlaceTasks)],
        )

    def test_nothing_is_placed_before_the_claim_is_granted(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 2)
        entry.submissions.submit(job(), '')
        self.assertEqual([], agent.pop_sent(PlaceTasks))
        entry.control.settle_claim()
        self.assertEqual(1, len(agent.pop_sent(PlaceTasks)))

    def test_agents_in_the_same_zone_first(self) -> None:
        entry = FakeEntry()
        far = entry.add_agent('far', 8, zone='other')
        near = entry.add_agent('near', 2)
        entry.submit(job(tasks=3))
        self.assertEqual(2, len(near.pop_sent(PlaceTasks)[0].tasks))
        self.assertEqual(1, len(far.pop_sent(PlaceTasks)[0].tasks))

    def test_short_jobs_overtake_long_ones(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        entry.submit(job(1))
        entry.submit(job(2, run_time_ms=4000))
        entry.submit(job(3, run_time_ms=50))
        entry.finish(agent, agent.pop_sent(PlaceTasks)[0])
        self.assertEqual('kurek.3.a', agent.pop_sent(PlaceTasks)[0].job)


class TestEvacuations(unittest.TestCase):
    """Nothing is placed in an evacuated zone; the rest alone is capacity."""

    def configure(self, entry: FakeEntry, *, evacuated: bool) -> None:
        state = {
            'policy': {'default_quota': {'tasks_per_second': 1000}},
            'evacuation/z': {'evacuated': evacuated},
        }
        entry.dispatcher.set_configuration(Configuration.from_state(2, state))

    def test_zone_gets_nothing_until_it_is_taken_back(self) -> None:
        entry = FakeEntry()
        near = entry.add_agent('near', 4)
        far = entry.add_agent('far', 4, zone='other')
        self.configure(entry, evacuated=True)
        late = entry.add_agent('late', 4)
        self.assertEqual(4, entry.dispatcher.pool.accepting_slots())
        self.assertEqual(4, entry.dispatcher.pool.idle_tokens())
        entry.submit(job(1, tasks=10))
        self.assertEqual([], near.pop_sent(PlaceTasks))
        self.assertEqual([], late.pop_sent(PlaceTasks))
        self.assertEqual(4, len(far.pop_sent(PlaceTasks)[0].tasks))
        # Six tasks wait for it.
        self.configure(entry, evacuated=False)
        placed = near.pop_sent(PlaceTasks) + late.pop_sent(PlaceTasks)
        self.assertEqual(6, sum(len(message.tasks) for message in placed))

    def test_policies_without_tokens_obey_too(self) -> None:
        entry = FakeEntry()
        near = entry.add_agent('near', 4)
        state = {
            'policy': {
                'default_quota': {'tasks_per_second': 1000},
                'placement': 'random',
            },
            'evacuation/z': {'evacuated': True},
        }
        entry.dispatcher.set_configuration(Configuration.from_state(2, state))
        entry.submit(job(1, tasks=3))
        self.assertEqual([], near.pop_sent(PlaceTasks))


class TestTaskFailures(unittest.TestCase):
    """An unstarted task is requeued; any other failure ends its job.

    A task that may have started is never placed again, since it could run
    twice.
    """

    def test_unstarted_task_is_requeued(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        future = entry.submit(job())
        placed = agent.pop_sent(PlaceTasks)[0]
        entry.finish(agent, placed, TaskOutcome.NOT_STARTED)
        kinds = [type(message) for message in agent.sent]
        self.assertEqual([AcknowledgeResults, PlaceTasks], kinds)
        repeated = agent.pop_sent(PlaceTasks)[0]
        entry.finish(agent, repeated)
        self.assertTrue(future.result(1).has_all_values)

    def test_started_tasks_are_never_requeued(self) -> None:
        cases = {
            'failed': (TaskOutcome.FAILED, FailureCode.TASK_FAILED, Ran.YES),
            'lost': (TaskOutcome.LOST, FailureCode.TASK_LOST, Ran.UNKNOWN),
        }
        for name, (outcome, code, ran) in cases.items():
            with self.subTest(name):
                entry = FakeEntry()
                agent = entry.add_agent('a', 1)
                future = entry.submit(job())
                entry.finish(agent, agent.pop_sent(PlaceTasks)[0], outcome)
                failure = future.result(1).failure
                assert failure is not None
                self.assertEqual((code, ran), (failure.code, failure.ran))
                self.assertEqual([], agent.pop_sent(PlaceTasks))

    def test_failure_cancels_the_rest(self) -> None:
        entry = FakeEntry()
        one = entry.add_agent('a', 1)
        two = entry.add_agent('b', 1)
        future = entry.submit(job(tasks=3))
        placed = one.pop_sent(PlaceTasks)[0]
        two.pop_sent(PlaceTasks)
        entry.finish(one, placed, TaskOutcome.FAILED)
        self.assertFalse(future.result(1).has_all_values)
        self.assertEqual([('kurek.1.a',)], _cancelled(two))
        self.assertEqual([], one.pop_sent(PlaceTasks))

    def test_late_result_is_counted_and_changes_nothing(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        entry.submit(job())
        placed = agent.pop_sent(PlaceTasks)[0]
        entry.finish(agent, placed)
        entry.dispatcher.pool.set_grant('a', 2, 1)
        entry.finish(agent, placed)
        wasted = 'baobabgap_wasted_messages_total{kind="late_result"}'
        self.assertEqual(1, entry.metrics.value(wasted))

    def test_cancelled_result_that_returns_its_token_is_not_wasted(
        self,
    ) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        entry.submit(job())
        placed = agent.pop_sent(PlaceTasks)[0]
        entry.submissions.cancel('kurek.1.a')
        entry.finish(agent, placed, TaskOutcome.FAILED)
        wasted = 'baobabgap_wasted_messages_total{kind="late_result"}'
        self.assertEqual(0, entry.metrics.value(wasted))
        entry.submit(job(2))
        self.assertEqual(1, len(agent.pop_sent(PlaceTasks)))

    def test_repeated_unstarted_result_is_acknowledged_at_once(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        entry.submit(job())
        placed = agent.pop_sent(PlaceTasks)[0]
        closed = UpstreamOffer('a', 1, CAPACITY, False, 'closed')
        entry.dispatcher.handle_offer(agent.connection, closed)
        entry.finish(agent, placed, TaskOutcome.NOT_STARTED)
        agent.sent.clear()
        entry.finish(agent, placed, TaskOutcome.NOT_STARTED)
        self.assertEqual(1, len(agent.pop_sent(AcknowledgeResults)))

    def test_reconnected_agent_is_asked_for_its_tasks(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        future = entry.submit(job())
        entry.dispatcher.agent_down(agent.connection)
        reconnected = entry.add_agent('a', 1, tokens=0, incarnation='i2')
        asked = reconnected.pop_sent(ResumeTasks)
        self.assertEqual([(('kurek.1.a', 't0'),)], [m.tasks for m in asked])
        self.assertFalse(future.done())

    def test_replaced_agent_process_does_not_displace_the_later_one(
        self,
    ) -> None:
        """It lives on after a freeze, and opens its link again."""
        entry = FakeEntry()
        earlier = entry.add_agent('a', 1)
        later = entry.add_agent('a', 1, incarnation='i2')
        self.assertTrue(earlier.is_closed)
        entry.dispatcher.agent_down(earlier.connection)
        again = FakeLink('a', 'agent', 'i1')
        with self.assertRaises(ProtocolMismatch):
            entry.dispatcher.agent_up(again.connection)
        entry.dispatcher.agent_down(again.connection)
        entry.submit(job())
        self.assertEqual(1, len(later.pop_sent(PlaceTasks)))

    def test_jobs_fail_if_their_agent_does_not_reconnect(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        future = entry.submit(job())
        entry.dispatcher.agent_down(agent.connection)
        entry.dispatcher.fail_jobs_of_lost_agents(time.monotonic())
        self.assertFalse(future.done())
        entry.dispatcher.fail_jobs_of_lost_agents(time.monotonic() + 60)
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual('a', failure.peer)
        self.assertEqual(FailureCode.TASK_LOST, failure.code)

    def test_deadline(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        started = entry.submit(job(1, deadline_ms=1000))
        waiting = entry.submit(job(2, deadline_ms=1000))
        agent.pop_sent(PlaceTasks)
        entry.dispatcher.expire(time.monotonic() + 2)
        cases = {
            'started': (started, Ran.UNKNOWN, False),
            'waiting': (waiting, Ran.NO, True),
        }
        for name, (future, ran, retry) in cases.items():
            with self.subTest(name):
                failure = future.result(1).failure
                assert failure is not None
                self.assertEqual(ran, failure.ran)
                self.assertEqual(retry, failure.retry_after_s > 0)
        self.assertEqual(['kurek.2.a'], entry.control.released)


class TestTokens(unittest.TestCase):
    """Idle tokens are transferred to peers with waiting tasks.

    Otherwise slots would idle while tasks wait at another entry.
    """

    def test_idle_entry_transfers_tokens_to_peer_with_backlog(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        peer = entry.add_peer('entry-2')
        entry.dispatcher.handle_peer_state(
            peer.connection, EntryState(3, 10.0, 0, 300.0)
        )
        given = sum(item.tokens for item in peer.pop_sent(TokenTransfer))
        self.assertEqual(3, given)

    def test_freed_token_goes_to_the_more_urgent_peer(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        peer = entry.add_peer('entry-2')
        entry.submit(job(1))
        entry.submit(job(2))
        placed = agent.pop_sent(PlaceTasks)[0]
        entry.dispatcher.handle_peer_state(
            peer.connection, EntryState(1, -5000.0, 0, 300.0)
        )
        entry.finish(agent, placed)
        self.assertEqual(1, len(peer.pop_sent(TokenTransfer)))
        self.assertEqual([], agent.pop_sent(PlaceTasks))

    def test_token_of_an_earlier_agent_process_is_dropped(self) -> None:
        """Both processes have an epoch of the same number."""
        entry = FakeEntry()
        earlier = entry.add_agent('a', 1)
        first = entry.submit(job(1))
        placed = earlier.pop_sent(PlaceTasks)[0]
        later = entry.add_agent('a', 1, tokens=0, incarnation='i2')
        entry.finish(earlier, placed)
        self.assertTrue(first.result(1).has_all_values)
        entry.submit(job(2))
        self.assertEqual([], later.pop_sent(PlaceTasks))

    def test_grants_and_offers_of_the_past_are_dropped(self) -> None:
        entry = FakeEntry()
        earlier = entry.add_agent('a', 1, tokens=0)
        later = entry.add_agent('a', 1, tokens=0, incarnation='i2')
        entry.submit(job())
        dispatcher = entry.dispatcher
        dispatcher.handle_grant(earlier.connection, SlotGrant(9, 1))
        dispatcher.handle_grant(later.connection, SlotGrant(0, 1))
        self.assertEqual([], later.pop_sent(PlaceTasks))
        closed = UpstreamOffer('a', 1, CAPACITY, False, 'closed')
        dispatcher.handle_offer(earlier.connection, closed)
        dispatcher.handle_grant(later.connection, SlotGrant(2, 1))
        self.assertEqual(1, len(later.pop_sent(PlaceTasks)))

    def test_void_transfer_is_dropped(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1, tokens=0)
        cases = {
            'unknown agent': TokenTransfer('b', 'i1', 1, 1),
            'old epoch': TokenTransfer('a', 'i1', 0, 1),
            'old incarnation': TokenTransfer('a', 'i0', 1, 1),
        }
        entry.submit(job())
        for name, transfer in cases.items():
            with self.subTest(name):
                entry.dispatcher.handle_transfer(transfer)
                self.assertEqual([], agent.pop_sent(PlaceTasks))
        entry.dispatcher.handle_transfer(TokenTransfer('a', 'i1', 1, 1))
        self.assertEqual(1, len(agent.pop_sent(PlaceTasks)))


class TestRequeuedTasks(unittest.TestCase):
    def test_job_whose_tasks_did_not_start_waits_once(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 2)
        entry.submit(job(1, tasks=2))
        (placed,) = agent.pop_sent(PlaceTasks)
        results = tuple(
            TaskResult(
                placed.job,
                task.task,
                TaskOutcome.NOT_STARTED,
                '',
                0.0,
                False,
                1,
            )
            for task in placed.tasks
        )
        entry.dispatcher.handle_results(agent.connection, TaskResults(results))
        state = entry.dispatcher.state(time.monotonic())
        self.assertEqual(2, state.backlog_tasks)


class TestSlowUpstream(unittest.TestCase):
    """An upstream on which most tasks are overdue is suspended.

    It looks healthy to its agent, and would otherwise receive more tasks.
    """

    def test_suspended_and_probed(self) -> None:
        entry = FakeEntry()
        for _ in range(12):
            entry.dispatcher.run_times.learn('kurek', 'seat', 50.0)
        slow = entry.add_agent('slow', 2)
        entry.submit(job(1, tasks=2))
        now = time.monotonic()
        entry.dispatcher.check_upstreams(now + 1.0)
        fresh = entry.add_agent('fresh', 2)
        entry.finish(slow, slow.pop_sent(PlaceTasks)[0])
        entry.submit(job(2, tasks=2))
        self.assertEqual([], slow.pop_sent(PlaceTasks))
        self.assertEqual(1, len(fresh.pop_sent(PlaceTasks)))
        entry.submit(job(3))
        entry.dispatcher.check_upstreams(now + 7.0)
        probes = slow.pop_sent(PlaceTasks)
        self.assertEqual(1, len(probes))
        entry.finish(slow, probes[0])
        entry.submit(job(4))
        self.assertEqual(1, len(slow.pop_sent(PlaceTasks)))

    def test_probe_that_tells_nothing_is_followed_by_another(self) -> None:
        for name, end_probe in (
            ('task failed', TaskOutcome.FAILED),
            ('task did not start', TaskOutcome.NOT_STARTED),
            ('task was lost', TaskOutcome.LOST),
            ('job was cancelled', None),
        ):
            with self.subTest(name):
                entry = FakeEntry()
                for _ in range(12):
                    entry.dispatcher.run_times.learn('kurek', 'seat', 50.0)
                slow = entry.add_agent('slow', 2)
                entry.submit(job(1, tasks=2))
                now = time.monotonic()
                entry.dispatcher.check_upstreams(now + 1.0)
                entry.finish(slow, slow.pop_sent(PlaceTasks)[0])
                entry.submit(job(2))
                entry.dispatcher.check_upstreams(now + 7.0)
                (probe,) = slow.pop_sent(PlaceTasks)
                if end_probe is not None:
                    entry.finish(slow, probe, end_probe)
                else:
                    active = entry.dispatcher.find(probe.job)
                    assert active is not None
                    failure = deadline_exceeded(active, 1.0)
                    entry.dispatcher.fail(active, failure)
                slow.pop_sent(PlaceTasks)
                entry.submit(job(3))
                entry.dispatcher.check_upstreams(now + 60.0)
                self.assertEqual(1, len(slow.pop_sent(PlaceTasks)))

    def test_jobs_are_admitted_if_all_upstreams_are_suspended(self) -> None:
        entry = FakeEntry()
        for _ in range(12):
            entry.dispatcher.run_times.learn('kurek', 'seat', 50.0)
        slow = entry.add_agent('slow', 2)
        entry.submit(job(1, tasks=2))
        now = time.monotonic()
        entry.dispatcher.check_upstreams(now + 1.0)
        entry.finish(slow, slow.pop_sent(PlaceTasks)[0])
        future = entry.submit(job(2))
        self.assertFalse(future.done())
        entry.dispatcher.check_upstreams(now + 7.0)
        entry.finish(slow, slow.pop_sent(PlaceTasks)[0])
        self.assertTrue(future.result(1).has_all_values)

    def test_at_most_a_third_of_the_upstreams_is_suspended(self) -> None:
        entry = FakeEntry()
        for _ in range(12):
            entry.dispatcher.run_times.learn('kurek', 'seat', 50.0)
        for number in range(6):
            entry.add_agent(f'a{number}', 2)
        entry.submit(job(1, tasks=12))
        entry.dispatcher.check_upstreams(time.monotonic() + 1.0)
        suspended = 'baobabgap_upstreams_suspended_total'
        self.assertEqual(2, entry.metrics.value(suspended))

    def test_short_delays_suspend_nothing(self) -> None:
        entry = FakeEntry()
        for _ in range(12):
            entry.dispatcher.run_times.learn('kurek', 'seat', 0.1)
        agent = entry.add_agent('a', 4)
        entry.submit(job(1, tasks=2))
        entry.dispatcher.check_upstreams(time.monotonic() + 0.3)
        entry.submit(job(2))
        self.assertEqual(2, len(agent.pop_sent(PlaceTasks)))

    def test_queueing_at_the_agent_suspends_nothing(self) -> None:
        policy = {
            'placement': 'random',
            'default_quota': {'tasks_per_second': 1000},
        }
        entry = FakeEntry(Configuration.from_state(1, {'policy': policy}))
        for _ in range(12):
            entry.dispatcher.run_times.learn('kurek', 'seat', 50.0)
        entry.add_agent('a', 1)
        entry.submit(job(1, tasks=3))
        entry.dispatcher.check_upstreams(time.monotonic() + 1.0)
        suspended = 'baobabgap_upstreams_suspended_total'
        self.assertEqual(0, entry.metrics.value(suspended))


class TestBaselines(unittest.TestCase):
    """The baseline policies place tasks without tokens."""

    def test_random_places_without_tokens(self) -> None:
        for placement in ('random', 'least_reported'):
            with self.subTest(placement):
                policy = {
                    'placement': placement,
                    'default_quota': {'tasks_per_second': 1000},
                }
                configuration = Configuration.from_state(1, {'policy': policy})
                entry = FakeEntry(configuration)
                agent = entry.add_agent('a', 1, tokens=0)
                entry.submit(job(tasks=3))
                placed = agent.pop_sent(PlaceTasks)
                self.assertEqual(3, sum(len(item.tasks) for item in placed))
                self.assertEqual({0}, {item.epoch for item in placed})


def _cancelled(link: FakeLink) -> list[tuple[str, ...]]:
    return [message.jobs for message in link.pop_sent(CancelJobs)]
