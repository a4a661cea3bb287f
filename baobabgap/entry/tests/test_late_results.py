"""Tests of results that arrive late or twice."""

import unittest

from baobabgap.entry.tests.fakes import FakeEntry
from baobabgap.entry.tests.fakes import job
from baobabgap.entry.tests.linked_agent import LinkedAgent
from baobabgap.messages import PlaceTasks
from baobabgap.messages import TaskOutcome


class LateResultsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entry = FakeEntry()
        self.agent = LinkedAgent('a', self.entry.dispatcher)
        self.agent.deliver_to_entry()

    def test_unstarted_result_told_twice_on_a_new_link_starts_once(
        self,
    ) -> None:
        future = self.entry.submit(job())
        self._refuse_and_relink()
        self.agent.deliver_to_entry()
        self.agent.deliver_to_agent()
        self.assertEqual(['t0'], self._started())
        self._assert_only_this_run(future)

    def test_unstarted_result_on_a_replaced_link_starts_once(self) -> None:
        future = self.entry.submit(job())
        self.agent.accept(False)
        self.agent.deliver_to_agent()
        earlier, late = self.agent.at_entry, self.agent.at_agent.pop()
        self.agent.accept(True)
        self.agent.link()
        self.agent.deliver_to_agent()
        self.agent.deliver_to_entry()
        self.agent.deliver_to_agent()
        self.assertEqual(['t0'], self._started())
        self.agent.deliver(earlier, late)
        self._assert_only_this_run(future)

    def test_unstarted_result_of_an_earlier_submission_starts_once(
        self,
    ) -> None:
        """The first submission is refused once its task is known unstarted."""
        first = self.entry.submit(job())
        self._refuse_and_relink()
        self.entry.dispatcher.pool.suspend('a', True)
        self.agent.deliver_to_entry()
        self.entry.submissions.cancel('kurek.1.a')
        self.assertTrue(first.done())
        self.assertEqual(['kurek.1.a'], self.entry.control.released)
        self.entry.dispatcher.pool.suspend('a', False)
        second = self.entry.submit(job())
        self.agent.deliver_to_agent()
        self.assertEqual(['t0'], self._started())
        self._assert_only_this_run(second)

    def test_late_acknowledgement_drops_no_value(self) -> None:
        """A value lost with its link is told again."""
        future = self.entry.submit(job())
        self._refuse_and_relink()
        self.agent.deliver_to_entry()
        self.agent.deliver_to_agent()
        self.agent.deliver_to_entry()
        self.agent.scheduler.end(
            self.agent.started[0], TaskOutcome.DONE, 'value'
        )
        self.entry.dispatcher.acknowledge_results()
        self.agent.deliver_to_agent()
        self.agent.break_link()
        self.agent.link()
        self.agent.deliver_to_entry()
        self.assertTrue(future.result(1).has_all_values)

    def _refuse_and_relink(self) -> None:
        """Lose a refusal with its link, then open another link."""
        self.agent.accept(False)
        self.agent.deliver_to_agent()
        self.agent.break_link()
        self.agent.accept(True)
        self.agent.link()

    def _started(self) -> list[str]:
        return [record.task for record in self.agent.started]

    def _assert_only_this_run(self, future: object) -> None:
        other = self.entry.add_agent('b', 1)
        self.agent.deliver_to_entry()
        self.agent.deliver_to_agent()
        self.assertEqual([], other.pop_sent(PlaceTasks))
        self.assertEqual(['t0'], self._started())
