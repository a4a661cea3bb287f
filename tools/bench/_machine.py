"""How busy others kept the machine while a case ran."""

from dataclasses import dataclass
import os
from pathlib import Path
import time
from typing import Final
from typing import Self

from tools.launcher import Launcher

_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
_IDLE_FIELDS: Final = (3, 4)


@dataclass(frozen=True, slots=True)
class MachineReading:
    """Processor time at one moment."""

    # Seconds of the monotonic clock.
    at_s: float
    # Processor time of the whole machine since its start, in seconds.
    machine_s: float
    # Processor time of this process and the launcher's, in seconds.
    own_s: float

    @classmethod
    def take(cls, launcher: Launcher) -> Self:
        """Read the machine's and our own processor time."""
        first_line = Path('/proc/stat').read_text().splitlines()[0]
        ticks = [int(field) for field in first_line.split()[1:9]]
        idle_ticks = sum(ticks[field] for field in _IDLE_FIELDS)
        machine_s = (sum(ticks) - idle_ticks) / _TICKS_PER_SECOND
        own_s = time.process_time() + sum(
            launcher.usage(name).processor_s
            for name in launcher.names
            if launcher.is_running(name)
        )
        return cls(time.monotonic(), machine_s, own_s)

    def cores_of_others_since(self, earlier: 'MachineReading') -> float:
        """Return how many cores others kept busy in between, on average."""
        machine_s = self.machine_s - earlier.machine_s
        own_s = self.own_s - earlier.own_s
        return (machine_s - own_s) / (self.at_s - earlier.at_s)
