"""Supervision of the tasks that run as long as their process."""

from collections.abc import Callable
from concurrent.futures import Future
import threading
import traceback
from typing import Any
from typing import Final

from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class EssentialTasks:
    """Reports the failure of a task without which a process can't work.

    The other tasks of such a process would keep its ports and links open, so
    that no supervisor would restart it. Its main loop sets `on_failure` and
    ends the process::

        tasks = EssentialTasks(metrics)
        tasks.on_failure = stop_requested.set
        tasks.watch('scheduler', pool.submit(scheduler.run))

    Failures are counted by the metric `baobabgap_task_failures_total`.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics: Final = metrics
        self._lock = threading.Lock()
        self._failed_task = ''
        self._on_failure: Callable[[], None] | None = None

    @property
    def failed_task(self) -> str:
        """The name of the first task that failed, or empty."""
        return self._failed_task

    @property
    def on_failure(self) -> Callable[[], None] | None:
        """What is called once a task has failed, by any thread."""
        return self._on_failure

    @on_failure.setter
    def on_failure(self, callback: Callable[[], None]) -> None:
        with self._lock:
            self._on_failure = callback
            has_failed = bool(self._failed_task)
        if has_failed:
            callback()

    def watch(self, name: str, task: Future[Any]) -> None:
        """Report a failure if the task ends with an exception."""
        task.add_done_callback(lambda done: self._check(name, done))

    def report_failure(self, name: str, error: BaseException) -> None:
        """Log and count the failure of a task, and call `on_failure`."""
        log_event(
            'task_failed',
            task=name,
            error=repr(error),
            trace=''.join(traceback.format_exception(error, limit=-6)),
        )
        self._metrics.count(f'baobabgap_task_failures_total{{task="{name}"}}')
        with self._lock:
            self._failed_task = self._failed_task or name
            callback = self._on_failure
        if callback is not None:
            callback()

    def _check(self, name: str, task: Future[Any]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.report_failure(name, error)
