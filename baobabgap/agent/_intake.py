"""Which placed tasks may start, and which are only answered."""

import time
from typing import Final

from baobabgap.agent._batch_log import Batch
from baobabgap.agent._links import EntryLink
from baobabgap.agent._memory import TaskRecord
from baobabgap.agent._task_desk import lost_result
from baobabgap.agent._task_desk import TaskDesk
from baobabgap.messages import PlaceTasks
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement

ANSWERED_BEFORE: Final = 'started, and its result was acknowledged before'


class TaskIntake:
    """Takes one placed task at a time; the caller holds the lock."""

    def __init__(self, desk: TaskDesk) -> None:
        self._desk = desk

    def take(
        self,
        link: EntryLink,
        message: PlaceTasks,
        placement: TaskPlacement,
        batch: Batch | None,
    ) -> None:
        """Let a new task wait for its start, or answer for a known one."""
        known = self._desk.memory.find(message.job, placement.task)
        if known is not None:
            self._desk.waste('duplicate_placement')
            self._desk.note_end(batch, 'duplicate')
            self._desk.repeat(link, known)
            return
        if self._desk.memory.has_started(message.job, placement.task):
            self._desk.waste('duplicate_placement')
            self._desk.note_end(batch, 'duplicate')
            lost = lost_result(message.job, placement.task, ANSWERED_BEFORE)
            self._desk.outbox.add(link, lost)
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
        self._desk.receive(record, message.epoch)
        if problem:
            self._desk.waste('refused_placement')
            self._desk.finish(record, TaskOutcome.NOT_STARTED, problem, 0.0)
        else:
            self._desk.enqueue(record)

    def _find_refusal(
        self, link: EntryLink, message: PlaceTasks, placement: TaskPlacement
    ) -> str:
        """Return why a new task must not start here, or an empty text."""
        owner = message.owner_incarnation
        if owner != link.peer.incarnation:
            return 'placed for another incarnation of the entry'
        if not self._desk.memory.settle_owner(message.job, owner):
            return 'the job belongs to another incarnation of an entry'
        if not self._desk.offer.accepting:
            return self._desk.offer.reason
        if not placement.size.fits_in(self._desk.offer.capacity):
            return 'the task is larger than the upstream'
        if message.deadline_ms <= 0:
            return 'the deadline has passed'
        if self._desk.memory.is_full:
            return 'too many results wait to be acknowledged'
        return ''
