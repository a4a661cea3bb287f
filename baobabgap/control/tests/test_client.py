"""Tests of the control client against a scripted control host.

They guard against changes that are applied out of order, requests that
are lost with their link or block later ones, and an error that says
`unchanged` although the request may have taken effect.
"""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
import queue
import threading
import time
from typing import Any
import unittest
from unittest.mock import patch

from baobabgap.control import ControlClient
from baobabgap.control import ControlUnavailableError
from baobabgap.control._pending_requests import ClaimSender
from baobabgap.control._pending_requests import PendingRequests
from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import WAIT_LIMIT_S
from baobabgap.messages import Changes
from baobabgap.messages import ClaimJobs
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import ClaimOutcomes
from baobabgap.messages import ClaimStatus
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import Hello
from baobabgap.messages import LeaderHint
from baobabgap.messages import Subscribe
from baobabgap.settings import ControlHost
from baobabgap.settings import ControlSettings
from baobabgap.settings import Links
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.transport import Connection
from baobabgap.transport import LinkTiming
from baobabgap.transport import Listener

Answer = Callable[[ClaimJobs], list[object]]


class ScriptedHost:
    """Accepts links, records subscriptions, and answers claims."""

    def __init__(
        self,
        pool: ThreadPoolExecutor,
        answer: Answer,
        name: str = 'control-1',
    ) -> None:
        self._answer = answer
        self.links: queue.Queue[Connection] = queue.Queue()
        self.subscriptions: queue.Queue[Subscribe] = queue.Queue()
        self.listener = Listener(
            '127.0.0.1',
            0,
            lambda: Hello(name, 'control', 'a'),
            LinkTiming(0.1, 2.0),
            pool,
            self._serve,
        )
        self.listener.start()

    def _serve(self, connection: Connection) -> None:
        self.links.put(connection)
        for message in connection.messages():
            match message:
                case Subscribe():
                    self.subscriptions.put(message)
                case ClaimJobs():
                    connection.send(*self._answer(message))


class ClientTest(unittest.TestCase):
    def start(
        self, answer: Answer = lambda _: [], claim_wait_s: float = 0.4
    ) -> None:
        pool = ThreadPoolExecutor(64)
        self.addCleanup(pool.shutdown, wait=False)
        self.pool = pool
        self.host = ScriptedHost(pool, answer)
        self.addCleanup(self.host.listener.stop)
        self.versions: list[int] = []
        self.applied = threading.Semaphore(0)
        self.client = ControlClient.from_settings(
            Settings(
                role=Role.ENTRY,
                name='entry-1',
                control_hosts=(
                    ControlHost(
                        'control-1', '127.0.0.1', self.host.listener.port
                    ),
                ),
                links=Links(heartbeat_s=0.1, silence_s=2.0),
                control=ControlSettings(claim_wait_s=claim_wait_s),
            ),
            'entry',
            'entry-1-a',
            '',
            pool,
            self._apply,
            ('entry',),
        )
        self.client.start()
        self.addCleanup(self.client.stop)
        self.link = self.host.links.get(timeout=WAIT_LIMIT_S)
        self.host.subscriptions.get(timeout=WAIT_LIMIT_S)

    def _apply(self, changes: Changes) -> None:
        self.versions.append(changes.to_version)
        self.applied.release()

    def push(self, *steps: tuple[int, int]) -> None:
        for from_version, to_version in steps:
            self.link.send(Changes(from_version, to_version, (), ()))

    def test_changes_apply_in_order_and_never_backwards(self) -> None:
        self.start()
        self.push((0, 5), (5, 9), (0, 7), (5, 9), (3, 8), (9, 12))
        for _ in range(3):
            self.assertTrue(self.applied.acquire(timeout=WAIT_LIMIT_S))
        self.assertEqual(self.versions, [5, 9, 12])

    def test_gap_in_the_changes_leads_to_a_new_subscription(self) -> None:
        self.start()
        self.push((0, 5), (7, 9))
        asked = self.host.subscriptions.get(timeout=WAIT_LIMIT_S)
        self.assertEqual(asked.version, 5)
        self.assertEqual(self.versions, [5])

    def test_new_link_subscribes_from_the_applied_version(self) -> None:
        self.start()
        self.push((0, 5))
        self.assertTrue(self.applied.acquire(timeout=WAIT_LIMIT_S))
        self.link.close()
        asked = self.host.subscriptions.get(timeout=WAIT_LIMIT_S)
        self.assertEqual(asked.version, 5)

    def test_link_moves_to_the_leader_after_the_cooldown(self) -> None:
        self.start()
        leader = ScriptedHost(self.pool, lambda _: [], 'control-2')
        self.addCleanup(leader.listener.stop)
        address = f'127.0.0.1:{leader.listener.port}'
        with patch(
            'baobabgap.control._host_selector._LOST_HOST_COOLDOWN_S', 0.3
        ):
            self.client._host_selector.note_lost(address, time.monotonic())
            self.link.send(LeaderHint('control-2', address))
            # The hint is sent only once.
            leader.links.get(timeout=WAIT_LIMIT_S)

    def test_lookup_never_changes_anything(self) -> None:
        self.start()
        error: Any = self.client.look_up(claim('kurek.5.n')).exception(
            WAIT_LIMIT_S
        )
        self.assertIs(error.unchanged, True)

    def test_waiting_claims_are_sent_in_one_batch(self) -> None:
        received: queue.Queue[ClaimJobs] = queue.Queue()

        def record(message: ClaimJobs) -> list[object]:
            received.put(message)
            return []

        self.start(record, claim_wait_s=WAIT_LIMIT_S)
        futures = [
            self.client.claim(claim(f'kurek.{number}.n'))
            for number in range(100)
        ]
        first = [received.get(timeout=WAIT_LIMIT_S) for _ in range(4)]
        self.assertEqual([len(each.claims) for each in first], [1, 1, 1, 1])
        outcome = ClaimOutcome(first[0].claims[0].job, ClaimStatus.GRANTED)
        self.link.send(ClaimOutcomes(first[0].request, (outcome,)))
        self.assertEqual(futures[0].result(WAIT_LIMIT_S), outcome)
        rest = received.get(timeout=WAIT_LIMIT_S)
        self.assertEqual(len(rest.claims), 96)

    def test_expired_requests_no_longer_count_as_in_flight(self) -> None:
        received: queue.Queue[ClaimJobs] = queue.Queue()

        def record(message: ClaimJobs) -> list[object]:
            received.put(message)
            return []

        self.start(record)
        for number in range(4):
            self.client.claim(claim(f'kurek.{number}.n'))
            received.get(timeout=WAIT_LIMIT_S)
        # It waits for the four, and may still be sent when they expire.
        last = self.client.claim(claim('kurek.99.n'))
        self.assertIsNotNone(last.exception(WAIT_LIMIT_S))
        self.client.claim(claim('kurek.1000.n'))
        jobs: list[str] = []
        while 'kurek.1000.n' not in jobs:
            message = received.get(timeout=WAIT_LIMIT_S)
            jobs.extend(each.job for each in message.claims)


