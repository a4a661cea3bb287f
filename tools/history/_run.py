"""Runs a deployment under seeded faults and checks its history."""

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

_CALLER_COUNT: Final = 4
_OPERATOR_COUNT: Final = 2
_READER_COUNT: Final = 2
_THREADS: Final = 256
_MAX_PRINTED_EVENTS: Final = 30
_SETTLE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """The history of a run and the rules that it violates."""

    seed: int
    history: History
    faults: tuple[Fault, ...]
    violations: tuple[Violation, ...]

    @property
    def held(self) -> bool:
        """Whether all rules hold."""
        return not self.violations

    def line(self) -> str:
        """Return a summary of the run in one line."""
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
        """Return the violations, the faults and the command to repeat it."""
        lines = []
        for violation in self.violations:
            lines.append(f'  {violation.rule}: {violation.message}')
            lines += [
                f'    {event}'
                for event in violation.events[:_MAX_PRINTED_EVENTS]
            ]
        lines += [f'  fault {fault}' for fault in self.faults]
        lines.append(f'  again: make history FIRST={self.seed} SEEDS=1')
        return '\n'.join(lines)


def run(seed: int, seconds: float) -> RunResult:
    """Run a deployment under faults for some seconds and check it.

    A process that doesn't become ready again after the faults is a
    violation as well. Raises `LaunchError` if the deployment doesn't start.
    """
    recorder = Recorder()
    violations: list[Violation] = []
    with Deployment.start() as deployment:
        faults = Faults(deployment, seed)
        try:
            _run_workload(deployment, recorder, faults, seed, seconds)
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


def _run_workload(
    deployment: Deployment,
    recorder: Recorder,
    faults: Faults,
    seed: int,
    seconds: float,
) -> None:
    with ThreadPoolExecutor(_THREADS) as pool:
        callers = Callers(deployment, recorder, pool, seed)
        operators = Operators(deployment, recorder, seed)
        operators.put_quotas()
        stopping = threading.Event()
        workers: list[tuple[Callable[[int, threading.Event], None], int]] = [
            (faults.inject, len(LANES)),
            (callers.run_caller, _CALLER_COUNT),
            (operators.run_operator, _OPERATOR_COUNT),
            (operators.run_reader, _READER_COUNT),
        ]
        futures = [
            pool.submit(work, number, stopping)
            for work, count in workers
            for number in range(count)
        ]
        try:
            time.sleep(seconds)
        finally:
            # Also stops the workers if SIGTERM interrupts the sleep.
            stopping.set()
        for future in futures:
            future.result()
        deployment.launcher.wait_until_ready()
        time.sleep(_SETTLE_S)
        callers.fetch_all()
        for entry in deployment.entries:
            operators.read('last', entry)
