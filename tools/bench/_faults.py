"""Injects upstream faults and observes when task starts cease."""

import threading
import time
from typing import Any
from typing import Final

from baobabgap.webclient import WebClient
from tools.bench._cases import ChangeBehaviour
from tools.bench._cases import Fault
from tools.bench._cases import KillUpstream
from tools.bench._cases import StopUpstream
from tools.bench._counters import StandInCounts
from tools.launcher import Launcher

_TARGET_STAND_IN: Final = 'stand-in-1'
_POLL_PAUSE_S: Final = 0.1
_REQUEST_LIMIT_S: Final = 5.0


class FaultInjector:
    """Injects a fault after a delay and polls the task starts after it."""

    def __init__(
        self,
        fault: Fault,
        delay_s: float,
        launcher: Launcher,
        counts: StandInCounts,
    ) -> None:
        self._fault = fault
        self._delay_s = delay_s
        self._launcher = launcher
        self._counts = counts
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._starts_after_fault = 0
        self._last_start_after_fault_s = 0.0

    def start(self) -> None:
        """Start the thread that injects the fault after the delay."""
        self._thread.start()

    def finish(self) -> dict[str, Any]:
        """Stop polling; return the starts seen after the fault."""
        self._finished.set()
        self._thread.join()
        return {
            'fault_at_s': self._delay_s,
            'starts_after_fault': self._starts_after_fault,
            'last_start_after_fault_s': round(
                self._last_start_after_fault_s, 2
            ),
        }

    def _run(self) -> None:
        if self._finished.wait(self._delay_s):
            return
        starts_before_fault = self._counts.refresh_one(_TARGET_STAND_IN)
        injected_at = time.monotonic()
        self._inject()
        while not self._finished.wait(_POLL_PAUSE_S):
            if not self._launcher.is_running(_TARGET_STAND_IN):
                continue
            starts = (
                self._counts.refresh_one(_TARGET_STAND_IN)
                - starts_before_fault
            )
            if starts > self._starts_after_fault:
                self._starts_after_fault = starts
                self._last_start_after_fault_s = time.monotonic() - injected_at

    def _inject(self) -> None:
        match self._fault:
            case ChangeBehaviour(behaviour=behaviour):
                client = WebClient(
                    self._launcher.http_address(_TARGET_STAND_IN)
                )
                client.request(
                    'POST',
                    '/stand-in/behaviour',
                    behaviour,
                    timeout_s=_REQUEST_LIMIT_S,
                )
                client.close()
            case KillUpstream():
                self._launcher.kill(_TARGET_STAND_IN)
            case StopUpstream():
                self._launcher.stop(_TARGET_STAND_IN)
