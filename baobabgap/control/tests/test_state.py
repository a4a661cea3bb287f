"""Tests of tickets, members and log time in the replicated state.

They guard against a resend, a late command of an earlier incarnation or a
restart from a snapshot that changes what was decided before.
"""

from dataclasses import replace
from typing import Any
import unittest

from baobabgap.control._commands import ClaimCommand
from baobabgap.control._commands import Command
from baobabgap.control._commands import encode_command
from baobabgap.control._commands import JoinCommand
from baobabgap.control._commands import LeaveCommand
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import MemberFailureCommand
from baobabgap.control._commands import stamp
from baobabgap.control._commands import TicketCommand
from baobabgap.control._state import ControlState
from baobabgap.control._tickets import BASE_CHANGED
from baobabgap.control._tickets import canonical_content
from baobabgap.messages import Changes
from baobabgap.settings import ControlSettings

ROLES = ('entry', 'agent')


class CommandLog:
    """Applies commands with increasing indexes."""

    def __init__(self, settings: ControlSettings | None = None) -> None:
        self.settings = settings or ControlSettings()
        self.state = ControlState(self.settings)
        self.index = 0

    def put(
        self, command: Command, leader: str = 'leader', now_ms: int = 0
    ) -> Any:
        self.index += 1
        data = stamp(encode_command(command), leader, now_ms)
        return self.state.apply(self.index, data)

    def ticket(self, number: int, value: Any, base: int | None = None) -> Any:
        content = canonical_content({'quota/rowing': value})
        if base is None:
            base = self.state.tickets.newest_number
        return self.put(TicketCommand(number, content, base))

    def join(
        self,
        name: str,
        incarnation: str,
        session: int = 1,
        role: str = 'agent',
    ) -> Any:
        return self.put(
            JoinCommand(
                name, role, incarnation, 'h:1', 'z', ('c', 'c-a', session)
            )
        )

    def restart(self) -> None:
        snapshot = self.state.snapshot()
        self.state = ControlState(self.settings)
        self.state.restore(self.index, snapshot)


class TicketRulesTest(unittest.TestCase):
    def test_rules(self) -> None:
        cases = [
            ('next number', 8, 'c', 'accepted', 8),
            ('far number', 900, 'c', 'accepted', 900),
            ('newest resent', 7, 'b', 'accepted', 7),
            ('older resent', 5, 'a', 'accepted', 5),
            ('equal number, other content', 7, 'x', 'lost', 7),
            ('older number, other content', 5, 'x', 'lost', 7),
            ('number that was skipped', 6, 'x', 'stale', 7),
            ('number from before', 1, 'x', 'stale', 7),
        ]
        for restarts in (0, 1):
            for name, number, value, status, newest in cases:
                with self.subTest(name, restarts=restarts):
                    log = CommandLog()
                    log.ticket(5, 'a')
                    log.ticket(7, 'b')
                    for _ in range(restarts):
                        log.restart()
                    result = log.ticket(number, value)
                    self.assertEqual(result[:2], [status, newest])

    def test_resent_ticket_gets_its_first_answer(self) -> None:
        log = CommandLog()
        first = log.ticket(5, 'a')
        for number in range(6, 20):
            log.ticket(number, 'b')
        log.restart()
        self.assertEqual(log.ticket(5, 'a'), first)

    def test_lost_ticket_is_answered_with_the_accepted_content(self) -> None:
        log = CommandLog()
        log.ticket(5, 'a')
        self.assertEqual(log.ticket(5, 'x')[4], {'quota/rowing': 'a'})

    def test_ticket_validated_on_an_outdated_state_is_not_accepted(
        self,
    ) -> None:
        log = CommandLog()
        log.ticket(5, 'a')
        self.assertEqual(log.ticket(6, 'b', base=0)[0], BASE_CHANGED)
        self.assertEqual(log.state.tickets.newest_number, 5)

    def test_history_is_bounded_and_older_numbers_stay_refused(self) -> None:
        log = CommandLog(ControlSettings(kept_tickets=3))
        for number in range(1, 11):
            log.ticket(number, number)
        self.assertEqual(len(log.state.tickets.history()), 3)
        self.assertEqual(log.ticket(2, 2)[0], 'stale')
        self.assertEqual(
            log.state.tickets.merged_state({}), {'quota/rowing': 10}
        )


