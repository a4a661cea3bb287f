"""Tests of the HTTP interface against a fake entry."""

import json
import threading
import time
from typing import Any
from typing import Final
import unittest

from eliot import MemoryLogger
from eliot.testing import swap_logger
from werkzeug.test import Client
from werkzeug.test import TestResponse

from baobabgap import ConnectionLost
from baobabgap.api import create_application
from baobabgap.api.tests.fake_service import failed_answer
from baobabgap.api.tests.fake_service import FakeService
from baobabgap.api.tests.fake_service import JOB_ID
from baobabgap.api.tests.fake_service import WHOLE_ANSWER
from baobabgap.jobs import FailureCode
from baobabgap.jobs import Ran
from baobabgap.messages import TicketStatus

_LARGEST_BODY_BYTES: Final = 65536


def _job_document(**changes: Any) -> dict[str, Any]:
    document: dict[str, Any] = {
        'identifier': JOB_ID,
        'team': 'rowing',
        'deadline_ms': 2000,
        'tasks': [{'identifier': 't1', 'kind': 'seat', 'run_time_ms': 60}],
    }
    document.update(changes)
    return document


class _ApplicationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = FakeService()
        application = create_application(self.service, _LARGEST_BODY_BYTES, 2)
        self.client = Client(application)


class TestJobs(_ApplicationTest):
    """A submitted job gets either all its results or a single failure."""

    def test_whole_answer(self) -> None:
        response = self.client.post('/v1/jobs', json=_job_document())
        self.assertEqual(200, response.status_code)
        expected = {
            'identifier': JOB_ID,
            'state': 'whole',
            'results': [{'task': 't1', 'value': {'seat': 3}}],
        }
        self.assertEqual(expected, response.json)

    def test_each_failure_has_a_status(self) -> None:
        statuses = {
            'invalid': 400,
            'conflict': 409,
            'too_large': 413,
            'never_fits': 422,
            'unknown_team': 403,
            'unknown_job': 404,
            'over_quota': 429,
            'overloaded': 503,
            'draining': 503,
            'no_upstream': 503,
            'control_unavailable': 503,
            'deadline': 504,
            'cancelled': 409,
            'task_failed': 502,
            'task_lost': 502,
            'owner_lost': 502,
            'window_passed': 410,
            'internal': 500,
        }
        self.assertEqual({code.value for code in FailureCode}, set(statuses))
        for name, status in statuses.items():
            for ran in Ran:
                with self.subTest(name, ran=ran):
                    self.service.answer = failed_answer(FailureCode(name), ran)
                    response = self.client.post(
                        '/v1/jobs', json=_job_document()
                    )
                    self.assertEqual(status, response.status_code)
                    document: Any = response.json
                    refused = document['state'] == 'refused'
                    self.assertEqual(ran is Ran.NO, refused)
                    self.assertEqual(name, document['error']['code'])
                    self.assertEqual('agent-1', document['error']['peer'])
                    self.assertNotIn('Retry-After', response.headers)

    def test_retry_after_is_rounded_up(self) -> None:
        for seconds, header in ((0.02, '1'), (1.0, '1'), (2.1, '3')):
            with self.subTest(seconds):
                self.service.answer = failed_answer(
                    FailureCode.OVERLOADED, Ran.NO, seconds
                )
                response = self.client.post('/v1/jobs', json=_job_document())
                self.assertEqual(header, response.headers['Retry-After'])

    def test_pending(self) -> None:
        self.service.answer = None
        expected = {'identifier': JOB_ID, 'state': 'pending'}
        cases = {
            'no wait': ('POST', '/v1/jobs?wait=no', _job_document()),
            'fetch': ('GET', f'/v1/jobs/{JOB_ID}?wait_ms=1', None),
        }
        for name, (method, path, document) in cases.items():
            with self.subTest(name):
                response = self.client.open(path, method=method, json=document)
                self.assertEqual(202, response.status_code)
                self.assertEqual(expected, response.json)
        self.assertEqual([JOB_ID], self.service.awaited_claims)

    def test_fetch_and_cancel(self) -> None:
        cancelled = failed_answer(FailureCode.CANCELLED, Ran.UNKNOWN)
        unknown = failed_answer(FailureCode.UNKNOWN_JOB)
        cases: dict[str, tuple[str, Any, int]] = {
            'fetch whole': ('GET', WHOLE_ANSWER, 200),
            'fetch unknown': ('GET', unknown, 404),
            'fetch cancelled': ('GET', cancelled, 409),
            'cancel': ('DELETE', cancelled, 200),
            'cancel ended': ('DELETE', WHOLE_ANSWER, 200),
            'cancel unknown': ('DELETE', unknown, 404),
        }
        for name, (method, answer, status) in cases.items():
            with self.subTest(name):
                self.service.answer = answer
                response = self.client.open(
                    f'/v1/jobs/{JOB_ID}', method=method
                )
                self.assertEqual(status, response.status_code)

    def test_threads_remain_for_health_checks(self) -> None:
        """Requests beyond the limit don't take the last threads.

        Waiting requests that hold every thread would fail the health
        check. A request above the limit reports `ran` as `no` only if its
        job is new, as `unknown` if the job runs, and the stored answer if
        it has ended.
        """
        self.service.answer = None
        waiting_threads = [
            threading.Thread(target=self._submit, daemon=True)
            for _ in range(2)
        ]
        for thread in waiting_threads:
            thread.start()
        while len(self.service.submissions) < 2:
            time.sleep(0.001)
        unknown = failed_answer(FailureCode.UNKNOWN_JOB)
        cases: dict[str, tuple[Any, int, str, str]] = {
            'new job': (unknown, 503, 'refused', 'no'),
            'running job': (None, 503, 'failed', 'unknown'),
            'ended job': (WHOLE_ANSWER, 200, 'whole', ''),
        }
        for name, (answer, status, state, ran) in cases.items():
            with self.subTest(name):
                self.service.answer = answer
                response = self._submit()
                document: Any = response.json
                self.assertEqual(status, response.status_code)
                self.assertEqual(state, document['state'])
                error = document.get('error', {})
                self.assertEqual(ran, error.get('ran', ''))
                self.assertEqual(status == 503, _asks_to_retry(response))
        self.service.answer = None
        response = self.client.get(f'/v1/jobs/{JOB_ID}?wait_ms=60000')
        self.assertEqual(202, response.status_code)
        self.assertEqual(200, self.client.get('/health').status_code)
        self.assertEqual(2, len(self.service.submissions))

    def _submit(self) -> TestResponse:
        document = _job_document(deadline_ms=60_000)
        return self.client.post('/v1/jobs', json=document)

    def test_log_action_belongs_to_the_request(self) -> None:
        logger = self._capture_log()
        self.client.post('/v1/jobs', json=_job_document())
        started = logger.messages[0]
        self.assertEqual(JOB_ID, started['job'])
        task_uuid = self.service.log_actions[0].partition('@')[0]
        self.assertEqual(started['task_uuid'], task_uuid)

    def test_internal_error_is_answered(self) -> None:
        logger = self._capture_log()
        self.service.error = ZeroDivisionError('fault')
        response = self.client.post('/v1/jobs', json=_job_document())
        self.assertEqual(500, response.status_code)
        document: Any = response.json
        self.assertEqual('unknown', document['error']['ran'])
        self.assertEqual(1, len(logger.flush_tracebacks(ZeroDivisionError)))

    def _capture_log(self) -> MemoryLogger:
        logger = MemoryLogger()
        self.addCleanup(swap_logger, swap_logger(logger))
        return logger


