"""An agent serves entries with a stand-in upstream over loopback."""

import unittest

from baobabgap.agent.tests.deployment import Deployment
from baobabgap.messages import TaskOutcome


class AgentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.entry = self.deployment.entry

    def test_grants_tokens_runs_tasks_and_returns_results(self) -> None:
        self.entry.wait_until_accepting()
        self.entry.wait(lambda: self.entry.grants[-1].tokens == 4)
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 20}, 't2': {}})
        results = self.entry.wait_for_results(2)
        self.assertEqual(
            [TaskOutcome.DONE] * 2, [result.outcome for result in results]
        )
        self.assertEqual(
            {'t1': {'sleep_ms': 20}, 't2': {}},
            {result.task: result.value['echo'] for result in results},
        )
        self.assertTrue(all(result.token_returns for result in results))
        counts = self.deployment.upstream.counts()
        self.assertEqual(2, counts['starts'])
        self.assertEqual(0, counts['duplicates'])
