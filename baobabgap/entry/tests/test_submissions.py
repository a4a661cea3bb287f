"""Tests of submissions that are claimed, joined, refused or cancelled."""

from concurrent.futures import ThreadPoolExecutor
import time
import unittest

from baobabgap._exceptions import ProtocolMismatch
from baobabgap.configuration import Configuration
from baobabgap.control import ControlUnavailableError
from baobabgap.entry.tests.fakes import FakeEntry
from baobabgap.entry.tests.fakes import FakeLink
from baobabgap.entry.tests.fakes import GENEROUS_CONFIGURATION
from baobabgap.entry.tests.fakes import job
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import Ran
from baobabgap.messages import CancelOwnedJob
from baobabgap.messages import ClaimStatus
from baobabgap.messages import JoinedAnswer
from baobabgap.messages import JoinJob
from baobabgap.messages import PlaceTasks
from baobabgap.messages import SlotGrant


class TestResubmission(unittest.TestCase):
    """A job that is submitted again never runs a second time.

    A client submits a job again when it has received no answer; the job may
    still run, or have ended, at this entry or another one.
    """

    def test_joins_the_running_job_and_the_kept_answer(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 4)
        first = entry.submit(job())
        second = entry.submit(job(deadline_ms=700))
        entry.finish(agent, agent.pop_sent(PlaceTasks)[0])
        third = entry.submit(job())
        self.assertEqual(first.result(1), second.result(1))
        self.assertEqual(first.result(1), third.result(1))
        self.assertEqual([], agent.pop_sent(PlaceTasks))

    def test_job_refused_while_it_waited_runs_when_submitted_again(
        self,
    ) -> None:
        """The ended job is still in the queue, behind an urgent one."""
        entry = FakeEntry()
        agent = entry.add_agent('a', 1, tokens=0)
        entry.submit(job(2))
        entry.submit(job(1, run_time_ms=500))
        refused = entry.submissions.cancel('kurek.1.a').result(1).failure
        assert refused is not None
        self.assertEqual(Ran.NO, refused.ran)
        again = entry.submit(job(1, run_time_ms=500))
        entry.dispatcher.handle_grant(agent.connection, SlotGrant(2, 2))
        for placed in agent.pop_sent(PlaceTasks):
            entry.finish(agent, placed)
        self.assertTrue(again.result(1).has_all_values)

    def test_claim_is_waited_for(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        future = entry.submissions.submit(job(), '')
        identifier = job().identifier
        with ThreadPoolExecutor(1) as pool:
            waited = pool.submit(
                entry.submissions.wait_for_claim, identifier, 10.0
            )
            with self.assertRaises(TimeoutError):
                waited.result(0.05)
            entry.control.settle_claim()
            waited.result(5)
        self.assertFalse(future.done())

    def test_claim_of_an_ended_job_is_not_waited_for(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        future = entry.submissions.submit(job(), '')
        entry.dispatcher.expire(time.monotonic() + 600)
        entry.submissions.wait_for_claim(job().identifier, 10.0)
        failure = future.result(0).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.CONTROL_UNAVAILABLE, Ran.UNKNOWN),
            (failure.code, failure.ran),
        )
        entry.control.settle_claim()
        self.assertEqual([job().identifier] * 2, entry.control.released)

    def test_other_content_is_a_conflict(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 4)
        entry.submit(job())
        running = entry.submit(job(tasks=2))
        entry.finish(agent, agent.pop_sent(PlaceTasks)[0])
        ended = entry.submit(job(tasks=2))
        for future in (running, ended):
            failure = future.result(1).failure
            assert failure is not None
            self.assertEqual(FailureCode.CONFLICT, failure.code)

    def test_job_with_evicted_answer_is_not_run_again(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 4)
        for number in range(1, 7):
            entry.submit(job(number))
            entry.finish(agent, agent.pop_sent(PlaceTasks)[0])
        future = entry.submissions.submit(job(1), '')
        entry.control.settle_claim(ClaimStatus.OWNED)
        self.assertEqual([], agent.pop_sent(PlaceTasks))
        entry.joins.expire(time.monotonic() + 60)
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.OWNER_LOST, Ran.UNKNOWN), (failure.code, failure.ran)
        )

    def test_owned_elsewhere_waits_for_the_owner(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 4)
        peer = entry.add_peer('entry-2')
        future = entry.submissions.submit(job(), '')
        entry.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        request = peer.pop_sent(JoinJob)[0].request
        self.assertEqual([], agent.pop_sent(PlaceTasks))
        answer = JobAnswer('kurek.1.a')
        entry.joins.answer(JoinedAnswer(request, answer))
        self.assertEqual(answer, future.result(1))

    def test_job_of_an_unreachable_owner_is_lost(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        future = entry.submissions.submit(job(), '')
        entry.control.settle_claim(ClaimStatus.OWNED, 'entry-9')
        entry.joins.expire(time.monotonic())
        self.assertFalse(future.done())
        entry.joins.expire(time.monotonic() + 60)
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual('entry-9', failure.peer)
        self.assertEqual(Ran.UNKNOWN, failure.ran)

    def test_earlier_process_of_the_owner_ends_no_join(self) -> None:
        """It lives on after a freeze, and opens its link again."""
        entry = FakeEntry()
        entry.add_agent('a', 4)
        owner = entry.add_peer('entry-2')
        future = entry.submissions.submit(job(), '')
        entry.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        request = owner.pop_sent(JoinJob)[0].request
        earlier = FakeLink('entry-2', 'entry', 'i0')
        entry.joins.link_up(earlier.connection)
        entry.joins.expire(time.monotonic())
        self.assertFalse(future.done())
        answer = JobAnswer('kurek.1.a')
        entry.joins.answer(JoinedAnswer(request, answer))
        self.assertEqual(answer, future.result(1))

    def test_replaced_entry_process_does_not_displace_the_later_one(
        self,
    ) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        earlier = FakeLink('entry-2', 'entry', 'i0')
        balancer = entry.dispatcher.balancer
        balancer.add_peer(earlier.connection)
        owner = entry.add_peer('entry-2')
        self.assertTrue(earlier.is_closed)
        again = FakeLink('entry-2', 'entry', 'i0')
        with self.assertRaises(ProtocolMismatch):
            balancer.add_peer(again.connection)
        balancer.remove_peer(again.connection)
        entry.submissions.submit(job(), '')
        entry.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        self.assertEqual(1, len(owner.pop_sent(JoinJob)))

    def test_owner_that_restarted_is_not_asked(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        restarted = FakeLink('entry-2', 'entry', 'i2')
        entry.dispatcher.balancer.add_peer(restarted.connection)
        future = entry.submissions.submit(job(), '')
        entry.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        self.assertEqual([], restarted.sent)
        entry.joins.expire(time.monotonic())
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual(FailureCode.OWNER_LOST, failure.code)


class TestRefusals(unittest.TestCase):
    """A refusal states `not run` only after control has confirmed it.

    An entry that refuses a job can't know whether another one runs it.
    """

    def test_refusals(self) -> None:
        strict = Configuration.from_state(
            1, {'quota/rowing': {'tasks_per_second': 1, 'burst_tasks': 1}}
        )
        cases = {
            'unknown team': (strict, 1, job(team='other'), 'unknown_team'),
            'no upstream': (None, 0, job(), 'no_upstream'),
            'far more work than its deadline allows': (
                None,
                1,
                job(tasks=50, deadline_ms=300),
                'deadline',
            ),
            'far longer than its deadline': (
                None,
                1,
                job(run_time_ms=5000, deadline_ms=300),
                'deadline',
            ),
        }
        for name, (configuration, agents, submission, code) in cases.items():
            with self.subTest(name):
                entry = FakeEntry(configuration)
                for number in range(agents):
                    entry.add_agent(f'a{number}', 1)
                future = entry.submissions.submit(submission, '')
                self.assertFalse(future.done())
                entry.control.settle_lookup()
                failure = future.result(1).failure
                assert failure is not None
                self.assertEqual((code, Ran.NO), (failure.code, failure.ran))
                self.assertEqual([], entry.control.claims)

    def test_without_a_configuration_no_team_is_unknown(self) -> None:
        entry = FakeEntry(has_configuration=False)
        entry.add_agent('a', 1)
        early = entry.submissions.submit(job(), '')
        entry.control.settle_lookup()
        failure = early.result(1).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.CONTROL_UNAVAILABLE, Ran.NO),
            (failure.code, failure.ran),
        )
        self.assertGreater(failure.retry_after_s, 0)
        entry.dispatcher.set_configuration(GENEROUS_CONFIGURATION)
        entry.submissions.submit(job(), '')
        self.assertEqual(1, len(entry.control.claims))

    def test_overloaded_has_a_retry_time(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 1)
        entry.submit(job(1, tasks=50))
        future = entry.submissions.submit(job(2, deadline_ms=300), '')
        entry.control.settle_lookup()
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.OVERLOADED, Ran.NO), (failure.code, failure.ran)
        )
        self.assertGreater(failure.retry_after_s, 1.0)

    def test_patient_jobs_do_not_starve_the_others(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 1)
        entry.submit(job(1000))
        for number in range(1, 100):
            deadline_ms = 60_000 if number % 2 else 500
            entry.submissions.submit(job(number, deadline_ms=deadline_ms), '')
        refused_jobs = [claim.job for claim, _ in entry.control.lookups]
        refused_patient = [
            name for name in refused_jobs if int(name.split('.')[1]) % 2
        ]
        self.assertGreater(len(refused_patient), len(refused_jobs) / 3)

    def test_over_quota_has_a_retry_time(self) -> None:
        quota = {'tasks_per_second': 1, 'burst_tasks': 1}
        entry = FakeEntry(Configuration.from_state(1, {'quota/rowing': quota}))
        entry.add_agent('a', 4)
        entry.submit(job(1))
        future = entry.submissions.submit(job(2), '')
        entry.control.settle_lookup()
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual(FailureCode.OVER_QUOTA, failure.code)
        self.assertGreater(failure.retry_after_s, 0)

    def test_refusal_of_a_job_that_runs_elsewhere_joins_it(self) -> None:
        entry = FakeEntry()
        peer = entry.add_peer('entry-2')
        future = entry.submissions.submit(job(), '')
        entry.control.settle_lookup(ClaimStatus.OWNED, 'entry-2')
        self.assertEqual(1, len(peer.pop_sent(JoinJob)))
        self.assertFalse(future.done())

    def test_without_control_the_outcome_is_unknown(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        future = entry.submissions.submit(job(), '')
        _, claimed = entry.control.claims.pop()
        claimed.set_exception(
            ControlUnavailableError(
                'no leader', step='claim', peer='', unchanged=False
            )
        )
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.CONTROL_UNAVAILABLE, Ran.UNKNOWN),
            (failure.code, failure.ran),
        )
        self.assertEqual(['kurek.1.a'], entry.control.released)
        self.assertEqual([], agent.pop_sent(PlaceTasks))

    def test_superseded_process_refuses(self) -> None:
        entry = FakeEntry()
        entry.add_agent('a', 4)
        entry.control.is_superseded = True
        refused = entry.submissions.submit(job(), '')
        entry.control.settle_lookup()
        failure = refused.result(1).failure
        assert failure is not None
        self.assertEqual(FailureCode.DRAINING, failure.code)

    def test_draining_refuses_and_finishes(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 4)
        running = entry.submit(job(1))
        entry.submissions.is_draining = True
        refused = entry.submissions.submit(job(2), '')
        entry.control.settle_lookup()
        failure = refused.result(1).failure
        assert failure is not None
        self.assertEqual(FailureCode.DRAINING, failure.code)
        entry.finish(agent, agent.pop_sent(PlaceTasks)[0])
        self.assertTrue(running.result(1).has_all_values)


