"""Tests which ends of tasks count as failures of their process."""

from concurrent.futures import Future
import unittest
from unittest.mock import Mock

from baobabgap.tasks import EssentialTasks
from baobabgap.telemetry import Metrics


class EssentialTasksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics()
        self.tasks = EssentialTasks(self.metrics)
        self.task: Future[None] = Future()

    def test_failure_is_reported_and_counted(self) -> None:
        self.tasks.on_failure = on_failure = Mock()
        self.tasks.watch('links', self.task)
        on_failure.assert_not_called()
        self.task.set_exception(TimeoutError())
        on_failure.assert_called_once_with()
        self.assertEqual('links', self.tasks.failed_task)
        self.assertEqual(
            1,
            self.metrics.value('baobabgap_task_failures_total{task="links"}'),
        )

    def test_failure_before_the_callback_is_set_is_reported(self) -> None:
        self.tasks.watch('links', self.task)
        self.task.set_exception(TimeoutError())
        self.tasks.on_failure = on_failure = Mock()
        on_failure.assert_called_once_with()

    def test_planned_ends_are_no_failures(self) -> None:
        self.tasks.on_failure = on_failure = Mock()
        cancelled: Future[None] = Future()
        for task in (self.task, cancelled):
            self.tasks.watch('links', task)
        self.task.set_result(None)
        cancelled.cancel()
        on_failure.assert_not_called()
        self.assertEqual('', self.tasks.failed_task)


if __name__ == '__main__':
    unittest.main()
