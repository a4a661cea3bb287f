"""Tests of an agent with a stand-in upstream and fake entries.

They guard against tasks that start twice, or that get no result or a wrong
one, when a process restarts, hangs, fails or loses its connections.
"""

from dataclasses import replace
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import socket
import threading
import unittest

from baobabgap.agent.tests.deployment import agent_settings
from baobabgap.agent.tests.deployment import Deployment
from baobabgap.agent.tests.relay import Relay
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import ResumeTasks
from baobabgap.messages import TaskOutcome
from baobabgap.standin import Behaviour
from baobabgap.webclient import WebClient


class AgentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.entry = self.deployment.entry
        self.entry.wait_until_accepting()
        self.entry.wait(
            lambda: [grant.tokens for grant in self.entry.grants[-1:]] == [4]
        )

    def outcomes(self, count: int) -> dict[str, TaskOutcome]:
        results = self.entry.wait_for_results(count)
        return {result.task: result.outcome for result in results}

    def wait_for_starts(self, count: int) -> None:
        self.entry.wait(
            lambda: self.deployment.upstream.counts()['starts'] >= count
        )

    def assert_started_once(self, *tasks: str) -> None:
        counts = self.deployment.upstream.counts()
        self.assertEqual(0, counts['duplicates'])
        self.assertEqual(
            sorted(tasks), sorted(task for _, task in counts['started'])
        )

    def test_grants_tokens_runs_tasks_and_returns_results(self) -> None:
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 20}, 't2': {}})
        results = self.entry.wait_for_results(2)
        self.assertEqual(
            [TaskOutcome.DONE] * 2, [result.outcome for result in results]
        )
        self.assertEqual(
            {'t1': {'sleep_ms': 20}, 't2': {}},
            {result.task: result.value['echo'] for result in results},
        )
        self.assertTrue(all(result.token_returns for result in results))
        self.assert_started_once('t1', 't2')

    def test_placement_resent_while_running_starts_once(self) -> None:
        """Entries resend placements that they had sent before a reconnect.

        The upstream starts repeated leases again here, so that only the
        agent prevents a second start.
        """
        self.deployment.upstream.set_behaviour(Behaviour(forgetful=True))
        message = self.entry.place('a.1.x', {'t1': {'sleep_ms': 400}})
        self.wait_for_starts(1)
        grants = len(self.entry.grants)
        self.entry.drop_link()
        self.entry.wait(lambda: len(self.entry.grants) > grants)
        self.entry.wait_for_link().send(message)
        self.assertEqual({'t1': TaskOutcome.DONE}, self.outcomes(1))
        self.assert_started_once('t1')

    def test_result_is_sent_after_the_entry_reconnects(self) -> None:
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 100}})
        self.wait_for_starts(1)
        self.entry.drop_link()
        self.assertEqual({'t1': TaskOutcome.DONE}, self.outcomes(1))

    def test_entry_reported_dead_keeps_its_working_link(self) -> None:
        """The control group can't reach the entry, but the agent still can."""
        link = self.entry.wait_for_link()
        entries = self.deployment.entries
        self.deployment.entries = []
        self.deployment.apply()
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 700}})
        self.assertEqual({'t1': TaskOutcome.DONE}, self.outcomes(1))
        self.assertIs(link, self.entry.link)
        self.deployment.entries = entries

    def test_restarted_agent_adopts_running_tasks(self) -> None:
        """A restarted agent has no records of the tasks that still run."""
        old = self.deployment.agent
        link = self.entry.wait_for_link()
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 900}})
        self.wait_for_starts(1)
        old.kill()
        link.close()
        agent = self.deployment.start_agent()
        self.entry.wait(lambda: self.entry.link is not link)
        new_link = self.entry.wait_for_link()
        new_link.send(
            ResumeTasks(old.incarnation, (('a.1.x', 't1'), ('a.1.x', 't2')))
        )
        address = f'127.0.0.1:{agent.http_port}'
        self.deployment.upstream.announce_to(address)
        self.assertEqual(
            {'t1': TaskOutcome.DONE, 't2': TaskOutcome.NOT_STARTED},
            self.outcomes(2),
        )
        self.assert_started_once('t1')

    def test_replaced_agent_process_starts_no_tasks(self) -> None:
        """A process that was suspended resumes after it has been replaced."""
        old, old_link = self.deployment.agent, self.entry.wait_for_link()
        self.addCleanup(old.kill)
        agent = self.deployment.start_agent()
        self.entry.wait(lambda: self.entry.link is not old_link)
        self.deployment.upstream.announce_to(f'127.0.0.1:{agent.http_port}')
        client = WebClient(f'127.0.0.1:{agent.http_port}')
        self.addCleanup(client.close)
        self.entry.wait(
            lambda: client.request('GET', '/ready', timeout_s=10).status == 200
        )
        message = self.entry.place(
            'a.1.x', {'t1': {}}, agent_incarnation='nobody'
        )
        self.assertEqual({'t1': TaskOutcome.LOST}, self.outcomes(1))
        old_link.send(replace(message, agent_incarnation=old.incarnation))
        results = self.entry.wait_for_results(2)
        self.assertIs(TaskOutcome.LOST, results[1].outcome)
        self.assert_started_once()

    def test_frozen_upstream_loses_tasks_and_gets_no_new_ones(self) -> None:
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 300}})
        self.wait_for_starts(1)
        self.deployment.upstream.set_behaviour(Behaviour(frozen=True))
        self.entry.wait_until_accepting(False)
        self.entry.place('a.2.x', {'t2': {}})
        self.assertEqual(
            {'t1': TaskOutcome.LOST, 't2': TaskOutcome.NOT_STARTED},
            self.outcomes(2),
        )
        self.deployment.upstream.set_behaviour(Behaviour())
        self.entry.wait_until_accepting()
        self.assert_started_once('t1')

    def test_an_upstream_that_fails_every_task_is_ejected(self) -> None:
        self.deployment.upstream.set_behaviour(
            Behaviour(fails_every_task=True)
        )
        for number in range(5):
            self.entry.place(f'a.{number}.x', {f't{number}': {}})
            self.entry.wait_for_results(number + 1)
        self.assertEqual({TaskOutcome.FAILED}, set(self.outcomes(5).values()))
        self.entry.wait_until_accepting(False)
        self.deployment.upstream.set_behaviour(Behaviour())
        self.entry.wait_until_accepting()
        self.assertEqual(1, self.entry.offers[-1].slots)
        self.entry.place('a.9.x', {'t9': {'sleep_ms': 1}})
        self.entry.wait(lambda: self.entry.offers[-1].slots == 4)

    def test_vanished_upstream_loses_tasks_and_gets_no_new_ones(self) -> None:
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 600_000}})
        self.wait_for_starts(1)
        self.deployment.upstream.set_behaviour(Behaviour(vanished=True))
        self.entry.wait_until_accepting(False)
        self.assertEqual({'t1': TaskOutcome.LOST}, self.outcomes(1))

    def test_a_restarted_upstream_loses_its_tasks(self) -> None:
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 600_000}})
        self.wait_for_starts(1)
        self.deployment.upstream.set_behaviour(Behaviour(vanished=True))
        self.deployment.start_upstream()
        self.assertEqual({'t1': TaskOutcome.LOST}, self.outcomes(1))
        self.entry.wait_until_accepting()
        self.entry.place('a.2.x', {'t2': {}})
        self.assertIs(TaskOutcome.DONE, self.outcomes(2)['t2'])

    def test_leaving_upstream_stops_accepting_at_once(self) -> None:
        self.deployment.upstream.stop()
        self.entry.wait_until_accepting(False)
        self.assertIn('leaving', self.entry.offers[-1].reason)

    def test_cancelled_tasks_get_results(self) -> None:
        tasks = {f't{number}': {'sleep_ms': 600_000} for number in range(6)}
        self.entry.place('a.1.x', tasks)
        self.wait_for_starts(4)
        self.entry.wait_for_link().send(CancelJobs(('a.1.x',)))
        outcomes = list(self.outcomes(6).values())
        self.assertEqual(4, outcomes.count(TaskOutcome.FAILED))
        self.assertEqual(2, outcomes.count(TaskOutcome.NOT_STARTED))

    def test_a_task_is_stopped_soon_after_its_deadline(self) -> None:
        self.entry.place(
            'a.1.x', {'t1': {'sleep_ms': 600_000}}, deadline_ms=50
        )
        self.assertEqual({'t1': TaskOutcome.FAILED}, self.outcomes(1))

    def test_a_ticket_limits_the_slots(self) -> None:
        self.deployment.apply(**{'upstream/upstream-1': {'slots': 1}})
        self.entry.wait(lambda: self.entry.offers[-1].slots == 1)
        self.deployment.apply(**{'upstream/upstream-1': {'slots': 0}})
        self.entry.wait_until_accepting(False)

    def test_an_evacuated_zone_gets_no_tasks_and_drops_waiting_ones(
        self,
    ) -> None:
        zone = agent_settings().place.availability_zone
        running = {f't{n}': {'sleep_ms': 600} for n in range(4)}
        self.entry.place('a.1.x', running)
        self.wait_for_starts(4)
        self.entry.place('a.2.x', {'waits': {}})
        key = f'evacuation/{zone}'
        self.deployment.apply(**{key: {'evacuated': True}})
        # At once, as the control group is then told that it is in force.
        self.assertFalse(self.deployment.agent._scheduler.offer.accepting)
        outcomes = self.outcomes(5)
        self.assertIs(TaskOutcome.NOT_STARTED, outcomes.pop('waits'))
        self.assertEqual({TaskOutcome.DONE}, set(outcomes.values()))
        self.deployment.apply(**{key: {'evacuated': False}})
        self.entry.wait_until_accepting()

    def test_planned_stop_waits_for_running_tasks(self) -> None:
        self.entry.place('a.1.x', {'t1': {'sleep_ms': 300}})
        self.wait_for_starts(1)
        self.deployment.agent.stop()
        self.assertEqual({'t1': TaskOutcome.DONE}, self.outcomes(1))
        self.assertFalse(self.entry.offers[-1].accepting)

    def test_serves_despite_invalid_input_and_idle_connections(self) -> None:
        """Incomplete requests could occupy all threads of the server."""
        address = ('127.0.0.1', self.deployment.agent.http_port)
        sockets = [socket.create_connection(address) for _ in range(64)]
        for number, opened in enumerate(sockets):
            self.addCleanup(opened.close)
            opened.sendall(b'\xff\x00 garbage\r\n\r\n' if number % 2 else b'P')
        client = WebClient(f'127.0.0.1:{address[1]}')
        self.addCleanup(client.close)
        response = client.request('GET', '/ready', timeout_s=10)
        self.assertEqual(200, response.status)
        self.entry.wait_for_link().send(AcknowledgeResults((('no', 'no'),)))
        self.entry.place('a.1.x', {'t1': {}})
        self.assertEqual({'t1': TaskOutcome.DONE}, self.outcomes(1))


