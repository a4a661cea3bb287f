"""State of the agent's tasks, from placement to result."""

from collections.abc import Callable
from dataclasses import replace
import threading
import time
from typing import Any
from typing import Final

from baobabgap.agent._batch_log import Batch
from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._ledger import SlotLedger
from baobabgap.agent._links import EntryLink
from baobabgap.agent._links import EntryLinks
from baobabgap.agent._outbox import ResultOutbox
from baobabgap.agent._queue import TaskQueue
from baobabgap.agent._resources import RunningResources
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._task_registry import TaskRegistry
from baobabgap.agent._task_registry import TaskState
from baobabgap.jobs import TaskSize
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics

# Seconds after a job's deadline for which its results are kept.
_RETENTION_AFTER_DEADLINE_S: Final = 30.0

OTHER_OWNER_OF_JOB: Final = (
    'the job belongs to another incarnation of an entry'
)
_OTHER_OWNER: Final = 'placed before by another incarnation of an entry'
_NO_UPSTREAM: Final = UpstreamOffer(
    '', 0, TaskSize(0.0, 0, 0), False, 'no upstream has announced itself'
)


class TaskTracker:
    """Tracks queued, running and ended tasks and the slots they hold.

    Callers of any method hold the lock of `outbox`. `run_task` is called
    with each task to start.
    """

    def __init__(
        self,
        agent: str,
        metrics: Metrics,
        batch_log: BatchLog,
        run_task: Callable[[TaskRecord], None],
    ) -> None:
        self._metrics = metrics
        self._batch_log = batch_log
        self._run_task = run_task
        self._queue = TaskQueue()
        self._resources = RunningResources()
        self.links: Final = EntryLinks()
        self.ledger: Final = SlotLedger(agent)
        self.registry: Final = TaskRegistry()
        self.outbox: Final = ResultOutbox(threading.RLock())
        self.offer = _NO_UPSTREAM

    def set_offer(self, offer: UpstreamOffer) -> None:
        """Apply the upstream's new offer to the slots and the queue."""
        self.offer = offer
        self.ledger.set_slots(offer.slots if offer.accepting else 0)
        if not offer.accepting:
            self.drop_queued(lambda record: True, offer.reason)
        self.start_queued()

    def receive(self, record: TaskRecord, epoch: int) -> None:
        """Record a task that has arrived with a token of `epoch`."""
        self.registry.add(record)
        self.ledger.receive(epoch)

    def enqueue(self, record: TaskRecord) -> None:
        """Queue a task until a slot is free."""
        self._queue.append(record)

    def adopt(self, record: TaskRecord) -> None:
        """Record a running task that an earlier agent process started."""
        self.registry.add(record)
        self.registry.bind_owner(record.job, record.owner_incarnation)
        self.ledger.adopt()

    def start_queued(self) -> None:
        """Start queued tasks while slots and resources are free."""
        now = time.monotonic()
        while len(self._queue) and self.ledger.free_slots > 0:
            free = self._resources.free(self.offer.capacity)
            record = self._queue.pop_fitting(free)
            if record is None:
                return
            if record.deadline < now:
                reason = 'the deadline passed before a slot was free'
                self.finish(record, TaskOutcome.NOT_STARTED, reason, 0.0)
                continue
            # Only a start binds the job: one that never started may be
            # released and submitted again through another entry.
            if not self.registry.bind_owner(
                record.job, record.owner_incarnation
            ):
                self.finish(
                    record, TaskOutcome.NOT_STARTED, OTHER_OWNER_OF_JOB, 0.0
                )
                continue
            record.state = TaskState.RUNNING
            record.started_at = now
            self.ledger.begin()
            self._resources.acquire(record)
            self._metrics.count('baobabgap_tasks_started_total')
            self._run_task(record)

    def finish(
        self,
        record: TaskRecord,
        outcome: TaskOutcome,
        value: Any,
        run_time_ms: float,
    ) -> None:
        """End a task and send its result if its entry is linked."""
        if record.state is TaskState.RUNNING:
            self.ledger.end_running()
            self._resources.release(record)
        else:
            self.ledger.end_queued()
        link = self.links.find(record.owner, record.owner_incarnation)
        token_returns = link is not None and self.ledger.return_token()
        record.state = TaskState.ENDED
        result = TaskResult(
            record.job,
            record.task,
            outcome,
            value,
            run_time_ms,
            token_returns,
            self.ledger.epoch,
            record.number,
        )
        # A resent result does not return a second token.
        record.result = _without_token(result) if token_returns else result
        self.note_end(record.batch, outcome.value)
        self._metrics.count(
            f'baobabgap_tasks_ended_total{{outcome="{outcome.value}"}}'
        )
        if link is not None:
            self.outbox.add(link, result)

    def drop_queued(
        self, predicate: Callable[[TaskRecord], bool], reason: str
    ) -> None:
        """End queued tasks that match, without starting them."""
        for record in self._queue.remove_matching(predicate):
            self.finish(record, TaskOutcome.NOT_STARTED, reason, 0.0)

    def drop_expired(self, now: float) -> None:
        """Drop results that stay unacknowledged long after the deadline."""
        for record in self.registry.records():
            expired_at = record.deadline + _RETENTION_AFTER_DEADLINE_S
            if record.state is TaskState.ENDED and expired_at < now:
                self.registry.drop(record)

    def answer_known_task(
        self, link: EntryLink, record: TaskRecord, placement: int
    ) -> None:
        """Send the result of a task that has a record, if it has ended.

        It is the result of the placement that was asked about, too.
        """
        if record.owner_incarnation != link.peer.incarnation:
            lost = lost_result(
                record.job, record.task, _OTHER_OWNER, placement
            )
            self.outbox.add(link, lost)
            return
        record.number = max(record.number, placement)
        if record.result is not None:
            record.result = replace(record.result, placement=record.number)
            self.outbox.add(link, record.result)

    def redistribute(self) -> None:
        """Begin a new epoch and send each entry its tokens."""
        self.ledger.set_entries(self.links.entries)
        for entry, grant in self.ledger.redistribute().items():
            self.links.send_to(entry, grant)

    def note_end(self, batch: Batch | None, outcome: str) -> None:
        """Count the end of a task in its logged batch."""
        if batch is not None and batch.note_end(outcome):
            self._batch_log.close(batch)

    def count_wasted(self, kind: str, messages: int = 1) -> None:
        """Count messages that had no effect."""
        if messages:
            self._metrics.count(
                f'baobabgap_wasted_messages_total{{kind="{kind}"}}', messages
            )


def lost_result(
    job: str, task: str, reason: str, placement: int
) -> TaskResult:
    """Return the result of a task whose outcome can't be known."""
    return TaskResult(
        job, task, TaskOutcome.LOST, reason, 0.0, False, 0, placement
    )


def _without_token(result: TaskResult) -> TaskResult:
    return replace(result, token_returns=False)
