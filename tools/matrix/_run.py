"""Runs cells of the matrix, one after the other, on one deployment."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import random
import time
from typing import Final

from baobabgap import BaobabgapError
from tools.bench._answers import End
from tools.bench._counters import StandInCounts
from tools.launcher import LaunchError
from tools.matrix._callers import CalledJob
from tools.matrix._callers import Callers
from tools.matrix._cells import Cell
from tools.matrix._cells import reason_not_to_run
from tools.matrix._cells import Result
from tools.matrix._cells import Verdict
from tools.matrix._checks import check_jobs
from tools.matrix._checks import check_tickets
from tools.matrix._checks import wait_until_repaired
from tools.matrix._deployment import Deployment
from tools.matrix._deployment import WaitedInVain
from tools.matrix._injection import Injection
from tools.matrix._moments import Moments
from tools.matrix._moments import StepNotReached

_MOST_REASONS: Final = 4
_MOST_ATTEMPTS: Final = 2
_RESUMED_LIMIT_S: Final = 15.0
_ERRORS: Final = (WaitedInVain, LaunchError, BaobabgapError, OSError)


def run_cells(
    cells: Iterable[Cell], seed: int, report: Callable[[Result], None]
) -> list[Result]:
    """Run cells; a deployment serves until a cell turns red."""
    results = []
    runner = _Runner(seed)
    try:
        for cell in cells:
            result = runner.run(cell)
            report(result)
            results.append(result)
    finally:
        runner.close()
    return results


class _Runner:
    """Keeps one deployment for as long as its cells hold."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._deployment: Deployment | None = None

    def run(self, cell: Cell) -> Result:
        reason = reason_not_to_run(cell)
        if reason:
            return Result(cell, Verdict.NOT_RUN, self._seed, reason)
        try:
            problems = self._try(cell)
        except StepNotReached as error:
            return Result(cell, Verdict.NOT_RUN, self._seed, str(error))
        if not problems:
            return Result(cell, Verdict.HELD, self._seed)
        self.close()
        reason = '; '.join(problems[:_MOST_REASONS])
        return Result(cell, Verdict.RED, self._seed, reason)

    def _try(self, cell: Cell) -> list[str]:
        """Run a cell, once more on a new deployment if its step is missed."""
        for attempts_left in reversed(range(_MOST_ATTEMPTS)):
            if self._deployment is None:
                self._deployment = Deployment.start()
            try:
                return self._problems(cell, self._deployment)
            except StepNotReached:
                self.close()
                if not attempts_left:
                    raise
        return []

    def close(self) -> None:
        """End the deployment."""
        if self._deployment is not None:
            self._deployment.close()
            self._deployment = None

    def _problems(self, cell: Cell, deployment: Deployment) -> list[str]:
        chance = random.Random(f'{self._seed}/{cell.step}/{cell.fault}')
        moments = Moments(deployment, chance)
        callers = Callers(deployment, self._seed)
        counts = StandInCounts(deployment.launcher)
        callers.start()
        problems = []
        done = ''
        called: list[CalledJob] = []
        try:
            done = Injection(deployment, moments, chance).run(cell)
            problems += moments.errors
            wait_until_repaired(deployment)
            problems += _check_service(deployment, callers)
        except _ERRORS as error:
            problems.append(str(error))
        finally:
            called = callers.finish()
        try:
            problems += check_jobs(called, counts)
            problems += check_tickets(deployment)
        except _ERRORS as error:
            problems.append(str(error))
        return [f'[{done}] {problem}' for problem in problems]


def _check_service(deployment: Deployment, callers: Callers) -> Iterator[str]:
    """Yield what is wrong with new jobs after the repair."""
    for entry in deployment.entries:
        asked_at = time.monotonic()
        job = callers.submit_one(entry)
        took_s = time.monotonic() - asked_at
        if job.end is not End.WHOLE:
            codes = [one.code or one.end for one in job.attempts]
            yield f'a new job at {entry} ended as {job.end}: {codes[-3:]}'
        elif took_s > _RESUMED_LIMIT_S:
            yield f'a new job at {entry} took {took_s:.1f} s'