class PendingRequestsTest(unittest.TestCase):
    def test_unchanged_is_true_only_if_nothing_can_have_changed(self) -> None:
        cases: list[tuple[str, list[bool | None], bool]] = [
            ('never sent', [], True),
            ('refused', [True], True),
            ('refused twice', [True, True], True),
            ('unknown once, then refused', [False, True], False),
            ('refused, then unknown', [True, False], False),
            ('link lost, then refused', [None, True], False),
        ]
        for name, attempts, expected in cases:
            with self.subTest(name):
                pending = PendingRequests(ClaimSender('e', 'e-a', ''))
                future = pending.add_claim(
                    claim('kurek.5.n'), 0.3, lookup_only=False
                )
                for unchanged in attempts:
                    self.attempt(pending, unchanged)
                error = self.expire(pending, future)
                self.assertIs(error.unchanged, expected)

    def test_claim_without_outcome_in_the_answer_is_sent_again(self) -> None:
        pending = PendingRequests(ClaimSender('e', 'e-a', ''))
        futures = [
            pending.add_claim(claim(name), 20.0, lookup_only=False)
            for name in ('kurek.5.n', 'kurek.6.n')
        ]
        (message,) = pending.pop_messages()
        assert isinstance(message, ClaimJobs)
        first = ClaimOutcome('kurek.5.n', ClaimStatus.GRANTED, 'e', 'e-a', '')
        pending.handle_answer(ClaimOutcomes(message.request, (first,)))
        self.assertIs(first, futures[0].result(0))
        self.assertFalse(futures[1].done())
        give_up_at = time.monotonic() + WAIT_LIMIT_S
        while not (messages := pending.pop_messages()):
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.01)
        (again,) = messages
        assert isinstance(again, ClaimJobs)
        self.assertEqual(['kurek.6.n'], [c.job for c in again.claims])
        second = ClaimOutcome('kurek.6.n', ClaimStatus.GRANTED, 'e', 'e-a', '')
        pending.handle_answer(ClaimOutcomes(again.request, (second,)))
        self.assertIs(second, futures[1].result(0))

    def test_outcome_of_a_request_in_flight_is_unknown(self) -> None:
        pending = PendingRequests(ClaimSender('e', 'e-a', ''))
        future = pending.add_claim(claim('kurek.5.n'), 0.1, lookup_only=False)
        self.assertEqual(len(pending.pop_messages()), 1)
        self.assertIs(self.expire(pending, future).unchanged, False)

    def attempt(
        self, pending: PendingRequests, unchanged: bool | None
    ) -> None:
        """Send the request and refuse it or, for None, lose the link."""
        messages = pending.pop_messages()
        while not messages:
            time.sleep(0.01)
            messages = pending.pop_messages()
        if unchanged is None:
            pending.link_lost()
            return
        (message,) = messages
        assert isinstance(message, ClaimJobs)
        pending.handle_answer(
            ControlUnavailable(message.request, 'no', unchanged)
        )

    def expire(self, pending: PendingRequests, future: Future[Any]) -> Any:
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not future.done():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
            pending.expire()
        error = future.exception()
        self.assertIsInstance(error, ControlUnavailableError)
        return error
