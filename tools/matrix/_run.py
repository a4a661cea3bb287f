"""Runs cells of the matrix one after the other on one deployment."""

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
from tools.matrix._callers import Callers
from tools.matrix._callers import SubmittedJob
from tools.matrix._cells import Cell
from tools.matrix._cells import reason_not_to_run
from tools.matrix._cells import Result
from tools.matrix._cells import Verdict
from tools.matrix._checks import check_jobs
from tools.matrix._checks import check_tickets
from tools.matrix._checks import wait_until_recovered
from tools.matrix._deployment import Deployment
from tools.matrix._deployment import WaitTimeout
from tools.matrix._injection import Injection
from tools.matrix._step_driver import StepDriver
from tools.matrix._step_driver import StepNotReached

_MAX_REPORTED_PROBLEMS: Final = 4
_MAX_ATTEMPTS: Final = 2
_MAX_NEW_JOB_S: Final = 15.0
_CELL_ERRORS: Final = (WaitTimeout, LaunchError, BaobabgapError, OSError)


def run_cells(
    cells: Iterable[Cell], seed: int, report: Callable[[Result], None]
) -> list[Result]:
    """Run cells; a red cell is followed by a new deployment."""
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
    """Runs cells and replaces the deployment after a red one."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._deployment: Deployment | None = None

    def run(self, cell: Cell) -> Result:
        reason = reason_not_to_run(cell)
        if reason:
            return Result(cell, Verdict.NOT_RUN, self._seed, reason)
        try:
            problems = self._run_with_retry(cell)
        except StepNotReached as error:
            return Result(cell, Verdict.NOT_RUN, self._seed, str(error))
        if not problems:
            return Result(cell, Verdict.HELD, self._seed)
        self.close()
        reason = '; '.join(problems[:_MAX_REPORTED_PROBLEMS])
        return Result(cell, Verdict.RED, self._seed, reason)

    def _run_with_retry(self, cell: Cell) -> list[str]:
        """Run a cell; retry on a new deployment if its step is missed."""
        for attempts_left in reversed(range(_MAX_ATTEMPTS)):
            if self._deployment is None:
                self._deployment = Deployment.start()
            try:
                return self._run_once(cell, self._deployment)
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

    def _run_once(self, cell: Cell, deployment: Deployment) -> list[str]:
        rng = random.Random(f'{self._seed}/{cell.step}/{cell.fault}')
        step_driver = StepDriver(deployment, rng)
        callers = Callers(deployment, self._seed)
        counts = StandInCounts(deployment.launcher)
        callers.start()
        problems = []
        affected = ''
        jobs: list[SubmittedJob] = []
        try:
            affected = Injection(deployment, step_driver, rng).run(cell)
            problems += step_driver.errors
            wait_until_recovered(deployment)
            problems += _check_service(deployment, callers)
        except _CELL_ERRORS as error:
            problems.append(str(error))
        finally:
            jobs = callers.finish()
        try:
            problems += check_jobs(jobs, counts)
            problems += check_tickets(deployment)
        except _CELL_ERRORS as error:
            problems.append(str(error))
        return [f'[{affected}] {problem}' for problem in problems]


def _check_service(deployment: Deployment, callers: Callers) -> Iterator[str]:
    """Yield problems with new jobs after the recovery."""
    for entry in deployment.entries:
        asked_at = time.monotonic()
        job = callers.submit_one(entry)
        took_s = time.monotonic() - asked_at
        if job.end is not End.WHOLE:
            codes = [one.code or one.end for one in job.attempts]
            yield f'a new job at {entry} ended as {job.end}: {codes[-3:]}'
        elif took_s > _MAX_NEW_JOB_S:
            yield f'a new job at {entry} took {took_s:.1f} s'
