"""Tests planned stops of each role under load, with real processes.

A process that drops its work at SIGTERM, or whose successor runs it
again, loses answers or starts tasks twice.
"""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
import itertools
import threading
import time
from typing import Final
import unittest

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from tools.bench._answers import classify_response
from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._answers import submission_document
from tools.bench._counters import StandInCounts
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
_MAX_ATTEMPTS: Final = 12
_RETRY_PAUSE_S: Final = 0.25
_REQUEST_LIMIT_S: Final = 30.0
_STOP_LIMIT_S: Final = 20.0
_PAUSE_BETWEEN_JOBS_S: Final = 0.1
# Includes all control hosts, so that the leader is among them.
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


def _make_jobs() -> Sequence[TraceJob]:
    """Return a short trace with jobs of both clients."""
    phases = (ArrivalPhase(0.0, 20.0, 1.0),)
    shape = TraceShape(_AGENTS * _SLOTS, phases)
    return generate_trace(_SEED, shape)[:_JOBS]


class _Balancer:
    """Selects entries round-robin, as the platform's balancer does."""

    def __init__(self, launcher: Launcher) -> None:
        self._lock = threading.Lock()
        self._addresses = itertools.cycle(
            [
                launcher.http_address(name)
                for name in launcher.names_with_role('entry')
            ]
        )

    def next_address(self) -> str:
        """Return the entry address for the next request."""
        with self._lock:
            return next(self._addresses)


def _submit(job: TraceJob, balancer: _Balancer) -> Outcome:
    """Submit a job until it ends otherwise than refused or unanswered.

    A refused job hasn't run, and an unanswered one may be resubmitted
    under its identifier, so both are sent to the next entry.
    """
    identifier = f'{job.client}.{time.time_ns() // 1_000_000}.{job.number}'
    outcome = Outcome(job, identifier, End.NO_ANSWER, 0.0, 0.0)
    for _ in range(_MAX_ATTEMPTS):
        client = WebClient(balancer.next_address())
        try:
            response = client.request(
                'POST',
                '/v1/jobs',
                submission_document(job, identifier),
                timeout_s=_REQUEST_LIMIT_S,
            )
            outcome = classify_response(job, identifier, response, 0.0, 0.0)
        except ConnectionLost:
            outcome = Outcome(job, identifier, End.NO_ANSWER, 0.0, 0.0)
        finally:
            client.close()
        if outcome.end not in (End.REFUSED, End.NO_ANSWER):
            return outcome
        time.sleep(_RETRY_PAUSE_S)
    return outcome


class TestWholePath(unittest.TestCase):
    """Every caller gets its own whole answer while processes restart."""

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
            not_whole = [o for o in outcomes if o.end is not End.WHOLE]
            self.assertEqual([], not_whole)
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
    for job in _make_jobs():
        futures.append(pool.submit(_submit, job, balancer))
        time.sleep(_PAUSE_BETWEEN_JOBS_S)
    return [future.result() for future in futures]


def _stop_each_in_turn(
    launcher: Launcher, counts: StandInCounts
) -> dict[str, int]:
    """Stop and restart each process in turn; return exit statuses by name."""
    status_by_name = {}
    for name in _STOPPED_IN_TURN:
        time.sleep(1.0)
        counts.refresh()
        status_by_name[name] = launcher.stop(name, _STOP_LIMIT_S)
        launcher.start(name)
        launcher.wait_until_ready([name])
    return status_by_name