class SilentConnectionTest(unittest.TestCase):
    """Open connections lose all data while new connections work.

    Replies and start requests then get lost without an error on either
    side, and the agent must determine the outcome over new connections.
    """

    def test_finds_ended_tasks_and_undelivered_starts(self) -> None:
        relay = Relay()
        self.addCleanup(relay.close)
        deployment = Deployment(relay=relay)
        self.addCleanup(deployment.stop)
        entry = deployment.entry
        entry.wait_until_accepting()
        entry.place('a.1.x', {'warm': {}, 'warm2': {}})
        entry.wait_for_results(2)
        relay.drop_replies()
        entry.place('a.2.x', {'ended': {'sleep_ms': 50}})
        entry.wait_for_results(3)
        relay.drop_requests()
        entry.place('a.3.x', {'undelivered': {}})
        results = entry.wait_for_results(4)
        self.assertEqual(
            {
                'warm': TaskOutcome.DONE,
                'warm2': TaskOutcome.DONE,
                'ended': TaskOutcome.DONE,
                'undelivered': TaskOutcome.NOT_STARTED,
            },
            {result.task: result.outcome for result in results},
        )
        self.assertEqual(3, deployment.upstream.counts()['starts'])
        self.assertTrue(entry.offers[-1].accepting)


class _InvalidAnswerHandler(BaseHTTPRequestHandler):
    """Answers every request with a JSON document of the wrong schema."""

    def do_GET(self) -> None:
        body = b'{"leases": 3}'
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *values: object) -> None:
        """Suppress the request log."""


