"""Tests of claims: ownership, eviction and the limits on both.

They guard against a job that is granted to two owners, which can come about
by an eviction, by a release that a later request overtakes, and by a restart
from a snapshot.
"""

import random
import unittest

from baobabgap.control._claims import ClaimLimits
from baobabgap.control._claims import Claims
from baobabgap.control._claims import outcome_from_row
from baobabgap.control._commands import ClaimCommand
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import ReleaseCommand
from baobabgap.messages import ClaimStatus

GRANTED = ClaimStatus.GRANTED
OWNED = ClaimStatus.OWNED
CONFLICT = ClaimStatus.CONFLICT
UNCLAIMED = ClaimStatus.UNCLAIMED
WINDOW_PASSED = ClaimStatus.WINDOW_PASSED


def claims_with(
    max_claims: int = 100, max_per_client: int = 100, window_ms: int = 10**9
) -> Claims:
    return Claims(
        ClaimLimits(max_claims, max_per_client, window_ms, max_clients=4)
    )


def submit_claim(
    claims: Claims,
    job: str,
    owner: str = 'entry-1',
    digest: bytes = b'd',
    token: int = 1,
    sequence: int = 1,
    now_ms: int = 0,
) -> ClaimStatus:
    command = ClaimCommand(
        owner, f'{owner}-a', 'host:1', sequence, [(job, digest, token)]
    )
    return outcome_from_row(claims.claim(command, now_ms)[0]).status


def look_up_status(
    claims: Claims, job: str, digest: bytes = b'd', token: int = 1
) -> ClaimStatus:
    query = LookupQuery('entry-1-a', [(job, digest, token)])
    return outcome_from_row(claims.look_up(query)[0]).status


class ClaimRulesTest(unittest.TestCase):
    def test_second_claim_of_a_job(self) -> None:
        cases = [
            ('resend', 'entry-1', b'd', 1, GRANTED),
            ('second submission', 'entry-1', b'd', 2, OWNED),
            ('other entry', 'entry-2', b'd', 1, OWNED),
            ('other content', 'entry-1', b'x', 1, CONFLICT),
            ('other content and entry', 'entry-2', b'x', 1, CONFLICT),
        ]
        for name, owner, digest, token, expected in cases:
            with self.subTest(name):
                claims = claims_with()
                submit_claim(claims, 'kurek.5.n')
                status = submit_claim(
                    claims, 'kurek.5.n', owner, digest, token
                )
                self.assertIs(status, expected)
                self.assertEqual(claims.kept_count, 1)

    def test_lookup(self) -> None:
        cases = [
            ('own claim', 'kurek.5.n', b'd', 1, GRANTED),
            ('other token', 'kurek.5.n', b'd', 2, OWNED),
            ('empty digest', 'kurek.5.n', b'', 2, OWNED),
            ('other content', 'kurek.5.n', b'x', 1, CONFLICT),
            ('free', 'kurek.6.n', b'd', 1, UNCLAIMED),
            ('free, other client', 'etna.1.n', b'd', 1, UNCLAIMED),
            ('at the floor', 'kurek.4.z', b'd', 1, WINDOW_PASSED),
        ]
        claims = claims_with(max_per_client=1)
        submit_claim(claims, 'kurek.4.n')
        submit_claim(claims, 'kurek.5.n')
        for name, job, digest, token, expected in cases:
            with self.subTest(name):
                self.assertIs(
                    look_up_status(claims, job, digest, token), expected
                )

    def test_release_is_fenced_by_later_requests(self) -> None:
        cases = [
            ('after the claim', 'entry-1-a', 2, UNCLAIMED),
            ('overtaken by a resend', 'entry-1-a', 1, GRANTED),
            ('by another entry', 'entry-2-a', 9, GRANTED),
        ]
        for name, incarnation, sequence, expected in cases:
            with self.subTest(name):
                claims = claims_with()
                submit_claim(claims, 'kurek.5.n', sequence=1)
                claims.release(
                    ReleaseCommand(incarnation, sequence, ['kurek.5.n'])
                )
                self.assertIs(look_up_status(claims, 'kurek.5.n'), expected)


