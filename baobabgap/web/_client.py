"""Small HTTP requests with JSON documents, by pycurl."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from io import BytesIO
import json
import select
from typing import Any
from typing import Final

import pycurl

from baobabgap._exceptions import ConnectionLost

# Headers that libcurl would add; each costs the server time to read.
_LEFT_OUT_HEADERS: Final = ('Expect:', 'Accept:', 'User-Agent:')
_METHODS_WITH_BODY: Final = ('POST', 'PUT', 'PATCH')


@dataclass(frozen=True, slots=True)
class WebResponse:
    """What a server answered."""

    # The HTTP status.
    status: int
    # Header values by lower-case name.
    header_by_name: dict[str, str]
    # The body as it came.
    body: bytes

    def document(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body) if self.body else None


class RequestNeverSent(ConnectionLost):
    """Not a byte of the request has left, so the server knows nothing."""


class WebClient:
    """One kept-alive HTTP client; use it from one thread at a time.

    The timeout of a request is in seconds. A request that got no whole
    response raises `ConnectionLost`: the server may have acted on it. The
    library sends a request twice if a kept-alive connection ends under
    it, so only `RequestNeverSent` proves that the server has not.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._curl = pycurl.Curl()

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def has_hung_up(self) -> bool:
        """Tell whether the server has closed the idle connection."""
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

        `is_given_up` is asked about once a second; when it says so, the
        request ends with `ConnectionLost`.
        """
        body = BytesIO()
        head: list[bytes] = []
        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, f'http://{self._address}{path}')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, head.append)
        headers = list(_LEFT_OUT_HEADERS)
        for name, value in (header_by_name or {}).items():
            headers.append(f'{name}: {value}')
        if document is not None or method in _METHODS_WITH_BODY:
            headers.append('Content-Type: application/json')
            curl.setopt(pycurl.POSTFIELDS, json.dumps(document))
        curl.setopt(pycurl.HTTPHEADER, headers)
        if is_given_up is not None:
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(
                pycurl.XFERINFOFUNCTION, lambda *progress: is_given_up()
            )
        try:
            curl.perform()
        except pycurl.error as error:
            was_sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
            error_class = ConnectionLost if was_sent else RequestNeverSent
            raise error_class(
                str(error.args[-1]), step='request', peer=self._address
            ) from error
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        return WebResponse(status, _parse_head(head), body.getvalue())


def _parse_head(lines: list[bytes]) -> dict[str, str]:
    header_by_name: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.decode('latin-1').partition(':')
        if separator:
            header_by_name[name.strip().lower()] = value.strip()
    return header_by_name
