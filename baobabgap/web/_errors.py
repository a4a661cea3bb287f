"""Errors that the HTTP server itself returns, as JSON documents.

A request that can't be passed to the application, such as one with a
malformed header, gets a document of the same schema as a refused job.
"""

from http import HTTPStatus
import json

from cheroot.server import HTTPConnection
from cheroot.server import HTTPRequest


class JsonErrorRequest(HTTPRequest):
    """A request for which the server returns its own errors as JSON.

    It closes the connection after a body whose end it can't determine, so
    that the rest of the body is not parsed as another request.
    """

    def respond(self) -> None:
        """Run the application unless Content-Length is malformed."""
        length = self.inheaders.get(b'Content-Length', b'0')
        if not length.isdigit():
            self.simple_response('400 Bad Request', 'Malformed Content-Length')
            return
        super().respond()
        if self.chunked_read and not self.rfile.closed:
            self.close_connection = True

    def send_headers(self) -> None:
        """Also close it if the application sends `Connection: close`.

        The server then doesn't wait for the unread rest of the body.
        """
        for name, value in self.outheaders:
            if (name.lower(), value.lower()) == (b'connection', b'close'):
                self.close_connection = True
        super().send_headers()

    def simple_response(self, status: object, msg: str = '') -> None:
        """Send an error response and close the connection."""
        status_code = int(str(status)[:3])
        if status_code < HTTPStatus.BAD_REQUEST:
            super().simple_response(status, msg)
            return
        self.close_connection = True
        body = _error_document(status_code, msg or str(status)[4:])
        header = (
            f'{self.server.protocol} {status}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: application/json\r\n'
            'Connection: close\r\n\r\n'
        )
        try:
            self.conn.wfile.write(header.encode('latin-1') + body)
        except OSError:
            # The client has disconnected, so nobody reads the response.
            return


class JsonErrorConnection(HTTPConnection):
    """A connection on which the server's own errors are JSON."""

    RequestHandlerClass = JsonErrorRequest


def _error_document(status: int, message: str) -> bytes:
    is_server_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    is_too_large = status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    code = 'too_large' if is_too_large else 'invalid'
    document = {
        'identifier': '',
        'state': 'failed' if is_server_error else 'refused',
        'error': {
            'code': 'internal' if is_server_error else code,
            'step': 'request',
            'peer': '',
            'ran': 'unknown' if is_server_error else 'no',
            'message': message,
            'retry_after_s': 0.0,
        },
    }
    return json.dumps(document).encode()
