"""Durable enrolment of entries, on which takeovers depend."""

from typing import Any
import unittest
from unittest.mock import Mock

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._entry_registry import EntryRegistry
from baobabgap.dispatch._events import EntryLinked
from baobabgap.dispatch._events import EntryUnlinked
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState

TERM = 5
# Longer than an entry without a link stays enrolled.
LONG_S = 40.0


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
        self.entries = EntryRegistry(
            self.term_state, self.state, self.committer
        )

    def propose(self, command: object, on_end: Any) -> None:
        match command:
            case EnrolMembers(names=names):
                self.state.members.update(names)
            case DismissMembers(names=names):
                self.state.members.difference_update(names)
        on_end('stored')

    def link(self, incarnation: str = '1') -> Mock:
        connection = Mock()
        connection.peer.name = 'e'
        connection.peer.incarnation = incarnation
        self.entries.handle_link(EntryLinked(connection, ()))
        return connection

    def unlink(self, connection: Mock) -> None:
        self.entries.handle_lost_link(EntryUnlinked(connection))

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
