"""Injects a fault, lets it last, and mends it."""

import random
import time
from typing import Final

from tools.matrix._cells import Cell
from tools.matrix._cells import Fault
from tools.matrix._deployment import Deployment
from tools.matrix._deployment import wait_until
from tools.matrix._disk import DiskFault
from tools.matrix._moments import Moments

# Longer than the silence after which a link is given up, and than an
# election.
_FAULT_LASTS_S: Final = 2.5
_DOWN_S: Final = 1.0
_MISSED_TICKETS: Final = 120
_TORN_LIMIT_S: Final = 15.0


class Injection:
    """One fault at one process."""

    def __init__(
        self, deployment: Deployment, moments: Moments, chance: random.Random
    ) -> None:
        self._deployment = deployment
        self._moments = moments
        self._chance = chance

    def run(self, cell: Cell) -> str:
        """Reach the step, inject and mend; say what was done to whom."""
        victim = self._moments.reach(cell.step)
        done = self._inject(cell.fault, victim)
        self._mend(victim)
        self._moments.finish()
        return f'{victim}{done}'

    def _inject(self, fault: Fault, victim: str) -> str:
        """Let a fault strike and last; return details for the report."""
        deployment = self._deployment
        match fault:
            case Fault.KILL:
                deployment.kill(victim)
                time.sleep(_DOWN_S)
            case Fault.FREEZE:
                deployment.launcher.freeze(victim)
                time.sleep(_FAULT_LASTS_S)
            case Fault.CUT_ONE_WAY | Fault.CUT_BOTH_WAYS:
                return self._cut(victim, fault is Fault.CUT_BOTH_WAYS)
            case Fault.DOUBLE:
                return self._kill_two(victim)
            case Fault.FAR_BEHIND:
                deployment.kill(victim)
                self._pass_by(victim)
            case _:
                self._spoil_disk(fault, victim)
        return ''

    def _spoil_disk(self, fault: Fault, victim: str) -> None:
        deployment = self._deployment
        match fault:
            case Fault.LOST_DISK:
                deployment.lose_disk(victim)
                time.sleep(_DOWN_S)
            case Fault.FULL_DISK:
                deployment.order_disk(victim, DiskFault.FULL)
                time.sleep(_FAULT_LASTS_S)
            case Fault.SLOW_SYNC:
                deployment.order_disk(victim, DiskFault.SLOW)
                time.sleep(_FAULT_LASTS_S)
            case Fault.TORN_WRITE:
                self._tear(victim)

    def _cut(self, victim: str, both_ways: bool) -> str:
        inbound = self._chance.random() < 0.5
        self._deployment.cut(
            victim,
            inbound=inbound or both_ways,
            outbound=not inbound or both_ways,
        )
        time.sleep(_FAULT_LASTS_S)
        if both_ways:
            return ''
        return ' inbound' if inbound else ' outbound'

    def _kill_two(self, victim: str) -> str:
        self._deployment.kill(victim)
        second = self._second_victim(victim)
        self._deployment.kill(second)
        time.sleep(_DOWN_S)
        return f' and {second}'

    def _tear(self, victim: str) -> None:
        """Have the victim die in the midst of its next write."""
        deployment = self._deployment
        deployment.order_disk(victim, DiskFault.TORN)
        wait_until(
            lambda: not deployment.health(victim),
            f'{victim} dies at a torn write',
            _TORN_LIMIT_S,
        )
        deployment.kill(victim)

    def _second_victim(self, victim: str) -> str:
        """Choose a running process that the victim works with."""
        deployment = self._deployment
        role = victim.rpartition('-')[0]
        match role:
            case 'agent':
                second = self._chance.choice(deployment.entries)
            case 'entry':
                second = self._chance.choice(deployment.controls)
            case _:
                running = deployment.launcher.is_running
                second = self._chance.choice(
                    [name for name in deployment.controls if running(name)]
                )
        return second

    def _pass_by(self, victim: str) -> None:
        """Let many changes pass while the victim is down."""
        deployment = self._deployment
        self._restart_gone(victim)
        # Or one of these tickets makes the one under way stale.
        self._moments.finish()
        entries = [name for name in deployment.entries if name != victim]
        quota = {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
        for number in range(_MISSED_TICKETS):
            state = {f'quota/missed-{number % 40}': quota}
            deployment.put_ticket(entries[0], state)

    def _restart_gone(self, victim: str) -> None:
        """Start what the step itself took down, but not the victim."""
        launcher = self._deployment.launcher
        for name in launcher.names:
            if name != victim and not launcher.is_running(name):
                launcher.start(name)

    def _mend(self, victim: str) -> None:
        deployment = self._deployment
        deployment.heal_cuts()
        for name in deployment.controls:
            deployment.order_disk(name, None)
        if deployment.launcher.is_running(victim):
            deployment.launcher.thaw(victim)
        self._restart_gone('')
