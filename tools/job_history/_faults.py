"""Seeded random faults of control hosts, upstreams, agents and entries."""

from collections import Counter
import random
import signal
import threading
from typing import Final

from tools.job_history._control_group import ControlGroup
from tools.job_history._control_group import ControlProcess
from tools.job_history._deployment import Members

# The range of a fault's duration.
_MIN_FAULT_S: Final = 0.1
_MAX_FAULT_S: Final = 2.0
# The longest pause between two faults of one kind of process.
_MAX_PAUSE_S: Final = 1.5
# The share of faults of the control group that hit its leader.
_LEADER_SHARE: Final = 0.6
_LOST_ANSWER_SHARE: Final = 0.4


class Faults:
    """Injects one fault after the other and repairs each."""

    def __init__(
        self,
        group: ControlGroup,
        members: Members,
        seed: int,
    ) -> None:
        self._group = group
        self._members = members
        self._upstreams = members.upstreams
        self._seed = seed
        self._lock = threading.Lock()
        self.counts: Counter[str] = Counter()

    def inject_control_faults(self, stopping: threading.Event) -> None:
        """Inject faults into control hosts until the run ends."""
        rng = random.Random(f'{self._seed} control')
        faults = (self._kill, self._freeze, self._stop, self._kill_all)
        while not stopping.wait(rng.uniform(0.0, _MAX_PAUSE_S)):
            fault = rng.choices(faults, (4, 4, 2, 1))[0]
            self._count(fault.__name__)
            fault(rng)

    def inject_upstream_faults(self, stopping: threading.Event) -> None:
        """Inject faults into upstreams until the run ends."""
        rng = random.Random(f'{self._seed} upstreams')
        faults = (
            self._crash,
            self._crash_unannounced,
            self._silence,
            self._lose_answers,
        )
        while not stopping.wait(rng.uniform(0.0, _MAX_PAUSE_S)):
            fault = rng.choice(faults)
            self._count(fault.__name__)
            fault(rng)

    def inject_member_faults(self, stopping: threading.Event) -> None:
        """Inject faults into agents and entries until the run ends."""
        rng = random.Random(f'{self._seed} members')
        faults = (self._restart_entry, self._restart_agent, self._cut_agent)
        while not stopping.wait(rng.uniform(0.0, _MAX_PAUSE_S)):
            fault = rng.choice(faults)
            self._count(fault.__name__)
            fault(rng)

    def _count(self, name: str) -> None:
        with self._lock:
            self.counts[name.strip('_')] += 1

    def _choose_process(self, rng: random.Random) -> ControlProcess:
        if rng.random() < _LEADER_SHARE:
            leader = self._group.find_leader()
            if leader is not None:
                return leader
        return rng.choice(self._group.processes)

    def _kill(self, rng: random.Random) -> None:
        process = self._choose_process(rng)
        process.kill()
        _pause(rng)
        process.start()

    def _stop(self, rng: random.Random) -> None:
        process = self._choose_process(rng)
        process.stop()
        _pause(rng)
        process.start()

    def _freeze(self, rng: random.Random) -> None:
        process = self._choose_process(rng)
        process.signal(signal.SIGSTOP)
        _pause(rng)
        process.signal(signal.SIGCONT)

    def _kill_all(self, rng: random.Random) -> None:
        for process in self._group.processes:
            process.kill()
        _pause(rng)
        for process in self._group.processes:
            process.start()

    def _crash(self, rng: random.Random) -> None:
        number = rng.randrange(len(self._upstreams))
        upstream = self._upstreams[number]
        upstream.restart(upstream.born_ms + 1)
        self._members.announce(number)

    def _crash_unannounced(self, rng: random.Random) -> None:
        """Crash an upstream whose next announcement comes late."""
        number = rng.randrange(len(self._upstreams))
        upstream = self._upstreams[number]
        upstream.restart(upstream.born_ms + 1)
        _pause(rng)
        self._members.announce(number)

    def _restart_entry(self, rng: random.Random) -> None:
        number = rng.randrange(len(self._members.entries))
        self._members.kill_entry(number)
        _pause(rng)
        self._members.start_entry(number)

    def _restart_agent(self, rng: random.Random) -> None:
        number = rng.randrange(len(self._upstreams))
        self._members.kill_agent(number)
        _pause(rng)
        self._members.start_agent(number)

    def _cut_agent(self, rng: random.Random) -> None:
        number = rng.randrange(len(self._upstreams))
        self._members.cut_agent(number)
        _pause(rng)
        self._members.connect_agent(number)

    def _silence(self, rng: random.Random) -> None:
        upstream = rng.choice(self._upstreams)
        upstream.is_silent = True
        _pause(rng)
        upstream.is_silent = False

    def _lose_answers(self, rng: random.Random) -> None:
        for upstream in self._upstreams:
            upstream.lost_answer_share = _LOST_ANSWER_SHARE
        _pause(rng)
        for upstream in self._upstreams:
            upstream.lost_answer_share = 0.0


def _pause(rng: random.Random) -> None:
    threading.Event().wait(rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S))
