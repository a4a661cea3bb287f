"""Callers that submit, resubmit, fetch and cancel jobs."""

from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import random
import threading
import time
from typing import Any
from typing import Final

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from baobabgap.webclient import WebResponse
from tools.history._deployment import Deployment
from tools.history._events import Failed
from tools.history._events import JobAction
from tools.history._events import JobContent
from tools.history._events import JobOutcome
from tools.history._events import JobRequest
from tools.history._events import NoAnswer
from tools.history._events import Pending
from tools.history._events import Refused
from tools.history._events import Whole
from tools.history._recorder import Recorder

_REQUEST_TIMEOUT_S: Final = 6.0
_DEADLINES_MS: Final = (800, 3000, 3000, 3000)
_RUN_TIMES_MS: Final = (20, 50, 100, 200, 600)
_TASK_COUNTS: Final = (1, 1, 2, 3, 6)
# The last team has no quota; `small` has a small one.
_TEAMS: Final = ('desk', 'desk', 'desk', 'desk', 'small', 'nobody')
_PAUSE_BETWEEN_JOBS_S: Final = 0.12
_FINAL_FETCH_WAIT_MS: Final = 3000


@dataclass(frozen=True, slots=True)
class _ScriptedRequest:
    """A request about a job, to be sent after a delay."""

    # Seconds from the job's creation to the request.
    after_s: float
    action: JobAction
    entry: str
    # The query string of a submission or fetch.
    query: str = ''


class Callers:
    """Several callers; each draws one job after the other."""

    def __init__(
        self,
        deployment: Deployment,
        recorder: Recorder,
        pool: ThreadPoolExecutor,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._recorder = recorder
        self._pool = pool
        self._seed = seed
        self._lock = threading.Lock()
        self._jobs: list[str] = []

    def run_caller(self, caller: int, stopping: threading.Event) -> None:
        """Run one caller until the run ends."""
        rng = random.Random(f'{self._seed}-caller-{caller}')
        futures: list[Future[None]] = []
        number = 0
        while not stopping.wait(rng.uniform(0.2, 1.8) * _PAUSE_BETWEEN_JOBS_S):
            number += 1
            document = _make_job(rng, f'{caller}-{number}')
            with self._lock:
                self._jobs.append(document['identifier'])
            self._recorder.record(_content_of(document))
            for request in self._draw_requests(rng):
                futures.append(
                    self._pool.submit(
                        self._send_after_delay, request, document
                    )
                )
        for future in futures:
            future.result()

    def fetch_all(self) -> None:
        """Fetch the end of every job from both entries."""
        futures = [
            self._pool.submit(
                self._send_and_record,
                JobAction.FETCH,
                entry,
                {'identifier': job},
                f'?wait_ms={_FINAL_FETCH_WAIT_MS}',
            )
            for job in self._jobs
            for entry in self._deployment.entries
        ]
        for future in futures:
            future.result()

    def _draw_requests(self, rng: random.Random) -> list[_ScriptedRequest]:
        """Draw the requests about one job and their delays."""
        entries = list(self._deployment.entries)
        rng.shuffle(entries)
        first, other = entries
        wait = rng.choice(('', '', '?wait=no'))
        requests = [_ScriptedRequest(0.0, JobAction.SUBMIT, first, wait)]
        if rng.random() < 0.4:
            after_s = rng.choice((0.0, 0.005, 0.05, 0.4, 1.5))
            requests.append(
                _ScriptedRequest(after_s, JobAction.SUBMIT, other, wait)
            )
        if rng.random() < 0.15:
            requests.append(_ScriptedRequest(2.5, JobAction.SUBMIT, first))
        if rng.random() < 0.2:
            after_s = rng.choice((0.0, 0.01, 0.1, 0.5))
            requests.append(
                _ScriptedRequest(
                    after_s, JobAction.CANCEL, rng.choice(entries)
                )
            )
        if rng.random() < 0.4:
            after_s = rng.choice((0.05, 0.5, 2.0))
            requests.append(
                _ScriptedRequest(after_s, JobAction.FETCH, rng.choice(entries))
            )
        return requests

    def _send_after_delay(
        self, request: _ScriptedRequest, document: dict[str, Any]
    ) -> None:
        time.sleep(request.after_s)
        self._send_and_record(
            request.action, request.entry, document, request.query
        )

    def _send_and_record(
        self,
        action: JobAction,
        entry: str,
        document: dict[str, Any],
        query: str,
    ) -> None:
        job = document['identifier']
        client = WebClient(self._deployment.launcher.http_address(entry))
        began_s = time.monotonic()
        outcome: JobOutcome
        try:
            response = _send_request(client, action, document, query)
            outcome = _outcome_of(response)
        except ConnectionLost:
            outcome = NoAnswer()
        finally:
            client.close()
        ended_s = time.monotonic()
        self._recorder.record(
            JobRequest(action, entry, job, began_s, ended_s, outcome)
        )


def _send_request(
    client: WebClient, action: JobAction, document: dict[str, Any], query: str
) -> WebResponse:
    path = f'/v1/jobs/{document["identifier"]}{query}'
    match action:
        case JobAction.SUBMIT:
            return client.request(
                'POST',
                f'/v1/jobs{query}',
                document,
                timeout_s=_REQUEST_TIMEOUT_S,
            )
        case JobAction.FETCH:
            return client.request('GET', path, timeout_s=_REQUEST_TIMEOUT_S)
        case JobAction.CANCEL:
            return client.request('DELETE', path, timeout_s=_REQUEST_TIMEOUT_S)


def _outcome_of(response: WebResponse) -> JobOutcome:
    document = response.document()
    match document:
        case {'state': 'whole', 'identifier': job, 'results': results}:
            values = tuple((one['task'], one['value']) for one in results)
            return Whole(job, values)
        case {'state': 'refused', 'error': {'code': code, 'ran': 'no'}}:
            return Refused(code)
        case {'state': 'failed', 'error': {'code': code, 'ran': ran}}:
            return Failed(code, ran)
        case {'state': 'pending'}:
            return Pending()
        case _:
            raise ValueError(f'unexpected response of an entry: {response}')


def _make_job(rng: random.Random, name: str) -> dict[str, Any]:
    tasks = [
        {
            'identifier': f't{number}',
            'kind': 'seat-change',
            'run_time_ms': rng.choice(_RUN_TIMES_MS),
            'payload': {
                'of': f'{name}/{number}',
                'sleep_ms': rng.choice(_RUN_TIMES_MS),
            },
        }
        for number in range(rng.choice(_TASK_COUNTS))
    ]
    issued_ms = time.time_ns() // 1_000_000
    return {
        'identifier': f'kurek.{issued_ms}.{name}',
        'team': rng.choice(_TEAMS),
        'deadline_ms': rng.choice(_DEADLINES_MS),
        'tasks': tasks,
    }


def _content_of(document: dict[str, Any]) -> JobContent:
    return JobContent(
        document['identifier'],
        tuple(
            (task['identifier'], task['payload']) for task in document['tasks']
        ),
    )
