"""Tests that the stand-in upstream follows the upstream protocol."""

from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
import time
from typing import Any
import unittest

from baobabgap.settingsfile import settings_from_document
from baobabgap.standin import Behaviour
from baobabgap.standin import StandInUpstream
from baobabgap.webclient import WebClient
from baobabgap.webclient import WebResponse

_TIMEOUT_S = 20.0


class StandInTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = settings_from_document(
            {
                'role': 'stand-in',
                'name': 'up',
                # No process listens on this port.
                'stand_in': {'slots': 2, 'agent_address': '127.0.0.1:1'},
            },
            source='test',
        )
        self.upstream = StandInUpstream.from_settings(settings)
        self.upstream.start()
        self.addCleanup(self.upstream.stop)
        self.upstream.bind('agent', is_sole=True)
        self.pool = ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown)

    def request(
        self, method: str, path: str, document: Any = None
    ) -> WebResponse:
        client = WebClient(f'127.0.0.1:{self.upstream.http_port}')
        try:
            return client.request(method, path, document, timeout_s=_TIMEOUT_S)
        finally:
            client.close()

    def lease(self, name: str, **changes: Any) -> dict[str, Any]:
        return {
            'lease': name,
            'agent_incarnation': 'agent',
            'upstream_incarnation': self.upstream.incarnation,
            'owner': 'entry-a/1',
            'kind': 'test',
            'lease_s': 30.0,
            'payload': {'sleep_ms': 600_000},
        } | changes

    def start(self, name: str, **changes: Any) -> 'Future[WebResponse]':
        """Request a start and wait until the lease is listed or answered."""
        future = self.pool.submit(
            self.request, 'POST', '/v1/leases', self.lease(name, **changes)
        )
        deadline = time.monotonic() + _TIMEOUT_S
        while not future.done() and name not in self.listed_leases():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)
        return future

    def listed_leases(self) -> set[str]:
        listing = self.request('GET', '/v1/leases').document()
        return {lease['lease'] for lease in listing['leases']}

    def end_state(self, future: 'Future[WebResponse]') -> str:
        return str(future.result(_TIMEOUT_S).document()['state'])

    def control(self, action: str, *leases: str, **more: Any) -> Any:
        document = {'agent_incarnation': 'agent', 'leases': leases} | more
        path = f'/v1/leases/{action}'
        return self.request('POST', path, document).document()

    def test_refused_starts(self) -> None:
        self.start('j/1')
        self.start('j/2')
        cases = {
            'all slots taken': (self.lease('j/3'), 429),
            'older agent': (self.lease('j/3', agent_incarnation='old'), 409),
            'other upstream': (
                self.lease('j/3', upstream_incarnation='old'),
                409,
            ),
            'no lease': ({'kind': 'test'}, 400),
            'no slash': (self.lease('j3'), 400),
            'no number': (self.lease('j/3', lease_s='long'), 400),
            'no JSON object': ([1], 400),
        }
        for name, (document, status) in cases.items():
            with self.subTest(name):
                answer = self.request('POST', '/v1/leases', document)
                self.assertEqual(status, answer.status)
                self.assertTrue(answer.document()['error'])
        self.assertEqual({'j/1', 'j/2'}, self.listed_leases())
        self.control('stop', 'j/1', 'j/2')

    def test_a_lease_starts_once_and_repeats_join_it(self) -> None:
        first = self.start('j/1')
        second = self.start('j/1')
        self.control('stop', 'j/1')
        states = {self.end_state(first), self.end_state(second)}
        self.assertEqual({'stopped'}, states)
        self.assertEqual('stopped', self.end_state(self.start('j/1')))
        counts = self.request('GET', '/stand-in/counts').document()
        self.assertEqual(1, counts['starts'])
        self.assertEqual([['j', '1']], counts['started'])

    def test_a_forgetful_upstream_counts_duplicates(self) -> None:
        self.upstream.set_behaviour(
            Behaviour(forgetful=True, answers_at_once=True)
        )
        self.assertEqual('done', self.end_state(self.start('j/1')))
        self.assertEqual('done', self.end_state(self.start('j/1')))
        self.assertEqual(1, self.upstream.counts()['duplicates'])

    def test_a_revoked_lease_never_starts(self) -> None:
        self.control('stop', 'j/1')
        self.assertEqual('revoked', self.end_state(self.start('j/1')))
        self.assertEqual(0, self.upstream.counts()['starts'])

    def test_a_lease_lapses_unless_it_is_renewed(self) -> None:
        lapsing = self.start('j/1', lease_s=0.2)
        renewed = self.start('j/2', lease_s=0.2)
        report = self.control('renew', 'j/2', 'j/9', lease_s=30.0)
        self.assertEqual(['j/2'], report['running'])
        self.assertEqual(['j/9'], report['unknown'])
        self.assertEqual('lapsed', self.end_state(lapsing))
        self.assertFalse(renewed.done())
        self.control('stop', 'j/2')

    def test_throttle_and_checkpoint(self) -> None:
        throttled = self.start('j/1', payload={'sleep_ms': 300})
        self.control('throttle', 'j/1', share=0.001)
        done = self.control('checkpoint', 'j/1')['progress']['j/1']
        self.assertLess(done, 0.5)
        self.assertFalse(throttled.done())
        self.control('stop', 'j/1')

    def test_an_ended_lease_is_listed_until_it_is_acknowledged(self) -> None:
        self.upstream.set_behaviour(Behaviour(answers_at_once=True))
        for name in ('j/1', 'j/2'):
            self.end_state(self.start(name))
        self.assertEqual({'j/1', 'j/2'}, self.listed_leases())
        self.request('DELETE', '/v1/leases/j/1')
        self.assertEqual({'j/2'}, self.listed_leases())

    def test_bad_behaviour_is_refused(self) -> None:
        for name, body in {
            'unknown': {'explode': True},
            'negative': {'slowness': -1},
            'no object': 3,
        }.items():
            with self.subTest(name):
                answer = self.request('POST', '/stand-in/behaviour', body)
                self.assertEqual(400, answer.status)
