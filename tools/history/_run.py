"""One run with a seed: faults, callers and operators, then the check."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import threading
import time
from typing import Final

from tools.history._callers import Callers
from tools.history._checker import check
from tools.history._deployment import Deployment
from tools.history._events import Failed
from tools.history._events import History
from tools.history._events import Violation
from tools.history._events import Whole
from tools.history._faults import Fault
from tools.history._faults import Faults
from tools.history._faults import LANES
from tools.history._operators import Operators
from tools.history._recorder import Recorder
from tools.launcher import LaunchError

_CALLERS: Final = 4
_OPERATORS: Final = 2
_READERS: Final = 2
_THREADS: Final = 256
_MOST_EVENTS_PRINTED: Final = 30
_SETTLE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """What a run has recorded, and what is wrong with it."""

    seed: int
    history: History
    faults: tuple[Fault, ...]
    violations: tuple[Violation, ...]

    @property
    def held(self) -> bool:
        """Tell whether all rules hold."""
        return not self.violations

    def line(self) -> str:
        """Sum the run up in one line."""
        history = self.history
        tasks = sum(len(content.tasks) for content in history.contents)
        starts = sum(start.times for start in history.starts)
        ends = sum(
            isinstance(request.outcome, Whole | Failed)
            for request in history.requests
        )
        verdict = 'held' if self.held else 'RED'
        return (
            f'seed {self.seed} {verdict} jobs {len(history.contents)} '
            f'tasks {tasks} starts {starts} ends {ends} '
            f'tickets {len(history.puts)} reads {len(history.reads)} '
            f'faults {len(self.faults)}'
        )

    def explanation(self) -> str:
        """Name the broken rules, the events concerned and the command."""
        lines = []
        for violation in self.violations:
            lines.append(f'  {violation.rule}: {violation.message}')
            lines += [
                f'    {event}'
                for event in violation.events[:_MOST_EVENTS_PRINTED]
            ]
        lines += [f'  fault {fault}' for fault in self.faults]
        lines.append(f'  again: make history FIRST={self.seed} SEEDS=1')
        return '\n'.join(lines)


def run(seed: int, seconds: float) -> RunResult:
    """Put up a deployment, let it run under faults, and check.

    A process that doesn't become ready again after its faults breaks a
    rule as well. Raises `LaunchError` if the deployment doesn't come up.
    """
    recorder = Recorder()
    violations: list[Violation] = []
    with Deployment.start() as deployment:
        faults = Faults(deployment, seed)
        try:
            _record(deployment, recorder, faults, seed, seconds)
        except (LaunchError, TimeoutError) as error:
            violations.append(Violation('recovers', str(error), ()))
            violations += [
                Violation('recovers', f'{name}: {output}', ())
                for name, output in deployment.outputs_of_unready().items()
            ]
        for start in deployment.starts():
            recorder.record(start)
    history = recorder.history()
    violations += check(history)
    return RunResult(seed, history, tuple(faults.injected), tuple(violations))


def _record(
    deployment: Deployment,
    recorder: Recorder,
    faults: Faults,
    seed: int,
    seconds: float,
) -> None:
    with ThreadPoolExecutor(_THREADS) as pool:
        callers = Callers(deployment, recorder, pool, seed)
        operators = Operators(deployment, recorder, seed)
        operators.put_first()
        over = threading.Event()
        actors: list[tuple[Callable[[int, threading.Event], None], int]] = [
            (faults.inject, len(LANES)),
            (callers.call, _CALLERS),
            (operators.operate, _OPERATORS),
            (operators.watch, _READERS),
        ]
        futures = [
            pool.submit(act, number, over)
            for act, count in actors
            for number in range(count)
        ]
        try:
            time.sleep(seconds)
        finally:
            # Also if this process is asked to end.
            over.set()
        for future in futures:
            future.result()
        deployment.launcher.wait_until_ready()
        time.sleep(_SETTLE_S)
        callers.fetch_all()
        for entry in deployment.entries:
            operators.read('last', entry)
