"""Runs a deployment under seeded faults and checks its history."""

from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait
from dataclasses import dataclass
import math
from pathlib import Path
import tempfile
import threading
import time
from typing import Final

from tools.job_history._callers import Callers
from tools.job_history._callers import Operator
from tools.job_history._callers import ZoneOperator
from tools.job_history._control_group import ControlGroup
from tools.job_history._deployment import Members
from tools.job_history._faults import Faults
from tools.job_history._injection_points import InjectionPoints
from tools.job_history._records import JobHistory
from tools.job_history._rules import check

_CALLER_COUNT: Final = 6
_THREADS: Final = 256
_START_TIMEOUT_S: Final = 30.0
# Longer than the longest delay of an order that is carried out late.
_LATE_ORDER_WAIT_S: Final = 2.5


@dataclass(frozen=True, slots=True)
class JobRunResult:
    """The history of a run and its violations of the rules."""

    seed: int
    history: JobHistory
    breaches: tuple[str, ...]

    def line(self) -> str:
        """Return a summary of the run in one line."""
        history = self.history
        verdict = 'RED' if self.breaches else 'held'
        faults = ', '.join(
            f'{count} {kind}'
            for kind, count in sorted(history.fault_counts.items())
        )
        return (
            f'seed {self.seed} {verdict} jobs {len(history.tasks_by_job)} '
            f'stored {len(history.stored_jobs)} runs {len(history.runs)} '
            f'configurations {len(history.puts)} '
            f'zone orders {len(history.zone_orders)} faults: {faults}'
        )


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """What faults are injected into, and the points to inject them at."""

    group: ControlGroup
    members: Members
    points: InjectionPoints


# Injects faults until it returns or the event is set.
FaultInjector = Callable[[FaultTargets, threading.Event], None]


def run(seed: int, seconds: float) -> JobRunResult:
    """Run for some seconds under random faults and check the history."""
    counts: Counter[str] = Counter()

    def inject_faults(
        targets: FaultTargets, stopping: threading.Event
    ) -> None:
        faults = Faults(targets.group, targets.members, seed)
        threads = [
            threading.Thread(target=inject, args=(stopping,))
            for inject in (
                faults.inject_upstream_faults,
                faults.inject_member_faults,
            )
        ]
        for thread in threads:
            thread.start()
        faults.inject_control_faults(stopping)
        for thread in threads:
            thread.join()
        counts.update(faults.counts)

    result = run_with_faults(seed, [inject_faults], seconds)
    result.history.fault_counts = dict(counts)
    return result


def run_with_faults(
    seed: int, injectors: list[FaultInjector], seconds: float = math.inf
) -> JobRunResult:
    """Run callers under faults, wait for all jobs and check the history.

    Callers stop when all injectors have returned, or after `seconds`.
    """
    history = JobHistory()
    points = InjectionPoints()
    with (
        tempfile.TemporaryDirectory(prefix='baobabgap-') as folder,
        ThreadPoolExecutor(_THREADS) as pool,
        ControlGroup(Path(folder)) as group,
    ):
        members = Members(group, pool, points, seed)
        targets = FaultTargets(group, members, points)
        try:
            _run_workload(targets, pool, history, seed, injectors, seconds)
        finally:
            members.stop()
        for upstream in members.upstreams:
            history.runs += upstream.records
    return JobRunResult(seed, history, tuple(check(history)))


def _run_workload(
    targets: FaultTargets,
    pool: ThreadPoolExecutor,
    history: JobHistory,
    seed: int,
    injectors: list[FaultInjector],
    seconds: float,
) -> None:
    members, points = targets.members, targets.points
    members.start()
    operator = Operator(targets.group, history, points)
    give_up_at = time.monotonic() + _START_TIMEOUT_S
    while not operator.put(1):
        if time.monotonic() > give_up_at:
            raise TimeoutError('no leader took the first configuration')
        time.sleep(0.1)
    zone_operator = ZoneOperator(
        targets.group,
        history,
        [upstream.zone for upstream in members.upstreams],
        seed,
    )
    callers = Callers(members.entries, history, points, seed)
    stopping = threading.Event()
    fault_futures = [
        pool.submit(inject_faults, targets, stopping)
        for inject_faults in injectors
    ]
    worker_futures = [
        pool.submit(operator.run, stopping),
        pool.submit(zone_operator.run, stopping),
        *(
            pool.submit(callers.run_caller, number, stopping)
            for number in range(_CALLER_COUNT)
        ),
    ]
    try:
        wait(fault_futures, None if seconds == math.inf else seconds)
    finally:
        stopping.set()
    for future in (*fault_futures, *worker_futures):
        future.result()
    callers.settle()
    operator.read()
    time.sleep(_LATE_ORDER_WAIT_S)
