"""Injects a fault, keeps it for a while and ends it."""

import random
import time
from typing import Final

from tools.matrix._cells import Cell
from tools.matrix._cells import Fault
from tools.matrix._deployment import Deployment
from tools.matrix._deployment import wait_until
from tools.matrix._disk import DiskFault
from tools.matrix._step_driver import StepDriver

# Longer than an election and than the silence after which a link is closed.
_FAULT_DURATION_S: Final = 2.5
_DOWNTIME_S: Final = 1.0
_MISSED_TICKETS: Final = 120
_TORN_WRITE_TIMEOUT_S: Final = 15.0


class Injection:
    """Injects one fault into one process."""

    def __init__(
        self,
        deployment: Deployment,
        step_driver: StepDriver,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._step_driver = step_driver
        self._rng = rng

    def run(self, cell: Cell) -> str:
        """Inject a fault at its step and end it; return what was affected."""
        target = self._step_driver.reach(cell.step)
        details = self._inject(cell.fault, target)
        self._end_fault(target)
        self._step_driver.finish()
        return f'{target}{details}'

    def _inject(self, fault: Fault, target: str) -> str:
        """Inject a fault for its duration; return details for the report."""
        deployment = self._deployment
        match fault:
            case Fault.KILL:
                deployment.kill(target)
                time.sleep(_DOWNTIME_S)
            case Fault.FREEZE:
                deployment.launcher.freeze(target)
                time.sleep(_FAULT_DURATION_S)
            case Fault.CUT_ONE_WAY | Fault.CUT_BOTH_WAYS:
                return self._cut(target, fault is Fault.CUT_BOTH_WAYS)
            case Fault.DOUBLE:
                return self._kill_two(target)
            case Fault.FAR_BEHIND:
                deployment.kill(target)
                self._put_missed_tickets(target)
            case _:
                self._inject_disk_fault(fault, target)
        return ''

    def _inject_disk_fault(self, fault: Fault, target: str) -> None:
        deployment = self._deployment
        match fault:
            case Fault.LOST_DISK:
                deployment.lose_disk(target)
                time.sleep(_DOWNTIME_S)
            case Fault.FULL_DISK:
                deployment.set_disk_fault(target, DiskFault.FULL)
                time.sleep(_FAULT_DURATION_S)
            case Fault.SLOW_SYNC:
                deployment.set_disk_fault(target, DiskFault.SLOW)
                time.sleep(_FAULT_DURATION_S)
            case Fault.TORN_WRITE:
                self._inject_torn_write(target)

    def _cut(self, target: str, both_ways: bool) -> str:
        inbound = self._rng.random() < 0.5
        self._deployment.cut(
            target,
            inbound=inbound or both_ways,
            outbound=not inbound or both_ways,
        )
        time.sleep(_FAULT_DURATION_S)
        if both_ways:
            return ''
        return ' inbound' if inbound else ' outbound'

    def _kill_two(self, target: str) -> str:
        self._deployment.kill(target)
        second = self._second_target(target)
        self._deployment.kill(second)
        time.sleep(_DOWNTIME_S)
        return f' and {second}'

    def _inject_torn_write(self, target: str) -> None:
        """End the target in the middle of its next write."""
        deployment = self._deployment
        deployment.set_disk_fault(target, DiskFault.TORN)
        wait_until(
            lambda: not deployment.health(target),
            f'{target} dies at a torn write',
            _TORN_WRITE_TIMEOUT_S,
        )
        deployment.kill(target)

    def _second_target(self, target: str) -> str:
        """Choose a running process that the target communicates with."""
        deployment = self._deployment
        role = target.rpartition('-')[0]
        match role:
            case 'agent':
                second = self._rng.choice(deployment.entries)
            case 'entry':
                second = self._rng.choice(deployment.controls)
            case _:
                running = deployment.launcher.is_running
                second = self._rng.choice(
                    [name for name in deployment.controls if running(name)]
                )
        return second

    def _put_missed_tickets(self, target: str) -> None:
        """Put many tickets while the target is down."""
        deployment = self._deployment
        self._restart_stopped(target)
        # Otherwise a ticket below makes one still in flight stale.
        self._step_driver.finish()
        entries = [name for name in deployment.entries if name != target]
        quota = {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
        for number in range(_MISSED_TICKETS):
            state = {f'quota/missed-{number % 40}': quota}
            deployment.put_ticket(entries[0], state)

    def _restart_stopped(self, target: str) -> None:
        """Start the processes that the step ended, except the target."""
        launcher = self._deployment.launcher
        for name in launcher.names:
            if name != target and not launcher.is_running(name):
                launcher.start(name)

    def _end_fault(self, target: str) -> None:
        deployment = self._deployment
        deployment.heal_cuts()
        for name in deployment.controls:
            deployment.set_disk_fault(name, None)
        if deployment.launcher.is_running(target):
            deployment.launcher.thaw(target)
        self._restart_stopped('')
