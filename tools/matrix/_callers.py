"""Callers that submit jobs while faults come and go."""

from dataclasses import dataclass
from dataclasses import field
import random
import threading
import time
from typing import Final

from baobabgap import ConnectionLost
from baobabgap.web import WebClient
from tools.bench._answers import classify_response
from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._answers import submission_document
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask
from tools.matrix._deployment import Deployment

_CALLERS: Final = 4
_DEADLINE_MS: Final = 5_000
# Less than a fault lasts, so that what it holds up is resubmitted while
# it lasts.
_PATIENCE_S: Final = 1.2
_JOB_LIMIT_S: Final = 40.0
_RETRY_PAUSE_S: Final = 0.2
_PAUSE_BETWEEN_JOBS_S: Final = 0.03
_SHORTEST_MS: Final = 20
_LONGEST_MS: Final = 150
_MOST_TASKS: Final = 4


@dataclass(frozen=True, slots=True)
class CalledJob:
    """One job and all that its caller was told about it."""

    identifier: str
    attempts: list[Outcome] = field(default_factory=list)

    @property
    def end(self) -> End:
        """The last that the caller was told."""
        return self.attempts[-1].end

    @property
    def never_admitted(self) -> bool:
        """Whether every attempt was refused as not run."""
        return all(one.end is End.REFUSED for one in self.attempts)


class Callers:
    """A few callers, each with one job after the other."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._lock = threading.Lock()
        self._numbers = 0
        self._called: list[CalledJob] = []
        self._over = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Begin to submit."""
        self._over.clear()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(_CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def finish(self) -> list[CalledJob]:
        """Wait until all jobs have ended; return those since the start."""
        self._over.set()
        for thread in self._threads:
            thread.join(_JOB_LIMIT_S + 2 * _PATIENCE_S)
        called, self._called = self._called, []
        return called

    def submit_one(self, entry: str) -> CalledJob:
        """Submit one job, first to this entry, until it has an end."""
        with self._lock:
            self._numbers += 1
            number = self._numbers
        job = _draw_job(random.Random(f'{self._seed}/{number}'), number)
        identifier = f'{job.client}.{time.time_ns() // 1_000_000}.{number}'
        called = CalledJob(identifier)
        self._attempt(job, called, entry)
        with self._lock:
            self._called.append(called)
        return called

    def _run(self, number: int) -> None:
        turn = number
        entries = self._deployment.entries
        while not self._over.is_set():
            self.submit_one(entries[turn % len(entries)])
            turn += 1
            time.sleep(_PAUSE_BETWEEN_JOBS_S)

    def _attempt(self, job: TraceJob, called: CalledJob, entry: str) -> None:
        """Submit until there is an end other than a refusal.

        A lost job is resubmitted under its identifier, through the other
        entry; so is one that was refused.
        """
        entries = self._deployment.entries
        turn = entries.index(entry)
        give_up_at = time.monotonic() + _JOB_LIMIT_S
        while True:
            name = entries[turn % len(entries)]
            outcome = self._submit(job, called.identifier, name)
            called.attempts.append(outcome)
            is_open = outcome.end in (End.REFUSED, End.NO_ANSWER)
            # Its end is kept; a resubmission would only be told again.
            is_final = outcome.code == 'deadline'
            if not is_open or is_final or time.monotonic() > give_up_at:
                return
            turn += 1
            time.sleep(_RETRY_PAUSE_S)

    def _submit(self, job: TraceJob, identifier: str, entry: str) -> Outcome:
        client = WebClient(self._deployment.launcher.http_address(entry))
        document = submission_document(job, identifier)
        try:
            response = client.request(
                'POST', '/v1/jobs', document, timeout_s=_PATIENCE_S
            )
        except ConnectionLost:
            return Outcome(job, identifier, End.NO_ANSWER, 0.0, 0.0)
        finally:
            client.close()
        return classify_response(job, identifier, response, 0.0, 0.0)


def _draw_job(chance: random.Random, number: int) -> TraceJob:
    client, team = chance.choice(
        (('etnavapore', 'drilling'), ('kurek', 'clubs'))
    )
    tasks = []
    for n in range(chance.randint(1, _MOST_TASKS)):
        run_time_ms = chance.randint(_SHORTEST_MS, _LONGEST_MS)
        tasks.append(
            TraceTask(f't{n}', 'lane_check', float(run_time_ms), run_time_ms)
        )
    return TraceJob(number, 0.0, client, team, _DEADLINE_MS, tuple(tasks))
