"""Measures the processor load that other processes cause."""

from dataclasses import dataclass
import os
from pathlib import Path
import time
from typing import Final
from typing import Self

from tools.launcher import Launcher

_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
# Positions of idle and iowait in the first line of /proc/stat.
_IDLE_FIELDS: Final = (3, 4)


@dataclass(frozen=True, slots=True)
class MachineUsage:
    """Processor time of the machine and of the benchmark."""

    # Time of the reading on the monotonic clock, in seconds.
    at_s: float
    # Processor time of the whole machine since boot, in seconds.
    machine_s: float
    # Processor time of this process and those of the launcher, in seconds.
    own_s: float

    @classmethod
    def take(cls, launcher: Launcher) -> Self:
        """Read the processor times of now."""
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

    def cores_of_others_since(self, earlier: 'MachineUsage') -> float:
        """Return the average number of cores that other processes used."""
        machine_s = self.machine_s - earlier.machine_s
        own_s = self.own_s - earlier.own_s
        return (machine_s - own_s) / (self.at_s - earlier.at_s)
