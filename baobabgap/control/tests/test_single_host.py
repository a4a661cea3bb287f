"""End-to-end tests of one control host with members."""

from baobabgap.control.tests._group import claim
from baobabgap.control.tests._group import GroupTest
from baobabgap.control.tests._group import WAIT_LIMIT_S
from baobabgap.messages import ClaimStatus
from baobabgap.messages import TicketStatus
from baobabgap.webclient import WebClient


class SingleHostTest(GroupTest):
    def test_claim_of_another_entry_is_owned(self) -> None:
        first = self.member('entry', 'entry-1')
        second = self.member('entry', 'entry-2')
        job = 'kurek.1000.heat-4'
        granted = first.client.claim(claim(job)).result(WAIT_LIMIT_S)
        self.assertIs(granted.status, ClaimStatus.GRANTED)
        owned = second.client.claim(claim(job)).result(WAIT_LIMIT_S)
        self.assertIs(owned.status, ClaimStatus.OWNED)
        self.assertEqual(owned.owner, 'entry-1')
        looked = second.client.look_up(claim(job, b'')).result(WAIT_LIMIT_S)
        self.assertIs(looked.status, ClaimStatus.OWNED)

    def test_released_job_is_unclaimed_again(self) -> None:
        first = self.member('entry', 'entry-1')
        second = self.member('entry', 'entry-2')
        job = 'kurek.1000.heat-4'
        first.client.claim(claim(job)).result(WAIT_LIMIT_S)
        first.client.release([job])

        def is_unclaimed() -> bool:
            found = second.client.look_up(claim(job)).result(WAIT_LIMIT_S)
            return found.status is ClaimStatus.UNCLAIMED

        self.wait_until(is_unclaimed, 'the release is applied')

    def test_each_of_many_concurrent_claims_gets_its_own_outcome(self) -> None:
        entry = self.member('entry', 'entry-1')
        futures = {
            f'kurek.{number}.n': entry.client.claim(claim(f'kurek.{number}.n'))
            for number in range(1, 1001)
        }
        for job, future in futures.items():
            self.assertEqual(future.result(WAIT_LIMIT_S).job, job)

    def test_ticket_reaches_members(self) -> None:
        agent = self.member('agent', 'agent-1')
        tool = self.member('tool', 'tool-1')
        state = {'quota/rowing': {'tasks_per_second': 5}}
        outcome = tool.client.put_ticket(1, state).result(WAIT_LIMIT_S)
        self.assertIs(outcome.status, TicketStatus.ACCEPTED)
        self.wait_until(
            lambda: agent.client.version >= outcome.version,
            'the ticket is in force at the agent',
        )
        self.assertEqual(
            agent.value_by_key['quota/rowing'], {'tasks_per_second': 5}
        )
        history = tool.client.query('tickets').result(WAIT_LIMIT_S)
        self.assertEqual(history['tickets'][0]['number'], 1)

        def shown_version() -> int:
            page = tool.client.query('members').result(WAIT_LIMIT_S)
            version_by_name = {
                row['name']: row['version_in_force'] or 0
                for row in page['members']
            }
            return version_by_name.get('agent-1', 0)

        self.wait_until(
            lambda: shown_version() >= outcome.version,
            'the members page shows the version in force',
        )

    def test_joins_leaves_and_failures_reach_subscribers(self) -> None:
        entry = self.member('entry', 'entry-1')
        leaving = self.member('agent', 'agent-1')
        failing = self.member('agent', 'agent-2')
        self.wait_until(
            lambda: (
                entry.alive_by_name.get('agent-1', False)
                and entry.alive_by_name.get('agent-2', False)
            ),
            'both joins arrive',
        )
        leaving.client.stop()
        failing.client.stop(leaving=False)
        self.wait_until(
            lambda: (
                not entry.alive_by_name['agent-1']
                and not entry.alive_by_name['agent-2']
            ),
            'the leave and the failure arrive',
        )

    def test_health_and_metrics_are_served(self) -> None:
        host = self.host_by_name['control-1']
        web = WebClient(f'127.0.0.1:{host.http_port}')
        self.addCleanup(web.close)
        self.wait_until(lambda: host.is_ready, 'the host is ready')
        for path in ('/health', '/ready', '/metrics'):
            with self.subTest(path):
                response = web.request('GET', path, timeout_s=5.0)
                self.assertEqual(response.status, 200)
