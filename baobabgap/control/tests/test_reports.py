"""Tests of versions in force at members, and of the host selector."""

import unittest

from baobabgap.control._host_selector import HostSelector
from baobabgap.control._sessions import Sessions
from baobabgap.control._state import ControlState
from baobabgap.settings import ControlSettings


class ReportsTest(unittest.TestCase):
    """A version in force must not decrease when a host returns.

    Such a host forwards the reports that it had before.
    """

    def test_outdated_reports_are_ignored(self) -> None:
        sessions = Sessions(ControlState(ControlSettings()))
        sessions.note_reports({'agent-1': 7})
        sessions.note_reports({'agent-1': 3, 'agent-2': 5})
        self.assertEqual(7, sessions.version_in_force('agent-1'))
        self.assertEqual(5, sessions.version_in_force('agent-2'))


class HostSelectorTest(unittest.TestCase):
    """A link must not move to a leader that has just been lost.

    The other hosts may go on naming it as the leader for a while.
    """

    def test_cooldown_ends(self) -> None:
        selector = HostSelector(['a:1', 'b:1'], 'entry-1', 0.1, 1.0)
        self.assertTrue(selector.may_move_to('a:1', 100.0))
        selector.note_lost('a:1', 100.0)
        self.assertFalse(selector.may_move_to('a:1', 101.0))
        self.assertTrue(selector.may_move_to('b:1', 101.0))
        self.assertTrue(selector.may_move_to('a:1', 106.0))

    def test_hint_is_followed_after_the_cooldown(self) -> None:
        selector = HostSelector(['a:1', 'b:1'], 'entry-1', 0.1, 1.0)
        self.assertEqual('', selector.leader_to_move_to('b', 100.0))
        selector.note_lost('a:1', 100.0)
        selector.note_leader('a', 'a:1')
        self.assertEqual('', selector.leader_to_move_to('b', 101.0))
        self.assertEqual('a:1', selector.leader_to_move_to('b', 106.0))
        self.assertEqual('', selector.leader_to_move_to('a', 106.0))
        selector.forget_leader()
        self.assertEqual('', selector.leader_to_move_to('b', 106.0))
