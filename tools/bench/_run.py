"""Runs benchmark cases on real processes."""

from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import sys
import time
from typing import Any
from typing import Final

from baobabgap.webclient import WebClient
from tools.bench._cases import Case
from tools.bench._cases import PolicyChoice
from tools.bench._cases import SLOTS
from tools.bench._counters import CounterSnapshot
from tools.bench._counters import StandInCounts
from tools.bench._faults import FaultInjector
from tools.bench._load_generator import LoadGenerator
from tools.bench._machine import MachineUsage
from tools.bench._report import CaseRun
from tools.bench._report import report_line
from tools.bench._trace import TEAMS_BY_CLIENT
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher

# Each request that waits for its response holds an HTTP thread.
_EXTRA_SETTINGS: Final = {'entry': {'http_threads': 600}}
_UNLIMITED_QUOTA: Final = {'tasks_per_second': 1e6, 'burst_tasks': 1_000_000}
_TICKET_LIMIT_S: Final = 10.0
# Time for a ticket to take effect.
_TICKET_SETTLE_S: Final = 2.0
_LATE_MESSAGES_WAIT_S: Final = 0.5


class BenchError(Exception):
    """Raised if a deployment rejects the setup of a case."""


def run_cases(cases: Sequence[Case], seed: int) -> Iterator[dict[str, Any]]:
    """Run the cases in order; yield one report line for each policy.

    Consecutive cases share a deployment, except for cases with a fault.
    """
    groups = itertools.groupby(cases, key=_deployment_key)
    for (entries, _), group in groups:
        plan = DeploymentPlan(entries=entries, extra_settings=_EXTRA_SETTINGS)
        with Launcher.from_plan(plan) as launcher:
            launcher.start_all()
            launcher.wait_until_ready()
            deployment = _BenchDeployment(launcher, seed)
            for case in group:
                for policy in case.policies:
                    yield deployment.run(case, policy)


def _deployment_key(case: Case) -> tuple[int, str]:
    return case.entries, case.name if case.needs_own_deployment else ''


class _BenchDeployment:
    """A deployment that runs cases in sequence."""

    def __init__(self, launcher: Launcher, seed: int) -> None:
        self._launcher = launcher
        self._seed = seed
        self._ticket_number = 0
        self._run_number = 0
        self._counts = StandInCounts(launcher)

    def run(self, case: Case, policy: PolicyChoice) -> dict[str, Any]:
        """Run one case under one policy and return its report line."""
        self._put_policy(policy)
        time.sleep(_TICKET_SETTLE_S)
        _print_progress(f'{case.name} {policy.name}: {len(case.jobs)} jobs')
        self._run_number += 1
        self._counts.refresh()
        duplicates_before = self._counts.total('duplicates')
        repeated_before = self._counts.total('repeated_requests')
        generator = LoadGenerator(
            [
                self._launcher.http_address(name)
                for name in self._launcher.names_with_role('entry')
            ]
        )
        injector = self._fault_injector(case)
        empty_round_trip_s = generator.measure_empty_round_trip_s()
        counters_before = CounterSnapshot.take(self._launcher)
        machine_before = MachineUsage.take(self._launcher)
        if injector is not None:
            injector.start()
        outcomes = generator.run(case.jobs, f'run-{self._run_number}')
        extra = injector.finish() if injector is not None else {}
        machine_after = MachineUsage.take(self._launcher)
        time.sleep(_LATE_MESSAGES_WAIT_S)
        counters = CounterSnapshot.take(self._launcher).since(counters_before)
        generator.close()
        self._counts.refresh()
        return report_line(
            CaseRun(
                case=case.name,
                policy=policy.name,
                seed=self._seed,
                load=case.load,
                slots=SLOTS,
                seconds=case.seconds,
                jobs=case.jobs,
                has_baseline=case.has_baseline,
                outcomes=outcomes,
                empty_round_trip_s=empty_round_trip_s,
                counters=counters,
                starts_by_task=self._counts.starts_by_task(
                    {outcome.identifier for outcome in outcomes}
                ),
                duplicates_within_stand_ins=self._counts.total('duplicates')
                - duplicates_before,
                repeated_requests=self._counts.total('repeated_requests')
                - repeated_before,
                cores_of_others=machine_after.cores_of_others_since(
                    machine_before
                ),
                extra=extra,
            )
        )

    def _fault_injector(self, case: Case) -> FaultInjector | None:
        if case.fault is None:
            return None
        delay_s = case.seconds / 3.0
        return FaultInjector(case.fault, delay_s, self._launcher, self._counts)

    def _put_policy(self, policy: PolicyChoice) -> None:
        self._ticket_number += 1
        state: dict[str, Any] = {
            f'quota/{team}': _UNLIMITED_QUOTA
            for teams in TEAMS_BY_CLIENT.values()
            for team in teams
        }
        state['policy'] = policy.settings
        document = {'number': self._ticket_number, 'state': state}
        client = WebClient(self._launcher.http_address('entry-1'))
        response = client.request(
            'POST', '/v1/tickets', document, timeout_s=_TICKET_LIMIT_S
        )
        client.close()
        if response.status != 200:
            raise BenchError(
                f'entry-1 did not accept ticket {self._ticket_number}: '
                f'{response.status} {response.body!r}'
            )


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
