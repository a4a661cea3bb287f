"""Cells of the job matrix: a fault of control hosts at a step of a job."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
import random
import signal
import threading
import time
from typing import Final

from tools.job_history._control_group import ControlGroup
from tools.job_history._control_group import ControlProcess
from tools.job_history._injection_points import InjectionPoint
from tools.job_history._injection_points import InjectionPoints
from tools.job_history._run import FaultTargets
from tools.job_history._run import JobRunResult
from tools.job_history._run import run_with_faults
from tools.matrix import DiskFault

# Faults injected in a cell, and missed steps after which the cell ends.
_INJECTIONS: Final = 3
_MAX_MISSES: Final = 2
# The longest random delay between the step and the fault.
_MAX_DELAY_S: Final = 0.012
_POINT_TIMEOUT_S: Final = 8.0
_LEADER_TIMEOUT_S: Final = 10.0
# The range of a fault's duration, and the pause between two faults.
_MIN_FAULT_S: Final = 0.2
_MAX_FAULT_S: Final = 1.5
_PAUSE_S: Final = 0.7


class GroupFault(StrEnum):
    """A fault of control hosts; the leader is among those affected."""

    KILL = 'kill'
    FREEZE = 'freeze-and-thaw'
    STOP = 'planned-stop'
    KILL_ALL = 'kill-all'
    DOUBLE = 'double-fault'
    FULL_DISK = 'full-disk'
    TORN_WRITE = 'torn-write'
    SLOW_SYNC = 'slow-sync'


@dataclass(frozen=True, slots=True)
class CellResult:
    """The result of one cell."""

    point: InjectionPoint
    fault: GroupFault
    injections: int
    result: JobRunResult

    @property
    def verdict(self) -> str:
        """`held`, `RED` or, if no fault was injected, `not-run`."""
        if self.result.breaches:
            return 'RED'
        return 'held' if self.injections else 'not-run'

    def line(self) -> str:
        """Return a summary of the cell in one line."""
        return (
            f'{self.point} {self.fault} {self.verdict} {self.result.seed}'
            f'  # {self.injections} strikes, '
            f'{len(self.result.history.runs)} runs'
        )


def run_cell(
    point: InjectionPoint, fault: GroupFault, seed: int
) -> CellResult:
    """Run one cell; its random draws depend on the seed and the names."""
    injections = 0

    def inject(targets: FaultTargets, stopping: threading.Event) -> None:
        nonlocal injections
        injector = _CellInjector(targets, f'{seed} {point} {fault}')
        injections = injector.inject(point, fault)

    result = run_with_faults(seed, [inject])
    return CellResult(point, fault, injections, result)


class _CellInjector:
    """Injects a fault at a step several times and repairs it each time."""

    def __init__(self, targets: FaultTargets, seed: str) -> None:
        self._group: ControlGroup = targets.group
        self._points: InjectionPoints = targets.points
        self._rng = random.Random(seed)

    def inject(self, point: InjectionPoint, fault: GroupFault) -> int:
        """Inject the fault at its step; return the number of injections."""
        injections = misses = 0
        while injections < _INJECTIONS and misses < _MAX_MISSES:
            target = self._wait_for_point(point)
            if target is None:
                misses += 1
                continue
            repair = self._inject(fault, target)
            injections += 1
            time.sleep(self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S))
            repair()
            time.sleep(_PAUSE_S)
        return injections

    def _wait_for_point(self, point: InjectionPoint) -> ControlProcess | None:
        """Wait for the next such point; return the leader, None if missed."""
        leader = self._find_leader(None)
        if leader is None:
            return None
        if point is InjectionPoint.TAKE_OVER:
            leader.kill()
            new_leader = self._find_leader(leader)
            leader.start()
            return new_leader
        if not self._points.wait_for_next(point, _POINT_TIMEOUT_S):
            return None
        time.sleep(self._rng.uniform(0.0, _MAX_DELAY_S))
        return leader

    def _find_leader(
        self, other_than: ControlProcess | None
    ) -> ControlProcess | None:
        give_up_at = time.monotonic() + _LEADER_TIMEOUT_S
        while time.monotonic() < give_up_at:
            leader = self._group.find_leader()
            if leader is not None and leader is not other_than:
                return leader
        return None

    def _inject(
        self, fault: GroupFault, target: ControlProcess
    ) -> Callable[[], None]:
        """Inject a fault; return the function that repairs it."""
        processes = self._group.processes
        match fault:
            case GroupFault.KILL:
                target.kill()
                return target.start
            case GroupFault.STOP:
                target.stop()
                return target.start
            case GroupFault.FREEZE:
                target.signal(signal.SIGSTOP)
                return lambda: target.signal(signal.SIGCONT)
            case GroupFault.KILL_ALL:
                return _kill(list(processes))
            case GroupFault.DOUBLE:
                other = next(p for p in processes if p is not target)
                return _kill([target, other])
            case GroupFault.FULL_DISK:
                return _inject_disk_fault(target, DiskFault.FULL)
            case GroupFault.TORN_WRITE:
                return _inject_disk_fault(target, DiskFault.TORN)
            case GroupFault.SLOW_SYNC:
                return _inject_disk_fault(target, DiskFault.SLOW)


def _kill(processes: list[ControlProcess]) -> Callable[[], None]:
    for process in processes:
        process.kill()

    def start() -> None:
        for process in processes:
            process.start()

    return start


def _inject_disk_fault(
    target: ControlProcess, fault: DiskFault
) -> Callable[[], None]:
    target.set_disk_fault(fault)

    def repair() -> None:
        target.set_disk_fault(None)
        # A host that has lost a write may have ended or accept no writes.
        target.kill()
        target.start()

    return repair
