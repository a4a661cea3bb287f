"""Errors that the HTTP server itself answers, as JSON documents.

A request that is too broken to reach the application, such as one with a
malformed header, gets a document of the same shape as a refused job.
"""

from http import HTTPStatus
import json

from cheroot.server import HTTPConnection
from cheroot.server import HTTPRequest


class JsonErrorRequest(HTTPRequest):
    """A request whose early errors are JSON.

    It closes the connection after a body that it can't find the end of,
    so that no leftover is read as a request of its own.
    """

    def respond(self) -> None:
        """Run the application unless the length makes no sense."""
        length = self.inheaders.get(b'Content-Length', b'0')
        if not length.isdigit():
            self.simple_response('400 Bad Request', 'Malformed Content-Length')
            return
        super().respond()
        if self.chunked_read and not self.rfile.closed:
            self.close_connection = True

    def send_headers(self) -> None:
        """Close the connection too if the application says so.

        The unread rest of a body is then not waited for.
        """
        for name, value in self.outheaders:
            if (name.lower(), value.lower()) == (b'connection', b'close'):
                self.close_connection = True
        super().send_headers()

    def simple_response(self, status: object, msg: str = '') -> None:
        """Write one error and close the connection after it."""
        number = int(str(status)[:3])
        if number < HTTPStatus.BAD_REQUEST:
            super().simple_response(status, msg)
            return
        self.close_connection = True
        body = _error_document(number, msg or str(status)[4:])
        head = (
            f'{self.server.protocol} {status}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: application/json\r\n'
            'Connection: close\r\n\r\n'
        )
        try:
            self.conn.wfile.write(head.encode('latin-1') + body)
        except OSError:
            # The client is gone, and with it whoever would read this.
            return


class JsonErrorConnection(HTTPConnection):
    """A connection whose early errors are JSON."""

    RequestHandlerClass = JsonErrorRequest


def _error_document(status: int, message: str) -> bytes:
    is_own_fault = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    is_too_large = status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    code = 'too_large' if is_too_large else 'invalid'
    document = {
        'identifier': '',
        'state': 'failed' if is_own_fault else 'refused',
        'error': {
            'code': 'internal' if is_own_fault else code,
            'step': 'request',
            'peer': '',
            'ran': 'unknown' if is_own_fault else 'no',
            'message': message,
            'retry_after_s': 0.0,
        },
    }
    return json.dumps(document).encode()
