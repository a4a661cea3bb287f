"""Which jobs count as possibly begun, after any order of messages."""

from collections.abc import Callable
import unittest

from baobabgap.leaderlink._begun_jobs import BegunJobs

Message = Callable[[BegunJobs], None]


def sent(call: int, now: float = 0.0) -> Message:
    return lambda jobs: jobs.note_sent('a', call, now)


def deferred(call: int) -> Message:
    return lambda jobs: jobs.note_deferred('a', call)


def announced(now: float = 0.0) -> Message:
    return lambda jobs: jobs.note_announced(('a',), now)


def kept(now: float) -> Message:
    return lambda jobs: jobs.keep(('a',), now)


def pruned(now: float) -> Message:
    return lambda jobs: jobs.prune(now)


class BegunJobsTest(unittest.TestCase):
    def test_job_counts_unless_the_only_call_of_it_is_deferred(self) -> None:
        cases: dict[str, tuple[bool, tuple[Message, ...]]] = {
            'never sent': (False, ()),
            'sent': (True, (sent(1),)),
            'deferred': (False, (sent(1), deferred(1))),
            'announced': (True, (sent(1), deferred(1), announced())),
            'announced first': (True, (sent(1), announced(), deferred(1))),
            'sent twice, first deferred': (
                True,
                (sent(1), sent(2), deferred(1)),
            ),
            'sent twice, second deferred': (
                True,
                (sent(1), sent(2), deferred(2)),
            ),
            'sent again after it was deferred': (
                True,
                (sent(1), deferred(1), sent(2)),
            ),
            'deferred late': (
                True,
                (sent(1), deferred(1), sent(2), deferred(1)),
            ),
            'both deferred in turn': (
                False,
                (sent(1), deferred(1), sent(2), deferred(2)),
            ),
            'announced between': (
                True,
                (sent(1), deferred(1), announced(), sent(2), deferred(2)),
            ),
            'announced, then refused': (
                False,
                (sent(1), deferred(1), announced(), deferred(1)),
            ),
            'announced late': (
                True,
                (sent(1), deferred(1), sent(2), announced(), deferred(2)),
            ),
            'old': (False, (sent(1), pruned(20.1))),
            'announced lately': (
                True,
                (sent(1), deferred(1), announced(9.0), pruned(20.1)),
            ),
            'a call waits': (True, (sent(1), kept(15.0), pruned(20.1))),
            'a deferred call waits': (
                False,
                (sent(1), deferred(1), kept(1.0)),
            ),
        }
        for case, (expected, messages) in cases.items():
            with self.subTest(case):
                jobs = BegunJobs()
                for message in messages:
                    message(jobs)
                self.assertEqual(expected, jobs.may_have_begun('a'))
                self.assertEqual(expected, jobs.job_ids() == ('a',))


if __name__ == '__main__':
    unittest.main()
