"""The tasks at the agent, from their arrival to their result."""

from collections.abc import Callable
import threading
import time
from typing import Any
from typing import Final

from baobabgap.agent._batch_log import Batch
from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._ledger import SlotLedger
from baobabgap.agent._links import EntryLink
from baobabgap.agent._links import EntryLinks
from baobabgap.agent._memory import StartMemory
from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._memory import TaskState
from baobabgap.agent._outbox import ResultOutbox
from baobabgap.agent._queue import TaskQueue
from baobabgap.agent._resources import RunningResources
from baobabgap.jobs import TaskSize
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResult
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics

# Seconds after a job's deadline for which its results are kept.
_KEPT_AFTER_DEADLINE_S: Final = 30.0

_OTHER_OWNER: Final = 'placed before by another incarnation of an entry'
_NO_UPSTREAM: Final = UpstreamOffer(
    '', 0, TaskSize(0.0, 0, 0), False, 'no upstream has announced itself'
)


class TaskDesk:
    """Queued, running and ended tasks, with the slots that they hold.

    Every method needs the lock that `outbox` holds. `run` is called with
    each task to start.
    """

    def __init__(
        self,
        agent: str,
        metrics: Metrics,
        batch_log: BatchLog,
        run: Callable[[TaskRecord], None],
    ) -> None:
        self._metrics = metrics
        self._batch_log = batch_log
        self._run = run
        self._queue = TaskQueue()
        self._resources = RunningResources()
        self.links: Final = EntryLinks()
        self.ledger: Final = SlotLedger(agent)
        self.memory: Final = StartMemory()
        self.outbox: Final = ResultOutbox(threading.RLock())
        self.offer = _NO_UPSTREAM

    def set_offer(self, offer: UpstreamOffer) -> None:
        """Use what the upstream offers from now on."""
        self.offer = offer
        self.ledger.set_slots(offer.slots if offer.accepting else 0)
        if not offer.accepting:
            self.drop_queued(lambda record: True, offer.reason)
        self.start_waiting()

    def receive(self, record: TaskRecord, epoch: int) -> None:
        """Remember a task that has arrived with a token of `epoch`."""
        self.memory.add(record)
        self.ledger.receive(epoch)

    def enqueue(self, record: TaskRecord) -> None:
        """Let a task wait for a slot."""
        self._queue.append(record)

    def adopt(self, record: TaskRecord) -> None:
        """Remember a task that an earlier agent process has started."""
        self.memory.add(record)
        self.memory.settle_owner(record.job, record.owner_incarnation)
        self.ledger.adopt()

    def start_waiting(self) -> None:
        """Start what waits for as long as slots and resources are free."""
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
            record.state = TaskState.RUNNING
            record.started_at = now
            self.ledger.begin()
            self._resources.take(record)
            self._metrics.count('baobabgap_tasks_started_total')
            self._run(record)

    def finish(
        self,
        record: TaskRecord,
        outcome: TaskOutcome,
        value: Any,
        run_time_ms: float,
    ) -> None:
        """End a task, and send its result if its entry is linked."""
        if record.state is TaskState.RUNNING:
            self.ledger.end_running()
            self._resources.give_back(record)
        else:
            self.ledger.end_queued()
        link = self.links.find(record.owner, record.owner_incarnation)
        returns = link is not None and self.ledger.give_back_token()
        record.state = TaskState.ENDED
        result = TaskResult(
            record.job,
            record.task,
            outcome,
            value,
            run_time_ms,
            returns,
            self.ledger.epoch,
        )
        # A resent result brings no second token.
        record.result = _without_token(result) if returns else result
        self.note_end(record.batch, outcome.value)
        self._metrics.count(
            f'baobabgap_tasks_ended_total{{outcome="{outcome.value}"}}'
        )
        if link is not None:
            self.outbox.add(link, result)

    def drop_queued(
        self, wanted: Callable[[TaskRecord], bool], reason: str
    ) -> None:
        """End queued tasks without a start."""
        for record in self._queue.take(wanted):
            self.finish(record, TaskOutcome.NOT_STARTED, reason, 0.0)

    def drop_expired(self, now: float) -> None:
        """Drop results that no entry has fetched long after the deadline."""
        for record in self.memory.records():
            expired_at = record.deadline + _KEPT_AFTER_DEADLINE_S
            if record.state is TaskState.ENDED and expired_at < now:
                self.memory.drop(record)

    def repeat(self, link: EntryLink, record: TaskRecord) -> None:
        """Answer for a task that is known already, if it has ended."""
        if record.owner_incarnation != link.peer.incarnation:
            lost = lost_result(record.job, record.task, _OTHER_OWNER)
            self.outbox.add(link, lost)
        elif record.result is not None:
            self.outbox.add(link, record.result)

    def redistribute(self) -> None:
        """Begin a new epoch, and tell each entry of its tokens."""
        self.ledger.set_entries(self.links.entries)
        for entry, grant in self.ledger.redistribute().items():
            self.links.send_to(entry, grant)

    def note_end(self, batch: Batch | None, outcome: str) -> None:
        """Count the end of a task for the log."""
        if batch is not None and batch.note_end(outcome):
            self._batch_log.close(batch)

    def waste(self, kind: str, messages: int = 1) -> None:
        """Count messages that changed nothing."""
        if messages:
            self._metrics.count(
                f'baobabgap_wasted_messages_total{{kind="{kind}"}}', messages
            )


def lost_result(job: str, task: str, reason: str) -> TaskResult:
    """Answer that what became of a task can't be known."""
    return TaskResult(job, task, TaskOutcome.LOST, reason, 0.0, False, 0)


def _without_token(result: TaskResult) -> TaskResult:
    return TaskResult(
        result.job,
        result.task,
        result.outcome,
        result.value,
        result.run_time_ms,
        False,
        result.epoch,
    )
