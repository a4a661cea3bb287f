"""Tests of the lookup of the queue of a request."""

import unittest

from baobabgap.queues import JobQueue
from baobabgap.queues import QueueConfiguration
from baobabgap.queues import QueueTable


def make_queue(name: str, host: str, prefix: str) -> JobQueue:
    return JobQueue(name, host, prefix, 's', 0, 1, 1.0, 0, 1000)


class QueueTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        table = QueueTable.from_configuration(
            QueueConfiguration(
                1,
                b'',
                (
                    make_queue('short', 'One.example', '/a/'),
                    make_queue('long', 'one.example', '/a/b/'),
                    make_queue('other', 'two.example', '/a/b/'),
                    make_queue('v6', '2001:db8::1', '/a/'),
                    make_queue('v6 in brackets', '[2001:DB8::2]', '/a/'),
                ),
                (),
            )
        )
        cases = [
            ('one.example', '/a/x', ('short', 'x')),
            ('ONE.example:8080', '/a/b/x', ('long', 'x')),
            ('two.example', '/a/b/', ('other', '')),
            ('two.example', '/a/x', None),
            ('three.example', '/a/x', None),
            ('[2001:db8::1]:8080', '/a/x', ('v6', 'x')),
            ('[2001:db8::1]', '/a/x', ('v6', 'x')),
            ('2001:db8::2', '/a/x', ('v6 in brackets', 'x')),
            ('[2001:db8::3]:8080', '/a/x', None),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                match = table.find(host, path)
                found = match and (match.queue.name, match.rest)
                self.assertEqual(expected, found)

    def test_removed_queues_are_remembered(self) -> None:
        kept = make_queue('kept', 'one.example', '/a/')
        removed = make_queue('removed', 'one.example', '/b/')
        table = None
        for version, queues in enumerate(
            [(kept, removed), (kept,), (kept,)], 1
        ):
            table = QueueTable.from_configuration(
                QueueConfiguration(version, b'', queues, ()), table
            )
        assert table is not None
        self.assertIsNone(table.find('one.example', '/b/x'))
        match = table.find_removed('one.example', '/b/x')
        self.assertEqual(('removed', 'x'), match and (match.queue.name, 'x'))
        self.assertIsNone(table.find_removed('one.example', '/a/x'))
        again = QueueTable.from_configuration(
            QueueConfiguration(4, b'', (kept, removed), ()), table
        )
        self.assertIsNotNone(again.find('one.example', '/b/x'))
        self.assertIsNone(again.find_removed('one.example', '/b/x'))


if __name__ == '__main__':
    unittest.main()