class TestBadInput(_ApplicationTest):
    """Invalid requests are refused with a reason and submit no job."""

    def test_refuses(self) -> None:
        too_many_tasks = [
            {'identifier': f't{n}', 'kind': 'k'} for n in range(1001)
        ]
        duplicate_tasks = [{'identifier': 't', 'kind': 'k'}] * 2
        no_deadline = _job_document()
        del no_deadline['deadline_ms']
        bodies: dict[str, tuple[bytes, str]] = {
            'broken': (b'{"identifier": ', 'not JSON'),
            'empty': (b'', 'not JSON'),
            'not UTF-8': (b'\xff\xfe{', 'not JSON'),
            'deep': (b'[' * 60_000, 'nested'),
            'long number': (b'9' * 5000, 'not JSON'),
            'half pair': (b'{"a": "\\ud800"}', 'surrogate'),
            'list': (b'[]', 'job'),
            '1001 tasks': (
                _encode_json(_job_document(tasks=too_many_tasks)),
                'at most 1000',
            ),
            'no tasks': (_encode_json(_job_document(tasks=[])), 'at least 1'),
            'twice': (
                _encode_json(_job_document(tasks=duplicate_tasks)),
                'used twice',
            ),
            'types': (
                _encode_json(_job_document(deadline_ms='5')),
                'deadline_ms',
            ),
            'no deadline': (_encode_json(no_deadline), 'deadline_ms'),
            'past': (
                _encode_json(_job_document(deadline_ms=-1)),
                'deadline_ms',
            ),
        }
        for name, (body, expected) in bodies.items():
            with self.subTest(name):
                self._assert_refused(400, 'invalid', expected, data=body)

    def test_refuses_by_route_and_header(self) -> None:
        body = _encode_json(_job_document())
        large = b' ' * (_LARGEST_BODY_BYTES + 1)
        self._assert_refused(413, 'too_large', 'bytes', data=large)
        self._assert_refused(
            415, 'invalid', 'type', data=body, content_type='a/b'
        )
        self._assert_refused(
            415, 'invalid', 'type', data=body, content_type=''
        )
        self._assert_refused(404, 'invalid', 'GET /x', method='GET', path='/x')
        self._assert_refused(
            405, 'invalid', 'POST', method='GET', path='/v1/jobs'
        )
        self._assert_refused(
            400,
            'invalid',
            'wait_ms',
            method='GET',
            path=f'/v1/jobs/{JOB_ID}?wait_ms=b',
        )
        for method in ('GET', 'DELETE'):
            self._assert_refused(
                400, 'invalid', 'identifier', method=method, path='/v1/jobs/x'
            )
        self._assert_refused(
            404, 'invalid', 'members', method='GET', path='/v1/control/a'
        )
        tickets: list[Any] = [[], {'number': 0, 'state': {}}, {'number': 1}]
        for ticket in tickets:
            self._assert_refused(
                400,
                'invalid',
                'ticket',
                path='/v1/tickets',
                data=_encode_json(ticket),
            )
        self.assertEqual([], self.service.tickets)

    def _assert_refused(
        self,
        status: int,
        code: str,
        expected: str,
        method: str = 'POST',
        path: str = '/v1/jobs',
        data: bytes = b'',
        content_type: str = 'application/json',
    ) -> None:
        response = self.client.open(
            path, method=method, data=data, content_type=content_type
        )
        document: Any = response.json
        self.assertEqual(status, response.status_code, document)
        self.assertEqual('refused', document['state'])
        self.assertEqual(code, document['error']['code'])
        self.assertIn(expected, document['error']['message'])
        self.assertEqual([], self.service.submissions)


