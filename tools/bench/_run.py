"""Runs cases on real processes."""

from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import sys
import time
from typing import Any
from typing import Final

from baobabgap.web import WebClient
from tools.bench._caller import Callers
from tools.bench._cases import Case
from tools.bench._cases import PolicyChoice
from tools.bench._cases import SLOTS
from tools.bench._faults import FaultDriver
from tools.bench._machine import MachineReading
from tools.bench._reading import Reading
from tools.bench._reading import StandInCounts
from tools.bench._report import CaseRun
from tools.bench._report import report_line
from tools.bench._trace import TEAMS_BY_CLIENT
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher

# So that many callers can wait for their answers at once.
_EXTRA_SETTINGS: Final = {'entry': {'http_threads': 600}}
_BOUNDLESS_QUOTA: Final = {'tasks_per_second': 1e6, 'burst_tasks': 1_000_000}
_TICKET_LIMIT_S: Final = 10.0
# Time for a ticket to be in force.
_SETTLE_S: Final = 2.0
_LATE_MESSAGES_S: Final = 0.5


class BenchError(Exception):
    """A deployment that can't be measured."""


def run_cases(cases: Sequence[Case], seed: int) -> Iterator[dict[str, Any]]:
    """Run the cases in order; yield one report line for each policy.

    Neighbours share a deployment unless a fault spoils it.
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
    """A deployment that runs cases one after the other."""

    def __init__(self, launcher: Launcher, seed: int) -> None:
        self._launcher = launcher
        self._seed = seed
        self._ticket_number = 0
        self._run_number = 0
        self._counts = StandInCounts(launcher)

    def run(self, case: Case, policy: PolicyChoice) -> dict[str, Any]:
        """Run one case under one policy and report it."""
        self._put_policy(policy)
        time.sleep(_SETTLE_S)
        _tell(f'{case.name} {policy.name}: {len(case.jobs)} jobs')
        self._run_number += 1
        self._counts.refresh()
        duplicates_before = self._counts.total('duplicates')
        repeated_before = self._counts.total('repeated_requests')
        callers = Callers(
            [
                self._launcher.http_address(name)
                for name in self._launcher.names_with_role('entry')
            ]
        )
        driver = self._fault_driver(case)
        empty_round_trip_s = callers.measure_empty_round_trip_s()
        before = Reading.take(self._launcher)
        machine_before = MachineReading.take(self._launcher)
        if driver is not None:
            driver.start()
        outcomes = callers.run(case.jobs, f'run-{self._run_number}')
        extra = driver.finish() if driver is not None else {}
        machine = MachineReading.take(self._launcher)
        time.sleep(_LATE_MESSAGES_S)
        reading = Reading.take(self._launcher).since(before)
        callers.close()
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
                reading=reading,
                starts_by_task=self._counts.starts_by_task(
                    {outcome.identifier for outcome in outcomes}
                ),
                own_duplicates=self._counts.total('duplicates')
                - duplicates_before,
                repeated_requests=self._counts.total('repeated_requests')
                - repeated_before,
                cores_of_others=machine.cores_of_others_since(machine_before),
                extra=extra,
            )
        )

    def _fault_driver(self, case: Case) -> FaultDriver | None:
        if case.fault is None:
            return None
        delay_s = case.seconds / 3.0
        return FaultDriver(case.fault, delay_s, self._launcher, self._counts)

    def _put_policy(self, policy: PolicyChoice) -> None:
        self._ticket_number += 1
        state: dict[str, Any] = {
            f'quota/{team}': _BOUNDLESS_QUOTA
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
            raise BenchError(f'ticket: {response.status} {response.body!r}')


def _tell(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
