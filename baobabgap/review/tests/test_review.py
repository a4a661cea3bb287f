"""Tests the review of configurations before they are sent.

A finding that is missed costs callers a queue that nobody reaches; a false
one makes operators ignore the others.
"""

from collections.abc import Sequence
from dataclasses import replace
import unittest

from baobabgap.queues import JobQueue
from baobabgap.queues import QueueConfiguration
from baobabgap.queues import RequestLimits
from baobabgap.queues import Service
from baobabgap.review import Difference
from baobabgap.review import differences_of
from baobabgap.review import render_review
from baobabgap.review import review_queues
from baobabgap.review import review_ticket
from baobabgap.review import TicketContext

_QUEUE = JobQueue(
    'crews', 'desk.example', '/crews/', 'desk', 0, 2, 1.6, 60, 1500
)
_SERVICE = Service('desk', guards_capacity=True)


def _configuration(
    *queues: JobQueue, version: int = 3, limits: RequestLimits | None = None
) -> QueueConfiguration:
    return QueueConfiguration(
        version,
        f'{version}'.encode(),
        queues or (_QUEUE,),
        (_SERVICE,),
        limits or RequestLimits(),
    )


class QueueReviewTest(unittest.TestCase):
    def test_usual_configuration_has_no_findings(self) -> None:
        other = replace(_QUEUE, name='lanes', path_prefix='/crews/lanes/')
        self.assertEqual(
            (), review_queues(_configuration(_QUEUE, other)).findings
        )

    def test_findings(self) -> None:
        cases: Sequence[tuple[str, QueueConfiguration, str]] = [
            (
                'host with a scheme',
                _configuration(replace(_QUEUE, host='http://desk.example')),
                'no request has the host',
            ),
            (
                'prefix without a leading slash',
                _configuration(replace(_QUEUE, path_prefix='crews/')),
                'no path of a request begins with',
            ),
            (
                'encoded prefix',
                _configuration(replace(_QUEUE, path_prefix='/a%2fb/')),
                'no path of a request begins with',
            ),
            (
                'prefix with a query',
                _configuration(replace(_QUEUE, path_prefix='/a?b/')),
                'no path of a request begins with',
            ),
            (
                'the same host with another port',
                _configuration(
                    replace(_QUEUE, host='desk.example:80'),
                    replace(_QUEUE, name='b', host='Desk.example:81'),
                ),
                'queue b: never matches: queue crews',
            ),
            (
                'prefix without a final slash',
                _configuration(replace(_QUEUE, path_prefix='/crews')),
                'end it with a slash',
            ),
            (
                'service without a queue',
                _configuration(replace(_QUEUE, service='other')),
                'service desk: no queue sends tasks to it',
            ),
            (
                'time limit below the allowance',
                _configuration(replace(_QUEUE, timeout_ms=50)),
                'time limit of 50 ms ends before',
            ),
            (
                'stretch below 1',
                _configuration(replace(_QUEUE, stretch=0.5)),
                'late even if it starts at once',
            ),
            (
                'idle time below the time for a header',
                _configuration(limits=RequestLimits(idle_timeout_ms=100)),
                'before the time for a header',
            ),
            (
                'limit of 0',
                _configuration(limits=RequestLimits(body_bytes=0)),
                'body_bytes is 0',
            ),
        ]
        for name, configuration, expected in cases:
            with self.subTest(name):
                review = review_queues(configuration)
                self.assertIn(expected, render_review(review))
                self.assertEqual(1, len(review.findings))
                self.assertFalse(review.has_errors)

    def test_versions(self) -> None:
        in_force = _configuration(version=3)
        cases: Sequence[tuple[str, QueueConfiguration, str]] = [
            ('the same again', in_force, 'this configuration is in force'),
            (
                'an older one',
                _configuration(version=2),
                'acknowledged without effect',
            ),
        ]
        for name, configuration, expected in cases:
            with self.subTest(name):
                (finding,) = review_queues(configuration, in_force).findings
                self.assertIn(expected, finding.text)

    def test_differences_from_the_one_in_force(self) -> None:
        after = _configuration(
            replace(_QUEUE, timeout_ms=900),
            replace(_QUEUE, name='lanes', path_prefix='/lanes/'),
            version=4,
        )
        review = review_queues(after, _configuration())
        self.assertEqual((), review.findings)
        self.assertEqual(
            ['queue crews.timeout_ms', 'queue lanes', 'version'],
            [difference.subject for difference in review.differences],
        )


class TicketReviewTest(unittest.TestCase):
    def test_every_error_is_found(self) -> None:
        review = review_ticket(
            {'quota/a': {'tasks': 5}, 'polcy': {}, 'quota/b': 7},
            TicketContext({}),
        )
        self.assertEqual(
            ['quota/a', 'polcy', 'quota/b'],
            [finding.subject for finding in review.findings],
        )
        self.assertTrue(review.has_errors)

    def test_warnings(self) -> None:
        quota = {'tasks_per_second': 5, 'burst_tasks': 10}
        larger = {'tasks_per_second': 50, 'burst_tasks': 100}
        cases: Sequence[tuple[str, dict[str, object], TicketContext, str]] = [
            (
                'limit of an upstream that does not exist',
                {'upstream/u9': {'slots': 2}},
                TicketContext({}, ('u1', 'u2')),
                'no upstream has this name',
            ),
            (
                'last upstream taken out of use',
                {'upstream/u2': {'slots': 0}},
                TicketContext({'upstream/u1': {'slots': 0}}, ('u1', 'u2')),
                'every upstream is out of use',
            ),
            (
                'quota below the default',
                {'quota/rowing': quota},
                TicketContext({'policy': {'default_quota': larger}}),
                'less than teams without a quota',
            ),
        ]
        for name, state, context, expected in cases:
            with self.subTest(name):
                review = review_ticket(state, context)
                self.assertIn(expected, render_review(review))
                self.assertEqual(1, len(review.findings))
                self.assertFalse(review.has_errors)

    def test_differences_cover_the_keys_of_the_ticket(self) -> None:
        in_force = {'quota/a': {'tasks_per_second': 5}, 'policy': {}}
        review = review_ticket(
            {'quota/a': {'tasks_per_second': 6}}, TicketContext(in_force)
        )
        self.assertEqual(
            (Difference('quota/a.tasks_per_second', 5, 6),),
            review.differences,
        )


class DifferencesTest(unittest.TestCase):
    def test_added_removed_and_changed(self) -> None:
        self.assertEqual(
            (
                Difference('a.b', 1, 2),
                Difference('c', None, 3),
                Difference('d', 4, None),
            ),
            differences_of({'a': {'b': 1}, 'd': 4}, {'a': {'b': 2}, 'c': 3}),
        )


if __name__ == '__main__':
    unittest.main()