class TestOperators(_ApplicationTest):
    """Tickets, control pages, health checks and draining."""

    def test_ticket(self) -> None:
        state = {'quota/rowing': {'tasks_per_second': 5}}
        for status, http_status in (
            ('accepted', 200),
            ('lost', 409),
            ('stale', 409),
        ):
            with self.subTest(status):
                self.service.ticket_status = TicketStatus(status)
                response = self.client.post(
                    '/v1/tickets', json={'number': 4, 'state': state}
                )
                document: Any = response.json
                self.assertEqual(http_status, response.status_code)
                self.assertEqual(status, document['status'])
        self.assertEqual((4, state), self.service.tickets[0])

    def test_control_unavailable(self) -> None:
        self.service.error = ConnectionLost('gone', step='dial', peer='c-1')
        ticket = {'number': 4, 'state': {'policy': {}}}
        response = self.client.post('/v1/tickets', json=ticket)
        self.assertEqual(503, response.status_code)
        document: Any = response.json
        self.assertEqual('unknown', document['error']['ran'])
        response = self.client.get('/v1/control/members')
        document = response.json
        self.assertEqual(503, response.status_code)
        self.assertEqual('c-1', document['error']['peer'])

    def test_drain_fails_the_health_check(self) -> None:
        self.assertEqual(200, self.client.get('/health').status_code)
        self.assertEqual(200, self.client.get('/ready').status_code)
        self.assertEqual(202, self.client.post('/v1/drain').status_code)
        self.assertEqual(503, self.client.get('/health').status_code)

    def test_pages(self) -> None:
        page = self.client.get('/v1/control/members')
        self.assertEqual({'topic': 'members'}, page.json)
        self.service.metrics.count('baobabgap_jobs_total{end="whole"}')
        text = self.client.get('/metrics').text
        self.assertIn('baobabgap_jobs_total{end="whole"} 1', text)


def _asks_to_retry(response: TestResponse) -> bool:
    return response.headers.get('Retry-After') == '1'


def _encode_json(document: Any) -> bytes:
    return json.dumps(document).encode()
