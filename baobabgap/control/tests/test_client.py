"""The members' client against a host that follows a script."""

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
from baobabgap.control._pending import ClaimSender
from baobabgap.control._pending import PendingRequests
from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import LONGEST_WAIT_S
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
    """Accepts links, keeps what it is sent, and answers claims."""

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
        self.link = self.host.links.get(timeout=LONGEST_WAIT_S)
        self.host.subscriptions.get(timeout=LONGEST_WAIT_S)

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
            self.assertTrue(self.applied.acquire(timeout=LONGEST_WAIT_S))
        self.assertEqual(self.versions, [5, 9, 12])

    def test_what_is_missing_is_asked_for(self) -> None:
        self.start()
        self.push((0, 5), (7, 9))
        asked = self.host.subscriptions.get(timeout=LONGEST_WAIT_S)
        self.assertEqual(asked.version, 5)
        self.assertEqual(self.versions, [5])

    def test_new_link_asks_only_for_what_was_missed(self) -> None:
        self.start()
        self.push((0, 5))
        self.assertTrue(self.applied.acquire(timeout=LONGEST_WAIT_S))
        self.link.close()
        asked = self.host.subscriptions.get(timeout=LONGEST_WAIT_S)
        self.assertEqual(asked.version, 5)

    def test_leader_that_was_distrusted_is_moved_to_later(self) -> None:
        self.start()
        leader = ScriptedHost(self.pool, lambda _: [], 'control-2')
        self.addCleanup(leader.listener.stop)
        address = f'127.0.0.1:{leader.listener.port}'
        with patch('baobabgap.control._host_choice._DISTRUST_S', 0.3):
            self.client._choice.note_lost(address, time.monotonic())
            self.link.send(LeaderHint('control-2', address))
            # The host says so only once.
            leader.links.get(timeout=LONGEST_WAIT_S)

    def test_lookup_never_changes_anything(self) -> None:
        self.start()
        error: Any = self.client.lookup(claim('kurek.5.n')).exception(
            LONGEST_WAIT_S
        )
        self.assertIs(error.unchanged, True)

    def test_claims_that_wait_travel_together(self) -> None:
        received: queue.Queue[ClaimJobs] = queue.Queue()

        def note(message: ClaimJobs) -> list[object]:
            received.put(message)
            return []

        self.start(note, claim_wait_s=LONGEST_WAIT_S)
        futures = [
            self.client.claim(claim(f'kurek.{number}.n'))
            for number in range(100)
        ]
        first = [received.get(timeout=LONGEST_WAIT_S) for _ in range(4)]
        self.assertEqual([len(each.claims) for each in first], [1, 1, 1, 1])
        outcome = ClaimOutcome(first[0].claims[0].job, ClaimStatus.GRANTED)
        self.link.send(ClaimOutcomes(first[0].request, (outcome,)))
        self.assertEqual(futures[0].result(LONGEST_WAIT_S), outcome)
        rest = received.get(timeout=LONGEST_WAIT_S)
        self.assertEqual(len(rest.claims), 96)

    def test_requests_that_were_given_up_make_room(self) -> None:
        received: queue.Queue[ClaimJobs] = queue.Queue()

        def note(message: ClaimJobs) -> list[object]:
            received.put(message)
            return []

        self.start(note)
        for number in range(4):
            self.client.claim(claim(f'kurek.{number}.n'))
            received.get(timeout=LONGEST_WAIT_S)
        # It waits behind the four, and may still be sent when they expire.
        last = self.client.claim(claim('kurek.99.n'))
        self.assertIsNotNone(last.exception(LONGEST_WAIT_S))
        self.client.claim(claim('kurek.1000.n'))
        jobs: list[str] = []
        while 'kurek.1000.n' not in jobs:
            message = received.get(timeout=LONGEST_WAIT_S)
            jobs.extend(each.job for each in message.claims)


class PendingRequestsTest(unittest.TestCase):
    def test_unchanged_is_truthful(self) -> None:
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

    def test_request_on_the_way_is_unknown(self) -> None:
        pending = PendingRequests(ClaimSender('e', 'e-a', ''))
        future = pending.add_claim(claim('kurek.5.n'), 0.1, lookup_only=False)
        self.assertEqual(len(pending.take_messages()), 1)
        self.assertIs(self.expire(pending, future).unchanged, False)

    def attempt(
        self, pending: PendingRequests, unchanged: bool | None
    ) -> None:
        """Send, and have it refused or, for None, lose the link."""
        messages = pending.take_messages()
        while not messages:
            time.sleep(0.01)
            messages = pending.take_messages()
        if unchanged is None:
            pending.link_lost()
            return
        (message,) = messages
        assert isinstance(message, ClaimJobs)
        pending.take_answer(
            ControlUnavailable(message.request, 'no', unchanged)
        )

    def expire(self, pending: PendingRequests, future: Future[Any]) -> Any:
        deadline = time.monotonic() + LONGEST_WAIT_S
        while not future.done():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
            pending.expire()
        error = future.exception()
        self.assertIsInstance(error, ControlUnavailableError)
        return error
