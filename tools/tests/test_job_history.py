"""Tests that each job history rule finds its violation, and short runs."""

from collections.abc import Callable
from typing import Final
import unittest

from baobabgap.accepted import RunEnd
from baobabgap.accepted import TaskId
from baobabgap.protocol import CallOutcome
from tools.job_history._recorded_upstream import RunRecord
from tools.job_history._records import Called
from tools.job_history._records import ConfigurationRead
from tools.job_history._records import JobHistory
from tools.job_history._records import Put
from tools.job_history._records import ZoneOrder
from tools.job_history._rules import check
from tools.job_history._run import run

_SECONDS: Final = 3.0
_SEEDS: Final = (1, 2)
_JOB: Final = 'j'


def _make_history(*runs: RunRecord) -> JobHistory:
    """Return a valid history of one stored and completed job."""
    history = JobHistory({_JOB: 1}, {_JOB}, has_recovered=True)
    history.runs += runs or (_make_run(1, 2.0, 3.0, RunEnd.DONE),)
    history.final_states[_JOB] = 'completed'
    history.add(_make_call('submit', 1.0, CallOutcome.ACCEPTED))
    return history


def _make_run(
    number: int, began_at: float, ended_at: float, end: RunEnd
) -> RunRecord:
    return RunRecord(
        TaskId(_JOB, 0, 0),
        number,
        began_at,
        ended_at,
        end,
        number,
        ended_at + 0.1,
    )


def _make_call(
    verb: str, asked_at: float, outcome: CallOutcome, state: str = ''
) -> Called:
    return Called(verb, _JOB, asked_at, asked_at + 0.1, outcome, state)


def _concurrent_runs() -> JobHistory:
    return _make_history(
        _make_run(1, 2.0, 4.0, RunEnd.INTERRUPTED),
        _make_run(2, 3.0, 5.0, RunEnd.DONE),
    )


def _start_after_done() -> JobHistory:
    return _make_history(
        _make_run(1, 2.0, 3.0, RunEnd.DONE),
        _make_run(2, 3.5, 4.0, RunEnd.DONE),
    )


def _start_beyond_attempts() -> JobHistory:
    return _make_history(
        _make_run(1, 2.0, 3.0, RunEnd.FAILED),
        _make_run(2, 3.0, 4.0, RunEnd.FAILED),
        _make_run(3, 5.5, 6.0, RunEnd.DONE),
    )


def _starts_after_crashes() -> JobHistory:
    crashed = [
        _make_run(number, 2.0 * number, 2.0 * number + 1, RunEnd.INTERRUPTED)
        for number in range(1, 7)
    ]
    for crashed_run in crashed:
        crashed_run.was_crashed = True
    return _make_history(*crashed, _make_run(7, 20.0, 21.0, RunEnd.DONE))


def _failed_after_one_crash() -> JobHistory:
    crashed_run = _make_run(1, 2.0, 3.0, RunEnd.INTERRUPTED)
    crashed_run.was_crashed = True
    history = _make_history(crashed_run)
    history.final_states[_JOB] = 'failed'
    return history


def _start_after_cancel() -> JobHistory:
    history = _make_history(_make_run(1, 4.0, 5.0, RunEnd.DONE))
    history.add(_make_call('cancel', 2.0, CallOutcome.CANCELLED))
    return history


def _start_of_refused_job() -> JobHistory:
    history = _make_history()
    history.stored_jobs.clear()
    history.calls = [_make_call('submit', 1.0, CallOutcome.OVERLOADED)]
    return history


def _lost_job() -> JobHistory:
    history = _make_history()
    history.final_states[_JOB] = ''
    return history


def _failed_without_cause() -> JobHistory:
    history = _make_history()
    history.final_states[_JOB] = 'failed'
    return history


def _unknown_accepted_job() -> JobHistory:
    history = _make_history()
    history.add(_make_call('read', 2.0, CallOutcome.NO_SUCH_JOB))
    return history


def _older_configuration() -> JobHistory:
    history = _make_history()
    history.add(Put(7, 1.0, True))
    history.add(ConfigurationRead(2.0, 6))
    return history


def _zone_history(begin_at: float, end_at: float) -> JobHistory:
    """Return a history with a run at 5 s in a zone that is evacuated."""
    history = _make_history(_make_run(1, 5.0, 6.0, RunEnd.DONE))
    history.runs[0].zone = 'a'
    history.add(ZoneOrder('a', True, begin_at, begin_at + 0.1, True))
    history.add(ZoneOrder('b', False, 4.5, 4.6, True))
    history.add(ZoneOrder('a', False, end_at, end_at + 0.1, False))
    return history


def _start_in_evacuated_zone() -> JobHistory:
    return _zone_history(begin_at=2.0, end_at=5.5)


def _unrecovered_deployment() -> JobHistory:
    history = _make_history()
    history.has_recovered = False
    return history


_VIOLATING_HISTORY_BY_RULE: Final[dict[str, Callable[[], JobHistory]]] = {
    'no_two_runs_at_once': _concurrent_runs,
    'no_start_after_a_noted_end': _start_after_done,
    'no_start_beyond_the_attempts': _start_beyond_attempts,
    'few_starts_after_three_crashes': _starts_after_crashes,
    'no_start_after_a_cancel': _start_after_cancel,
    'no_start_of_what_was_refused': _start_of_refused_job,
    'accepted_jobs_end': _lost_job,
    'known_once_accepted': _unknown_accepted_job,
    'configuration_never_goes_back': _older_configuration,
    'no_start_in_an_evacuated_zone': _start_in_evacuated_zone,
    'serves_again': _unrecovered_deployment,
}


class JobRulesTest(unittest.TestCase):
    def test_valid_history_has_no_violation(self) -> None:
        self.assertEqual([], check(_make_history()))

    def test_each_rule_finds_its_violation(self) -> None:
        for rule, make in _VIOLATING_HISTORY_BY_RULE.items():
            with self.subTest(rule):
                violations = [
                    breach.partition(':')[0] for breach in check(make())
                ]
                self.assertEqual([rule], violations)

    def test_starts_before_and_after_an_evacuation_are_permitted(
        self,
    ) -> None:
        for begin_at, end_at in ((2.0, 4.9), (4.0, 9.0), (5.5, 9.0)):
            with self.subTest(begin_at=begin_at):
                self.assertEqual([], check(_zone_history(begin_at, end_at)))

    def test_failure_needs_its_attempts(self) -> None:
        for make in (_failed_without_cause, _failed_after_one_crash):
            with self.subTest(make.__name__):
                violations = check(make())
                self.assertEqual(1, len(violations), violations)


class JobHistoryTest(unittest.TestCase):
    """Runs under random faults with fixed seeds violate no rule."""

    def test_rules_hold(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = run(seed, _SECONDS)
                self.assertGreater(len(result.history.runs), 0)
                self.assertEqual((), result.breaches, result.line())


if __name__ == '__main__':
    unittest.main()
