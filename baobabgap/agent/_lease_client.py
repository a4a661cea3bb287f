"""HTTP client for the lease API of the upstream."""

from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Final

from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.agent._upstream_reports import LeaseListing
from baobabgap.agent._upstream_reports import LeaseReport
from baobabgap.agent._upstream_reports import LeaseRequest
from baobabgap.agent._upstream_reports import RenewalReport
from baobabgap.agent._upstream_reports import StartRefused
from baobabgap.agent._upstream_reports import StartUnknown
from baobabgap.agent._upstream_reports import StoppedLeases
from baobabgap.agent._upstream_reports import UpstreamUnreachable
from baobabgap.webclient import RequestNeverSent
from baobabgap.webclient import WebClient
from baobabgap.webclient import WebResponse

_OK: Final = 200
# Statuses that mean that the task was not started. 409 is not among them:
# if the HTTP library sent the request twice, the first copy may have
# started the task on an upstream process that is gone.
_REFUSED_STATUSES: Final = (400, 429)


class LeaseClient:
    """Calls the lease API of one incarnation of the upstream.

    Each open request holds its own keep-alive connection, so there are
    about as many connections as slots.
    """

    def __init__(
        self, address: str, incarnation: str, agent_incarnation: str
    ) -> None:
        self.address: Final = address
        self.incarnation: Final = incarnation
        self._agent_incarnation = agent_incarnation
        self._idle_clients: deque[WebClient] = deque()

    def start(
        self,
        request: LeaseRequest,
        timeout_s: float,
        is_given_up: Callable[[], bool],
    ) -> LeaseReport | StartRefused | UpstreamUnreachable | StartUnknown:
        """Start a task and wait for its end or until `is_given_up`."""
        document = {
            'lease': request.lease,
            'owner': request.owner,
            'kind': request.kind,
            'payload': request.payload,
            'lease_s': request.lease_s,
            'agent_incarnation': self._agent_incarnation,
            'upstream_incarnation': self.incarnation,
        }
        try:
            response = self._request(
                'POST', '/v1/leases', document, timeout_s, is_given_up
            )
            if response.status in _REFUSED_STATUSES:
                return StartRefused(_error_text(response))
            report: LeaseReport = self._parse(_REPORT, response)
            if report.lease != request.lease or report.outcome is None:
                return StartUnknown(
                    f'unexpected answer about lease {report.lease}'
                )
        except RequestNeverSent as error:
            return UpstreamUnreachable(str(error))
        except (ConnectionLost, ProtocolMismatch) as error:
            return StartUnknown(str(error))
        return report

    def renew(
        self,
        leases: Sequence[str],
        acknowledged: Sequence[str],
        lease_s: float,
        timeout_s: float,
    ) -> RenewalReport:
        """Renew leases; this is also the application's health check."""
        document = {
            'leases': leases,
            'acknowledged': acknowledged,
            'lease_s': lease_s,
            'agent_incarnation': self._agent_incarnation,
        }
        response = self._request(
            'POST', '/v1/leases/renew', document, timeout_s
        )
        report: RenewalReport = self._parse(_RENEWAL, response)
        return report

    def list_leases(self, timeout_s: float) -> LeaseListing:
        """Request all leases, as an agent does after its start."""
        response = self._request('GET', '/v1/leases', None, timeout_s)
        listing: LeaseListing = self._parse(_LISTING, response)
        return listing

    def stop(
        self, leases: Sequence[str], timeout_s: float
    ) -> tuple[LeaseReport, ...]:
        """Stop leases; one unknown to the upstream is kept from starting."""
        document = {
            'leases': leases,
            'agent_incarnation': self._agent_incarnation,
        }
        response = self._request(
            'POST', '/v1/leases/stop', document, timeout_s
        )
        stopped: StoppedLeases = self._parse(_STOPPED, response)
        return stopped.leases

    def _request(
        self,
        method: str,
        path: str,
        document: Any,
        timeout_s: float,
        is_given_up: Callable[[], bool] | None = None,
    ) -> WebResponse:
        try:
            client = self._idle_clients.pop()
            if client.is_closed_by_server():
                client.close()
                client = WebClient(self.address)
        except IndexError:
            client = WebClient(self.address)
        try:
            response = client.request(
                method,
                path,
                document,
                timeout_s=timeout_s,
                is_given_up=is_given_up,
            )
        except ConnectionLost:
            client.close()
            raise
        self._idle_clients.append(client)
        return response

    def _parse(self, adapter: TypeAdapter[Any], response: WebResponse) -> Any:
        if response.status != _OK:
            raise ProtocolMismatch(
                f'status {response.status}: {_error_text(response)}',
                step='upstream',
                peer=self.address,
            )
        try:
            return adapter.validate_json(response.body)
        except ValidationError as error:
            raise ProtocolMismatch(
                f'invalid answer: {error.error_count()} field errors',
                step='upstream',
                peer=self.address,
            ) from error


def _error_text(response: WebResponse) -> str:
    return response.body[:200].decode('utf-8', 'replace')


_REPORT: Final = TypeAdapter(LeaseReport)
_RENEWAL: Final = TypeAdapter(RenewalReport)
_LISTING: Final = TypeAdapter(LeaseListing)
_STOPPED: Final = TypeAdapter(StoppedLeases)
