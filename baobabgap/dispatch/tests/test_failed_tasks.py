"""Control hosts and links of which a task fails by an unexpected error."""

from collections.abc import Iterator
from operator import attrgetter
from pathlib import Path
import tempfile
import threading
from typing import Any
import unittest
from unittest.mock import patch

from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import WAIT_S
from baobabgap.dispatch.tests.deployment import wait_until
from baobabgap.protocol import LeaderReady
from baobabgap.transport import Connection


class FailedTasksTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), 3, 1)
        self.addCleanup(self.deployment.close)

    def check_failure(self, task: str, part: str, method: str) -> None:
        """Check that a leader whose task fails reports it, and steps down."""
        self.deployment.start()
        leader = self.deployment.leader
        assert leader is not None
        has_failed = threading.Event()
        leader.tasks.on_failure = has_failed.set
        target = attrgetter(part)(leader)
        with patch.object(target, method, side_effect=RuntimeError()):
            self.assertTrue(has_failed.wait(WAIT_S))
        self.assertEqual(task, leader.tasks.failed_task)
        wait_until(
            lambda: self.deployment.leader not in (None, leader),
            'another leader',
        )
        answer = self.deployment.submit('a', step(1), volatile=True)
        self.assertEqual('completed', answer.result(WAIT_S).state)

    def test_leader_without_its_leadership_task_is_reported(self) -> None:
        """Its process went on, served nothing and was not started again."""
        self.check_failure('leadership', '_leadership', '_confirm')

    def test_leader_without_a_task_of_its_log_is_reported(self) -> None:
        """Its process went on without a vote and was not started again."""
        self.check_failure('ticks', '_log._election', 'tick')

    def test_unexpected_error_of_a_session_costs_one_link(self) -> None:
        """The entry looked for no leader any more and served nothing."""
        calls = self.deployment.calls
        serve = calls.session
        errors = iter([KeyError('unexpected message')])

        def session(
            connection: Connection,
            ready: LeaderReady,
            messages: Iterator[object],
        ) -> None:
            for error in errors:
                raise error
            serve(connection, ready, messages)

        link: Any = self.deployment._entry_links[0]
        link._session = session
        self.deployment.start()
        wait_until(lambda: calls.is_linked, 'another link')


if __name__ == '__main__':
    unittest.main()
