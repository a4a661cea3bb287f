"""Small HTTP requests with JSON documents, by pycurl."""

from dataclasses import dataclass
from io import BytesIO
import json
from typing import Any
from typing import Final

import pycurl

from baobabgap._exceptions import ConnectionLost

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


class WebClient:
    """One kept-alive HTTP client; use it from one thread at a time.

    The timeout of a request is in seconds. A request that got no whole
    response raises `ConnectionLost`. Its step is `connect` if nothing was
    sent for sure, else `request`.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._curl = pycurl.Curl()
        # Whether the next request may begin on a kept connection.
        self._is_kept = False

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        *,
        timeout_s: float,
    ) -> WebResponse:
        """Send one request and wait for its response."""
        body = BytesIO()
        header_by_name: dict[str, str] = {}
        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, f'http://{self._address}{path}')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(
            pycurl.HEADERFUNCTION,
            lambda line: _add_header(header_by_name, line),
        )
        headers = ['Expect:']
        if document is not None or method in _METHODS_WITH_BODY:
            headers.append('Content-Type: application/json')
            curl.setopt(pycurl.POSTFIELDS, json.dumps(document))
        curl.setopt(pycurl.HTTPHEADER, headers)
        try:
            curl.perform()
        except pycurl.error as error:
            raise self._connection_lost(error) from error
        self._is_kept = True
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        return WebResponse(status, header_by_name, body.getvalue())

    def _connection_lost(self, error: pycurl.error) -> ConnectionLost:
        # A kept connection that dies is replaced by curl without a word,
        # so that a failure to connect may come after a first sending.
        unsent = error.args[0] == pycurl.E_COULDNT_CONNECT
        step = 'connect' if unsent and not self._is_kept else 'request'
        self._is_kept = False
        return ConnectionLost(
            str(error.args[-1]), step=step, peer=self._address
        )


def _add_header(header_by_name: dict[str, str], line: bytes) -> None:
    name, separator, value = line.decode('latin-1').partition(':')
    if separator:
        header_by_name[name.strip().lower()] = value.strip()
