"""Tests of the classification of responses in the benchmark."""

import json
from typing import Any
import unittest

from baobabgap.webclient import WebResponse
from tools.bench._answers import classify_response
from tools.bench._answers import End
from tools.bench._answers import task_payload
from tools.bench._trace import TraceJob
from tools.bench._trace import TraceTask

_TASKS = (TraceTask('t0', 'k', 60.0, 50), TraceTask('t1', 'k', 70.0, 90))
_JOB = TraceJob(0, 0.0, 'kurek', 'clubs', 1000, _TASKS)
_OWN = 'kurek.1.own'
_OTHER = 'kurek.1.other'


def _result(task: TraceTask, job: str = _OWN) -> dict[str, Any]:
    value = {
        'job': job,
        'task': task.identifier,
        'echo': task_payload(job, task),
    }
    return {'task': task.identifier, 'value': value}


def _whole(*results: dict[str, Any], job: str = _OWN) -> dict[str, Any]:
    return {'identifier': job, 'state': 'whole', 'results': list(results)}


def _failure(state: str, code: str) -> dict[str, Any]:
    return {'identifier': _OWN, 'state': state, 'error': {'code': code}}


class TestJudge(unittest.TestCase):
    """A response is whole only with all values, in order, of its own job.

    Otherwise the benchmark would miss lost, reordered or mixed-up results.
    """

    def test_classification(self) -> None:
        first, second = _TASKS
        own = [_result(first), _result(second)]
        cases: dict[str, tuple[Any, End]] = {
            'whole': (_whole(*own), End.WHOLE),
            'missing value': (_whole(own[0]), End.PARTIAL),
            'duplicate value': (_whole(own[0], own[0]), End.PARTIAL),
            'out of order': (_whole(*reversed(own)), End.PARTIAL),
            'value of another job': (
                _whole(own[0], _result(second, _OTHER)),
                End.WRONG_CALLER,
            ),
            'answer of another job': (
                _whole(*own, job=_OTHER),
                End.WRONG_CALLER,
            ),
            'refused': (_failure('refused', 'overloaded'), End.REFUSED),
            'failed': (_failure('failed', 'task_lost'), End.FAILED),
            'cancelled': (_failure('failed', 'cancelled'), End.CANCELLED),
            'pending': ({'state': 'pending'}, End.NO_ANSWER),
            'null document': (None, End.NO_ANSWER),
        }
        for name, (document, expected) in cases.items():
            with self.subTest(name):
                body = json.dumps(document).encode()
                response = WebResponse(200, {'retry-after': '1'}, body)
                outcome = classify_response(_JOB, _OWN, response, 0.0, 0.9)
                self.assertEqual(expected, outcome.end)
                self.assertTrue(outcome.has_retry_after)
                self.assertEqual(expected is End.WHOLE, outcome.met_deadline)

    def test_late_answer_misses_deadline(self) -> None:
        body = json.dumps(_whole(*map(_result, _TASKS))).encode()
        outcome = classify_response(
            _JOB, _OWN, WebResponse(200, {}, body), 0.0, 1.1
        )
        self.assertFalse(outcome.met_deadline)
