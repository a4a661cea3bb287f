"""Scheduling of task starts on one upstream."""

from collections.abc import Callable
from itertools import chain
from itertools import repeat
import time
from typing import Any
from typing import Final

from baobabgap.agent._admission import ALREADY_ACKNOWLEDGED
from baobabgap.agent._admission import TaskAdmission
from baobabgap.agent._batch_log import BatchLog
from baobabgap.agent._links import EntryLink
from baobabgap.agent._resume_resolver import ResumeResolver
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._task_registry import TaskState
from baobabgap.agent._task_tracker import lost_result
from baobabgap.agent._task_tracker import TaskTracker
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

# Seconds without a link after which an entry's queued tasks are dropped.
_LOST_LINK_GRACE_S: Final = 3.0
# Maximum deadline of a job, assumed for tasks whose deadline is unknown.
_LONGEST_DEADLINE_S: Final = 600.0


class TaskScheduler:
    """Accepts tasks from entries, starts each at most once, sends results.

    One lock guards all state; no method blocks on the network.
    `run_task` is called with each task to start and must only pass it to
    another thread, which calls `end` once the task has ended. Likewise,
    `stop_leases` is called with the leases of cancelled tasks.
    """

    def __init__(
        self,
        agent: str,
        incarnation: str,
        metrics: Metrics,
        batch_log: BatchLog,
        run_task: Callable[[TaskRecord], None],
        stop_leases: Callable[[list[str]], None],
    ) -> None:
        self._incarnation = incarnation
        self._batch_log = batch_log
        self._stop_leases = stop_leases
        self._tracker = TaskTracker(agent, metrics, batch_log, run_task)
        self._admission = TaskAdmission(self._tracker)
        self._resume_resolver = ResumeResolver(incarnation)

    @property
    def offer(self) -> UpstreamOffer:
        """The offer that was sent to the entries last."""
        return self._tracker.offer

    def count_outstanding(self, *, with_unlinked: bool = True) -> int:
        """Count tasks that run, wait, or have an unacknowledged result.

        Without `with_unlinked`, results of entries that have no link are
        left out: a dead entry never acknowledges them.
        """
        with self._tracker.outbox:
            return sum(
                with_unlinked
                or record.result is None
                or self._is_owner_linked(record)
                for record in self._tracker.registry.records()
            )

    def _is_owner_linked(self, record: TaskRecord) -> bool:
        link = self._tracker.links.find(record.owner, record.owner_incarnation)
        return link is not None

    def set_offer(self, offer: UpstreamOffer) -> None:
        """Send a changed offer to the entries and redistribute its slots."""
        with self._tracker.outbox:
            if offer == self._tracker.offer:
                return
            self._tracker.links.send_to_all(offer)
            self._tracker.set_offer(offer)
            self._tracker.redistribute()

    def open_link(self, link: EntryLink) -> None:
        """Register an entry's new link and resend unacknowledged results."""
        with self._tracker.outbox:
            self._tracker.links.open(link)
            link.send(self._tracker.offer)
            name, incarnation = link.peer.name, link.peer.incarnation
            self._tracker.drop_queued(
                lambda record: (
                    record.owner == name
                    and record.owner_incarnation != incarnation
                ),
                'the entry has restarted',
            )
            unacknowledged = [
                record.result
                for record in self._tracker.registry.records()
                if record.result is not None
                and record.owner_incarnation == incarnation
            ]
            if unacknowledged:
                link.send(TaskResults(tuple(unacknowledged)))
            self._tracker.redistribute()

    def remove_link(self, link: EntryLink) -> None:
        """Remove a closed link and redistribute the slots."""
        with self._tracker.outbox:
            if self._tracker.links.remove(link, time.monotonic()):
                self._tracker.redistribute()

    def place(self, link: EntryLink, message: PlaceTasks) -> None:
        """Start or queue placed tasks, or answer why they don't start."""
        batch = None
        if message.agent_incarnation == self._incarnation:
            batch = self._batch_log.open(message)
        with self._tracker.outbox:
            if not self._tracker.links.is_current(link):
                self._tracker.count_wasted('old_link')
                return
            if message.agent_incarnation != self._incarnation:
                pairs = tuple((message.job, t.task) for t in message.tasks)
                numbers = (message.placement,) * len(pairs)
                self._resume(
                    link,
                    ResumeTasks(message.agent_incarnation, pairs, numbers),
                )
                return
            for placement in message.tasks:
                self._admission.admit(link, message, placement, batch)
            self._tracker.start_queued()

    def end(
        self,
        record: TaskRecord,
        outcome: TaskOutcome,
        value: Any,
        run_time_ms: float = 0.0,
    ) -> None:
        """Record how a task ended and send the result to its entry."""
        with self._tracker.outbox:
            if record.state is TaskState.ENDED:
                self._tracker.count_wasted('late_result')
                return
            self._tracker.finish(record, outcome, value, run_time_ms)
            self._tracker.start_queued()

    def cancel(self, link: EntryLink, message: CancelJobs) -> None:
        """Drop the queued tasks of jobs and stop the running ones."""
        jobs = set(message.jobs)
        incarnation = link.peer.incarnation
        with self._tracker.outbox:
            matching = [
                record
                for record in self._tracker.registry.records()
                if record.job in jobs
                and record.owner_incarnation == incarnation
                and record.state is not TaskState.ENDED
            ]
            late = jobs - {record.job for record in matching}
            self._tracker.count_wasted('late_cancel', len(late))
            self._tracker.drop_queued(
                lambda record: (
                    record.job in jobs
                    and record.owner_incarnation == incarnation
                ),
                'cancelled',
            )
            running = [
                record.lease
                for record in matching
                if record.state is TaskState.RUNNING
            ]
            if running:
                self._stop_leases(running)

    def acknowledge(
        self, link: EntryLink, message: AcknowledgeResults
    ) -> None:
        """Drop results that the entry has acknowledged."""
        with self._tracker.outbox:
            for job, task in message.tasks:
                record = self._tracker.registry.find(job, task)
                if record is None or record.state is not TaskState.ENDED:
                    self._tracker.count_wasted('late_acknowledgement')
                elif record.owner_incarnation == link.peer.incarnation:
                    self._tracker.registry.acknowledge(record)

    def resume(self, link: EntryLink, message: ResumeTasks) -> None:
        """Answer for each task whose result an entry still waits for."""
        with self._tracker.outbox:
            if self._tracker.links.is_current(link):
                self._resume(link, message)

    def adopt(self, listing: LeaseListing) -> None:
        """Take over the leases that an earlier agent process started."""
        with self._tracker.outbox:
            for report in listing.leases:
                self._adopt_lease(report)
            self._resume_resolver.record_listing(listing)
            for link, message in self._resume_resolver.pop_deferred():
                if self._tracker.links.is_current(link):
                    self._resume(link, message)

    def mark_running_lost(self, reason: str) -> list[str]:
        """Report all running tasks as lost; return their leases."""
        with self._tracker.outbox:
            records = self.running_records()
            for record in records:
                self._tracker.finish(record, TaskOutcome.LOST, reason, 0.0)
        return [record.lease for record in records]

    def running_records(self) -> list[TaskRecord]:
        """Return the records of the tasks that run."""
        with self._tracker.outbox:
            return [
                record
                for record in self._tracker.registry.records()
                if record.state is TaskState.RUNNING
            ]

    def pop_acknowledged_leases(self) -> list[str]:
        """Remove and return the leases that the upstream may drop."""
        with self._tracker.outbox:
            return self._tracker.registry.pop_acknowledged_leases()

    def requeue_acknowledged_leases(self, leases: list[str]) -> None:
        """Put back leases whose acknowledgement could not be sent."""
        with self._tracker.outbox:
            self._tracker.registry.requeue_acknowledged_leases(leases)

    def report_load(self) -> None:
        """Send the upstream's load to the entries."""
        with self._tracker.outbox:
            ledger = self._tracker.ledger
            self._tracker.links.send_to_all(
                UpstreamLoad(ledger.running, ledger.queued)
            )

    def tick(self) -> None:
        """Handle deadlines, lost links, token leaks and expired records."""
        now = time.monotonic()
        with self._tracker.outbox:
            self._tracker.drop_queued(
                lambda record: record.deadline < now,
                'the deadline passed before a slot was free',
            )
            gone = self._tracker.links.pop_lost_before(
                now - _LOST_LINK_GRACE_S
            )
            if gone:
                self._tracker.drop_queued(
                    lambda record: record.owner in gone, 'the entry is gone'
                )
            self._tracker.drop_expired(now)
            for link, message in self._resume_resolver.pop_overdue(now):
                if self._tracker.links.is_current(link):
                    self._resume(link, message)
            leak_suspected = self._tracker.ledger.suspects_leak(now)
            if leak_suspected or self._tracker.ledger.has_unclaimed_slots:
                self._tracker.redistribute()

    def _resume(self, link: EntryLink, message: ResumeTasks) -> None:
        if self._resume_resolver.defer(link, message):
            return
        placements = chain(message.placements, repeat(0))
        for (job, task), number in zip(
            message.tasks, placements, strict=False
        ):
            known = self._tracker.registry.find(job, task)
            if known is not None:
                self._tracker.answer_known_task(link, known, number)
                continue
            if self._tracker.registry.has_started(job, task):
                result = lost_result(job, task, ALREADY_ACKNOWLEDGED, number)
            else:
                result = self._resume_resolver.resolve(
                    message.agent_incarnation, job, task, number
                )
            self._tracker.outbox.add(link, result)

    def _adopt_lease(self, report: LeaseReport) -> None:
        job, _, task = report.lease.partition('/')
        if report.state == 'revoked' or self._tracker.registry.find(job, task):
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
            is_detached=True,
        )
        self._tracker.adopt(record)
        if report.outcome is not None:
            self._tracker.finish(
                record, report.outcome, report.result, report.run_time_ms
            )