class AnnouncementTest(unittest.TestCase):
    def test_invalid_announcements_are_refused_with_a_reason(self) -> None:
        deployment = Deployment()
        self.addCleanup(deployment.stop)
        deployment.entry.wait_until_accepting()
        client = WebClient(f'127.0.0.1:{deployment.agent.http_port}')
        self.addCleanup(client.close)
        good = {
            'name': 'upstream-1',
            'incarnation': 'i',
            'address': '127.0.0.1:1',
            'slots': 4,
            'capacity': {},
        }
        cases = {
            'no object': ([], 400, 'object'),
            'missing field': ({'name': 'a'}, 400, 'incarnation'),
            'no slots': (good | {'slots': 0}, 400, 'slots'),
            'host name': (good | {'address': 'localhost:1'}, 400, 'address'),
            'unknown field': (good | {'speed': 1}, 400, 'speed'),
            'another upstream': (good | {'name': 'u2'}, 409, 'upstream-1'),
        }
        for name, (document, status, word) in cases.items():
            with self.subTest(name):
                response = client.request(
                    'POST', '/v1/upstream/announce', document, timeout_s=10
                )
                self.assertEqual(status, response.status)
                self.assertIn(word, response.document()['error'])
        self.assertTrue(deployment.entry.offers[-1].accepting)

    def test_upstream_with_invalid_answers_gets_no_tasks(self) -> None:
        deployment = Deployment()
        self.addCleanup(deployment.stop)
        entry = deployment.entry
        entry.wait_until_accepting()
        deployment.upstream.set_behaviour(Behaviour(vanished=True))
        server = ThreadingHTTPServer(('127.0.0.1', 0), _InvalidAnswerHandler)
        self.addCleanup(server.server_close)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.shutdown)
        client = WebClient(f'127.0.0.1:{deployment.agent.http_port}')
        self.addCleanup(client.close)
        document = {
            'name': 'upstream-1',
            'incarnation': 'garbage',
            'address': f'127.0.0.1:{server.server_port}',
            'slots': 4,
            'capacity': {},
        }
        path = '/v1/upstream/announce'
        client.request('POST', path, document, timeout_s=10)
        entry.wait_until_accepting(False)
        deployment.start_upstream()
        entry.wait_until_accepting()
