"""Tests of what members have in force, and of the choice of a host."""

import unittest

from baobabgap.control._host_choice import HostChoice
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState
from baobabgap.settings import ControlSettings


class ReportsTest(unittest.TestCase):
    """The version in force at a member is never shown going back."""

    def test_late_reports_change_nothing(self) -> None:
        sessions = Sessions(ControlState(ControlSettings()))
        sessions.note_reports({'agent-1': 7})
        sessions.note_reports({'agent-1': 3, 'agent-2': 5})
        self.assertEqual(7, sessions.version_in_force('agent-1'))
        self.assertEqual(5, sessions.version_in_force('agent-2'))


class HostChoiceTest(unittest.TestCase):
    """A host that was just lost is not moved to on a stale hint."""

    def test_distrust_passes(self) -> None:
        choice = HostChoice(['a:1', 'b:1'], 'entry-1', 0.1, 1.0)
        self.assertTrue(choice.trusts('a:1', 100.0))
        choice.note_lost('a:1', 100.0)
        self.assertFalse(choice.trusts('a:1', 101.0))
        self.assertTrue(choice.trusts('b:1', 101.0))
        self.assertTrue(choice.trusts('a:1', 106.0))

    def test_hint_is_followed_once_trust_returns(self) -> None:
        choice = HostChoice(['a:1', 'b:1'], 'entry-1', 0.1, 1.0)
        self.assertEqual('', choice.leader_to_move_to('b', 100.0))
        choice.note_lost('a:1', 100.0)
        choice.note_leader('a', 'a:1')
        self.assertEqual('', choice.leader_to_move_to('b', 101.0))
        self.assertEqual('a:1', choice.leader_to_move_to('b', 106.0))
        self.assertEqual('', choice.leader_to_move_to('a', 106.0))
        choice.forget_leader()
        self.assertEqual('', choice.leader_to_move_to('b', 106.0))
