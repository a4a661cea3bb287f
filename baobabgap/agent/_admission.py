"""Admission of placed tasks, with detection of duplicates."""

import time
from typing import Final

from baobabgap.agent._batch_log import Batch
from baobabgap.agent._links import EntryLink
from baobabgap.agent._task_registry import TaskRecord
from baobabgap.agent._task_tracker import lost_result
from baobabgap.agent._task_tracker import OTHER_OWNER_OF_JOB
from baobabgap.agent._task_tracker import TaskTracker
from baobabgap.messages import PlaceTasks
from baobabgap.messages import TaskOutcome
from baobabgap.messages import TaskPlacement

ALREADY_ACKNOWLEDGED: Final = 'started, and its result was acknowledged before'


class TaskAdmission:
    """Admits or refuses placed tasks; callers hold the scheduler's lock."""

    def __init__(self, tracker: TaskTracker) -> None:
        self._tracker = tracker

    def admit(
        self,
        link: EntryLink,
        message: PlaceTasks,
        placement: TaskPlacement,
        batch: Batch | None,
    ) -> None:
        """Queue a new task, or answer for one that is already known."""
        known = self._tracker.registry.find(message.job, placement.task)
        if known is not None and _is_superseded(known, link, message):
            self._tracker.registry.drop(known)
            known = None
        if known is not None:
            self._tracker.count_wasted('duplicate_placement')
            self._tracker.note_end(batch, 'duplicate')
            self._tracker.answer_known_task(link, known, message.placement)
            return
        if self._tracker.registry.has_started(message.job, placement.task):
            self._tracker.count_wasted('duplicate_placement')
            self._tracker.note_end(batch, 'duplicate')
            lost = lost_result(
                message.job,
                placement.task,
                ALREADY_ACKNOWLEDGED,
                message.placement,
            )
            self._tracker.outbox.add(link, lost)
            return
        record = TaskRecord(
            message.job,
            placement,
            placement.task,
            link.peer.name,
            link.peer.incarnation,
            time.monotonic() + message.deadline_ms / 1000,
            batch=batch,
            number=message.placement,
        )
        refusal_reason = self._find_refusal(link, message, placement)
        self._tracker.receive(record, message.epoch)
        if refusal_reason:
            self._tracker.count_wasted('refused_placement')
            self._tracker.finish(
                record, TaskOutcome.NOT_STARTED, refusal_reason, 0.0
            )
        else:
            self._tracker.enqueue(record)

    def _find_refusal(
        self, link: EntryLink, message: PlaceTasks, placement: TaskPlacement
    ) -> str:
        """Return why a new task must not start, or an empty string."""
        owner = message.owner_incarnation
        if owner != link.peer.incarnation:
            return 'placed for another incarnation of the entry'
        if self._tracker.registry.has_other_owner(message.job, owner):
            return OTHER_OWNER_OF_JOB
        if not self._tracker.offer.accepting:
            return self._tracker.offer.reason
        if not placement.size.fits_in(self._tracker.offer.capacity):
            return 'the task is larger than the upstream'
        if message.deadline_ms <= 0:
            return 'the deadline has passed'
        if self._tracker.registry.is_full:
            return 'too many results wait to be acknowledged'
        return ''


def _is_superseded(
    record: TaskRecord, link: EntryLink, message: PlaceTasks
) -> bool:
    """Return whether a task that didn't start is placed anew.

    Its entry places it again, or releases the job for another owner, only
    after it has heard that.
    """
    if record.result is None or record.has_started:
        return False
    if record.owner_incarnation != link.peer.incarnation:
        return True
    return record.number < message.placement
