"""The only judge of starts on one upstream."""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
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
from baobabgap.agent._queue import TaskQueue
from baobabgap.agent._resources import RunningResources
from baobabgap.agent._resumption import Resumption
from baobabgap.agent._upstream import LeaseListing
from baobabgap.agent._upstream import LeaseReport
from baobabgap.jobs import TaskSize
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement
from baobabgap.messages import TaskResult
from baobabgap.messages import TaskResults
from baobabgap.messages import UpstreamLoad
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics

# Seconds after which an entry without a link loses its queued tasks.
_LOST_LINK_GRACE_S: Final = 3.0
# Seconds after a job's deadline for which its results are kept.
_KEPT_AFTER_DEADLINE_S: Final = 30.0
# The longest deadline of a job, for tasks of which it isn't known.
_LONGEST_DEADLINE_S: Final = 600.0

_NO_UPSTREAM: Final = UpstreamOffer(
    '', 0, TaskSize(0.0, 0, 0), False, 'no upstream has announced itself'
)


class TaskScheduler:
    """Takes tasks from entries, starts each at most once, sends results.

    All rules hold under one lock; nothing here waits for the network.
    `run` is called with each task to start and must only hand it on to
    another thread, which calls `end` once the task has ended. Likewise
    `stop` for the leases of cancelled tasks.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        metrics: Metrics,
        batch_log: BatchLog,
        run: Callable[[TaskRecord], None],
        stop: Callable[[list[str]], None],
    ) -> None:
        self._incarnation = incarnation
        self._metrics = metrics
        self._batch_log = batch_log
        self._run = run
        self._stop = stop
        self._lock = threading.RLock()
        self._links = EntryLinks()
        self._ledger = SlotLedger(agent)
        self._memory = StartMemory()
        self._queue = TaskQueue()
        self._resources = RunningResources()
        self._resumption = Resumption(incarnation)
        self._offer = _NO_UPSTREAM
        self._outbox: list[tuple[EntryLink, TaskResult]] = []

    @property
    def offer(self) -> UpstreamOffer:
        """What the entries were told last."""
        return self._offer

    @property
    def outstanding_tasks(self) -> int:
        """Tasks that run, wait, or have a result not yet acknowledged."""
        return len(self._memory)

    def set_offer(self, offer: UpstreamOffer) -> None:
        """Tell the entries of a changed offer, and share its slots out."""
        with self._exclusively():
            if offer == self._offer:
                return
            self._offer = offer
            self._ledger.set_slots(offer.slots if offer.accepting else 0)
            self._links.send_to_all(offer)
            if not offer.accepting:
                self._drop_queued(lambda record: True, offer.reason)
            self._redistribute()

    def open_link(self, link: EntryLink) -> None:
        """Take an entry's new link, and resend what it lacks."""
        with self._exclusively():
            self._links.open(link)
            link.send(self._offer)
            name, incarnation = link.peer.name, link.peer.incarnation
            self._drop_queued(
                lambda record: (
                    record.owner == name
                    and record.owner_incarnation != incarnation
                ),
                'the entry has restarted',
            )
            kept = [
                record.result
                for record in self._memory.records()
                if record.result is not None
                and record.owner_incarnation == incarnation
            ]
            if kept:
                link.send(TaskResults(tuple(kept)))
            self._redistribute()

    def lose_link(self, link: EntryLink) -> None:
        """Share the slots out anew after a link has ended."""
        with self._exclusively():
            if self._links.lose(link, time.monotonic()):
                self._redistribute()

    def place(self, link: EntryLink, message: PlaceTasks) -> None:
        """Start tasks, or let them wait, or tell why not."""
        batch = None
        if message.agent_incarnation == self._incarnation:
            batch = self._batch_log.open(message)
        with self._exclusively():
            if not self._links.is_current(link):
                self._waste('old_link')
                return
            if message.agent_incarnation != self._incarnation:
                pairs = tuple((message.job, t.task) for t in message.tasks)
                self._resume(
                    link, ResumeTasks(message.agent_incarnation, pairs)
                )
                return
            for placement in message.tasks:
                self._place_one(link, message, placement, batch)
            self._start_waiting()

    def end(
        self,
        record: TaskRecord,
        outcome: TaskOutcome,
        value: Any,
        run_time_ms: float = 0.0,
    ) -> None:
        """Record how a task ended, and tell its entry at once."""
        with self._exclusively():
            if record.state is TaskState.ENDED:
                self._waste('late_result')
                return
            self._finish(record, outcome, value, run_time_ms)
            self._start_waiting()

    def cancel(self, link: EntryLink, message: CancelJobs) -> None:
        """Drop queued tasks of jobs, and stop those that run."""
        jobs = set(message.jobs)
        incarnation = link.peer.incarnation
        with self._exclusively():
            concerned = [
                record
                for record in self._memory.records()
                if record.job in jobs
                and record.owner_incarnation == incarnation
                and record.state is not TaskState.ENDED
            ]
            late = jobs - {record.job for record in concerned}
            self._waste('late_cancel', len(late))
            self._drop_queued(
                lambda record: (
                    record.job in jobs
                    and record.owner_incarnation == incarnation
                ),
                'cancelled',
            )
            running = [
                record.lease
                for record in concerned
                if record.state is TaskState.RUNNING
            ]
            if running:
                self._stop(running)

    def acknowledge(
        self, link: EntryLink, message: AcknowledgeResults
    ) -> None:
        """Forget results that the entry has."""
        with self._exclusively():
            for job, task in message.tasks:
                record = self._memory.find(job, task)
                if record is None or record.state is not TaskState.ENDED:
                    self._waste('late_acknowledgement')
                elif record.owner_incarnation == link.peer.incarnation:
                    self._memory.acknowledge(record)

    def resume(self, link: EntryLink, message: ResumeTasks) -> None:
        """Answer for each task that an entry still waits for."""
        with self._exclusively():
            if self._links.is_current(link):
                self._resume(link, message)

    def adopt(self, listing: LeaseListing) -> None:
        """Take over the leases that an earlier agent process started."""
        with self._exclusively():
            for report in listing.leases:
                self._adopt_one(report)
            self._resumption.learn(listing)
            for link, message in self._resumption.take_waiting():
                if self._links.is_current(link):
                    self._resume(link, message)

    def give_up_running(self, reason: str) -> list[str]:
        """Report all running tasks as lost; return their leases."""
        with self._exclusively():
            records = self.running()
            for record in records:
                self._finish(record, TaskOutcome.LOST, reason, 0.0)
        return [record.lease for record in records]

    def running(self) -> list[TaskRecord]:
        """Return the records of the tasks that run."""
        with self._lock:
            return [
                record
                for record in self._memory.records()
                if record.state is TaskState.RUNNING
            ]

    def take_acknowledged_leases(self) -> list[str]:
        """Return, once, the leases that the upstream may forget."""
        with self._exclusively():
            return self._memory.take_acknowledged_leases()

    def give_back_acknowledged_leases(self, leases: list[str]) -> None:
        """Take leases back that could not be told to the upstream."""
        with self._exclusively():
            self._memory.give_back_acknowledged_leases(leases)

    def report_load(self) -> None:
        """Tell the entries how busy the upstream is."""
        with self._exclusively():
            self._links.send_to_all(
                UpstreamLoad(self._ledger.running, self._ledger.queued)
            )

    def tick(self) -> None:
        """Do what is due: deadlines, lost links, leaks, old records."""
        now = time.monotonic()
        with self._exclusively():
            self._drop_queued(
                lambda record: record.deadline < now,
                'the deadline passed before a slot was free',
            )
            gone = self._links.take_long_lost(now - _LOST_LINK_GRACE_S)
            if gone:
                self._drop_queued(
                    lambda record: record.owner in gone, 'the entry is gone'
                )
            self._drop_expired(now)
            for link, message in self._resumption.take_overdue(now):
                if self._links.is_current(link):
                    self._resume(link, message)
            leaks = self._ledger.suspects_leak(now)
            if leaks or self._ledger.has_unclaimed_slots:
                self._redistribute()

    def _place_one(
        self,
        link: EntryLink,
        message: PlaceTasks,
        placement: TaskPlacement,
        batch: Batch | None,
    ) -> None:
        known = self._memory.find(message.job, placement.task)
        if known is not None:
            self._waste('duplicate_placement')
            self._note_end(batch, 'duplicate')
            self._repeat(link, known)
            return
        if self._memory.has_started(message.job, placement.task):
            self._waste('duplicate_placement')
            self._note_end(batch, 'duplicate')
            lost = _lost(message.job, placement.task, _ANSWERED_BEFORE)
            self._outbox.append((link, lost))
            return
        record = TaskRecord(
            message.job,
            placement,
            placement.task,
            link.peer.name,
            link.peer.incarnation,
            time.monotonic() + message.deadline_ms / 1000,
            batch=batch,
        )
        problem = self._find_refusal(link, message, placement)
        self._memory.add(record)
        self._ledger.receive(message.epoch)
        if problem:
            self._waste('refused_placement')
            self._finish(record, TaskOutcome.NOT_STARTED, problem, 0.0)
        else:
            self._queue.append(record)

    def _find_refusal(
        self, link: EntryLink, message: PlaceTasks, placement: TaskPlacement
    ) -> str:
        """Return why a new task must not start here, or an empty text."""
        owner = message.owner_incarnation
        if owner != link.peer.incarnation:
            return 'placed for another incarnation of the entry'
        if not self._memory.settle_owner(message.job, owner):
            return 'the job belongs to another incarnation of an entry'
        if not self._offer.accepting:
            return self._offer.reason
        if not placement.size.fits_in(self._offer.capacity):
            return 'the task is larger than the upstream'
        if message.deadline_ms <= 0:
            return 'the deadline has passed'
        if self._memory.is_full:
            return 'too many results wait to be acknowledged'
        return ''

    def _start_waiting(self) -> None:
        """Start what waits for as long as slots and resources are free."""
        now = time.monotonic()
        while self._ledger.free_slots > 0:
            free = self._resources.free(self._offer.capacity)
            record = self._queue.pop_fitting(free)
            if record is None:
                return
            if record.deadline < now:
                reason = 'the deadline passed before a slot was free'
                self._finish(record, TaskOutcome.NOT_STARTED, reason, 0.0)
                continue
            record.state = TaskState.RUNNING
            record.started_at = now
            self._ledger.begin()
            self._resources.take(record)
            self._metrics.count('baobabgap_tasks_started_total')
            self._run(record)

    def _finish(
        self,
        record: TaskRecord,
        outcome: TaskOutcome,
        value: Any,
        run_time_ms: float,
    ) -> None:
        """End a task, and send its result if its entry is linked."""
        if record.state is TaskState.RUNNING:
            self._ledger.end_running()
            self._resources.give_back(record)
        else:
            self._ledger.end_queued()
        link = self._links.find(record.owner, record.owner_incarnation)
        returns = link is not None and self._ledger.give_back_token()
        record.state = TaskState.ENDED
        result = TaskResult(
            record.job,
            record.task,
            outcome,
            value,
            run_time_ms,
            returns,
            self._ledger.epoch,
        )
        # A resent result brings no second token.
        record.result = _without_token(result) if returns else result
        self._note_end(record.batch, outcome.value)
        self._metrics.count(
            f'baobabgap_tasks_ended_total{{outcome="{outcome.value}"}}'
        )
        if link is not None:
            self._outbox.append((link, result))

    def _drop_queued(
        self, wanted: Callable[[TaskRecord], bool], reason: str
    ) -> None:
        for record in self._queue.take(wanted):
            self._finish(record, TaskOutcome.NOT_STARTED, reason, 0.0)

    def _drop_expired(self, now: float) -> None:
        """Drop results that no entry has fetched long after the deadline."""
        for record in self._memory.records():
            expired_at = record.deadline + _KEPT_AFTER_DEADLINE_S
            if record.state is TaskState.ENDED and expired_at < now:
                self._memory.drop(record)

    def _repeat(self, link: EntryLink, record: TaskRecord) -> None:
        """Answer for a task that is known already, if it has ended."""
        if record.owner_incarnation != link.peer.incarnation:
            lost = _lost(record.job, record.task, _OTHER_OWNER)
            self._outbox.append((link, lost))
        elif record.result is not None:
            self._outbox.append((link, record.result))

    def _resume(self, link: EntryLink, message: ResumeTasks) -> None:
        if self._resumption.must_wait(link, message):
            return
        for job, task in message.tasks:
            known = self._memory.find(job, task)
            if known is not None:
                self._repeat(link, known)
                continue
            if self._memory.has_started(job, task):
                result = _lost(job, task, _ANSWERED_BEFORE)
            else:
                result = self._resumption.answer(
                    message.agent_incarnation, job, task
                )
            self._outbox.append((link, result))

    def _adopt_one(self, report: LeaseReport) -> None:
        job, _, task = report.lease.partition('/')
        if report.state == 'revoked' or self._memory.find(job, task):
            return
        owner, _, owner_incarnation = report.owner.partition('/')
        now = time.monotonic()
        record = TaskRecord(
            job,
            None,
            task,
            owner,
            owner_incarnation,
            now + _LONGEST_DEADLINE_S,
            TaskState.RUNNING,
            now,
            adrift=True,
        )
        self._memory.add(record)
        self._memory.settle_owner(job, owner_incarnation)
        self._ledger.adopt()
        if report.outcome is not None:
            self._finish(
                record, report.outcome, report.value, report.run_time_ms
            )

    def _redistribute(self) -> None:
        self._ledger.set_entries(self._links.entries)
        for entry, grant in self._ledger.redistribute().items():
            self._links.send_to(entry, grant)

    @contextmanager
    def _exclusively(self) -> Iterator[None]:
        """Hold the lock, and then send all results at once."""
        with self._lock:
            yield
            results_by_link: dict[EntryLink, list[TaskResult]] = {}
            for link, result in self._outbox:
                results_by_link.setdefault(link, []).append(result)
            self._outbox.clear()
            for link, results in results_by_link.items():
                link.send(TaskResults(tuple(results)))

    def _note_end(self, batch: Batch | None, outcome: str) -> None:
        if batch is not None and batch.note_end(outcome):
            self._batch_log.close(batch)

    def _waste(self, kind: str, messages: int = 1) -> None:
        if messages:
            self._metrics.count(
                f'baobabgap_wasted_messages_total{{kind="{kind}"}}', messages
            )


_ANSWERED_BEFORE: Final = 'started, and its result was acknowledged before'
_OTHER_OWNER: Final = 'placed before by another incarnation of an entry'


def _lost(job: str, task: str, reason: str) -> TaskResult:
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
