"""The members' client against a host that follows a script."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import queue
import threading
from typing import Any
import unittest

from baobabgap.control import ControlClient
from baobabgap.control import ControlUnavailableError
from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import LONGEST_WAIT_S
from baobabgap.messages import Changes
from baobabgap.messages import ClaimJobs
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import Hello
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

    def __init__(self, pool: ThreadPoolExecutor, answer: Answer) -> None:
        self._answer = answer
        self.links: queue.Queue[Connection] = queue.Queue()
        self.subscriptions: queue.Queue[Subscribe] = queue.Queue()
        self.listener = Listener(
            '127.0.0.1',
            0,
            lambda: Hello('control-1', 'control', 'a'),
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
    def start(self, answer: Answer = lambda _: []) -> None:
        pool = ThreadPoolExecutor(64)
        self.addCleanup(pool.shutdown, wait=False)
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
                control=ControlSettings(claim_wait_s=0.4),
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

    def test_unchanged_is_truthful(self) -> None:
        def refuse(*unchanged: bool) -> Answer:
            answers = list(unchanged)

            def answer(message: ClaimJobs) -> list[object]:
                flag = answers.pop(0) if len(answers) > 1 else answers[0]
                return [ControlUnavailable(message.request, 'no', flag)]

            return answer

        cases: list[tuple[str, Answer, bool]] = [
            ('refused each time', refuse(True), True),
            ('unknown once, then refused', refuse(False, True), False),
            ('refused, then unknown', refuse(True, False), False),
            ('never answered', lambda _: [], False),
        ]
        for name, answer, expected in cases:
            with self.subTest(name):
                self.start(answer)
                error: Any = self.client.claim(claim('kurek.5.n')).exception(
                    LONGEST_WAIT_S
                )
                self.assertIsInstance(error, ControlUnavailableError)
                self.assertIs(error.unchanged, expected)

    def test_lookup_never_changes_anything(self) -> None:
        self.start()
        error: Any = self.client.lookup(claim('kurek.5.n')).exception(
            LONGEST_WAIT_S
        )
        self.assertIs(error.unchanged, True)

    def test_claims_that_wait_travel_together(self) -> None:
        sizes: list[int] = []

        def note(message: ClaimJobs) -> list[object]:
            sizes.append(len(message.claims))
            return []

        self.start(note)
        futures = [
            self.client.claim(claim(f'kurek.{number}.n'))
            for number in range(100)
        ]
        for future in futures:
            future.exception(LONGEST_WAIT_S)
        # Four may be on the way at once; the others wait for an answer.
        self.assertLessEqual(len(sizes), 4)
        before = len(sizes)
        self.client.claim(claim('kurek.1000.n')).exception(LONGEST_WAIT_S)
        self.assertEqual(len(sizes), before + 1, 'given up ones block it')
