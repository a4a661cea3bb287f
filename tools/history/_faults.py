"""Draws faults from a seed and injects them."""

from dataclasses import dataclass
import random
import threading
import time
from typing import Final

from tools.history._deployment import Deployment

_STOP_LIMIT_S: Final = 15.0
# The processes of a lane fail one at a time. The lanes run concurrently, so
# two faults may overlap, but never take down two control hosts at once.
LANES: Final = (
    ('entry-1', 'entry-2', 'agent-1'),
    ('control-1', 'control-2', 'control-3', 'agent-2', 'agent-3'),
)


@dataclass(frozen=True, slots=True)
class Kill:
    """The process is killed and restarted."""

    name: str
    down_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """The process is shut down gracefully and restarted."""

    name: str
    down_s: float


@dataclass(frozen=True, slots=True)
class Freeze:
    """The process is suspended and resumed."""

    name: str
    frozen_s: float


@dataclass(frozen=True, slots=True)
class Cut:
    """The member's open links to the control group drop further data."""

    name: str
    to_host: bool
    to_member: bool


Fault = Kill | Stop | Freeze | Cut


def draw_fault(rng: random.Random, names: tuple[str, ...]) -> Fault:
    """Draw a fault of one of these processes."""
    name = rng.choice(names)
    match rng.choice(('kill', 'stop', 'freeze', 'freeze', 'cut')):
        case 'kill':
            return Kill(name, rng.uniform(0.0, 0.8))
        case 'stop':
            return Stop(name, rng.uniform(0.0, 0.5))
        case 'cut' if not name.startswith('control'):
            to_host, to_member = rng.choice(
                ((True, True), (True, False), (False, True))
            )
            return Cut(name, to_host, to_member)
        case _:
            return Freeze(name, rng.choice((0.2, 0.5, 1.0, 2.0)))


class Faults:
    """Injects faults until the run ends."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._lock = threading.Lock()
        self.injected: list[Fault] = []

    def inject(self, lane: int, stopping: threading.Event) -> None:
        """Inject the faults of one lane, one after the other."""
        rng = random.Random(f'{self._seed}-lane-{lane}')
        while not stopping.wait(rng.uniform(0.3, 1.0)):
            fault = draw_fault(rng, LANES[lane])
            with self._lock:
                self.injected.append(fault)
            self._inject(fault)

    def _inject(self, fault: Fault) -> None:
        launcher = self._deployment.launcher
        match fault:
            case Kill(name, down_s):
                launcher.kill(name)
                time.sleep(down_s)
                self._deployment.start_again(name)
                launcher.wait_until_ready([name])
            case Stop(name, down_s):
                launcher.stop(name, _STOP_LIMIT_S)
                time.sleep(down_s)
                self._deployment.start_again(name)
                launcher.wait_until_ready([name])
            case Freeze(name, frozen_s):
                launcher.freeze(name)
                time.sleep(frozen_s)
                launcher.thaw(name)
            case Cut(name, to_host, to_member):
                self._deployment.silence_control_links(
                    name, to_host=to_host, to_member=to_member
                )
