"""The cases of the bench: traces, policies and faults by name."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from typing import Final

from tools.bench._trace import ArrivalPhase
from tools.bench._trace import CancelWave
from tools.bench._trace import generate_trace
from tools.bench._trace import generate_wide_trace
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceShape

SLOTS: Final = 88
_BURST_PERIOD_S: Final = 15.0
_BURST_S: Final = 2.0
_BURST_LOAD: Final = 3.0
_LOAD_BETWEEN_BURSTS: Final = 0.3
_WAVE_PERIOD_S: Final = 5.0
_WAVE: Final = CancelWave(at_s=0.0, reach_s=0.5, share=0.5)
_DEADLINE_STRETCH: Final = 3.0
_FAULT_LOAD: Final = 0.5
WIDE_PREFIX: Final = 'wide-'
_WIDE_SIZES: Final = (30, 100, 300, 1000)
_WIDE_TASKS_PER_SECOND: Final = 500.0


@dataclass(frozen=True, slots=True)
class PolicyChoice:
    """A policy under the name that the report shows."""

    name: str
    # What the ticket sets beside the defaults.
    settings: dict[str, Any] = field(default_factory=dict)


CHOSEN: Final = PolicyChoice('tokens')
FIRST_COME: Final = PolicyChoice('tokens-first_come', {'order': 'first_come'})
RANDOM: Final = PolicyChoice('random', {'placement': 'random'})
LEAST_REPORTED: Final = PolicyChoice(
    'least_reported', {'placement': 'least_reported'}
)
_COMPARED: Final = (CHOSEN, FIRST_COME, RANDOM, LEAST_REPORTED)


@dataclass(frozen=True, slots=True)
class Misbehave:
    """One stand-in misbehaves in the middle of the trace."""

    behaviour: dict[str, Any]


@dataclass(frozen=True, slots=True)
class KillUpstream:
    """One stand-in is killed in the middle of the trace."""


@dataclass(frozen=True, slots=True)
class LeaveUpstream:
    """One stand-in is asked to stop in the middle of the trace."""


Fault = Misbehave | KillUpstream | LeaveUpstream

_FAULT_BY_CASE: Final[dict[str, Fault]] = {
    'upstream-failing': Misbehave({'fails_every_task': True}),
    'upstream-slow': Misbehave({'slowness': 10.0}),
    'upstream-frozen': Misbehave({'frozen': True}),
    'upstream-killed': KillUpstream(),
    'upstream-leaving': LeaveUpstream(),
}


@dataclass(frozen=True, slots=True)
class Case:
    """One trace, the policies to run it under, and perhaps a fault."""

    name: str
    load: float
    seconds: float
    jobs: tuple[TraceJob, ...]
    policies: tuple[PolicyChoice, ...] = (CHOSEN,)
    fault: Fault | None = None
    # Whether to compare with a baseline that refuses no job.
    has_baseline: bool = True
    # How many entries the deployment has.
    entries: int = 2

    @property
    def needs_own_deployment(self) -> bool:
        """Whether later cases must not see what is left of this one."""
        return self.fault is not None


def all_cases(seed: int, seconds: float) -> tuple[Case, ...]:
    """Build every case; the seed decides all that is left to chance."""
    return (
        *(_steady(seed, seconds, load) for load in (0.5, 0.8, 0.95)),
        _burst(seed, seconds),
        _cancel_wave(seed, seconds),
        *(_offered(seed, seconds, load) for load in (1.0, 2.0, 4.0)),
        *(
            _with_fault(seed, seconds, name, fault)
            for name, fault in _FAULT_BY_CASE.items()
        ),
        *(_wide(seconds, tasks) for tasks in _WIDE_SIZES),
    )


def choose_cases(
    cases: Iterable[Case], names: tuple[str, ...]
) -> tuple[Case, ...]:
    """Keep the cases named, in full or by a beginning; all if none is.

    Raises `ValueError` with the known names for a name that fits none.
    """
    known = tuple(cases)
    for name in names:
        if not any(case.name.startswith(name) for case in known):
            listed = ', '.join(case.name for case in known)
            raise ValueError(f'no case {name!r}; there are {listed}')
    return tuple(
        case for case in known if not names or case.name.startswith(names)
    )


def choose_policies(
    cases: Iterable[Case], names: tuple[str, ...]
) -> tuple[Case, ...]:
    """Keep the policies named, or all if none is; drop cases without.

    Raises `ValueError` with the known names for an unknown one.
    """
    known = tuple(policy.name for policy in _COMPARED)
    for name in names:
        if name not in known:
            listed = ', '.join(known)
            raise ValueError(f'no policy {name!r}; there are {listed}')
    kept = []
    for case in cases:
        policies = tuple(
            policy
            for policy in case.policies
            if not names or policy.name in names
        )
        if policies:
            kept.append(replace(case, policies=policies))
    return tuple(kept)


def _steady(seed: int, seconds: float, load: float) -> Case:
    shape = TraceShape(SLOTS, (ArrivalPhase(0.0, seconds, load),))
    jobs = generate_trace(seed, shape)
    return Case(f'load-{load:g}', load, seconds, jobs, _COMPARED)


def _burst(seed: int, seconds: float) -> Case:
    """Quiet with bursts before each cutoff, at least one."""
    phases = []
    start_s = 0.0
    while start_s == 0.0 or start_s + _BURST_PERIOD_S <= seconds:
        quiet_s = (_BURST_PERIOD_S - _BURST_S) / 2.0
        burst_at_s = start_s + quiet_s
        after_s = burst_at_s + _BURST_S
        phases.extend(
            [
                ArrivalPhase(start_s, quiet_s, _LOAD_BETWEEN_BURSTS),
                ArrivalPhase(burst_at_s, _BURST_S, _BURST_LOAD),
                ArrivalPhase(after_s, quiet_s, _LOAD_BETWEEN_BURSTS),
            ]
        )
        start_s += _BURST_PERIOD_S
    jobs = generate_trace(seed, TraceShape(SLOTS, tuple(phases)))
    return Case('burst', _BURST_LOAD, start_s, jobs, _COMPARED)


def _cancel_wave(seed: int, seconds: float) -> Case:
    waves = []
    at_s = _WAVE_PERIOD_S
    while at_s <= seconds:
        waves.append(CancelWave(at_s, _WAVE.reach_s, _WAVE.share))
        at_s += _WAVE_PERIOD_S
    phases = (ArrivalPhase(0.0, seconds, 0.95),)
    jobs = generate_trace(seed, TraceShape(SLOTS, phases, tuple(waves)))
    return Case('cancel-wave', 0.95, seconds, jobs)


def _offered(seed: int, seconds: float, load: float) -> Case:
    phases = (ArrivalPhase(0.0, seconds, load),)
    shape = TraceShape(SLOTS, phases, deadline_stretch=_DEADLINE_STRETCH)
    jobs = generate_trace(seed, shape)
    name = f'offered-{load:g}'
    return Case(name, load, seconds, jobs, has_baseline=False)


def _with_fault(seed: int, seconds: float, name: str, fault: Fault) -> Case:
    phases = (ArrivalPhase(0.0, seconds, _FAULT_LOAD),)
    jobs = generate_trace(seed, TraceShape(SLOTS, phases))
    return Case(name, _FAULT_LOAD, seconds, jobs, fault=fault)


def _wide(seconds: float, tasks: int) -> Case:
    pause_s = tasks / _WIDE_TASKS_PER_SECOND
    jobs = generate_wide_trace(int(seconds / pause_s), tasks, pause_s)
    return Case(
        f'{WIDE_PREFIX}{tasks}',
        0.0,
        seconds,
        jobs,
        has_baseline=False,
        entries=1,
    )
