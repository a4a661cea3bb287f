"""Tests from agent to leader that a reachable upstream is used again."""

from pathlib import Path
import tempfile
import unittest

from baobabgap.dispatch._agent_view import AgentView
from baobabgap.dispatch.tests.deployment import Deployment
from baobabgap.dispatch.tests.deployment import step
from baobabgap.dispatch.tests.deployment import wait_until


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name), controls=1, agents=1)
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        wait_until(self.is_open, 'an open target')

    @property
    def view(self) -> AgentView | None:
        """What the leader holds of the agent."""
        leader = self.deployment.leader
        assert leader is not None
        return leader._scheduler._term_state.view_by_name.get('agent-0')

    def is_open(self) -> bool:
        view = self.view
        return bool(view and view.target and view.target.is_open)

    def test_upstream_that_answers_again_stays_closed(self) -> None:
        upstream = self.deployment.upstreams[0]
        upstream.is_silent = True
        wait_until(lambda: not self.is_open(), 'a closed target')
        upstream.is_silent = False
        # Less than a new link would take.
        answer = self.deployment.submit('a', step(1), volatile=True)
        self.assertEqual('completed', answer.result(3.0).state)
