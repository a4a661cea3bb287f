"""Elections, votes and leadership transfer.

Guards against stale reads from a replaced leader, votes that are lost in
a crash, and elections that a host causes when it returns.
"""

import time
import unittest

from baobabgap.replication import NotLeader
from baobabgap.replication import OutcomeUnknown
from baobabgap.replication._messages import VoteRequest
from baobabgap.replication.tests._group import ELECTION_TIMEOUT_S
from baobabgap.replication.tests._group import Group
from baobabgap.replication.tests._group import Host
from baobabgap.replication.tests._group import WAIT_LIMIT_S
from baobabgap.replication.tests._group import wait_until

# Long enough for a host to start several elections.
SEVERAL_ELECTIONS_S = 6 * ELECTION_TIMEOUT_S


class ElectionTest(unittest.TestCase):
    def make_group(self, size: int = 3) -> Group:
        group = Group(size)
        self.addCleanup(group.close)
        group.start()
        group.propose(b'first')
        group.wait_for_commands()
        return group

    def ask_for_vote(
        self,
        host: Host,
        store: str,
        answers: list[bool],
        pre_vote: bool = False,
    ) -> None:
        """Request a vote as a candidate of a much later term."""
        request = VoteRequest(
            group=host.running._state.membership.group,
            term=1000,
            store=store,
            last_index=1000,
            last_term=1000,
            pre_vote=pre_vote,
            transfer=True,
        )
        log = host.running
        with log._state.lock:
            log._election.handle_vote_request(
                request, lambda answer: answers.append(answer.granted)
            )

    def test_another_host_leads_after_leader_is_killed(self) -> None:
        for size in (3, 5):
            with self.subTest(size=size):
                group = self.make_group(size)
                old = group.leader()
                old.kill()
                group.propose(b'second')
                old.start()
                group.wait_for_commands()

    def test_isolated_host_returns_without_an_election(self) -> None:
        group = self.make_group()
        leader = group.leader()
        isolated = group.followers()[0]
        term = leader.running.status().term
        group.isolate(isolated)
        time.sleep(SEVERAL_ELECTIONS_S)
        self.assertEqual(term, isolated.running.status().term)
        group.heal()
        group.propose(b'second')
        group.wait_for_commands()
        self.assertIs(leader, group.leader())
        self.assertEqual(term, leader.running.status().term)

    def test_leader_that_hears_no_majority_stands_down(self) -> None:
        group = self.make_group()
        old = group.leader()
        others = group.followers()
        group.isolate(old, silently=True)
        future = old.running.propose(b'lost')
        read = old.running.read_barrier()
        wait_until(
            lambda: not old.running.is_leader, 'the old leader steps down'
        )
        with self.assertRaises(OutcomeUnknown):
            future.result(WAIT_LIMIT_S)
        with self.assertRaises(NotLeader):
            read.result(WAIT_LIMIT_S)
        with self.assertRaises(NotLeader):
            old.running.propose(b'refused').result(WAIT_LIMIT_S)
        new = group.leader(others)
        new.running.propose(b'kept').result(WAIT_LIMIT_S)
        group.heal()
        group.wait_for_commands()
        self.assertEqual([b'first', b'kept'], new.machine.commands)

    def test_frozen_leader_serves_no_stale_read(self) -> None:
        group = self.make_group()
        old = group.leader()
        others = group.followers()
        with old.running._state.lock:
            new = group.leader(others)
            new.running.propose(b'second').result(WAIT_LIMIT_S)
            read = old.running.read_barrier()
        with self.assertRaises(NotLeader):
            read.result(WAIT_LIMIT_S)
        group.wait_for_commands()

    def test_vote_is_synced_before_it_is_answered(self) -> None:
        group = self.make_group()
        host = group.followers()[0]
        group.isolate(host)
        host.folder.sync_gate.clear()
        answers: list[bool] = []
        self.ask_for_vote(host, 'one', answers)
        time.sleep(ELECTION_TIMEOUT_S)
        self.assertEqual([], answers)
        host.folder.sync_gate.set()
        wait_until(lambda: answers == [True], 'the vote')

    def test_host_that_cannot_sync_does_not_vote(self) -> None:
        group = self.make_group()
        host = group.followers()[0]
        host.folder.sync_fails = True
        group.leader().running.propose(b'second').result(WAIT_LIMIT_S)
        wait_until(
            lambda: not host.running.status().storage_ok, 'sync has failed'
        )
        group.isolate(host)
        time.sleep(2 * ELECTION_TIMEOUT_S)
        answers: list[bool] = []
        self.ask_for_vote(host, 'one', answers, pre_vote=True)
        self.ask_for_vote(host, 'one', answers)
        time.sleep(ELECTION_TIMEOUT_S)
        self.assertEqual([False], answers)
        host.folder.sync_fails = False
        wait_until(
            lambda: host.running.status().storage_ok, 'sync works again'
        )
        self.ask_for_vote(host, 'one', answers)
        wait_until(lambda: answers == [False, True], 'the vote')

    def test_one_vote_in_a_term_also_after_a_crash(self) -> None:
        group = self.make_group()
        host = group.followers()[0]
        answers: list[bool] = []

        def ask(store: str) -> None:
            count = len(answers)
            self.ask_for_vote(host, store, answers)
            wait_until(lambda: len(answers) > count, 'an answer')

        group.isolate(host)
        ask('one')
        ask('other')
        host.kill()
        host.start()
        ask('other')
        ask('one')
        self.assertEqual([True, False, False, True], answers)

    def test_leadership_moves_before_a_planned_stop(self) -> None:
        group = self.make_group()
        old = group.leader()
        others = group.followers()
        self.assertFalse(others[0].running.transfer_leadership())
        term = old.running.status().term
        old.running.stop()
        old.log = None
        leaders = [host for host in others if host.running.is_leader]
        self.assertEqual(1, len(leaders))
        self.assertEqual(term + 1, leaders[0].running.status().term)
        old.start()
        group.propose(b'second')
        group.wait_for_commands()
