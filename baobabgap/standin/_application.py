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
    """Serves the upstream protocol and the stand-in's own paths."""

    def __init__(
        self,
        incarnation: str,
        leases: LeaseTable,
        on_behaviour: Callable[[Behaviour], None],
    ) -> None:
        self._incarnation = incarnation
        self._leases = leases
        self._on_behaviour = on_behaviour
        self._behaviour = Behaviour()
        self._thawed = threading.Event()
        self._thawed.set()
        self._binding_lock = threading.Lock()
        self._sole_by_agent: dict[str, bool] = {}
        self._bound_agent = ''

    def __call__(
        self, environment: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environment)
        if not request.path.startswith('/stand-in/'):
            self._thawed.wait()
        try:
            response = self._respond(request)
        except InvalidInput as error:
            response = _reply(400, {'error': error.message})
        if not request.path.startswith('/stand-in/'):
            self._thawed.wait()
            if self._behaviour.vanished:
                response = _reply(503, {})
        return response(environment, start_response)

    def bind(self, agent_incarnation: str, is_sole: bool) -> None:
        """Take starts from this incarnation of the agent only."""
        with self._binding_lock:
            if agent_incarnation not in self._sole_by_agent:
                self._sole_by_agent[agent_incarnation] = is_sole
                self._bound_agent = agent_incarnation

    def behave(self, behaviour: Behaviour) -> None:
        """Change the behaviour from now on."""
        self._behaviour = behaviour
        if behaviour.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

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
                return _reply(200, self._list())
            case 'POST', '/v1/leases/stop':
                return self._stop(request)
            case 'POST', '/v1/leases/checkpoint':
                asked = read_request(ControlLeases, request.get_data())
                progress = self._leases.checkpoint(asked.leases)
                return _reply(200, {'progress': progress})
            case 'POST', '/v1/leases/throttle':
                asked = read_request(ControlLeases, request.get_data())
                self._leases.throttle(asked.leases, asked.share)
                return _reply(200, {})
            case 'DELETE', path if path.startswith('/v1/leases/'):
                identifier = path.removeprefix('/v1/leases/')
                self._leases.acknowledge([identifier])
                return _reply(200, {})
            case 'POST', '/stand-in/behaviour':
                return self._change_behaviour(request)
            case 'GET', '/stand-in/counts':
                return _reply(200, self._leases.counts())
            case _:
                return _reply(404, {'error': 'no such path'})

    def _start(self, request: Request) -> Response:
        asked = read_request(StartLease, request.get_data())
        with self._binding_lock:
            problem = self._find_stale(asked)
            if problem:
                return _reply(409, {'error': problem})
            lease, is_new = self._leases.open(
                asked.lease,
                asked.owner,
                asked.lease_s,
                self._behaviour.forgetful,
            )
        if lease is None:
            return _reply(429, {'error': 'all slots are taken'})
        if is_new:
            self._run(lease, asked)
        else:
            lease.ended.wait()
        return _reply(200, lease.as_document())

    def _find_stale(self, asked: StartLease) -> str:
        if asked.agent_incarnation != self._bound_agent:
            return 'bound to another incarnation of the agent'
        if asked.upstream_incarnation != self._incarnation:
            return 'meant for another incarnation of the upstream'
        return ''

    def _run(self, lease: Lease, asked: StartLease) -> None:
        behaviour = self._behaviour
        if behaviour.fails_every_task:
            self._leases.close(lease, LeaseState.FAILED, 'told to fail')
            return
        run_time_s = 0.0
        if not behaviour.answers_at_once:
            run_time_s = _true_run_time_s(asked) * behaviour.slowness
        state = self._leases.run(lease, run_time_s)
        value: Any = state.value
        if state is LeaseState.DONE:
            job, task = asked.lease.split('/', 1)
            value = {'job': job, 'task': task, 'echo': asked.payload}
        self._leases.close(lease, state, value)

    def _renew(self, request: Request) -> Response:
        asked = read_request(RenewLeases, request.get_data())
        if asked.agent_incarnation != self._bound_agent:
            return _reply(409, {'error': 'bound to another agent'})
        self._leases.acknowledge(asked.acknowledged)
        document = self._leases.renew(asked.leases, asked.lease_s)
        document['incarnation'] = self._incarnation
        return _reply(200, document)

    def _stop(self, request: Request) -> Response:
        asked = read_request(ControlLeases, request.get_data())
        if asked.agent_incarnation != self._bound_agent:
            return _reply(409, {'error': 'bound to another agent'})
        return _reply(200, {'leases': self._leases.stop(asked.leases)})

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
        self._on_behaviour(Behaviour.from_document(document))
        return _reply(200, {})


def _true_run_time_s(asked: StartLease) -> float:
    """Read the run time from the payload, or take that of the kind."""
    if isinstance(asked.payload, dict):
        sleep_ms = asked.payload.get('sleep_ms')
        if isinstance(sleep_ms, int | float) and sleep_ms >= 0:
            return float(sleep_ms) / 1000
    return _RUN_TIME_S_BY_KIND.get(asked.kind, _DEFAULT_RUN_TIME_S)


def _reply(status: int, document: Any) -> Response:
    body = json.dumps(document, separators=(',', ':'))
    return Response(body, status, content_type='application/json')
