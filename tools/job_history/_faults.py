"""Faults by a seed, in two lanes: control hosts, and upstreams."""

from collections import Counter
from collections.abc import Callable
import random
import signal
import threading
from typing import Final

from tools.job_history._control_group import ControlGroup
from tools.job_history._control_group import ControlProcess
from tools.job_history._recorded_upstream import RecordedUpstream

# Seconds that a fault lasts.
_SHORTEST_S: Final = 0.1
_LONGEST_S: Final = 2.0
# Seconds between two faults of a lane, at most.
_LONGEST_PAUSE_S: Final = 1.5
# The share of faults of the control group that hit its leader.
_LEADER_SHARE: Final = 0.6
_LOST_SHARE: Final = 0.4


class Faults:
    """Does one fault after the other, and mends each."""

    def __init__(
        self,
        group: ControlGroup,
        upstreams: list[RecordedUpstream],
        announce: Callable[[int], None],
        seed: int,
    ) -> None:
        self._group = group
        self._upstreams = upstreams
        # Tells the agent of an upstream that it has begun a new life.
        self._announce = announce
        self._seed = seed
        self._lock = threading.Lock()
        self.counts: Counter[str] = Counter()

    def hurt_control(self, over: threading.Event) -> None:
        """Hurt control hosts until it is over."""
        chance = random.Random(f'{self._seed} control')
        faults = (self._kill, self._freeze, self._stop, self._kill_all)
        while not over.wait(chance.uniform(0.0, _LONGEST_PAUSE_S)):
            fault = chance.choices(faults, (4, 4, 2, 1))[0]
            self._count(fault.__name__)
            fault(chance)

    def hurt_upstreams(self, over: threading.Event) -> None:
        """Hurt upstreams until it is over."""
        chance = random.Random(f'{self._seed} upstreams')
        faults = (self._crash, self._silence, self._lose_answers)
        while not over.wait(chance.uniform(0.0, _LONGEST_PAUSE_S)):
            fault = chance.choice(faults)
            self._count(fault.__name__)
            fault(chance)

    def _count(self, name: str) -> None:
        with self._lock:
            self.counts[name.strip('_')] += 1

    def _pick(self, chance: random.Random) -> ControlProcess:
        if chance.random() < _LEADER_SHARE:
            leader = self._group.find_leader()
            if leader is not None:
                return leader
        return chance.choice(self._group.processes)

    def _kill(self, chance: random.Random) -> None:
        process = self._pick(chance)
        process.kill()
        _pause(chance)
        process.start()

    def _stop(self, chance: random.Random) -> None:
        process = self._pick(chance)
        process.stop()
        _pause(chance)
        process.start()

    def _freeze(self, chance: random.Random) -> None:
        process = self._pick(chance)
        process.signal(signal.SIGSTOP)
        _pause(chance)
        process.signal(signal.SIGCONT)

    def _kill_all(self, chance: random.Random) -> None:
        for process in self._group.processes:
            process.kill()
        _pause(chance)
        for process in self._group.processes:
            process.start()

    def _crash(self, chance: random.Random) -> None:
        number = chance.randrange(len(self._upstreams))
        upstream = self._upstreams[number]
        upstream.restart(upstream.born_ms + 1)
        self._announce(number)

    def _silence(self, chance: random.Random) -> None:
        upstream = chance.choice(self._upstreams)
        upstream.is_silent = True
        _pause(chance)
        upstream.is_silent = False

    def _lose_answers(self, chance: random.Random) -> None:
        for upstream in self._upstreams:
            upstream.lost_share = _LOST_SHARE
        _pause(chance)
        for upstream in self._upstreams:
            upstream.lost_share = 0.0


def _pause(chance: random.Random) -> None:
    threading.Event().wait(chance.uniform(_SHORTEST_S, _LONGEST_S))
