"""Computes the JSON line of a case from outcomes and counts."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
import os
import statistics
import subprocess
from typing import Any

from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._counters import CounterSnapshot
from tools.bench._omniscient import omniscient_responses
from tools.bench._omniscient import quantile
from tools.bench._trace import TraceJob


@dataclass(frozen=True, slots=True)
class CaseRun:
    """The results of one case under one policy."""

    case: str
    policy: str
    seed: int
    load: float
    slots: int
    # Seconds during which jobs arrived.
    seconds: float
    jobs: tuple[TraceJob, ...]
    # Whether to compare with the omniscient baseline, which refuses no job.
    has_baseline: bool
    outcomes: Sequence[Outcome]
    empty_round_trip_s: float
    # Increments of the processes' counters during the case.
    counters: CounterSnapshot
    # How often the stand-ins started each task of this case.
    starts_by_task: Counter[tuple[str, str]]
    # Repeated starts of a task within one stand-in during the case.
    duplicates_within_stand_ins: int
    # Requests to a stand-in for tasks that it had already received.
    repeated_requests: int
    # Average number of cores that other processes used meanwhile.
    cores_of_others: float
    # Further keys of the line, such as those of a fault.
    extra: dict[str, Any]


def report_line(run: CaseRun) -> dict[str, Any]:
    """Compute the line of one case."""
    ends = Counter(outcome.end for outcome in run.outcomes)
    tasks = sum(len(job.tasks) for job in run.jobs)
    return {
        'case': run.case,
        'policy': run.policy,
        'load': run.load,
        'jobs': len(run.jobs),
        'tasks': tasks,
        'tasks_per_job': tasks / max(len(run.jobs), 1),
        **_response_metrics(run),
        **_cost_metrics(run),
        **_goodput_metrics(run),
        'whole': ends[End.WHOLE],
        'refused': ends[End.REFUSED],
        'failed': ends[End.FAILED],
        'cancelled': ends[End.CANCELLED],
        'no_answer': ends[End.NO_ANSWER],
        'duplicates': run.duplicates_within_stand_ins
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
        **_refusal_metrics(run),
        'codes': dict(Counter(o.code for o in run.outcomes if o.code)),
        **run.extra,
        'seed': run.seed,
        'commit': current_commit(),
        'load_average': round(os.getloadavg()[0], 1),
        'cores_of_others': round(run.cores_of_others, 2),
    }


def current_commit() -> str:
    """Return the commit of the working tree, with a + if it is dirty."""
    command = ['git', 'describe', '--always', '--dirty=+', '--abbrev=7']
    completed = subprocess.run(command, capture_output=True, text=True)
    return completed.stdout.strip() or 'unknown'


def slope_line(lines: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Fit the entry's processor time per job to the tasks per job.

    The lines are those of cases whose jobs all have the same number of
    tasks.
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


def _response_metrics(run: CaseRun) -> dict[str, Any]:
    """Compare response times with the ideal and with the baseline.

    The ideal is the run time of the longest task. The empty round trip
    is added to the ideal and to the baseline's response times, since it
    is part of the measured ones.
    """
    round_trip_s = run.empty_round_trip_s
    slowdowns = [
        outcome.response_s / (outcome.job.longest_task_s + round_trip_s)
        for outcome in run.outcomes
        if outcome.end is End.WHOLE
    ]
    overheads_ms = [
        (outcome.response_s - outcome.job.longest_task_s - round_trip_s) * 1000
        for outcome in run.outcomes
        if outcome.end is End.WHOLE
    ]
    baseline_s_by_number: dict[int, float] = {}
    if run.has_baseline:
        baseline_s_by_number = omniscient_responses(run.jobs, run.slots)
    baseline_slowdowns = [
        (baseline_s_by_number[job.number] + round_trip_s)
        / (job.longest_task_s + round_trip_s)
        for job in run.jobs
        if job.number in baseline_s_by_number
    ]
    lags_s = [
        outcome.sent_s - outcome.job.arrival_s for outcome in run.outcomes
    ]
    return {
        'response_over_ideal_p50': _rounded(quantile(slowdowns, 0.5)),
        'response_over_ideal_p99': _rounded(quantile(slowdowns, 0.99)),
        'response_over_ideal_max': _rounded(quantile(slowdowns, 1.0)),
        'response_over_omniscient_p50': _quantile_ratio(
            slowdowns, baseline_slowdowns, 0.5
        ),
        'response_over_omniscient_p99': _quantile_ratio(
            slowdowns, baseline_slowdowns, 0.99
        ),
        'omniscient_p50': _rounded(quantile(baseline_slowdowns, 0.5)),
        'omniscient_p99': _rounded(quantile(baseline_slowdowns, 0.99)),
        'over_ideal_ms_p50': _rounded(quantile(overheads_ms, 0.5)),
        'over_ideal_ms_p99': _rounded(quantile(overheads_ms, 0.99)),
        'empty_round_trip_ms': _rounded(round_trip_s * 1000),
        'send_lag_ms_p99': _rounded((quantile(lags_s, 0.99) or 0.0) * 1000),
    }


def _cost_metrics(run: CaseRun) -> dict[str, Any]:
    started = max(1, len(run.starts_by_task))
    messages = run.counters.messages_by_kind()
    wasted = run.counters.wasted_by_kind()
    if run.repeated_requests:
        wasted['repeated_to_upstream'] = run.repeated_requests
    microseconds_by_role: Counter[str] = Counter()
    for name, seconds in run.counters.processor_s_by_process.items():
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


def _goodput_metrics(run: CaseRun) -> dict[str, Any]:
    """Relate tasks of jobs answered in time to the slots' capacity.

    Both are counted over the time in which jobs arrive. The capacity in
    tasks follows from the mean true run time in the trace. The second
    value counts run time instead of tasks: a slot that runs one long
    task instead of many short ones does no less work.
    """
    tasks = sum(len(job.tasks) for job in run.jobs)
    mean_run_time_s = sum(job.work_s for job in run.jobs) / tasks
    jobs_in_time = [
        outcome.job
        for outcome in run.outcomes
        if outcome.met_deadline
        and outcome.sent_s + outcome.response_s <= run.seconds
    ]
    slot_s = run.slots * run.seconds
    tasks_in_time = sum(len(job.tasks) for job in jobs_in_time)
    return {
        'goodput': _rounded(tasks_in_time * mean_run_time_s / slot_s),
        'goodput_by_run_time': _rounded(
            sum(job.work_s for job in jobs_in_time) / slot_s
        ),
    }


def _refusal_metrics(run: CaseRun) -> dict[str, Any]:
    refused = [o for o in run.outcomes if o.end is End.REFUSED]
    started_jobs = {job for job, _ in run.starts_by_task}
    refusals_ms = [outcome.response_s * 1000 for outcome in refused]
    return {
        'refused_but_started': sum(
            outcome.identifier in started_jobs for outcome in refused
        ),
        'refused_without_retry_after': sum(
            not outcome.has_retry_after for outcome in refused
        ),
        'refusal_ms_p50': _rounded(quantile(refusals_ms, 0.5)),
        'refusal_ms_p99': _rounded(quantile(refusals_ms, 0.99)),
    }


def _quantile_ratio(
    measured: Sequence[float], baseline: Sequence[float], share: float
) -> float | None:
    measured_quantile, baseline_quantile = (
        quantile(measured, share),
        quantile(baseline, share),
    )
    if measured_quantile is None or baseline_quantile is None:
        return None
    return round(measured_quantile / baseline_quantile, 4)


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
