"""Tests of a group of three control hosts with members.

They guard against a failover, of the leader or of a member's host, that
loses a claim or a ticket, grants a job twice or shows a member that is
alive as gone.
"""

from baobabgap.control._client_errors import ControlUnavailableError
from baobabgap.control._host import ControlHostProcess
from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import GroupTest
from baobabgap.control.tests._group import WAIT_LIMIT_S
from baobabgap.messages import ClaimStatus
from baobabgap.messages import TicketStatus

QUOTA = 'quota/rowing'


class ThreeHostsTest(GroupTest):
    host_count = 3

    def leader(self) -> str:
        """Return the name of the host that leads, once all agree."""
        found: list[str] = []

        def all_agree() -> bool:
            found[:] = [
                host.status()['log']['leader']
                for host in self.host_by_name.values()
            ]
            return bool(found[0]) and len(set(found)) == 1

        self.wait_until(all_agree, 'all hosts name the same leader')
        return found[0]

    def followers(self) -> list[str]:
        leader = self.leader()
        return [name for name in self.host_by_name if name != leader]

    def host(self, name: str) -> ControlHostProcess:
        return self.host_by_name[name]

    def test_claims_of_two_entries_through_two_followers(self) -> None:
        one, two = self.followers()
        first = self.member('agent', 'any-1', '', self.settings_for(one))
        second = self.member('agent', 'any-2', '', self.settings_for(two))
        jobs = [f'kurek.{number}.n' for number in range(1, 51)]
        futures = [
            (first.client.claim(claim(job)), second.client.claim(claim(job)))
            for job in jobs
        ]
        for pair in futures:
            statuses = [each.result(WAIT_LIMIT_S).status for each in pair]
            self.assertEqual(
                sorted(statuses), [ClaimStatus.GRANTED, ClaimStatus.OWNED]
            )

    def test_racing_tickets_with_one_number(self) -> None:
        one, two = self.followers()
        first = self.member('tool', 'tool-1', '', self.settings_for(one))
        second = self.member('tool', 'tool-2', '', self.settings_for(two))
        for number in range(1, 11):
            states = [
                {QUOTA: {'tasks_per_second': value}}
                for value in (number, 1000 + number)
            ]
            futures = [
                first.client.put_ticket(number, states[0]),
                second.client.put_ticket(number, states[1]),
            ]
            outcomes = [each.result(WAIT_LIMIT_S) for each in futures]
            statuses = [outcome.status for outcome in outcomes]
            self.assertEqual(
                sorted(statuses), [TicketStatus.ACCEPTED, TicketStatus.LOST]
            )
            accepted = statuses.index(TicketStatus.ACCEPTED)
            self.assertEqual(outcomes[1 - accepted].winner, states[accepted])

    def test_ticket_resent_after_a_change_of_leader(self) -> None:
        tool = self.member('tool', 'tool-1')
        state = {QUOTA: {'tasks_per_second': 5}}
        first = tool.client.put_ticket(3, state).result(WAIT_LIMIT_S)
        self.assertIs(first.status, TicketStatus.ACCEPTED)
        tool.client.put_ticket(4, state).result(WAIT_LIMIT_S)
        self.stop_host(self.leader())
        self.leader()
        again = tool.client.put_ticket(3, state).result(WAIT_LIMIT_S)
        self.assertEqual(again.version, first.version)
        self.assertEqual(again.message, first.message)

    def test_claims_go_on_while_the_leader_stops(self) -> None:
        entry = self.member('entry', 'entry-1')
        leader = self.leader()
        futures = []
        for number in range(1, 401):
            if number == 200:
                self.pool.submit(self.stop_host, leader)
            futures.append(entry.client.claim(claim(f'kurek.{number}.n')))
            self.pause(0.002)
        for future in futures:
            outcome = future.result(WAIT_LIMIT_S)
            self.assertIs(outcome.status, ClaimStatus.GRANTED)

    def test_entry_connects_to_the_leader(self) -> None:
        leader = self.leader()
        entry = self.member('entry', 'entry-1')
        self.wait_until(
            lambda: entry.client.peer == leader, 'the entry has moved'
        )

    def test_member_that_fails_over_stays_alive(self) -> None:
        watcher = self.member('entry', 'entry-1')
        agent = self.member('agent', 'agent-1')
        self.wait_until(
            lambda: watcher.alive_by_name.get('agent-1', False),
            'the join arrives',
        )
        before = len(watcher.changes)
        self.stop_host(agent.client.peer)
        self.wait_until(
            lambda: agent.client.is_connected, 'the agent has failed over'
        )
        self.pause(2.5)
        changed_names = [
            record.name
            for changes in watcher.changes[before:]
            for record in changes.members
            if changes.from_version
        ]
        self.assertNotIn('agent-1', changed_names)
        self.assertTrue(watcher.alive_by_name['agent-1'])

    def test_member_that_fails_together_with_its_host(self) -> None:
        one, two = self.followers()
        watcher = self.member('entry', 'entry-1', '', self.settings_for(one))
        agent = self.member('agent', 'agent-1', '', self.settings_for(two))
        self.wait_until(
            lambda: watcher.alive_by_name.get('agent-1', False),
            'the join arrives',
        )
        self.stop_host(two)
        agent.client.stop(leaving=False)
        self.wait_until(
            lambda: not watcher.alive_by_name['agent-1'],
            'the leader has recorded the failure',
        )

    def test_host_that_restarts_far_behind_catches_up(self) -> None:
        tool = self.member('tool', 'tool-1')
        (name,) = self.followers()[:1]
        self.stop_host(name)
        for number in range(1, 301):
            value = {QUOTA: {'tasks_per_second': number}}
            tool.client.put_ticket(number, value).result(WAIT_LIMIT_S)
        self.start_host(name)
        late = self.member('agent', 'agent-1', '', self.settings_for(name))
        self.wait_until(
            lambda: late.value_by_key.get(QUOTA) == {'tasks_per_second': 300},
            'the newest state is in force at a member of that host',
        )
        self.assertLess(len(late.changes), 50)

    def test_superseded_process_is_told(self) -> None:
        one, two = self.followers()
        old = self.member('agent', 'agent-1', 'old', self.settings_for(one))
        self.wait_until(lambda: old.client.version > 0, 'the first joins')
        new = self.member('agent', 'agent-1', 'new', self.settings_for(two))
        self.wait_until(
            lambda: old.client.is_superseded, 'the first one is told'
        )
        self.assertFalse(new.client.is_superseded)

    def test_minority_refuses_and_its_members_fail_over(self) -> None:
        leader = self.leader()
        one, two = self.followers()
        entry = self.member('entry', 'entry-1')
        tool = self.member('tool', 'tool-1', '', self.settings_for(leader))
        self.wait_until(
            lambda: entry.client.peer == leader, 'the entry has moved'
        )
        for name in (one, two):
            self.stop_host(name)
        with self.assertRaises(ControlUnavailableError):
            tool.client.put_ticket(1, {QUOTA: {'tasks_per_second': 1}}).result(
                WAIT_LIMIT_S
            )
        self.wait_until(
            lambda: not self.host(leader).is_ready, 'the host is not ready'
        )
        page = self.host(leader).status()
        self.assertEqual(page['newest_ticket'], 0)
        for name in (one, two):
            self.start_host(name)
        outcome = entry.client.claim(claim('kurek.1.n'))
        self.assertIs(outcome.result(WAIT_LIMIT_S).status, ClaimStatus.GRANTED)