class MemberRulesTest(unittest.TestCase):
    def alive(self, log: CommandLog, name: str) -> tuple[str, bool]:
        member = log.state.member(name)
        assert member is not None
        return member.record.incarnation, member.record.alive

    def test_newest_join_wins(self) -> None:
        log = CommandLog()
        self.assertEqual(log.join('m', 'old'), 'old')
        self.assertEqual(log.join('m', 'new'), 'new')
        self.assertEqual(log.join('m', 'old', 2), 'new')
        log.put(LeaveCommand('m', 'old'))
        log.put(MemberFailureCommand('m', 'old', ('c', 'c-a', 1)))
        self.assertEqual(self.alive(log, 'm'), ('new', True))

    def test_failure_counts_only_for_the_lost_attachment(self) -> None:
        cases = [
            ('same session', 1, 1, False),
            ('reconnected since', 2, 1, True),
        ]
        for name, attached, lost, expected in cases:
            with self.subTest(name):
                log = CommandLog()
                log.join('m', 'a', 1)
                log.join('m', 'a', attached)
                log.put(MemberFailureCommand('m', 'a', ('c', 'c-a', lost)))
                self.assertEqual(self.alive(log, 'm'), ('a', expected))

    def test_reconnect_revokes_a_failure_but_not_a_leave(self) -> None:
        log = CommandLog()
        log.join('m', 'a')
        log.put(MemberFailureCommand('m', 'a', ('c', 'c-a', 1)))
        log.join('m', 'a', 2)
        self.assertEqual(self.alive(log, 'm'), ('a', True))
        log.put(LeaveCommand('m', 'a'))
        log.join('m', 'a', 3)
        self.assertEqual(self.alive(log, 'm'), ('a', False))
        log.join('m', 'b', 4)
        self.assertEqual(self.alive(log, 'm'), ('b', True))

    def test_reconnect_creates_no_new_version(self) -> None:
        log = CommandLog()
        log.join('m', 'a', 1)
        version = log.state.version
        log.join('m', 'a', 2)
        self.assertEqual(log.state.version, version)


class ChangesTest(unittest.TestCase):
    def changes(self, log: CommandLog, version: int) -> Changes:
        found = log.state.changes_after(version, ROLES)
        assert found is not None
        return found

    def test_reader_gets_only_changes_that_it_missed(self) -> None:
        log = CommandLog()
        for number in range(200):
            log.join(f'm-{number}', 'a')
        seen = log.state.version
        self.assertIsNone(log.state.changes_after(seen, ROLES))
        log.join('m-7', 'b')
        log.join('m-7', 'c')
        log.ticket(1, 'a')
        log.restart()
        changes = self.changes(log, seen)
        self.assertEqual(changes.from_version, seen)
        self.assertEqual([m.incarnation for m in changes.members], ['c'])
        self.assertEqual([e.ticket for e in changes.configuration], [1])

    def test_roles_are_filtered(self) -> None:
        log = CommandLog()
        log.join('a', 'a', role='agent')
        log.join('e', 'a', role='entry')
        changes = log.state.changes_after(0, ('entry',))
        assert changes is not None
        self.assertEqual([m.name for m in changes.members], ['e'])

    def test_reader_gets_the_whole_state_after_forgotten_changes(
        self,
    ) -> None:
        log = CommandLog(ControlSettings(kept_gone_members=2))
        log.join('stays', 'a')
        seen = log.state.version
        for number in range(5):
            log.join(f'm-{number}', 'a')
            log.put(LeaveCommand(f'm-{number}', 'a'))
        changes = self.changes(log, seen)
        self.assertEqual(changes.from_version, 0)
        self.assertEqual(
            [m.name for m in changes.members], ['stays', 'm-3', 'm-4']
        )


class LogTimeTest(unittest.TestCase):
    def test_clocks_of_two_leaders_are_not_compared(self) -> None:
        log = CommandLog(ControlSettings(claim_window_s=1.0))
        command = ClaimCommand('e', 'e-a', '', 1, [('kurek.1.n', b'd', 1)])
        log.put(command, 'first', 5_000)
        newer = replace(command, claims=[('kurek.2.n', b'd', 1)])
        log.put(newer, 'second', 99_000_000)
        query = LookupQuery('e-a', [('kurek.1.n', b'd', 1)])
        self.assertEqual(log.state.look_up(query)[0][1], 'granted')
        newest = replace(command, claims=[('kurek.3.n', b'd', 1)])
        log.put(newest, 'second', 99_002_000)
        self.assertEqual(log.state.look_up(query)[0][1], 'window_passed')
