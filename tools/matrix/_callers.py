"""Callers that submit jobs while faults are injected."""

from dataclasses import dataclass
from dataclasses import field
import random
import threading
import time
from typing import Final

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from tools.bench._answers import classify_response
from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._answers import submission_document
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask
from tools.matrix._deployment import Deployment

_CALLER_COUNT: Final = 4
_DEADLINE_MS: Final = 5_000
# Shorter than a fault, so that a job that the fault delays is resubmitted
# during the fault.
_REQUEST_TIMEOUT_S: Final = 1.2
_JOB_TIMEOUT_S: Final = 40.0
_RETRY_PAUSE_S: Final = 0.2
_PAUSE_BETWEEN_JOBS_S: Final = 0.03
_MIN_TASK_MS: Final = 20
_MAX_TASK_MS: Final = 150
_MAX_TASKS: Final = 4


@dataclass(frozen=True, slots=True)
class SubmittedJob:
    """One job and the outcomes of all attempts to submit it."""

    identifier: str
    attempts: list[Outcome] = field(default_factory=list)

    @property
    def end(self) -> End:
        """The end that the caller saw last."""
        return self.attempts[-1].end

    @property
    def never_admitted(self) -> bool:
        """Whether every attempt was refused, so that no task may have run."""
        return all(one.end is End.REFUSED for one in self.attempts)


class Callers:
    """Several concurrent callers; each submits one job after the other."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._lock = threading.Lock()
        self._last_number = 0
        self._jobs: list[SubmittedJob] = []
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start the callers."""
        self._stopping.clear()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(_CALLER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def finish(self) -> list[SubmittedJob]:
        """Wait until all jobs have ended; return those since `start`."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(_JOB_TIMEOUT_S + 2 * _REQUEST_TIMEOUT_S)
        jobs, self._jobs = self._jobs, []
        return jobs

    def submit_one(self, entry: str) -> SubmittedJob:
        """Submit one job, first to this entry, until it has ended."""
        with self._lock:
            self._last_number += 1
            number = self._last_number
        job = _draw_job(random.Random(f'{self._seed}/{number}'), number)
        identifier = f'{job.client}.{time.time_ns() // 1_000_000}.{number}'
        submitted_job = SubmittedJob(identifier)
        self._submit_until_ended(job, submitted_job, entry)
        with self._lock:
            self._jobs.append(submitted_job)
        return submitted_job

    def _run(self, number: int) -> None:
        entry_index = number
        entries = self._deployment.entries
        while not self._stopping.is_set():
            self.submit_one(entries[entry_index % len(entries)])
            entry_index += 1
            time.sleep(_PAUSE_BETWEEN_JOBS_S)

    def _submit_until_ended(
        self, job: TraceJob, submitted_job: SubmittedJob, entry: str
    ) -> None:
        """Submit until the job ends otherwise than by a refusal.

        A job that was refused or got no answer is resubmitted with the
        same identifier, through the other entry.
        """
        entries = self._deployment.entries
        entry_index = entries.index(entry)
        give_up_at = time.monotonic() + _JOB_TIMEOUT_S
        while True:
            name = entries[entry_index % len(entries)]
            outcome = self._submit(job, submitted_job.identifier, name)
            submitted_job.attempts.append(outcome)
            may_retry = outcome.end in (End.REFUSED, End.NO_ANSWER)
            # The entries keep this end and repeat it to a resubmission.
            is_final = outcome.code == 'deadline'
            if not may_retry or is_final or time.monotonic() > give_up_at:
                return
            entry_index += 1
            time.sleep(_RETRY_PAUSE_S)

    def _submit(self, job: TraceJob, identifier: str, entry: str) -> Outcome:
        client = WebClient(self._deployment.launcher.http_address(entry))
        document = submission_document(job, identifier)
        try:
            response = client.request(
                'POST', '/v1/jobs', document, timeout_s=_REQUEST_TIMEOUT_S
            )
        except ConnectionLost:
            return Outcome(job, identifier, End.NO_ANSWER, 0.0, 0.0)
        finally:
            client.close()
        return classify_response(job, identifier, response, 0.0, 0.0)


def _draw_job(rng: random.Random, number: int) -> TraceJob:
    client, team = rng.choice((('etnavapore', 'drilling'), ('kurek', 'clubs')))
    tasks = []
    for n in range(rng.randint(1, _MAX_TASKS)):
        run_time_ms = rng.randint(_MIN_TASK_MS, _MAX_TASK_MS)
        tasks.append(
            TraceTask(f't{n}', 'lane_check', float(run_time_ms), run_time_ms)
        )
    return TraceJob(number, 0.0, client, team, _DEADLINE_MS, tuple(tasks))
