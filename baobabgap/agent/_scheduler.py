"""The only judge of starts on one upstream."""

from collections.abc import Callable
import time
from typing import Any
from typing import Final

from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._intake import ANSWERED_BEFORE
from baobabgap.agent._intake import TaskIntake
from baobabgap.agent._links import EntryLink
from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._memory import TaskState
from baobabgap.agent._resumption import Resumption
from baobabgap.agent._task_desk import lost_result
from baobabgap.agent._task_desk import TaskDesk
from baobabgap.agent._upstream_reports import LeaseListing
from baobabgap.agent._upstream_reports import LeaseReport
from baobabgap.messages import AcknowledgeResults
from baobabgap.messages import CancelJobs
from baobabgap.messages import PlaceTasks
from baobabgap.messages import ResumeTasks
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskResults
from baobabgap.messages import UpstreamLoad
from baobabgap.messages import UpstreamOffer
from baobabgap.telemetry import Metrics

# Seconds after which an entry without a link loses its queued tasks.
_LOST_LINK_GRACE_S: Final = 3.0
# The longest deadline of a job, for tasks of which it isn't known.
_LONGEST_DEADLINE_S: Final = 600.0


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
        self._batch_log = batch_log
        self._stop = stop
        self._desk = TaskDesk(agent, metrics, batch_log, run)
        self._intake = TaskIntake(self._desk)
        self._resumption = Resumption(incarnation)

    @property
    def offer(self) -> UpstreamOffer:
        """What the entries were told last."""
        return self._desk.offer

    def count_outstanding(self, *, with_unlinked: bool = True) -> int:
        """Count tasks that run, wait, or have an unacknowledged result.

        Results of an entry that has no link now are left out on demand:
        if it has died, nobody will ever fetch them.
        """
        with self._desk.outbox:
            return sum(
                with_unlinked or record.result is None or self._linked(record)
                for record in self._desk.memory.records()
            )

    def _linked(self, record: TaskRecord) -> bool:
        link = self._desk.links.find(record.owner, record.owner_incarnation)
        return link is not None

    def set_offer(self, offer: UpstreamOffer) -> None:
        """Tell the entries of a changed offer, and share its slots out."""
        with self._desk.outbox:
            if offer == self._desk.offer:
                return
            self._desk.links.send_to_all(offer)
            self._desk.set_offer(offer)
            self._desk.redistribute()

    def open_link(self, link: EntryLink) -> None:
        """Take an entry's new link, and resend what it lacks."""
        with self._desk.outbox:
            self._desk.links.open(link)
            link.send(self._desk.offer)
            name, incarnation = link.peer.name, link.peer.incarnation
            self._desk.drop_queued(
                lambda record: (
                    record.owner == name
                    and record.owner_incarnation != incarnation
                ),
                'the entry has restarted',
            )
            kept = [
                record.result
                for record in self._desk.memory.records()
                if record.result is not None
                and record.owner_incarnation == incarnation
            ]
            if kept:
                link.send(TaskResults(tuple(kept)))
            self._desk.redistribute()

    def lose_link(self, link: EntryLink) -> None:
        """Share the slots out anew after a link has ended."""
        with self._desk.outbox:
            if self._desk.links.lose(link, time.monotonic()):
                self._desk.redistribute()

    def place(self, link: EntryLink, message: PlaceTasks) -> None:
        """Start tasks, or let them wait, or tell why not."""
        batch = None
        if message.agent_incarnation == self._incarnation:
            batch = self._batch_log.open(message)
        with self._desk.outbox:
            if not self._desk.links.is_current(link):
                self._desk.waste('old_link')
                return
            if message.agent_incarnation != self._incarnation:
                pairs = tuple((message.job, t.task) for t in message.tasks)
                self._resume(
                    link, ResumeTasks(message.agent_incarnation, pairs)
                )
                return
            for placement in message.tasks:
                self._intake.take(link, message, placement, batch)
            self._desk.start_waiting()

    def end(
        self,
        record: TaskRecord,
        outcome: TaskOutcome,
        value: Any,
        run_time_ms: float = 0.0,
    ) -> None:
        """Record how a task ended, and tell its entry at once."""
        with self._desk.outbox:
            if record.state is TaskState.ENDED:
                self._desk.waste('late_result')
                return
            self._desk.finish(record, outcome, value, run_time_ms)
            self._desk.start_waiting()

    def cancel(self, link: EntryLink, message: CancelJobs) -> None:
        """Drop queued tasks of jobs, and stop those that run."""
        jobs = set(message.jobs)
        incarnation = link.peer.incarnation
        with self._desk.outbox:
            concerned = [
                record
                for record in self._desk.memory.records()
                if record.job in jobs
                and record.owner_incarnation == incarnation
                and record.state is not TaskState.ENDED
            ]
            late = jobs - {record.job for record in concerned}
            self._desk.waste('late_cancel', len(late))
            self._desk.drop_queued(
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
        with self._desk.outbox:
            for job, task in message.tasks:
                record = self._desk.memory.find(job, task)
                if record is None or record.state is not TaskState.ENDED:
                    self._desk.waste('late_acknowledgement')
                elif record.owner_incarnation == link.peer.incarnation:
                    self._desk.memory.acknowledge(record)

    def resume(self, link: EntryLink, message: ResumeTasks) -> None:
        """Answer for each task that an entry still waits for."""
        with self._desk.outbox:
            if self._desk.links.is_current(link):
                self._resume(link, message)

    def adopt(self, listing: LeaseListing) -> None:
        """Take over the leases that an earlier agent process started."""
        with self._desk.outbox:
            for report in listing.leases:
                self._adopt_one(report)
            self._resumption.learn(listing)
            for link, message in self._resumption.take_waiting():
                if self._desk.links.is_current(link):
                    self._resume(link, message)

    def give_up_running(self, reason: str) -> list[str]:
        """Report all running tasks as lost; return their leases."""
        with self._desk.outbox:
            records = self.running()
            for record in records:
                self._desk.finish(record, TaskOutcome.LOST, reason, 0.0)
        return [record.lease for record in records]

    def running(self) -> list[TaskRecord]:
        """Return the records of the tasks that run."""
        with self._desk.outbox:
            return [
                record
                for record in self._desk.memory.records()
                if record.state is TaskState.RUNNING
            ]

    def take_acknowledged_leases(self) -> list[str]:
        """Return, once, the leases that the upstream may forget."""
        with self._desk.outbox:
            return self._desk.memory.take_acknowledged_leases()

    def give_back_acknowledged_leases(self, leases: list[str]) -> None:
        """Take leases back that could not be told to the upstream."""
        with self._desk.outbox:
            self._desk.memory.give_back_acknowledged_leases(leases)

    def report_load(self) -> None:
        """Tell the entries how busy the upstream is."""
        with self._desk.outbox:
            ledger = self._desk.ledger
            self._desk.links.send_to_all(
                UpstreamLoad(ledger.running, ledger.queued)
            )

    def tick(self) -> None:
        """Do what is due: deadlines, lost links, leaks, old records."""
        now = time.monotonic()
        with self._desk.outbox:
            self._desk.drop_queued(
                lambda record: record.deadline < now,
                'the deadline passed before a slot was free',
            )
            gone = self._desk.links.take_long_lost(now - _LOST_LINK_GRACE_S)
            if gone:
                self._desk.drop_queued(
                    lambda record: record.owner in gone, 'the entry is gone'
                )
            self._desk.drop_expired(now)
            for link, message in self._resumption.take_overdue(now):
                if self._desk.links.is_current(link):
                    self._resume(link, message)
            leaks = self._desk.ledger.suspects_leak(now)
            if leaks or self._desk.ledger.has_unclaimed_slots:
                self._desk.redistribute()

    def _resume(self, link: EntryLink, message: ResumeTasks) -> None:
        if self._resumption.must_wait(link, message):
            return
        for job, task in message.tasks:
            known = self._desk.memory.find(job, task)
            if known is not None:
                self._desk.repeat(link, known)
                continue
            if self._desk.memory.has_started(job, task):
                result = lost_result(job, task, ANSWERED_BEFORE)
            else:
                result = self._resumption.answer(
                    message.agent_incarnation, job, task
                )
            self._desk.outbox.add(link, result)

    def _adopt_one(self, report: LeaseReport) -> None:
        job, _, task = report.lease.partition('/')
        if report.state == 'revoked' or self._desk.memory.find(job, task):
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
        self._desk.adopt(record)
        if report.outcome is not None:
            self._desk.finish(
                record, report.outcome, report.result, report.run_time_ms
            )
