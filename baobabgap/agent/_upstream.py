"""The agent's HTTP requests to its upstream."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import Final

import pycurl
from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.messages import TaskOutcome
from baobabgap.web import WebClient
from baobabgap.web import WebResponse

_OK: Final = 200
_REFUSED_STATUSES: Final = (400, 409, 429)


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """What the upstream says of one lease."""

    # The job's and the task's identifiers, with a slash between.
    lease: str
    # The owner that the agent named at the start.
    owner: str
    # running, done, failed, stopped, lapsed or revoked.
    state: str
    # What the task returned, or why it has not.
    value: Any
    # Milliseconds from start to end.
    run_time_ms: float

    @property
    def outcome(self) -> TaskOutcome | None:
        """How the task ended, or None while it runs."""
        match self.state:
            case 'running':
                return None
            case 'done':
                return TaskOutcome.DONE
            case 'revoked':
                return TaskOutcome.NOT_STARTED
            case _:
                return TaskOutcome.FAILED


@dataclass(frozen=True, slots=True)
class LeaseListing:
    """All leases that the upstream remembers."""

    # The upstream's incarnation.
    incarnation: str
    # The incarnation of the agent that it takes starts from.
    bound_agent: str
    # For each agent incarnation that it was bound to, whether that one
    # has served no upstream process but this.
    sole_by_agent: dict[str, bool]
    # Running leases, and ended ones that were not acknowledged.
    leases: tuple[LeaseReport, ...]
    # False if some that were not acknowledged have been forgotten.
    complete: bool


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """What became of the leases that were to be renewed."""

    # The upstream's incarnation.
    incarnation: str
    # Those that run on.
    running: tuple[str, ...]
    # Those that have ended.
    ended: tuple[LeaseReport, ...]
    # Those that the upstream has never heard of.
    unknown: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartRefused:
    """The upstream did not start the task, and never will."""

    # Why, for a person.
    reason: str


@dataclass(frozen=True, slots=True)
class StartUnknown:
    """The request got no usable answer: nobody knows if it started."""

    # Why, for a person.
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """One task to start at the upstream."""

    # The job's and the task's identifiers, with a slash between.
    lease: str
    # Whose task it is, kept by the upstream for an agent that restarts.
    owner: str
    # The sort of work.
    kind: str
    # The task's own input.
    payload: Any
    # Seconds until the lease lapses unless it is renewed.
    lease_s: float


class UpstreamClient:
    """Talks to one incarnation of the upstream.

    Each request that waits holds a kept-alive connection of its own, so
    there are about as many as slots.
    """

    def __init__(
        self, address: str, incarnation: str, agent_incarnation: str
    ) -> None:
        self.address: Final = address
        self.incarnation: Final = incarnation
        self._agent_incarnation = agent_incarnation
        self._idle_clients: deque[WebClient] = deque()

    def start(
        self, request: LeaseRequest, timeout_s: float
    ) -> LeaseReport | StartRefused | StartUnknown:
        """Start a task and wait for its end."""
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
            response = self._request('POST', '/v1/leases', document, timeout_s)
            if response.status in _REFUSED_STATUSES:
                return StartRefused(_error_of(response))
            report: LeaseReport = self._read(_REPORT, response)
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
        """Prolong leases; this also shows that the application lives."""
        document = {
            'leases': leases,
            'acknowledged': acknowledged,
            'lease_s': lease_s,
            'agent_incarnation': self._agent_incarnation,
        }
        response = self._request(
            'POST', '/v1/leases/renew', document, timeout_s
        )
        report: RenewalReport = self._read(_RENEWAL, response)
        return report

    def list_leases(self, timeout_s: float) -> LeaseListing:
        """Ask for all leases, as an agent does after its start."""
        response = self._request('GET', '/v1/leases', None, timeout_s)
        listing: LeaseListing = self._read(_LISTING, response)
        return listing

    def stop(
        self, leases: Sequence[str], timeout_s: float
    ) -> tuple[LeaseReport, ...]:
        """Stop leases; one that is unknown there will never start."""
        document = {
            'leases': leases,
            'agent_incarnation': self._agent_incarnation,
        }
        response = self._request(
            'POST', '/v1/leases/stop', document, timeout_s
        )
        stopped: StoppedLeases = self._read(_STOPPED, response)
        return stopped.leases

    def _request(
        self, method: str, path: str, document: Any, timeout_s: float
    ) -> WebResponse:
        try:
            client = self._idle_clients.pop()
        except IndexError:
            client = WebClient(self.address)
        try:
            response = client.request(
                method, path, document, timeout_s=timeout_s
            )
        except ConnectionLost:
            client.close()
            raise
        self._idle_clients.append(client)
        return response

    def _read(self, adapter: TypeAdapter[Any], response: WebResponse) -> Any:
        if response.status != _OK:
            raise ProtocolMismatch(
                f'status {response.status}: {_error_of(response)}',
                step='upstream',
                peer=self.address,
            )
        try:
            return adapter.validate_json(response.body)
        except ValidationError as error:
            raise ProtocolMismatch(
                f'no usable answer: {error.error_count()} wrong fields',
                step='upstream',
                peer=self.address,
            ) from error


@dataclass(frozen=True, slots=True)
class StoppedLeases:
    """The answer to a request to stop leases."""

    # What became of each.
    leases: tuple[LeaseReport, ...]


def is_connection_refused(error: BaseException) -> bool:
    """Tell whether an error means that nobody listens there."""
    cause = error.__cause__
    return (
        isinstance(cause, pycurl.error)
        and cause.args[0] == pycurl.E_COULDNT_CONNECT
    )


def _error_of(response: WebResponse) -> str:
    return response.body[:200].decode('utf-8', 'replace')


_REPORT: Final = TypeAdapter(LeaseReport)
_RENEWAL: Final = TypeAdapter(RenewalReport)
_LISTING: Final = TypeAdapter(LeaseListing)
_STOPPED: Final = TypeAdapter(StoppedLeases)
