"""Faults of upstreams, and how soon an upstream gets no more work."""

import threading
import time
from typing import Any
from typing import Final

from baobabgap.web import WebClient
from tools.bench._cases import Fault
from tools.bench._cases import KillUpstream
from tools.bench._cases import LeaveUpstream
from tools.bench._cases import Misbehave
from tools.bench._reading import StandInCounts
from tools.launcher import Launcher

_VICTIM: Final = 'stand-in-1'
_WATCH_PAUSE_S: Final = 0.1
_REQUEST_LIMIT_S: Final = 5.0


class FaultDriver:
    """Injects one fault after a delay and watches its victim's starts."""

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
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._starts_after = 0
        self._last_start_s = 0.0

    def start(self) -> None:
        """Begin to wait for the moment of the fault."""
        self._thread.start()

    def finish(self) -> dict[str, Any]:
        """Stop watching; return what was seen of the victim."""
        self._over.set()
        self._thread.join()
        return {
            'fault_at_s': self._delay_s,
            'starts_after_fault': self._starts_after,
            'last_start_after_fault_s': round(self._last_start_s, 2),
        }

    def _run(self) -> None:
        if self._over.wait(self._delay_s):
            return
        before = self._counts.refresh_one(_VICTIM)
        injected_at = time.monotonic()
        self._inject()
        while not self._over.wait(_WATCH_PAUSE_S):
            if not self._launcher.is_running(_VICTIM):
                continue
            starts = self._counts.refresh_one(_VICTIM) - before
            if starts > self._starts_after:
                self._starts_after = starts
                self._last_start_s = time.monotonic() - injected_at

    def _inject(self) -> None:
        match self._fault:
            case Misbehave(behaviour=behaviour):
                client = WebClient(self._launcher.http_address(_VICTIM))
                client.request(
                    'POST',
                    '/stand-in/behaviour',
                    behaviour,
                    timeout_s=_REQUEST_LIMIT_S,
                )
                client.close()
            case KillUpstream():
                self._launcher.kill(_VICTIM)
            case LeaveUpstream():
                self._launcher.stop(_VICTIM)