class ClaimWindowTest(unittest.TestCase):
    def test_evicted_claim_is_never_granted_again(self) -> None:
        claims = claims_with(max_per_client=3)
        for issued in (10, 30, 20, 40):
            self.assertIs(submit_claim(claims, f'kurek.{issued}.n'), GRANTED)
        cases = [
            ('evicted', 'kurek.10.n', WINDOW_PASSED),
            ('issued at the floor', 'kurek.10.z', WINDOW_PASSED),
            ('kept', 'kurek.20.n', OWNED),
            ('other client', 'etna.1.n', GRANTED),
        ]
        for name, job, expected in cases:
            with self.subTest(name):
                self.assertIs(submit_claim(claims, job, 'entry-2'), expected)

    def test_full_client_refuses_job_older_than_all_kept_claims(self) -> None:
        claims = claims_with(max_per_client=2)
        submit_claim(claims, 'kurek.10.n')
        submit_claim(claims, 'kurek.20.n')
        self.assertIs(submit_claim(claims, 'kurek.5.n'), WINDOW_PASSED)
        self.assertIs(look_up_status(claims, 'kurek.10.n'), GRANTED)

    def test_claim_at_the_floor_evicts_nothing(self) -> None:
        claims = claims_with(max_claims=2)
        for job in ('kurek.10.n', 'kurek.20.n', 'kurek.30.n'):
            submit_claim(claims, job)
        self.assertIs(submit_claim(claims, 'kurek.10.z'), WINDOW_PASSED)
        self.assertIs(look_up_status(claims, 'kurek.20.n'), GRANTED)
        self.assertIs(look_up_status(claims, 'kurek.30.n'), GRANTED)

    def test_overflow_evicts_from_the_client_with_most(self) -> None:
        claims = claims_with(max_claims=4)
        for job in ('kurek.1.a', 'kurek.2.a', 'kurek.3.a', 'etna.1.a'):
            submit_claim(claims, job)
        submit_claim(claims, 'etna.2.a')
        self.assertEqual(claims.kept_count, 4)
        self.assertIs(look_up_status(claims, 'kurek.1.a'), WINDOW_PASSED)
        self.assertIs(look_up_status(claims, 'etna.1.a'), GRANTED)

    def test_window_is_measured_in_log_time(self) -> None:
        claims = claims_with(window_ms=100)
        submit_claim(claims, 'kurek.10.n', now_ms=0)
        submit_claim(claims, 'kurek.20.n', now_ms=100)
        self.assertIs(look_up_status(claims, 'kurek.10.n'), GRANTED)
        submit_claim(claims, 'kurek.30.n', now_ms=101)
        self.assertIs(look_up_status(claims, 'kurek.10.n'), WINDOW_PASSED)
        self.assertIs(look_up_status(claims, 'kurek.20.n'), GRANTED)

    def test_clock_far_ahead_blocks_no_later_claims(self) -> None:
        claims = claims_with(window_ms=100)
        submit_claim(claims, 'kurek.999999.n', now_ms=0)
        self.assertIs(submit_claim(claims, 'kurek.10.n', now_ms=500), GRANTED)
        self.assertIs(submit_claim(claims, 'kurek.11.n', now_ms=900), GRANTED)

    def test_number_of_clients_is_limited(self) -> None:
        claims = claims_with()
        for client in 'abcd':
            self.assertIs(submit_claim(claims, f'{client}.1.n'), GRANTED)
        self.assertIs(submit_claim(claims, 'e.1.n'), WINDOW_PASSED)
        self.assertIs(submit_claim(claims, 'a.2.n'), GRANTED)

    def test_never_granted_twice_under_random_commands(self) -> None:
        """Without releases, a job is granted to one owner and token only."""
        rng = random.Random(7)
        claims = claims_with(max_claims=20, max_per_client=12, window_ms=40)
        grant_by_job: dict[str, tuple[str, int]] = {}
        for step in range(4000):
            client = rng.choice('abc')
            job = f'{client}.{step // 20 + rng.randrange(30)}.n'
            owner = rng.choice(['entry-1', 'entry-2'])
            token = rng.randrange(3)
            status = submit_claim(claims, job, owner, b'd', token, step, step)
            if status is GRANTED:
                first_grant = grant_by_job.setdefault(job, (owner, token))
                self.assertEqual(first_grant, (owner, token))
            if rng.random() < 0.05:
                restored = claims_with(
                    max_claims=20, max_per_client=12, window_ms=40
                )
                restored.restore(claims.to_document())
                self.assertEqual(restored.kept_count, claims.kept_count)
                claims = restored
            self.assertLessEqual(claims.kept_count, 20)
