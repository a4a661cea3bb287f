"""Cells of the job matrix: a fault of control hosts at a named step."""

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
from tools.job_history._moments import Moment
from tools.job_history._moments import Moments
from tools.job_history._run import JobRunResult
from tools.job_history._run import play
from tools.job_history._run import Players
from tools.matrix import DiskFault

# How often a fault strikes in a cell, and how often it may miss its step.
_STRIKES: Final = 3
_MOST_MISSES: Final = 2
# Seconds after the step is reported within which the fault strikes.
_LATEST_S: Final = 0.012
_MOMENT_LIMIT_S: Final = 8.0
_LEADER_LIMIT_S: Final = 10.0
# Seconds that a fault lasts, and between two.
_SHORTEST_S: Final = 0.2
_LONGEST_S: Final = 1.5
_REST_S: Final = 0.7


class GroupFault(StrEnum):
    """What is done to control hosts, the leader first."""

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
    """What came of one cell."""

    moment: Moment
    fault: GroupFault
    strikes: int
    result: JobRunResult

    @property
    def verdict(self) -> str:
        """`held`, `RED` or, if the step was missed, `not-run`."""
        if self.result.breaches:
            return 'RED'
        return 'held' if self.strikes else 'not-run'

    def line(self) -> str:
        """Sum the cell up in one line."""
        return (
            f'{self.moment} {self.fault} {self.verdict} {self.result.seed}'
            f'  # {self.strikes} strikes, {len(self.result.history.runs)} runs'
        )


def run_cell(moment: Moment, fault: GroupFault, seed: int) -> CellResult:
    """Play one cell; all randomness comes from the seed and the names."""
    strikes = 0

    def strike(players: Players, over: threading.Event) -> None:
        nonlocal strikes
        striker = _Striker(players, f'{seed} {moment} {fault}')
        strikes = striker.strike(moment, fault)

    result = play(seed, [strike])
    return CellResult(moment, fault, strikes, result)


class _Striker:
    """Does a fault at a step, again and again, and mends it."""

    def __init__(self, players: Players, seed: str) -> None:
        self._group: ControlGroup = players.group
        self._moments: Moments = players.moments
        self._chance = random.Random(seed)

    def strike(self, moment: Moment, fault: GroupFault) -> int:
        """Return how often the fault met its step."""
        strikes = misses = 0
        while strikes < _STRIKES and misses < _MOST_MISSES:
            victim = self._wait_for(moment)
            if victim is None:
                misses += 1
                continue
            mend = self._do(fault, victim)
            strikes += 1
            time.sleep(self._chance.uniform(_SHORTEST_S, _LONGEST_S))
            mend()
            time.sleep(_REST_S)
        return strikes

    def _wait_for(self, moment: Moment) -> ControlProcess | None:
        """Return the leader at the next such moment."""
        leader = self._find_leader(None)
        if leader is None:
            return None
        if moment is Moment.TAKE_OVER:
            leader.kill()
            heir = self._find_leader(leader)
            leader.start()
            return heir
        if not self._moments.wait_for_next(moment, _MOMENT_LIMIT_S):
            return None
        time.sleep(self._chance.uniform(0.0, _LATEST_S))
        return leader

    def _find_leader(
        self, other_than: ControlProcess | None
    ) -> ControlProcess | None:
        give_up_at = time.monotonic() + _LEADER_LIMIT_S
        while time.monotonic() < give_up_at:
            leader = self._group.find_leader()
            if leader is not None and leader is not other_than:
                return leader
        return None

    def _do(
        self, fault: GroupFault, victim: ControlProcess
    ) -> Callable[[], None]:
        """Do a fault; return what mends it."""
        processes = self._group.processes
        match fault:
            case GroupFault.KILL:
                victim.kill()
                return victim.start
            case GroupFault.STOP:
                victim.stop()
                return victim.start
            case GroupFault.FREEZE:
                victim.signal(signal.SIGSTOP)
                return lambda: victim.signal(signal.SIGCONT)
            case GroupFault.KILL_ALL:
                return _kill(list(processes))
            case GroupFault.DOUBLE:
                other = next(p for p in processes if p is not victim)
                return _kill([victim, other])
            case GroupFault.FULL_DISK:
                return _hurt_disk(victim, DiskFault.FULL)
            case GroupFault.TORN_WRITE:
                return _hurt_disk(victim, DiskFault.TORN)
            case GroupFault.SLOW_SYNC:
                return _hurt_disk(victim, DiskFault.SLOW)


def _kill(victims: list[ControlProcess]) -> Callable[[], None]:
    for victim in victims:
        victim.kill()

    def start() -> None:
        for victim in victims:
            victim.start()

    return start


def _hurt_disk(victim: ControlProcess, fault: DiskFault) -> Callable[[], None]:
    victim.set_disk_fault(fault)

    def mend() -> None:
        victim.set_disk_fault(None)
        # A host that has lost a write may have ended, or takes no more.
        victim.kill()
        victim.start()

    return mend
