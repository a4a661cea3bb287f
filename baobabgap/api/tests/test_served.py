"""Tests of the HTTP interface on a real port, with malformed requests."""

from concurrent.futures import ThreadPoolExecutor
import json
import socket
from typing import Any
from typing import Final
import unittest

from baobabgap.api import create_application
from baobabgap.api.tests.fake_service import FakeService
from baobabgap.api.tests.fake_service import JOB_ID
from baobabgap.web import WebServer
from baobabgap.webclient import WebClient

_LARGEST_BODY_BYTES: Final = 4096
_READ_TIMEOUT_S: Final = 1
_TIMEOUT_S: Final = 20.0
_BODY: Final = json.dumps(
    {
        'identifier': JOB_ID,
        'team': 'rowing',
        'deadline_ms': 2000,
        'tasks': [{'identifier': 't1', 'kind': 'seat'}],
    }
).encode()
_HEAD: Final = (
    b'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n'
)


class TestServed(unittest.TestCase):
    """Malformed requests get JSON errors; the next request is served."""

    def setUp(self) -> None:
        self.service = FakeService()
        self._pool = ThreadPoolExecutor(4)
        application = create_application(self.service, _LARGEST_BODY_BYTES)
        self._server = WebServer(
            '127.0.0.1',
            0,
            application,
            4,
            _LARGEST_BODY_BYTES,
            _READ_TIMEOUT_S,
        )
        self._server.start(self._pool)
        self.addCleanup(self._pool.shutdown)
        self.addCleanup(self._server.stop)

    def test_broken_requests(self) -> None:
        large = b'x' * (_LARGEST_BODY_BYTES + 1)
        cases: dict[str, tuple[bytes, int]] = {
            'oversized': (_request_with_length(len(large)) + large, 413),
            'claims to be huge': (_request_with_length(10**12), 413),
            'claims a bit more': (
                _request_with_length(len(_BODY) + 1) + _BODY,
                400,
            ),
            'claims less': (_request_with_length(9) + _BODY, 400),
            'negative length': (_request_with_length(-1) + _BODY, 400),
            'length of letters': (_request_with_length('ab') + _BODY, 400),
            'one large chunk': (_chunked_request(large), 413),
            'many chunks': (_chunked_request(*[b'x' * 512] * 9), 413),
            'a huge chunk': (_chunked_head() + b'FFFFFFFFFF\r\n', 413),
            'a broken chunk': (_chunked_head() + b'zz\r\n', 400),
            'a chunk cut off': (_chunked_head() + b'9\r\n{}', 400),
            'not HTTP': (b'\x00\x01\x02\r\n\r\n', 400),
            'unknown method': (b'BREW / HTTP/1.1\r\nHost: a\r\n\r\n', 404),
        }
        for name, (request_bytes, status) in cases.items():
            with self.subTest(name):
                found_status, document = self._exchange(request_bytes)
                self.assertEqual(status, found_status, document)
                self.assertEqual('refused', document['state'])
                self.assertEqual('no', document['error']['ran'])
                self.assertNotEqual('', document['error']['message'])
                self.assertEqual([], self.service.submissions)
        self.assertEqual(200, self._exchange(_request_with_length())[0])

    def test_valid_chunks(self) -> None:
        status, document = self._exchange(
            _chunked_request(_BODY[:20], _BODY[20:])
        )
        self.assertEqual((200, 'whole'), (status, document['state']))

    def test_draining_closes_kept_alive_connections(self) -> None:
        """A client with an open connection leaves a draining entry."""
        client = WebClient(f'127.0.0.1:{self._server.port}')
        self.addCleanup(client.close)
        response = client.request('GET', '/health', timeout_s=_TIMEOUT_S)
        self.assertNotIn('connection', response.header_by_name)
        self.service.accepting = False
        response = client.request('GET', '/health', timeout_s=_TIMEOUT_S)
        self.assertEqual(503, response.status)
        self.assertEqual('close', response.header_by_name['connection'])

    def test_stalled_body(self) -> None:
        """A request whose body stops arriving is answered with status 408."""
        cases: dict[str, bytes] = {
            'known length': _request_with_length(len(_BODY) + 9) + _BODY,
            'chunked': _chunked_head() + b'9\r\n{}',
        }
        for name, request_bytes in cases.items():
            with self.subTest(name):
                status, document = self._exchange(
                    request_bytes, closes_writing=False
                )
                self.assertEqual(408, status)
                self.assertEqual('refused', document['state'])

    def _exchange(
        self, request_bytes: bytes, *, closes_writing: bool = True
    ) -> tuple[int, Any]:
        """Send raw bytes; return the status and the JSON document."""
        address = ('127.0.0.1', self._server.port)
        with socket.create_connection(address, _TIMEOUT_S) as connection:
            connection.sendall(request_bytes)
            if closes_writing:
                connection.shutdown(socket.SHUT_WR)
            reader = connection.makefile('rb')
            status = int(reader.readline().split()[1])
            length = 0
            while (line := reader.readline().strip()) != b'':
                name, _, value = line.partition(b':')
                if name.lower() == b'content-length':
                    length = int(value)
            return status, json.loads(reader.read(length))


def _request_with_length(length: object = None) -> bytes:
    """Return a head with this length, or a complete valid request."""
    if length is None:
        return _request_with_length(len(_BODY)) + _BODY
    return _HEAD + f'Content-Length: {length}\r\n\r\n'.encode()


def _chunked_head() -> bytes:
    return _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def _chunked_request(*chunks: bytes) -> bytes:
    body = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in chunks)
    return _chunked_head() + body + b'0\r\n\r\n'
