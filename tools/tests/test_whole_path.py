"""The whole path as separate processes, with each role stopped in turn."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
import itertools
import threading
import time
from typing import Final
import unittest

from baobabgap import ConnectionLost
from baobabgap.web import WebClient
from tools.bench._answers import End
from tools.bench._answers import judge
from tools.bench._answers import Outcome
from tools.bench._answers import submission_document
from tools.bench._reading import StandInCounts
from tools.bench._trace import ArrivalPhase
from tools.bench._trace import generate_trace
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceShape
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher

_JOBS: Final = 200
_AGENTS: Final = 4
_SLOTS: Final = 8
_SEED: Final = 4
_CALLERS: Final = 8
_MOST_ATTEMPTS: Final = 12
_RETRY_PAUSE_S: Final = 0.25
_REQUEST_LIMIT_S: Final = 30.0
_STOP_LIMIT_S: Final = 20.0
_PAUSE_BETWEEN_JOBS_S: Final = 0.1
# All control hosts, so that the leader is among them.
_STOPPED_IN_TURN: Final = (
    'entry-2',
    'agent-1',
    'control-1',
    'control-2',
    'control-3',
    'stand-in-2',
)
_PLAN: Final = DeploymentPlan(
    control_hosts=3,
    entries=2,
    agents=_AGENTS,
    slots=_SLOTS,
    added_sync_delay_ms=0.0,
    extra_settings={
        'entry': {'drain_grace_s': 0.5},
        'control': {'election_timeout_s': 0.5},
    },
)
_POLICY: Final = {
    'number': 1,
    'state': {
        'policy': {
            'default_quota': {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
        }
    },
}


def _jobs() -> Sequence[TraceJob]:
    """Draw jobs of both clients, short enough for a test."""
    phases = (ArrivalPhase(0.0, 20.0, 1.0),)
    shape = TraceShape(_AGENTS * _SLOTS, phases)
    return generate_trace(_SEED, shape)[:_JOBS]


class _Balancer:
    """Hands out entries in turn, as the platform's balancer would."""

    def __init__(self, launcher: Launcher) -> None:
        self._lock = threading.Lock()
        self._turn = itertools.cycle(
            [
                launcher.http_address(name)
                for name in launcher.names_with_role('entry')
            ]
        )

    def next_address(self) -> str:
        """Return where the next request goes."""
        with self._lock:
            return next(self._turn)


def _submit(job: TraceJob, balancer: _Balancer) -> Outcome:
    """Submit a job until it has an end other than a refusal.

    What was refused has not run, and a lost job may be resubmitted under
    its identifier, so both go to the next entry.
    """
    identifier = f'{job.client}.{time.time_ns() // 1_000_000}.{job.number}'
    outcome = Outcome(job, identifier, End.NO_ANSWER, 0.0, 0.0)
    for _ in range(_MOST_ATTEMPTS):
        client = WebClient(balancer.next_address())
        try:
            response = client.request(
                'POST',
                '/v1/jobs',
                submission_document(job, identifier),
                timeout_s=_REQUEST_LIMIT_S,
            )
            outcome = judge(job, identifier, response, 0.0, 0.0)
        except ConnectionLost:
            outcome = Outcome(job, identifier, End.NO_ANSWER, 0.0, 0.0)
        finally:
            client.close()
        if outcome.end not in (End.REFUSED, End.NO_ANSWER):
            return outcome
        time.sleep(_RETRY_PAUSE_S)
    return outcome


class TestWholePath(unittest.TestCase):
    """Every caller gets its own whole answer while processes come and go."""

    def test_planned_stops_lose_no_answer(self) -> None:
        with Launcher.from_plan(_PLAN) as launcher:
            launcher.start_all()
            launcher.wait_until_ready()
            self._put_policy(launcher)
            counts = StandInCounts(launcher)
            with ThreadPoolExecutor(_CALLERS + 1) as pool:
                stops = pool.submit(_stop_each_in_turn, launcher, counts)
                outcomes = _submit_all(pool, launcher)
                statuses = stops.result(timeout=6 * _STOP_LIMIT_S)
            self.assertEqual(dict.fromkeys(_STOPPED_IN_TURN, 0), statuses)
            self.assertEqual(_JOBS, len(outcomes))
            wrong = [o for o in outcomes if o.end is not End.WHOLE]
            self.assertEqual([], wrong)
            counts.refresh()
            starts = counts.starts_by_task({o.identifier for o in outcomes})
            self.assertEqual([], [task for task in starts if starts[task] > 1])

    def _put_policy(self, launcher: Launcher) -> None:
        client = WebClient(launcher.http_address('entry-1'))
        response = client.request(
            'POST', '/v1/tickets', _POLICY, timeout_s=_REQUEST_LIMIT_S
        )
        client.close()
        self.assertEqual(200, response.status, response.body)
        time.sleep(1.0)


def _submit_all(pool: ThreadPoolExecutor, launcher: Launcher) -> list[Outcome]:
    balancer = _Balancer(launcher)
    futures = []
    for job in _jobs():
        futures.append(pool.submit(_submit, job, balancer))
        time.sleep(_PAUSE_BETWEEN_JOBS_S)
    return [future.result() for future in futures]


def _stop_each_in_turn(
    launcher: Launcher, counts: StandInCounts
) -> dict[str, int]:
    """Stop one process of each role and start it again; exit statuses."""
    status_by_name = {}
    for name in _STOPPED_IN_TURN:
        time.sleep(1.0)
        counts.refresh()
        status_by_name[name] = launcher.stop(name, _STOP_LIMIT_S)
        launcher.start(name)
        launcher.wait_until_ready([name])
    return status_by_name
