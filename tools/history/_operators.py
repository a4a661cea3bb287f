"""Operators that put competing tickets, and configuration readers."""

import json
import random
import re
import threading
import time
from typing import Any
from typing import Final

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from baobabgap.webclient import WebResponse
from tools.history._deployment import Deployment
from tools.history._events import Accepted
from tools.history._events import Lost
from tools.history._events import ReadTicket
from tools.history._events import TicketPut
from tools.history._events import TicketRead
from tools.history._events import TicketResult
from tools.history._events import TicketUnknown
from tools.history._events import TurnedDown
from tools.history._events import VersionRead
from tools.history._recorder import Recorder

_REQUEST_TIMEOUT_S: Final = 4.0
_MEAN_PAUSE_S: Final = 0.15
_MAX_FIRST_PUTS: Final = 20
_QUOTAS: Final = {
    'quota/desk': {'tasks_per_second': 10_000, 'burst_tasks': 10_000},
    'quota/small': {'tasks_per_second': 4, 'burst_tasks': 4},
}
_VERSION_PATTERN: Final = re.compile(
    rb'^baobabgap_configuration_version ([0-9.e+]+)$', re.MULTILINE
)


class Operators:
    """Puts and reads tickets and records the answers."""

    def __init__(
        self, deployment: Deployment, recorder: Recorder, seed: int
    ) -> None:
        self._deployment = deployment
        self._recorder = recorder
        self._seed = seed

    def put_quotas(self) -> None:
        """Put the quotas of the callers; raise `TimeoutError` on failure."""
        content = _canonical(_QUOTAS)
        for _ in range(_MAX_FIRST_PUTS):
            result = self._put(self._deployment.entries[0], 1, content)
            if isinstance(result, Accepted):
                return
            time.sleep(_MEAN_PAUSE_S)
        raise TimeoutError('the first ticket was not accepted')

    def run_operator(self, operator: int, stopping: threading.Event) -> None:
        """Put tickets that compete with other operators until the run ends."""
        rng = random.Random(f'{self._seed}-operator-{operator}')
        entries = self._deployment.entries
        sent: list[tuple[int, str]] = []
        newest = 1
        while not stopping.wait(rng.uniform(0.2, 1.8) * _MEAN_PAUSE_S):
            read = self.read(f'operator-{operator}', rng.choice(entries))
            newest = newest if read is None else read
            sent.append((newest + 1, _draw_content(rng, operator)))
            number, content = sent[-1]
            result = self._put(rng.choice(entries), number, content)
            if isinstance(result, TicketUnknown) or rng.random() < 0.3:
                self._put(rng.choice(entries), number, content)
            if rng.random() < 0.2:
                self._put(rng.choice(entries), *rng.choice(sent))

    def run_reader(self, reader: int, stopping: threading.Event) -> None:
        """Read tickets and versions in force until the run ends."""
        rng = random.Random(f'{self._seed}-reader-{reader}')
        entries = self._deployment.entries
        while not stopping.wait(rng.uniform(0.2, 1.8) * _MEAN_PAUSE_S):
            self.read(f'reader-{reader}', rng.choice(entries))
            self._read_version(entries[reader % len(entries)])

    def read(self, reader: str, entry: str) -> int | None:
        """Read the tickets; return the newest number, or None on failure."""
        began_s = time.monotonic()
        response = self._request(entry, 'GET', '/v1/control/tickets')
        if response is None or response.status != 200:
            return None
        page = response.document()
        tickets = tuple(
            ReadTicket(
                ticket['number'],
                ticket['version'],
                _canonical(ticket['state_by_key']),
            )
            for ticket in reversed(page['tickets'])
        )
        newest = int(page['newest_number'])
        self._recorder.record(TicketRead(reader, began_s, newest, tickets))
        return newest

    def _read_version(self, entry: str) -> None:
        process = self._deployment.instance_name(entry)
        began_s = time.monotonic()
        response = self._request(entry, 'GET', '/metrics')
        found = response and _VERSION_PATTERN.search(response.body)
        # After a restart in between, either instance may have answered.
        if found and self._deployment.instance_name(entry) == process:
            version = int(float(found[1]))
            self._recorder.record(VersionRead(process, began_s, version))

    def _put(self, entry: str, number: int, content: str) -> TicketResult:
        document = {'number': number, 'state': json.loads(content)}
        began_s = time.monotonic()
        response = self._request(entry, 'POST', '/v1/tickets', document)
        result = _result_of(response)
        ended_s = time.monotonic()
        self._recorder.record(
            TicketPut(entry, number, content, began_s, ended_s, result)
        )
        return result

    def _request(
        self, entry: str, method: str, path: str, document: Any = None
    ) -> WebResponse | None:
        client = WebClient(self._deployment.launcher.http_address(entry))
        try:
            return client.request(
                method, path, document, timeout_s=_REQUEST_TIMEOUT_S
            )
        except ConnectionLost:
            return None
        finally:
            client.close()


def _result_of(response: WebResponse | None) -> TicketResult:
    if response is None:
        return TicketUnknown()
    match response.document():
        case {'status': 'accepted', 'version': version}:
            return Accepted(version)
        case {'status': 'lost', 'winner': winner}:
            return Lost(_canonical(winner))
        case {'status': 'stale' | 'invalid' as status}:
            return TurnedDown(status)
        case _:
            return TicketUnknown()


def _draw_content(rng: random.Random, operator: int) -> str:
    team = rng.choice(('a', 'b', f'of-{operator}'))
    quota = {
        'tasks_per_second': rng.randrange(1, 1000),
        'burst_tasks': rng.randrange(1, 1_000_000),
    }
    return _canonical({f'quota/{team}': quota})


def _canonical(document: Any) -> str:
    return json.dumps(document, sort_keys=True, separators=(',', ':'))