class TestCancel(unittest.TestCase):
    """A cancelled job is answered at once and starts no more tasks."""

    def test_cancel_before_the_claim_is_granted(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 4)
        future = entry.submissions.submit(job(), '')
        cancel = entry.submissions.cancel('kurek.1.a')
        # Before the claim is granted, another entry may own and run the job.
        self.assertFalse(future.done() or cancel.done())
        entry.control.settle_claim()
        self.assertEqual(future.result(1), cancel.result(1))
        failure = future.result(1).failure
        assert failure is not None
        self.assertEqual(
            (FailureCode.CANCELLED, Ran.NO), (failure.code, failure.ran)
        )
        self.assertEqual([], agent.pop_sent(PlaceTasks))
        self.assertEqual(['kurek.1.a'], entry.control.released)

    def test_cancel_before_another_entry_is_known_to_own_it(self) -> None:
        entry = FakeEntry()
        peer = entry.add_peer('entry-2')
        entry.add_agent('a', 4)
        future = entry.submissions.submit(job(), '')
        cancel = entry.submissions.cancel('kurek.1.a')
        entry.control.settle_claim(ClaimStatus.OWNED, 'entry-2')
        entry.control.settle_lookup(ClaimStatus.OWNED, 'entry-2')
        self.assertIn(CancelOwnedJob('kurek.1.a'), peer.sent)
        answer = JobAnswer('kurek.1.a')
        for join in peer.pop_sent(JoinJob):
            entry.joins.answer(JoinedAnswer(join.request, answer))
        self.assertEqual([answer] * 2, [future.result(1), cancel.result(1)])

    def test_cancelling_queued_jobs_sends_nothing(self) -> None:
        entry = FakeEntry()
        agent = entry.add_agent('a', 1)
        entry.submit(job(1))
        for number in range(2, 40):
            entry.submit(job(number))
        agent.sent.clear()
        for number in range(2, 40):
            entry.submissions.cancel(f'kurek.{number}.a')
        self.assertEqual([], agent.sent)
