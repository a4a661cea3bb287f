"""Tests of the HTTP client: was an unanswered request sent or not."""

from concurrent.futures import ThreadPoolExecutor
import socket
import unittest

from baobabgap import ConnectionLost
from baobabgap.webclient import RequestNeverSent
from baobabgap.webclient import WebClient

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class WebClientTest(unittest.TestCase):
    """The client reports `RequestNeverSent` only if no byte was sent.

    The error allows the caller to send the request elsewhere. If the
    server had read the request, a task could run twice.
    """

    def setUp(self) -> None:
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.client = WebClient(f'127.0.0.1:{port}')
        self.addCleanup(self.client.close)
        self.pool = ThreadPoolExecutor(1)
        self.addCleanup(self.pool.shutdown)

    def serve(self, answers: int, reads_unanswered: bool = True) -> None:
        """Answer some requests, maybe read one more, then close."""
        connection, _ = self.listener.accept()
        for _ in range(answers):
            connection.recv(65536)
            connection.sendall(_OK)
        if reads_unanswered:
            connection.recv(65536)
        self.listener.close()
        connection.close()

    def post(self) -> None:
        self.client.request('POST', '/', {}, timeout_s=10)

    def test_a_closed_port_proves_that_nothing_was_sent(self) -> None:
        self.listener.close()
        with self.assertRaises(RequestNeverSent):
            self.post()

    def test_a_request_that_was_read_is_never_reported_as_unsent(self) -> None:
        """Also if libcurl resends it and the new connection is refused."""
        for answers in (0, 1):
            with self.subTest(answers=answers):
                self.setUp()
                served = self.pool.submit(self.serve, answers)
                for _ in range(answers):
                    self.post()
                with self.assertRaises(ConnectionLost) as caught:
                    self.post()
                self.assertNotIsInstance(caught.exception, RequestNeverSent)
                served.result(10)

    def test_a_closed_idle_connection_is_detected(self) -> None:
        served = self.pool.submit(self.serve, 1, False)
        self.post()
        served.result(10)
        self.assertTrue(self.client.is_closed_by_server())

    def serve_twice(self, reads_first: bool) -> None:
        """Answer a request, maybe read the next one, then serve it again."""
        self.serve_open(1, reads_first)
        self.serve_open(1, False)

    def serve_open(self, answers: int, reads_unanswered: bool) -> None:
        connection, _ = self.listener.accept()
        for _ in range(answers):
            connection.recv(65536)
            connection.sendall(_OK)
        if reads_unanswered:
            connection.recv(65536)
        connection.close()

    def test_response_to_a_resent_request_says_so(self) -> None:
        """The server may have acted on the first copy, and may do so late."""
        for path, document in (('/', {}), ('/path', {'spec': 'x' * 4000})):
            with self.subTest(path=path):
                self.setUp()
                served = self.pool.submit(self.serve_twice, True)
                headers = {'X-Some-Header': 'value'}
                responses = [
                    self.client.request(
                        'POST',
                        path,
                        document,
                        timeout_s=10,
                        header_by_name=headers,
                    )
                    for _ in range(2)
                ]
                served.result(10)
                self.assertEqual(
                    [False, True], [each.was_resent for each in responses]
                )

    def test_answered_requests_are_not_resent_ones(self) -> None:
        """Otherwise a refusal would count as a missing answer."""
        served = self.pool.submit(self.serve_open, 3, False)
        for document in ({}, {'spec': 'x' * 4000}, {}):
            response = self.client.request('POST', '/', document, timeout_s=10)
            self.assertFalse(response.was_resent)
        served.result(10)
