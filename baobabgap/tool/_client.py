"""An HTTP client with failover between entries."""

from collections.abc import Sequence
from typing import Any

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import InvalidInput
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._exit import ToolError
from baobabgap.webclient import WebClient
from baobabgap.webclient import WebResponse


class EntryClient:
    """Sends requests to one entry and fails over to the next.

    It is not thread-safe; use it from one thread at a time::

        client = EntryClient.from_text('127.0.0.1:17081,127.0.0.1:17082')
        response = client.request('GET', '/v1/control/members')
    """

    def __init__(self, addresses: Sequence[str], first_entry: int = 0) -> None:
        self._addresses = tuple(addresses)
        self._current_index = first_entry % len(self._addresses)
        self._client_by_address: dict[str, WebClient] = {}

    @classmethod
    def from_text(cls, text: str, first_entry: int = 0) -> 'EntryClient':
        """Parse `host:port,host:port`; raise `InvalidInput` if malformed."""
        addresses = [part.strip() for part in text.split(',') if part.strip()]
        if not addresses:
            raise InvalidInput('needs one host:port at least', step='entries')
        for address in addresses:
            host, _, port = address.rpartition(':')
            if not host or not (port.isascii() and port.isdigit()):
                raise InvalidInput(
                    f'{address!r} must read host:port, for example '
                    '127.0.0.1:17081',
                    step='entries',
                )
        return cls(addresses, first_entry)

    @property
    def address(self) -> str:
        """The address of the entry that gets the next request."""
        return self._addresses[self._current_index]

    @property
    def entry_count(self) -> int:
        """The number of entries to try."""
        return len(self._addresses)

    def close(self) -> None:
        """Close all connections."""
        for client in self._client_by_address.values():
            client.close()
        self._client_by_address.clear()

    def use_next_entry(self) -> None:
        """Send the next request to the next entry."""
        self._current_index = (self._current_index + 1) % len(self._addresses)

    def send(
        self, method: str, path: str, document: Any, *, timeout_s: float
    ) -> WebResponse:
        """Send one request to the current entry only.

        Raises `ConnectionLost` if no complete response arrives.
        """
        client = self._client_by_address.get(self.address)
        if client is None:
            client = WebClient(self.address)
            self._client_by_address[self.address] = client
        return client.request(method, path, document, timeout_s=timeout_s)

    def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        *,
        timeout_s: float = 15.0,
    ) -> WebResponse:
        """Send an idempotent request to each entry until one answers.

        Raises `ToolError` if no entry answers.
        """
        reasons = []
        for _ in self._addresses:
            try:
                return self.send(method, path, document, timeout_s=timeout_s)
            except ConnectionLost as error:
                reasons.append(f'{error.peer}: {error.message}')
                self.use_next_entry()
        raise ToolError(
            f'no entry answered ({"; ".join(reasons)})',
            ExitCode.UNREACHABLE,
            step='request',
        )


def document_of(response: WebResponse) -> dict[str, Any]:
    """Return the JSON object of a response.

    Raises `ConnectionLost` if there is none, for example because an
    intermediate proxy answered instead of an entry.
    """
    try:
        document = response.document()
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise ConnectionLost(
            f'status {response.status} without a JSON document',
            step='response',
        )
    return document
