"""Tests that an agent's enrolment is durable before it gets runs."""

from typing import Any
import unittest
from unittest.mock import Mock

from baobabgap.accepted import EnrolMembers
from baobabgap.dispatch._agent_handler import AgentHandler
from baobabgap.dispatch._evacuations import Evacuations
from baobabgap.dispatch._events import Event
from baobabgap.dispatch._events import MembersEnrolled
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._takeover import Takeover
from baobabgap.dispatch._term_state import TermState
from baobabgap.dispatch._view_check import ViewCheck
from baobabgap.protocol import AuthorityRequest
from baobabgap.protocol import LeaseTiming
from baobabgap.telemetry import Metrics

TERM = 2
REQUEST = AuthorityRequest(1, 'u', 0)


class AgentEnrolmentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.term_state = TermState()
        self.term_state.begin_term(TERM, Takeover(TERM, (), 0.0))
        self.committer = Mock()
        self.connection = Mock()
        self.connection.peer.name = 'agent'
        self.handler = AgentHandler(
            self.term_state,
            RunTracker(self.term_state),
            Mock(),
            Mock(),
            Evacuations(self.term_state),
            ViewCheck(Metrics()),
            Mock(),
            self.committer,
            LeaseTiming(),
            self.handle_event,
        )
        self.handler.handle_link(self.connection)

    def handle_event(self, event: Event) -> None:
        assert isinstance(event, MembersEnrolled)
        self.handler.handle_enrolled(event)

    def end_proposal(self, number: int, result: Any) -> None:
        command, on_end = self.committer.propose.call_args_list[number].args
        self.assertEqual(EnrolMembers(('agent/agent',)), command)
        on_end(result)

    def request_authority(self) -> None:
        self.handler.handle(self.connection, REQUEST, True)

    @property
    def is_enrolled(self) -> bool:
        return self.term_state.view_by_name['agent'].is_enrolled

    def test_unknown_outcome_counts_as_durable(self) -> None:
        self.end_proposal(0, None)
        self.assertFalse(self.is_enrolled)
        self.request_authority()
        self.connection.send.assert_not_called()

    def test_enrolment_with_unknown_outcome_is_never_repeated(self) -> None:
        self.request_authority()
        self.assertEqual(1, self.committer.propose.call_count)
        self.end_proposal(0, None)
        self.request_authority()
        self.assertEqual(2, self.committer.propose.call_count)
        self.end_proposal(1, 'stored')
        self.assertTrue(self.is_enrolled)
        self.request_authority()
        self.assertEqual(2, self.committer.propose.call_count)
        self.connection.send.assert_called_once()
