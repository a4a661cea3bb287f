"""One JSON line a case, worked out of outcomes and counts."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
import os
import statistics
import subprocess
from typing import Any

from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._omniscient import omniscient_responses
from tools.bench._omniscient import quantile
from tools.bench._reading import Reading
from tools.bench._trace import TraceJob


@dataclass(frozen=True, slots=True)
class CaseRun:
    """All that was seen of one case under one policy."""

    case: str
    policy: str
    seed: int
    load: float
    slots: int
    # Seconds during which jobs arrived.
    seconds: float
    jobs: tuple[TraceJob, ...]
    # Whether the baseline serves the same jobs: it refuses none.
    has_baseline: bool
    outcomes: Sequence[Outcome]
    empty_round_trip_s: float
    # Added by the processes during the case.
    reading: Reading
    # How often each task of this case was started, by the stand-ins.
    starts_by_task: Counter[tuple[str, str]]
    # Repeated starts that a stand-in itself saw during the case.
    own_duplicates: int
    # Requests to stand-ins for tasks that they knew already.
    repeated_requests: int
    # Cores that others kept busy meanwhile, on average.
    cores_of_others: float
    # Figures that only some cases have.
    extra: dict[str, Any]


def report_line(run: CaseRun) -> dict[str, Any]:
    """Work out the figures of one case."""
    ends = Counter(outcome.end for outcome in run.outcomes)
    tasks = sum(len(job.tasks) for job in run.jobs)
    return {
        'case': run.case,
        'policy': run.policy,
        'load': run.load,
        'jobs': len(run.jobs),
        'tasks': tasks,
        'tasks_per_job': tasks / max(len(run.jobs), 1),
        **_response_figures(run),
        **_cost_figures(run),
        **_goodput_figures(run),
        'whole': ends[End.WHOLE],
        'refused': ends[End.REFUSED],
        'failed': ends[End.FAILED],
        'cancelled': ends[End.CANCELLED],
        'no_answer': ends[End.NO_ANSWER],
        'duplicates': run.own_duplicates
        + run.starts_by_task.total()
        - len(run.starts_by_task),
        'partial': ends[End.PARTIAL],
        'wrong_caller': ends[End.WRONG_CALLER],
        'last_failed_sent_s': _rounded(
            max(
                (o.sent_s for o in run.outcomes if o.end is End.FAILED),
                default=None,
            )
        ),
        **_refusal_figures(run),
        'codes': dict(Counter(o.code for o in run.outcomes if o.code)),
        **run.extra,
        'seed': run.seed,
        'commit': current_commit(),
        'load_average': round(os.getloadavg()[0], 1),
        'cores_of_others': round(run.cores_of_others, 2),
    }


def current_commit() -> str:
    """Name the commit of the working tree, with a + if it was changed."""
    command = ['git', 'describe', '--always', '--dirty=+', '--abbrev=7']
    found = subprocess.run(command, capture_output=True, text=True)
    return found.stdout.strip() or 'unknown'


def slope_line(lines: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Fit the entry's processor time to the size of jobs.

    The lines are those of cases whose jobs all have the same size.
    """
    sizes = [line['tasks'] / line['jobs'] for line in lines]
    costs_us = [
        size * line['entry_cpu_us_per_task']
        for size, line in zip(sizes, lines, strict=True)
    ]
    fit = statistics.linear_regression(sizes, costs_us)
    return {
        'case': 'wide-slope',
        'entry_cpu_us_per_task_slope': round(fit.slope, 1),
        'entry_cpu_us_per_job_intercept': round(fit.intercept, 1),
        'tasks_per_job': sizes,
        'entry_cpu_us_per_job': costs_us,
        'commit': current_commit(),
    }


