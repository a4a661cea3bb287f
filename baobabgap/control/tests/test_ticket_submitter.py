"""Tests of the validation and submission of change tickets.

They guard against the acceptance of a ticket that is invalid, alone or
together with one that is committed while it is validated.
"""

from concurrent.futures import Future
from typing import Any
import unittest

from baobabgap.control._commands import Command
from baobabgap.control._commands import encode_command
from baobabgap.control._commands import stamp
from baobabgap.control._state import ControlState
from baobabgap.control._ticket_submitter import TicketSubmitter
from baobabgap.messages import PutTicket
from baobabgap.messages import TicketOutcome
from baobabgap.messages import TicketStatus
from baobabgap.replication import NotLeader
from baobabgap.settings import ControlSettings

GOOD = {'quota/rowing': {'tasks_per_second': 5}}


class TicketSubmitterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = ControlState(ControlSettings())
        self.index = 0
        # States of tickets that are committed before the next command.
        self.committed_before: list[dict[str, Any]] = []
        self.submitter = TicketSubmitter(self.state, self.submit, 2000, 5.0)

    def submit(self, command: Command) -> Future[Any]:
        if self.committed_before:
            state_by_key = self.committed_before.pop()
            self.put(self.state.tickets.newest_number + 1, state_by_key)
        self.index += 1
        data = stamp(encode_command(command), 'leader', 0)
        future: Future[Any] = Future()
        future.set_result(self.state.apply(self.index, data))
        return future

    def put(self, number: int, state_by_key: dict[str, Any]) -> TicketOutcome:
        return self.submitter.put(PutTicket(1, number, state_by_key))

    def test_invalid_ticket_is_refused_with_key_and_reason(self) -> None:
        bad_quota = {'tasks_per_second': -1}
        cases: list[tuple[str, int, dict[str, Any], str]] = [
            ('unknown key', 9, {'colour': 'red'}, 'colour: unknown key'),
            ('wrong value', 9, {'quota/a': bad_quota}, 'quota/a.tasks_per'),
            ('unknown field', 9, {'policy': {'x': 1}}, 'policy.x'),
            ('wrong type', 9, {'upstream/u': {'slots': 'many'}}, 'slots'),
            ('one of two', 9, GOOD | {'quota/b': bad_quota}, 'quota/b'),
            ('no key', 9, {}, 'no key'),
            ('number', 0, GOOD, 'number'),
            ('not JSON', 9, {'policy': float('nan')}, 'not JSON'),
            ('too large', 9, {'quota/a': 'x' * 3000}, 'at most 2000'),
        ]
        for name, number, state_by_key, reason in cases:
            with self.subTest(name):
                outcome = self.put(number, state_by_key)
                self.assertIs(outcome.status, TicketStatus.INVALID)
                self.assertIn(reason, outcome.message)
                self.assertEqual(self.state.tickets.newest_number, 0)
                self.assertEqual(self.state.tickets.merged_state({}), {})

    def test_accepted_ticket_is_in_the_changes(self) -> None:
        outcome = self.put(1, GOOD)
        self.assertIs(outcome.status, TicketStatus.ACCEPTED)
        changes = self.state.changes_after(0, ())
        assert changes is not None
        self.assertEqual(changes.to_version, outcome.version)
        self.assertEqual(changes.configuration[0].value, GOOD['quota/rowing'])

    def test_ticket_with_an_outdated_base_is_validated_again(self) -> None:
        self.committed_before = [{'policy': {}}]
        outcome = self.put(7, GOOD)
        self.assertIs(outcome.status, TicketStatus.ACCEPTED)
        self.assertEqual(
            sorted(self.state.tickets.merged_state({})),
            ['policy', 'quota/rowing'],
        )

    def test_ticket_whose_number_was_taken_is_lost(self) -> None:
        self.committed_before = [{'policy': {}}]
        outcome = self.put(1, GOOD)
        self.assertIs(outcome.status, TicketStatus.LOST)
        self.assertEqual(outcome.winner, {'policy': {}})

    def test_without_a_leader_nothing_is_changed(self) -> None:
        def refuse(command: Command) -> Future[Any]:
            future: Future[Any] = Future()
            future.set_exception(NotLeader('propose', None))
            return future

        submitter = TicketSubmitter(self.state, refuse, 2000, 5.0)
        with self.assertRaises(NotLeader):
            submitter.put(PutTicket(1, 1, GOOD))
