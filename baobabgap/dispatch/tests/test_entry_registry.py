"""Durable enrolment of entries, on which takeovers depend."""

import time
from typing import Any
import unittest
from unittest.mock import Mock

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._entry_registry import EntryRegistry
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.protocol import SubmitJob

TERM = 5
# Longer than an entry without a link stays enrolled.
LONG_S = 40.0


def submission(connection: Mock, call: int = 7) -> CallArrived:
    return CallArrived(
        SubmitJob(call, 'h', '/q/a', '', (), is_volatile=True), connection
    )


def connections(calls: list[CallArrived]) -> list[object]:
    return [call.connection for call in calls]


class EntryRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.term_state = TermState()
        takeover = Takeover(TERM, (), 0.0)
        takeover.end_if_due(0.0)
        self.term_state.begin_term(TERM, takeover)
        self.state = Mock(AcceptedState)
        self.state.members = set()
        self.committer = Mock()
        self.committer.propose.side_effect = self.propose
        # Proposals whose outcome is withheld.
        self.proposed: list[tuple[object, Any]] = []
        self.is_withholding = False
        self.events: list[Any] = []
        self.entries = EntryRegistry(
            self.term_state, self.state, self.committer, self.events.append
        )

    def propose(self, command: object, on_end: Any) -> None:
        self.proposed.append((command, on_end))
        if not self.is_withholding:
            self.commit_next()

    def commit_next(self) -> None:
        """Make the oldest proposal durable."""
        command, on_end = self.proposed.pop(0)
        match command:
            case EnrolMembers(names=names):
                self.state.members.update(names)
            case DismissMembers(names=names):
                self.state.members.difference_update(names)
        on_end('stored')

    def fail_next(self) -> None:
        """Report the outcome of the oldest proposal as unknown."""
        _, on_end = self.proposed.pop(0)
        on_end(None)

    def freed_calls(self) -> list[CallArrived]:
        """Process the posted events; return the calls that may begin."""
        freed = [
            call
            for event in self.events
            for call in self.entries.handle_enrolled(event)
        ]
        self.events.clear()
        return freed

    def link(self, incarnation: str = '1') -> Mock:
        connection = Mock()
        connection.peer.name = 'e'
        connection.peer.incarnation = incarnation
        self.entries.handle_link(EntryLinked(connection, ()))
        if not self.is_withholding:
            self.freed_calls()
        return connection

    def unlink(self, connection: Mock) -> None:
        self.entries.handle_lost_link(EntryUnlinked(connection))

    def test_volatile_job_waits_for_the_enrolment_of_its_entry(self) -> None:
        """Regression: the next leader didn't wait for the entry's report."""
        self.is_withholding = True
        call = submission(self.link())
        self.assertTrue(self.entries.hold(call))
        self.assertEqual([], self.freed_calls())
        self.commit_next()
        self.assertEqual([call.connection], connections(self.freed_calls()))
        self.assertFalse(self.entries.hold(call))

    def test_enrolment_of_unknown_outcome_is_proposed_again(self) -> None:
        """Regression: the entry was never enrolled."""
        self.is_withholding = True
        call = submission(self.link())
        self.assertTrue(self.entries.hold(call))
        self.fail_next()
        self.assertEqual([], self.freed_calls())
        self.entries.check(time.monotonic() + 1.0)
        self.commit_next()
        self.assertEqual([call.connection], connections(self.freed_calls()))

    def test_entry_that_returns_while_it_is_dismissed_is_enrolled(
        self,
    ) -> None:
        self.unlink(self.link())
        self.is_withholding = True
        self.entries.check(0.0)
        self.entries.check(LONG_S)
        call = submission(self.link())
        self.assertTrue(self.entries.hold(call))
        self.commit_next()
        self.assertEqual([], self.freed_calls())
        self.commit_next()
        self.assertEqual([call.connection], connections(self.freed_calls()))
        self.assertEqual({'entry/e/1'}, self.state.members)

    def test_dropped_calls_and_those_of_lost_links_do_not_begin(self) -> None:
        self.is_withholding = True
        lost, kept = self.link(), self.link()
        self.entries.hold(submission(lost))
        self.entries.hold(submission(kept, 1))
        self.entries.hold(submission(kept, 2))
        self.entries.handle_dropped_call(CallDropped(1, kept))
        self.unlink(lost)
        self.commit_next()
        freed = self.freed_calls()
        self.assertEqual(
            [(kept, 2)], [(c.connection, c.call.call) for c in freed]
        )

    def test_held_calls_have_not_begun_when_the_term_ends(self) -> None:
        self.is_withholding = True
        call = submission(self.link())
        self.entries.hold(call)
        self.assertEqual([call], self.entries.pop_held())
        self.commit_next()
        self.assertEqual([], self.freed_calls())

    def test_end_of_a_replaced_link_dismisses_no_linked_entry(self) -> None:
        """Regression: the end of the old link was noted after the new one."""
        old = self.link()
        self.link()
        self.unlink(old)
        self.entries.check(0.0)
        self.entries.check(LONG_S)
        self.assertEqual({'entry/e/1'}, self.state.members)

    def test_entry_without_a_link_is_dismissed_after_a_while(self) -> None:
        self.unlink(self.link())
        self.entries.check(0.0)
        self.entries.check(LONG_S / 2)
        self.assertEqual({'entry/e/1'}, self.state.members)
        self.entries.check(LONG_S)
        self.assertEqual(set(), self.state.members)

    def test_restarted_entry_stays_enrolled_in_its_earlier_life_for_a_while(
        self,
    ) -> None:
        """Regression: a leader lost soon after that didn't wait for agents."""
        self.unlink(self.link())
        self.link('2')
        self.entries.check(0.0)
        self.entries.check(LONG_S / 2)
        self.assertEqual({'entry/e/1', 'entry/e/2'}, self.state.members)
        self.entries.check(LONG_S)
        self.assertEqual({'entry/e/2'}, self.state.members)

    def test_entry_that_never_had_a_link_is_dismissed_after_a_while(
        self,
    ) -> None:
        self.state.members.add('entry/f/1')
        self.entries.check(0.0)
        self.assertEqual({'entry/f/1'}, self.state.members)
        self.entries.check(LONG_S)
        self.assertEqual(set(), self.state.members)


if __name__ == '__main__':
    unittest.main()