def _response_figures(run: CaseRun) -> dict[str, Any]:
    """Compare with the ideal, and the quantiles with the baseline's.

    The empty round trip is part of both responses and of the ideal.
    """
    trip_s = run.empty_round_trip_s
    ours = [
        outcome.response_s / (outcome.job.longest_s + trip_s)
        for outcome in run.outcomes
        if outcome.end is End.WHOLE
    ]
    over_ms = [
        (outcome.response_s - outcome.job.longest_s - trip_s) * 1000
        for outcome in run.outcomes
        if outcome.end is End.WHOLE
    ]
    best_by_number: dict[int, float] = {}
    if run.has_baseline:
        best_by_number = omniscient_responses(run.jobs, run.slots)
    best = [
        (best_by_number[job.number] + trip_s) / (job.longest_s + trip_s)
        for job in run.jobs
        if job.number in best_by_number
    ]
    lags_s = [
        outcome.sent_s - outcome.job.arrival_s for outcome in run.outcomes
    ]
    return {
        'response_over_ideal_p50': _rounded(quantile(ours, 0.5)),
        'response_over_ideal_p99': _rounded(quantile(ours, 0.99)),
        'response_over_ideal_max': _rounded(quantile(ours, 1.0)),
        'response_over_omniscient_p50': _quotient(ours, best, 0.5),
        'response_over_omniscient_p99': _quotient(ours, best, 0.99),
        'omniscient_p50': _rounded(quantile(best, 0.5)),
        'omniscient_p99': _rounded(quantile(best, 0.99)),
        'over_ideal_ms_p50': _rounded(quantile(over_ms, 0.5)),
        'over_ideal_ms_p99': _rounded(quantile(over_ms, 0.99)),
        'empty_round_trip_ms': _rounded(trip_s * 1000),
        'send_lag_ms_p99': _rounded((quantile(lags_s, 0.99) or 0.0) * 1000),
    }


def _cost_figures(run: CaseRun) -> dict[str, Any]:
    started = max(1, len(run.starts_by_task))
    messages = run.reading.messages_by_kind()
    wasted = run.reading.wasted_by_kind()
    if run.repeated_requests:
        wasted['repeated_to_upstream'] = run.repeated_requests
    microseconds_by_role: Counter[str] = Counter()
    for name, seconds in run.reading.processor_s_by_process.items():
        microseconds_by_role[name.split('-')[0]] += round(seconds * 1e6)
    return {
        'messages_per_task': _rounded(messages.total() / started),
        'wasted_per_task': _rounded(wasted.total() / started),
        'messages_per_task_by_kind': {
            kind: _rounded(count / started)
            for kind, count in messages.most_common()
        },
        'wasted_by_kind': dict(wasted),
        'tasks_started': len(run.starts_by_task),
        'entry_cpu_us_per_task': microseconds_by_role['entry'] // started,
        'agent_cpu_us_per_task': microseconds_by_role['agent'] // started,
        'control_cpu_us_per_job': microseconds_by_role['control']
        // max(1, len(run.jobs)),
    }


def _goodput_figures(run: CaseRun) -> dict[str, Any]:
    """Tasks of jobs whole in time, over what the slots could run.

    Both are counted until the last arrival. What the slots could run
    follows from the mean true run time of the trace. The second figure
    counts run time in place of tasks: a slot that runs one long task in
    place of many short ones does no less work.
    """
    tasks = sum(len(job.tasks) for job in run.jobs)
    mean_s = sum(job.work_s for job in run.jobs) / tasks
    good = [
        outcome.job
        for outcome in run.outcomes
        if outcome.in_deadline
        and outcome.sent_s + outcome.response_s <= run.seconds
    ]
    slot_s = run.slots * run.seconds
    good_tasks = sum(len(job.tasks) for job in good)
    return {
        'goodput': _rounded(good_tasks * mean_s / slot_s),
        'goodput_by_run_time': _rounded(
            sum(job.work_s for job in good) / slot_s
        ),
    }


def _refusal_figures(run: CaseRun) -> dict[str, Any]:
    refused = [o for o in run.outcomes if o.end is End.REFUSED]
    started_jobs = {job for job, _ in run.starts_by_task}
    delays_ms = [outcome.response_s * 1000 for outcome in refused]
    return {
        'refused_but_started': sum(
            outcome.identifier in started_jobs for outcome in refused
        ),
        'refused_without_retry_after': sum(
            not outcome.has_retry_after for outcome in refused
        ),
        'refusal_ms_p50': _rounded(quantile(delays_ms, 0.5)),
        'refusal_ms_p99': _rounded(quantile(delays_ms, 0.99)),
    }


def _quotient(
    ours: Sequence[float], best: Sequence[float], share: float
) -> float | None:
    our_quantile, best_quantile = quantile(ours, share), quantile(best, share)
    if our_quantile is None or best_quantile is None:
        return None
    return round(our_quantile / best_quantile, 4)


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
