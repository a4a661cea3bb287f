"""The HTTP interface of a stand-in upstream."""

from collections.abc import Callable
from collections.abc import Iterable
import json
import threading
from typing import Any
from typing import Final
from wsgiref.types import StartResponse
from wsgiref.types import WSGIEnvironment

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from baobabgap._exceptions import InvalidInput
from baobabgap.standin._behaviour import Behaviour
from baobabgap.standin._leases import Lease
from baobabgap.standin._leases import LeaseState
from baobabgap.standin._leases import LeaseTable
from baobabgap.standin._requests import ControlLeases
from baobabgap.standin._requests import read_request
from baobabgap.standin._requests import RenewLeases
from baobabgap.standin._requests import StartLease

_DEFAULT_RUN_TIME_S: Final = 0.1
_RUN_TIME_S_BY_KIND: Final = {
    'casing-check': 0.2,
    'temperature-extract': 0.4,
    'borehole-status': 0.06,
    'crew-registration': 0.1,
    'seat-change': 0.08,
    'lane-check': 0.05,
}


class StandInApplication:
    """Serves the upstream protocol and the control paths under /stand-in/."""

    def __init__(
        self,
        incarnation: str,
        leases: LeaseTable,
        on_behaviour_change: Callable[[Behaviour], None],
    ) -> None:
        self._incarnation = incarnation
        self._leases = leases
        self._on_behaviour_change = on_behaviour_change
        self._behaviour = Behaviour()
        self._not_frozen = threading.Event()
        self._not_frozen.set()
        self._binding_lock = threading.Lock()
        self._sole_by_agent: dict[str, bool] = {}
        self._bound_agent = ''

    def __call__(
        self, environment: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environment)
        if not request.path.startswith('/stand-in/'):
            self._not_frozen.wait()
        try:
            response = self._respond(request)
        except InvalidInput as error:
            response = _json_response(400, {'error': error.message})
        if not request.path.startswith('/stand-in/'):
            self._not_frozen.wait()
            if self._behaviour.vanished:
                response = _json_response(503, {})
        return response(environment, start_response)

    def bind(self, agent_incarnation: str, is_sole: bool) -> None:
        """Accept starts only from this incarnation of the agent."""
        with self._binding_lock:
            if agent_incarnation not in self._sole_by_agent:
                self._sole_by_agent[agent_incarnation] = is_sole
                self._bound_agent = agent_incarnation

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Apply a behaviour from now on."""
        self._behaviour = behaviour
        if behaviour.frozen:
            self._not_frozen.clear()
        else:
            self._not_frozen.set()

    @property
    def behaviour(self) -> Behaviour:
        """The behaviour in force."""
        return self._behaviour

    def _respond(self, request: Request) -> Response:
        match request.method, request.path:
            case 'POST', '/v1/leases':
                return self._start(request)
            case 'POST', '/v1/leases/renew':
                return self._renew(request)
            case 'GET', '/v1/leases':
                return _json_response(200, self._list())
            case 'POST', '/v1/leases/stop':
                return self._stop(request)
            case 'POST', '/v1/leases/checkpoint':
                lease_request = read_request(ControlLeases, request.get_data())
                progress = self._leases.checkpoint(lease_request.leases)
                return _json_response(200, {'progress': progress})
            case 'POST', '/v1/leases/throttle':
                lease_request = read_request(ControlLeases, request.get_data())
                self._leases.throttle(
                    lease_request.leases, lease_request.share
                )
                return _json_response(200, {})
            case 'DELETE', path if path.startswith('/v1/leases/'):
                identifier = path.removeprefix('/v1/leases/')
                self._leases.acknowledge([identifier])
                return _json_response(200, {})
            case 'POST', '/stand-in/behaviour':
                return self._change_behaviour(request)
            case 'GET', '/stand-in/counts':
                return _json_response(200, self._leases.counts())
            case _:
                return _json_response(404, {'error': 'no such path'})

    def _start(self, request: Request) -> Response:
        lease_request = read_request(StartLease, request.get_data())
        with self._binding_lock:
            stale_reason = self._find_stale_reason(lease_request)
            if stale_reason:
                return _json_response(409, {'error': stale_reason})
            lease, is_new = self._leases.open(
                lease_request.lease,
                lease_request.owner,
                lease_request.lease_s,
                self._behaviour.forgetful,
            )
        if lease is None:
            return _json_response(429, {'error': 'all slots are taken'})
        if is_new:
            self._run(lease, lease_request)
        else:
            lease.ended.wait()
        return _json_response(200, lease.as_document())

    def _find_stale_reason(self, lease_request: StartLease) -> str:
        if lease_request.agent_incarnation != self._bound_agent:
            return 'bound to another incarnation of the agent'
        if lease_request.upstream_incarnation != self._incarnation:
            return 'meant for another incarnation of the upstream'
        return ''

    def _run(self, lease: Lease, lease_request: StartLease) -> None:
        behaviour = self._behaviour
        if behaviour.fails_every_task:
            self._leases.close(lease, LeaseState.FAILED, 'told to fail')
            return
        run_time_s = 0.0
        if not behaviour.answers_at_once:
            run_time_s = (
                _nominal_run_time_s(lease_request) * behaviour.slowness
            )
        state = self._leases.run(lease, run_time_s)
        value: Any = state.value
        if state is LeaseState.DONE:
            job, task = lease_request.lease.split('/', 1)
            value = {'job': job, 'task': task, 'echo': lease_request.payload}
        self._leases.close(lease, state, value)

    def _renew(self, request: Request) -> Response:
        lease_request = read_request(RenewLeases, request.get_data())
        if lease_request.agent_incarnation != self._bound_agent:
            return _json_response(409, {'error': 'bound to another agent'})
        self._leases.acknowledge(lease_request.acknowledged)
        document = self._leases.renew(
            lease_request.leases, lease_request.lease_s
        )
        document['incarnation'] = self._incarnation
        return _json_response(200, document)

    def _stop(self, request: Request) -> Response:
        lease_request = read_request(ControlLeases, request.get_data())
        if lease_request.agent_incarnation != self._bound_agent:
            return _json_response(409, {'error': 'bound to another agent'})
        return _json_response(
            200, {'leases': self._leases.stop(lease_request.leases)}
        )

    def _list(self) -> dict[str, Any]:
        with self._binding_lock:
            document = self._leases.listing()
            document['incarnation'] = self._incarnation
            document['bound_agent'] = self._bound_agent
            document['sole_by_agent'] = dict(self._sole_by_agent)
        return document

    def _change_behaviour(self, request: Request) -> Response:
        try:
            document = json.loads(request.get_data())
        except ValueError as error:
            raise InvalidInput(str(error), step='behaviour') from error
        self._on_behaviour_change(Behaviour.from_document(document))
        return _json_response(200, {})


def _nominal_run_time_s(lease_request: StartLease) -> float:
    """Return the run time from the payload, else that of the kind."""
    if isinstance(lease_request.payload, dict):
        sleep_ms = lease_request.payload.get('sleep_ms')
        if isinstance(sleep_ms, int | float) and sleep_ms >= 0:
            return float(sleep_ms) / 1000
    return _RUN_TIME_S_BY_KIND.get(lease_request.kind, _DEFAULT_RUN_TIME_S)


def _json_response(status: int, document: Any) -> Response:
    body = json.dumps(document, separators=(',', ':'))
    return Response(body, status, content_type='application/json')
