"""One run by a seed: members, callers and faults, then the check."""

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
from tools.job_history._control_group import ControlGroup
from tools.job_history._deployment import Members
from tools.job_history._faults import Faults
from tools.job_history._moments import Moments
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


@dataclass(frozen=True, slots=True)
class Players:
    """What faults are done to, and when."""

    group: ControlGroup
    members: Members
    moments: Moments


# Does faults until it is done, or until the event is set.
Hurt = Callable[[Players, threading.Event], None]


def run(seed: int, seconds: float) -> JobRunResult:
    """Play for some seconds under random faults, and check."""
    counts: Counter[str] = Counter()

    def hurt(players: Players, over: threading.Event) -> None:
        members = players.members
        faults = Faults(
            players.group, members.upstreams, members.announce, seed
        )
        others = threading.Thread(target=faults.hurt_upstreams, args=(over,))
        others.start()
        faults.hurt_control(over)
        others.join()
        counts.update(faults.counts)

    result = play(seed, [hurt], seconds)
    result.history.fault_counts = dict(counts)
    return result


def play(
    seed: int, hurts: list[Hurt], seconds: float = math.inf
) -> JobRunResult:
    """Let callers work while faults are done, let all settle, and check.

    It lasts until all faults are done, or for some seconds.
    """
    history = JobHistory()
    moments = Moments()
    with (
        tempfile.TemporaryDirectory(prefix='baobabgap-') as folder,
        ThreadPoolExecutor(_THREADS) as pool,
        ControlGroup(Path(folder)) as group,
    ):
        members = Members(group, pool, moments, seed)
        players = Players(group, members, moments)
        try:
            _record(players, pool, history, seed, hurts, seconds)
        finally:
            members.stop()
        for upstream in members.upstreams:
            history.runs += upstream.records
    return JobRunResult(seed, history, tuple(check(history)))


def _record(
    players: Players,
    pool: ThreadPoolExecutor,
    history: JobHistory,
    seed: int,
    hurts: list[Hurt],
    seconds: float,
) -> None:
    members, moments = players.members, players.moments
    members.start()
    operator = Operator(players.group, history, moments)
    give_up_at = time.monotonic() + _START_LIMIT_S
    while not operator.put(1):
        if time.monotonic() > give_up_at:
            raise TimeoutError('no leader took the first configuration')
        time.sleep(0.1)
    callers = Callers(members.entries, history, moments, seed)
    over = threading.Event()
    hurting = [pool.submit(hurt, players, over) for hurt in hurts]
    working = [
        pool.submit(operator.operate, over),
        *(
            pool.submit(callers.call, number, over)
            for number in range(_CALLERS)
        ),
    ]
    try:
        wait(hurting, None if seconds == math.inf else seconds)
    finally:
        over.set()
    for future in (*hurting, *working):
        future.result()
    callers.settle()
    operator.read()
    time.sleep(_QUIET_S)
