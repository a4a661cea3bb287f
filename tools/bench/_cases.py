"""The benchmark cases: traces, policies and faults by name."""

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
_BURST_LENGTH_S: Final = 2.0
_BURST_LOAD: Final = 3.0
_LOAD_BETWEEN_BURSTS: Final = 0.3
_WAVE_PERIOD_S: Final = 5.0
_WAVE_TEMPLATE: Final = CancelWave(at_s=0.0, window_s=0.5, share=0.5)
_DEADLINE_STRETCH: Final = 3.0
_FAULT_LOAD: Final = 0.5
WIDE_PREFIX: Final = 'wide-'
_WIDE_SIZES: Final = (30, 100, 300, 1000)
_WIDE_TASKS_PER_SECOND: Final = 500.0


@dataclass(frozen=True, slots=True)
class PolicyChoice:
    """A policy and the name that the report shows for it."""

    name: str
    # Settings in the ticket that override the defaults.
    settings: dict[str, Any] = field(default_factory=dict)


DEFAULT_POLICY: Final = PolicyChoice('tokens')
FIRST_COME: Final = PolicyChoice('tokens-first_come', {'order': 'first_come'})
RANDOM: Final = PolicyChoice('random', {'placement': 'random'})
LEAST_REPORTED: Final = PolicyChoice(
    'least_reported', {'placement': 'least_reported'}
)
_COMPARED_POLICIES: Final = (
    DEFAULT_POLICY,
    FIRST_COME,
    RANDOM,
    LEAST_REPORTED,
)


@dataclass(frozen=True, slots=True)
class ChangeBehaviour:
    """Changes the behaviour of one stand-in during the trace."""

    behaviour: dict[str, Any]


@dataclass(frozen=True, slots=True)
class KillUpstream:
    """Kills one stand-in during the trace."""


@dataclass(frozen=True, slots=True)
class StopUpstream:
    """Stops one stand-in by SIGTERM during the trace."""


Fault = ChangeBehaviour | KillUpstream | StopUpstream

_FAULT_BY_CASE: Final[dict[str, Fault]] = {
    'upstream-failing': ChangeBehaviour({'fails_every_task': True}),
    'upstream-slow': ChangeBehaviour({'slowness': 10.0}),
    'upstream-frozen': ChangeBehaviour({'frozen': True}),
    'upstream-killed': KillUpstream(),
    'upstream-leaving': StopUpstream(),
}


@dataclass(frozen=True, slots=True)
class Case:
    """A trace, the policies to run it under and an optional fault."""

    name: str
    load: float
    seconds: float
    jobs: tuple[TraceJob, ...]
    policies: tuple[PolicyChoice, ...] = (DEFAULT_POLICY,)
    fault: Fault | None = None
    # Whether the trace is compared with the omniscient baseline, which
    # refuses no job.
    has_baseline: bool = True
    # Number of entries in the deployment.
    entries: int = 2

    @property
    def needs_own_deployment(self) -> bool:
        """Whether the case leaves a fault behind in its deployment."""
        return self.fault is not None


def all_cases(seed: int, seconds: float) -> tuple[Case, ...]:
    """Build all cases; every random choice derives from the seed."""
    return (
        *(_steady_case(seed, seconds, load) for load in (0.5, 0.8, 0.95)),
        _burst_case(seed, seconds),
        _cancel_wave_case(seed, seconds),
        *(_offered_load_case(seed, seconds, load) for load in (1.0, 2.0, 4.0)),
        *(
            _fault_case(seed, seconds, name, fault)
            for name, fault in _FAULT_BY_CASE.items()
        ),
        *(_wide_case(seconds, tasks) for tasks in _WIDE_SIZES),
    )


def choose_cases(
    cases: Iterable[Case], names: tuple[str, ...]
) -> tuple[Case, ...]:
    """Return the cases that match a name or prefix; all without names.

    Raises `ValueError` with the known names if a name matches no case.
    """
    known = tuple(cases)
    for name in names:
        if not any(case.name.startswith(name) for case in known):
            listed = ', '.join(case.name for case in known)
            raise ValueError(f'unknown case {name!r}; known cases: {listed}')
    return tuple(
        case for case in known if not names or case.name.startswith(names)
    )


def choose_policies(
    cases: Iterable[Case], names: tuple[str, ...]
) -> tuple[Case, ...]:
    """Reduce each case to the named policies; all without names.

    Cases that run under none of the named policies are left out. Raises
    `ValueError` with the known names if a name is unknown.
    """
    known = tuple(policy.name for policy in _COMPARED_POLICIES)
    for name in names:
        if name not in known:
            listed = ', '.join(known)
            raise ValueError(
                f'unknown policy {name!r}; known policies: {listed}'
            )
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


def _steady_case(seed: int, seconds: float, load: float) -> Case:
    shape = TraceShape(SLOTS, (ArrivalPhase(0.0, seconds, load),))
    jobs = generate_trace(seed, shape)
    return Case(f'load-{load:g}', load, seconds, jobs, _COMPARED_POLICIES)


def _burst_case(seed: int, seconds: float) -> Case:
    """Alternate low load and a burst before each cutoff, at least one."""
    phases = []
    start_s = 0.0
    while start_s == 0.0 or start_s + _BURST_PERIOD_S <= seconds:
        low_load_s = (_BURST_PERIOD_S - _BURST_LENGTH_S) / 2.0
        burst_start_s = start_s + low_load_s
        burst_end_s = burst_start_s + _BURST_LENGTH_S
        phases.extend(
            [
                ArrivalPhase(start_s, low_load_s, _LOAD_BETWEEN_BURSTS),
                ArrivalPhase(burst_start_s, _BURST_LENGTH_S, _BURST_LOAD),
                ArrivalPhase(burst_end_s, low_load_s, _LOAD_BETWEEN_BURSTS),
            ]
        )
        start_s += _BURST_PERIOD_S
    jobs = generate_trace(seed, TraceShape(SLOTS, tuple(phases)))
    return Case('burst', _BURST_LOAD, start_s, jobs, _COMPARED_POLICIES)


def _cancel_wave_case(seed: int, seconds: float) -> Case:
    waves = []
    at_s = _WAVE_PERIOD_S
    while at_s <= seconds:
        waves.append(
            CancelWave(at_s, _WAVE_TEMPLATE.window_s, _WAVE_TEMPLATE.share)
        )
        at_s += _WAVE_PERIOD_S
    phases = (ArrivalPhase(0.0, seconds, 0.95),)
    jobs = generate_trace(seed, TraceShape(SLOTS, phases, tuple(waves)))
    return Case('cancel-wave', 0.95, seconds, jobs)


def _offered_load_case(seed: int, seconds: float, load: float) -> Case:
    phases = (ArrivalPhase(0.0, seconds, load),)
    shape = TraceShape(SLOTS, phases, deadline_stretch=_DEADLINE_STRETCH)
    jobs = generate_trace(seed, shape)
    name = f'offered-{load:g}'
    return Case(name, load, seconds, jobs, has_baseline=False)


def _fault_case(seed: int, seconds: float, name: str, fault: Fault) -> Case:
    phases = (ArrivalPhase(0.0, seconds, _FAULT_LOAD),)
    jobs = generate_trace(seed, TraceShape(SLOTS, phases))
    return Case(name, _FAULT_LOAD, seconds, jobs, fault=fault)


def _wide_case(seconds: float, tasks: int) -> Case:
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
