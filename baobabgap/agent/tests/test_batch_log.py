"""Tests that a batch writes two log lines, whatever its size."""

import unittest

from eliot import MemoryLogger
from eliot import start_action
from eliot.testing import swap_logger

from baobabgap.agent._batch_log import BatchLog
from baobabgap.jobs import TaskSize
from baobabgap.messages import PlaceTasks
from baobabgap.messages import TaskPlacement


class BatchLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.logger = MemoryLogger()
        before = swap_logger(self.logger)
        self.addCleanup(swap_logger, before)
        self.log = BatchLog('agent-1')

    def message(self, log_action: str) -> PlaceTasks:
        tasks = tuple(
            TaskPlacement(name, 'k', None, TaskSize()) for name in 'abc'
        )
        return PlaceTasks('a.1.x', 'e', 'g', 1, 100, tasks, log_action)

    def test_logs_two_lines_within_the_action_of_the_entry(self) -> None:
        with start_action(action_type='entry:job') as action:
            identifier = action.serialize_task_id().decode()
        written = len(self.logger.messages)
        batch = self.log.open(self.message(identifier))
        assert batch is not None
        ends = [batch.note_end(end) for end in ('done', 'done', 'failed')]
        self.assertEqual([False, False, True], ends)
        self.log.close(batch)
        self.log.stop()
        self.log.run()
        first, last = self.logger.messages[written:]
        self.assertEqual(action.task_uuid, first['task_uuid'])
        self.assertEqual(['a', 'b', 'c'], first['tasks'])
        self.assertEqual((2, 1), (last['done'], last['failed']))

    def test_logs_no_lines_without_a_valid_action_identifier(self) -> None:
        for text in ('', 'no identifier', 'a@b@c', 'x@/y'):
            with self.subTest(text):
                self.assertIsNone(self.log.open(self.message(text)))
