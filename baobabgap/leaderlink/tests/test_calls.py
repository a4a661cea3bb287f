"""Forwarding of calls across losses and changes of the leader."""

from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from queue import SimpleQueue
import time
from typing import Any
from typing import cast
import unittest

from baobabgap._exceptions import ConnectionLost
from baobabgap.accepted import Demand
from baobabgap.accepted import Step
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.leaderlink import LeaderCalls
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import DropCall
from baobabgap.protocol import EntryReport
from baobabgap.protocol import LeaderReady
from baobabgap.protocol import QueueObjective
from baobabgap.protocol import ReadPath
from baobabgap.protocol import StartsAnnounced
from baobabgap.protocol import StartsDeferred
from baobabgap.protocol import StartsExpected
from baobabgap.protocol import SubmitJob
from baobabgap.transport import Connection

WAIT_S = 20.0
READY = LeaderReady(1, (), 1000)
VOLATILE = SubmitJob(0, 'h', '/q/0123456789abcdef', '', (), True)
STORED = SubmitJob(0, 'h', '/q/0123456789abcdef', '', ())


class FakeLink:
    """The entry's end of a link; the test acts as the leader."""

    def __init__(self) -> None:
        self.sent: SimpleQueue[Any] = SimpleQueue()
        self._incoming: SimpleQueue[Any] = SimpleQueue()

    def send(self, *messages: object) -> None:
        for message in messages:
            self.sent.put(message)

    def messages(self) -> Iterator[Any]:
        while True:
            message = self._incoming.get(timeout=WAIT_S)
            if message is None:
                raise ConnectionLost('cut', step='receive')
            yield message

    def answer(
        self, call: int, outcome: CallOutcome, *, is_final: bool = False
    ) -> None:
        self._incoming.put(CallAnswer(call, outcome, is_final=is_final))

    def deliver(self, *messages: object) -> None:
        for message in messages:
            self._incoming.put(message)

    def cut(self) -> None:
        self._incoming.put(None)

    def next_sent(self) -> Any:
        return self.sent.get(timeout=WAIT_S)


class LeaderCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown, wait=False, cancel_futures=True)
        self.calls = LeaderCalls()

    def link(self, ready: LeaderReady = READY) -> FakeLink:
        link = FakeLink()
        self.pool.submit(
            self.calls.session, cast(Connection, link), ready, link.messages()
        )
        return link

    def forward(
        self,
        call: SubmitJob | ReadPath,
        *,
        leader_s: float = 0.3,
        answer_s: float = WAIT_S,
        is_caller_disconnected: bool = False,
    ) -> Future[CallAnswer]:
        return self.pool.submit(
            self.calls.forward,
            call,
            leader_s,
            answer_s,
            lambda: is_caller_disconnected,
        )

    def test_call_without_a_leader_is_unavailable(self) -> None:
        answer = self.forward(VOLATILE).result(WAIT_S)
        self.assertIs(CallOutcome.UNAVAILABLE, answer.outcome)

    def test_call_that_the_next_leader_can_not_serve_is_refused_at_once(
        self,
    ) -> None:
        """Its job takes 100 ms and is worth nothing after 200 ms."""
        ready = replace(READY, objectives=(QueueObjective('h', '/q/', 2, 0),))
        link = self.link(ready)
        link.next_sent()
        link.cut()
        wait_until(lambda: not self.calls.is_linked, 'the loss')
        call = replace(VOLATILE, steps=(Step(1, Demand(1000, 10, 0), 100),))
        began_at = time.monotonic()
        answer = self.forward(call, leader_s=WAIT_S).result(WAIT_S)
        self.assertLess(time.monotonic() - began_at, 0.1)
        self.assertIs(CallOutcome.UNAVAILABLE, answer.outcome)
        self.assertGreater(answer.retry_after_ms, 0)
        self.assertLessEqual(answer.retry_after_ms, 500)

    def test_sent_job_is_never_reported_as_not_run(self) -> None:
        """Regression: the loss of the leader was answered with a refusal.

        No leader followed, and the job may have run.
        """
        link = self.link()
        self.assertIsInstance(link.next_sent(), EntryReport)
        future = self.forward(VOLATILE)
        self.assertIsInstance(link.next_sent(), SubmitJob)
        link.cut()
        self.assertIs(CallOutcome.UNKNOWN, future.result(WAIT_S).outcome)

    def test_refusal_by_the_next_leader_is_not_passed_on(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, leader_s=1.0)
        link.next_sent()
        link.cut()
        second = self.link()
        second.next_sent()
        repeated = second.next_sent()
        self.assertTrue(repeated.is_repeat)
        second.answer(repeated.call, CallOutcome.OVERLOADED)
        third = second.next_sent().call
        second.answer(third, CallOutcome.FOUND)
        self.assertIs(CallOutcome.FOUND, future.result(WAIT_S).outcome)

    def test_next_leader_rejects_no_job_that_may_have_begun(self) -> None:
        """Regression: a job that ran was answered as one without a queue."""
        for outcome in CallOutcome:
            if not outcome.is_rejection:
                continue
            with self.subTest(outcome=outcome):
                self.calls = LeaderCalls()
                link = self.link()
                link.next_sent()
                future = self.forward(VOLATILE, leader_s=1.0)
                link.next_sent()
                link.cut()
                second = self.link()
                second.next_sent()
                second.answer(second.next_sent().call, outcome)
                second.cut()
                answer = future.result(WAIT_S)
                self.assertIs(CallOutcome.UNKNOWN, answer.outcome)

    def test_next_leader_rejects_a_deferred_job(self) -> None:
        """It has certainly not begun, so that its caller may know at once."""
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, leader_s=2.0)
        self.defer(link, link.next_sent().call)
        link.cut()
        second = self.link()
        second.next_sent()
        second.answer(second.next_sent().call, CallOutcome.NO_SUCH_QUEUE)
        answer = future.result(WAIT_S)
        self.assertIs(CallOutcome.NO_SUCH_QUEUE, answer.outcome)

    def test_final_answer_is_passed_on_at_once(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, leader_s=WAIT_S)
        call = link.next_sent().call
        link.answer(call, CallOutcome.UNKNOWN, is_final=True)
        answer = future.result(1.0)
        self.assertIs(CallOutcome.UNKNOWN, answer.outcome)
        self.assertTrue(link.sent.empty())

    def test_next_leader_is_told_which_jobs_may_have_begun(self) -> None:
        link = self.link()
        self.assertEqual(EntryReport(()), link.next_sent())
        self.forward(VOLATILE, leader_s=2.0)
        link.next_sent()
        link.cut()
        second = self.link()
        self.assertEqual(
            EntryReport(('0123456789abcdef',)), second.next_sent()
        )

    def defer(self, link: FakeLink, call: int) -> None:
        """Defer a call and wait until the entry has noted that."""
        link.deliver(StartsDeferred((call,)), StartsAnnounced(()))
        self.assertEqual(StartsExpected(()), link.next_sent())

    def test_deferred_job_is_sent_to_the_next_leader_as_new(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, leader_s=2.0)
        self.defer(link, link.next_sent().call)
        link.cut()
        second = self.link()
        self.assertEqual(EntryReport(()), second.next_sent())
        repeated = second.next_sent()
        self.assertFalse(repeated.is_repeat)
        second.answer(repeated.call, CallOutcome.OVERLOADED)
        answer = future.result(WAIT_S)
        self.assertIs(CallOutcome.OVERLOADED, answer.outcome)

    def test_deferred_job_is_refused_if_no_leader_follows(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE)
        self.defer(link, link.next_sent().call)
        link.cut()
        self.assertIs(CallOutcome.UNAVAILABLE, future.result(WAIT_S).outcome)

    def test_announced_job_may_have_begun(self) -> None:
        """The entry notes the start before it tells the leader so."""
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE)
        self.defer(link, link.next_sent().call)
        link.deliver(StartsAnnounced(('0123456789abcdef',)))
        self.assertEqual(
            StartsExpected(('0123456789abcdef',)), link.next_sent()
        )
        link.cut()
        second = self.link()
        self.assertEqual(
            EntryReport(('0123456789abcdef',)), second.next_sent()
        )
        self.assertTrue(second.next_sent().is_repeat)
        second.cut()
        self.assertIs(CallOutcome.UNKNOWN, future.result(WAIT_S).outcome)

    def test_stored_job_is_not_sent_twice(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(STORED, leader_s=1.0)
        link.next_sent()
        link.cut()
        self.assertIs(CallOutcome.UNKNOWN, future.result(WAIT_S).outcome)

    def test_job_is_dropped_when_its_caller_disconnects(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, is_caller_disconnected=True)
        call = link.next_sent().call
        self.assertEqual(DropCall(call), link.next_sent())
        self.assertIs(CallOutcome.UNKNOWN, future.result(WAIT_S).outcome)

    def test_job_of_a_disconnected_caller_is_not_sent_again(self) -> None:
        """Regression: it was started anew while its dropped run stopped."""
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, is_caller_disconnected=True)
        self.assertIsInstance(link.next_sent(), SubmitJob)
        self.assertIsInstance(link.next_sent(), DropCall)
        self.assertIs(CallOutcome.UNKNOWN, future.result(1.0).outcome)
        self.assertTrue(link.sent.empty())

    def test_job_lost_with_the_leader_is_not_sent_for_a_disconnected_caller(
        self,
    ) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE, is_caller_disconnected=True)
        self.assertIsInstance(link.next_sent(), SubmitJob)
        link.cut()
        second = self.link()
        self.assertIsInstance(second.next_sent(), EntryReport)
        self.assertIs(CallOutcome.UNKNOWN, future.result(1.0).outcome)
        self.assertTrue(second.sent.empty())

    def test_planned_stop_answers_at_once_and_drops_nothing(self) -> None:
        link = self.link()
        link.next_sent()
        future = self.forward(VOLATILE)
        link.next_sent()
        began_at = time.monotonic()
        self.calls.stop()
        self.assertIs(CallOutcome.UNKNOWN, future.result(WAIT_S).outcome)
        self.assertLess(time.monotonic() - began_at, WAIT_S)
        self.assertTrue(link.sent.empty())


if __name__ == '__main__':
    unittest.main()
