"""One run by a seed: members, callers and faults, then the check."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
import tempfile
import threading
import time
from typing import Final

from tools.job_history._callers import Callers
from tools.job_history._callers import Operator
from tools.job_history._control_group import ControlGroup
from tools.job_history._deployment import Members
from tools.job_history._faults import Faults
from tools.job_history._records import JobHistory
from tools.job_history._rules import check

_CALLERS: Final = 6
_THREADS: Final = 256
_START_LIMIT_S: Final = 30.0
# Seconds until no order is under way that may yet be carried out late.
_QUIET_S: Final = 2.5


@dataclass(frozen=True, slots=True)
class JobRunResult:
    """What a run has recorded, and what is wrong with it."""

    seed: int
    history: JobHistory
    breaches: tuple[str, ...]

    def line(self) -> str:
        """Sum the run up in one line."""
        history = self.history
        verdict = 'RED' if self.breaches else 'held'
        faults = ', '.join(
            f'{count} {kind}'
            for kind, count in sorted(history.fault_counts.items())
        )
        return (
            f'seed {self.seed} {verdict} jobs {len(history.tasks_by_job)} '
            f'stored {len(history.stored_jobs)} runs {len(history.runs)} '
            f'configurations {len(history.puts)} faults: {faults}'
        )


def run(seed: int, seconds: float) -> JobRunResult:
    """Run for some seconds under faults, let all settle, and check."""
    history = JobHistory()
    with (
        tempfile.TemporaryDirectory(prefix='baobabgap-') as folder,
        ThreadPoolExecutor(_THREADS) as pool,
        ControlGroup(Path(folder)) as group,
    ):
        members = Members(group, pool, seed)
        try:
            _record(group, members, pool, history, seed, seconds)
        finally:
            members.stop()
        for upstream in members.upstreams:
            history.runs += upstream.records
    return JobRunResult(seed, history, tuple(check(history)))


def _record(
    group: ControlGroup,
    members: Members,
    pool: ThreadPoolExecutor,
    history: JobHistory,
    seed: int,
    seconds: float,
) -> None:
    members.start()
    operator = Operator(group, history)
    give_up_at = time.monotonic() + _START_LIMIT_S
    while not operator.put(1):
        if time.monotonic() > give_up_at:
            raise TimeoutError('no leader took the first configuration')
        time.sleep(0.1)
    callers = Callers(members.entries, history, seed)
    faults = Faults(group, members.upstreams, members.announce, seed)
    over = threading.Event()
    futures = [
        pool.submit(operator.operate, over),
        pool.submit(faults.hurt_control, over),
        pool.submit(faults.hurt_upstreams, over),
        *(
            pool.submit(callers.call, number, over)
            for number in range(_CALLERS)
        ),
    ]
    try:
        time.sleep(seconds)
    finally:
        over.set()
    for future in futures:
        future.result()
    history.fault_counts = dict(faults.counts)
    callers.settle()
    operator.read()
    time.sleep(_QUIET_S)
