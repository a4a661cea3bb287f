"""Tests of job submissions and identifiers."""

from typing import Any
import unittest

from baobabgap import InvalidInput
from baobabgap.jobs import JobIdentifier
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import MAXIMUM_TASKS


def _document(**changes: Any) -> dict[str, Any]:
    document: dict[str, Any] = {
        'identifier': 'kurek.1764800000000.heat-4',
        'team': 'rowing',
        'deadline_ms': 2000,
        'tasks': [{'identifier': 't1', 'kind': 'seat', 'run_time_ms': 60}],
    }
    document.update(changes)
    return document


class TestJobSubmission(unittest.TestCase):
    """A valid submission is accepted; an invalid one names the field.

    Without the field in the error, a client can't find what to correct.
    The digest must ignore the deadline: otherwise a resubmission with less
    time left conflicts with the claim of its own job.
    """

    def test_accepts_valid_document(self) -> None:
        submission = JobSubmission.from_document(_document())
        self.assertEqual('kurek', submission.client)
        self.assertFalse(submission.idempotent)

    def test_refuses_invalid_documents(self) -> None:
        task = {'identifier': 't', 'kind': 'seat'}
        too_many_tasks = [
            {'identifier': f't{i}', 'kind': 'k'}
            for i in range(MAXIMUM_TASKS + 1)
        ]
        cases: dict[str, tuple[object, str]] = {
            'no map': ([], 'job'),
            'no tasks': (_document(tasks=[]), 'tasks'),
            '1001 tasks': (_document(tasks=too_many_tasks), 'tasks'),
            'text deadline': (_document(deadline_ms='5'), 'deadline_ms'),
            'past deadline': (_document(deadline_ms=0), 'deadline_ms'),
            'unknown key': (_document(colour='red'), 'colour'),
            'bad identifier': (_document(identifier='x'), 'identifier'),
            'twice': (_document(tasks=[task, task]), "'t' is used twice"),
            'negative time': (
                _document(tasks=[{**task, 'run_time_ms': -1}]),
                'run_time_ms',
            ),
        }
        for name, (document, expected) in cases.items():
            with self.subTest(name):
                with self.assertRaises(InvalidInput) as caught:
                    JobSubmission.from_document(document)
                self.assertIn(expected, str(caught.exception))

    def test_digest_ignores_only_the_deadline(self) -> None:
        first = JobSubmission.from_document(_document())
        later = JobSubmission.from_document(_document(deadline_ms=7))
        other = JobSubmission.from_document(_document(team='coxswains'))
        self.assertEqual(first.digest(), later.digest())
        self.assertNotEqual(first.digest(), other.digest())


class TestJobIdentifier(unittest.TestCase):
    """Parsing and formatting an identifier are inverse to each other.

    Otherwise logs and answers would name another job.
    """

    def test_round_trip(self) -> None:
        text = 'etnavapore.1764800000000.well-7_b'
        self.assertEqual(text, str(JobIdentifier.from_text(text)))
