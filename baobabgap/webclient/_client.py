"""HTTP client for JSON documents, based on pycurl."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import errno
from io import BytesIO
import json
import select
from typing import Any
from typing import Final

import pycurl

from baobabgap._exceptions import ConnectionLost

# Headers that libcurl adds by default; each costs the server parsing time.
_SUPPRESSED_HEADERS: Final = ('Expect:', 'Accept:', 'User-Agent:')
_METHODS_WITH_BODY: Final = ('POST', 'PUT', 'PATCH')
# What a request has besides its method, path, address, headers and body.
_LEAST_OVERHEAD_BYTES: Final = len('  HTTP/1.1\r\nHost: \r\n\r\n')


@dataclass(frozen=True, slots=True)
class WebResponse:
    """The response of a server."""

    # The HTTP status.
    status: int
    # Header values by lower-case name.
    header_by_name: dict[str, str]
    # The undecoded body.
    body: bytes
    # Whether the request was sent before on a connection that ended without
    # a response; the server may have got it twice.
    was_resent: bool = False

    def document(self) -> Any:
        """Decode the body as JSON; None if the body is empty."""
        return json.loads(self.body) if self.body else None


class RequestNeverSent(ConnectionLost):
    """No byte of the request was sent, so the server can't have acted."""


class ConnectionRefused(RequestNeverSent):
    """The host refused the connection: no process listens there."""


class WebClient:
    """HTTP client with one persistent connection.

    Use it from one thread at a time.

    A request without a complete response raises `ConnectionLost`: the
    server may have acted on it. libcurl resends a request if a persistent
    connection ends while it is in use, so only `RequestNeverSent` proves
    that the server has not acted. `WebResponse.was_resent` tells of a response
    to such a request.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._curl = pycurl.Curl()

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def is_closed_by_server(self) -> bool:
        """Return whether the server has closed the idle connection."""
        socket = self._curl.getinfo(pycurl.ACTIVESOCKET)
        if socket < 0:
            return False
        poller = select.poll()
        poller.register(socket, select.POLLIN)
        return bool(poller.poll(0))

    def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        *,
        timeout_s: float,
        header_by_name: Mapping[str, str] | None = None,
        is_given_up: Callable[[], bool] | None = None,
    ) -> WebResponse:
        """Send one request and wait for its response.

        `is_given_up` is called about once per second; once it returns
        true, the request fails with `ConnectionLost`.
        """
        body = BytesIO()
        header_lines: list[bytes] = []
        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, f'http://{self._address}{path}')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, header_lines.append)
        headers = [
            f'{name}: {value}'
            for name, value in (header_by_name or {}).items()
        ]
        content = ''
        if document is not None or method in _METHODS_WITH_BODY:
            headers.append('Content-Type: application/json')
            content = json.dumps(document)
            curl.setopt(pycurl.POSTFIELDS, content)
        curl.setopt(pycurl.HTTPHEADER, [*_SUPPRESSED_HEADERS, *headers])
        if is_given_up is not None:
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(
                pycurl.XFERINFOFUNCTION, lambda *progress: is_given_up()
            )
        try:
            curl.perform()
        except pycurl.error as error:
            raise self._error_class()(
                str(error.args[-1]), step='request', peer=self._address
            ) from error
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        least_bytes = sum(map(len, (method, path, self._address, content)))
        least_bytes += sum(map(len, headers)) + _LEAST_OVERHEAD_BYTES
        return WebResponse(
            status,
            _parse_headers(header_lines),
            body.getvalue(),
            curl.getinfo(pycurl.REQUEST_SIZE) >= 2 * least_bytes,
        )

    def _error_class(self) -> type[ConnectionLost]:
        """Return the exception for the request that has just failed."""
        if self._curl.getinfo(pycurl.REQUEST_SIZE) > 0:
            return ConnectionLost
        if self._curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED:
            return ConnectionRefused
        return RequestNeverSent


def _parse_headers(lines: list[bytes]) -> dict[str, str]:
    header_by_name: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.decode('latin-1').partition(':')
        if separator:
            header_by_name[name.strip().lower()] = value.strip()
    return header_by_name
