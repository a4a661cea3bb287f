"""Tests which task is held responsible for crashes of its upstreams."""

import unittest

from baobabgap.jobmodel import CrashEvidence
from baobabgap.jobmodel import is_given_up
from baobabgap.jobmodel import must_run_alone
from baobabgap.jobmodel import weigh_crash

WEAK, STRONG, ALONE = (
    CrashEvidence.WEAK,
    CrashEvidence.STRONG,
    CrashEvidence.ALONE,
)


class WeighCrashTest(unittest.TestCase):
    def test_last_starts_are_suspected(self) -> None:
        cases: list[tuple[list[int | None], list[CrashEvidence]]] = [
            ([], []),
            ([1800], [ALONE]),
            ([None], [ALONE]),
            ([700, 30, 10], [WEAK, STRONG, STRONG]),
            # Nothing started shortly before: the latest is still suspected.
            ([900, 1800, 920], [STRONG, WEAK, STRONG]),
            ([None, 400], [WEAK, STRONG]),
            ([None, None], [STRONG, STRONG]),
        ]
        for ages_ms, expected in cases:
            with self.subTest(ages_ms=ages_ms):
                self.assertEqual(expected, weigh_crash(ages_ms))


class GivenUpTest(unittest.TestCase):
    def test_by_number_and_evidence(self) -> None:
        cases = [
            ({}, False, False),
            # One crash is never enough to fail a job.
            ({1: WEAK}, False, False),
            ({1: STRONG}, False, True),
            ({1: ALONE}, False, True),
            ({1: STRONG, 2: ALONE}, True, True),
            ({1: WEAK, 2: ALONE}, True, True),
            # Something else may have caused both.
            ({1: ALONE, 2: WEAK}, False, True),
            ({1: STRONG, 2: STRONG}, False, True),
            ({1: WEAK, 2: WEAK}, False, True),
            # Crashes are judged by the order of runs, not of reports.
            ({1002: ALONE, 1: WEAK}, True, True),
            ({1: WEAK, 2: WEAK, 3: WEAK}, True, True),
        ]
        for evidence_by_run, given_up, alone in cases:
            with self.subTest(evidence_by_run=evidence_by_run):
                self.assertIs(given_up, is_given_up(evidence_by_run))
                self.assertIs(alone, must_run_alone(evidence_by_run))
