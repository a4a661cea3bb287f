"""Tests of the replicated state of accepted jobs."""

import unittest

import cbor2

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import AcceptedState
from baobabgap.accepted import AcceptJobs
from baobabgap.accepted import CancelAccepted
from baobabgap.accepted import CancelVolatile
from baobabgap.accepted import CrashEvidence
from baobabgap.accepted import Demand
from baobabgap.accepted import DismissMembers
from baobabgap.accepted import EnrolMembers
from baobabgap.accepted import JobEnd
from baobabgap.accepted import JobState
from baobabgap.accepted import NoteEnds
from baobabgap.accepted import PutConfiguration
from baobabgap.accepted import RunEnd
from baobabgap.accepted import Step
from baobabgap.accepted import TaskEnd
from baobabgap.accepted import TaskId
from baobabgap.accepted import UPSTREAM_CRASHES
from baobabgap.queues import QueueConfiguration
from baobabgap.wire import encode

RETENTION_MS = 1000


def make_job(job_id: str = 'a', tasks: int = 2) -> AcceptedJob:
    return AcceptedJob(
        job_id,
        'queue',
        'service',
        0,
        2,
        1.6,
        60,
        'payload',
        (Step(tasks, Demand(1000, 64, 0), 100),),
        100,
        1,
    )


def configuration(version: int) -> QueueConfiguration:
    return QueueConfiguration(version, b'{}', (), ())


class AcceptedStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = AcceptedState(RETENTION_MS)
        self.index = 0

    def apply(self, command: object) -> object:
        self.index += 1
        return self.state.apply(self.index, encode([command]))

    def note_end(
        self, index: int, end: RunEnd, run: int = 1, now_ms: int = 200
    ) -> object:
        return self.apply(
            NoteEnds((TaskEnd(TaskId('a', 0, index), run, end),), now_ms)
        )

    def test_job_completes_with_its_last_task(self) -> None:
        self.apply(AcceptJobs((make_job(),)))
        self.assertEqual([], self.note_end(0, RunEnd.DONE))
        self.assertIs(JobState.QUEUED, self.state.state_of('a'))
        self.assertEqual(
            [JobEnd('a', JobState.COMPLETED)], self.note_end(1, RunEnd.DONE)
        )
        self.assertIs(JobState.COMPLETED, self.state.state_of('a'))

    def test_repeated_acceptance_has_no_effect(self) -> None:
        self.apply(AcceptJobs((make_job(),)))
        self.note_end(0, RunEnd.DONE)
        self.apply(AcceptJobs((make_job(),)))
        self.assertEqual({(0, 0)}, self.state.unfinished_by_id['a'].done)
        self.note_end(1, RunEnd.DONE)
        self.apply(AcceptJobs((make_job(),)))
        self.assertIs(JobState.COMPLETED, self.state.state_of('a'))

    def note_crash(self, run: int, evidence: CrashEvidence) -> object:
        end = TaskEnd(TaskId('a', 0, 0), run, RunEnd.INTERRUPTED, evidence)
        return self.apply(NoteEnds((end,), 200))

    def test_job_fails_once_a_task_is_given_up_for_crashes(self) -> None:
        self.apply(AcceptJobs((make_job(),)))
        self.assertEqual([], self.note_crash(1, CrashEvidence.STRONG))
        # An agent reports a crash to each new leader.
        self.assertEqual([], self.note_crash(1, CrashEvidence.STRONG))
        self.assertEqual(
            [JobEnd('a', JobState.FAILED, UPSTREAM_CRASHES)],
            self.note_crash(2, CrashEvidence.ALONE),
        )
        self.assertIs(JobState.FAILED, self.state.state_of('a'))
        self.assertEqual(UPSTREAM_CRASHES, self.state.failure_reason('a'))

    def test_crashes_survive_a_snapshot(self) -> None:
        self.apply(AcceptJobs((make_job(), make_job('b'))))
        self.note_crash(1, CrashEvidence.WEAK)
        restored = AcceptedState(RETENTION_MS)
        restored.restore(1, self.state.snapshot())
        self.state = restored
        self.assertEqual(
            {(0, 0): {1: CrashEvidence.WEAK}},
            restored.unfinished_by_id['a'].crashes_by_task,
        )
        self.note_crash(2, CrashEvidence.ALONE)
        self.assertIs(JobState.FAILED, restored.state_of('a'))
        again = AcceptedState(RETENTION_MS)
        again.restore(2, restored.snapshot())
        self.assertEqual(UPSTREAM_CRASHES, again.failure_reason('a'))

    def test_snapshot_without_crashes_is_restored(self) -> None:
        """Builds that don't count crashes write such snapshots."""
        self.apply(AcceptJobs((make_job(), make_job('b', 1))))
        self.note_end(0, RunEnd.FAILED)
        self.apply(
            NoteEnds((TaskEnd(TaskId('b', 0, 0), 1, RunEnd.DONE),), 200)
        )
        ((name, fields),) = cbor2.loads(self.state.snapshot())
        for job in fields['jobs']:
            del job['crashed_runs']
        for end in fields['ended']:
            del end['reason']
        restored = AcceptedState(RETENTION_MS)
        restored.restore(1, cbor2.dumps([[name, fields]]))
        self.assertEqual(
            self.state.unfinished_by_id, restored.unfinished_by_id
        )
        self.assertEqual('', restored.failure_reason('b'))

    def test_interrupted_run_without_a_crash_does_not_count(self) -> None:
        self.apply(AcceptJobs((make_job(),)))
        for run in range(1, 9):
            self.note_end(0, RunEnd.INTERRUPTED, run)
        self.assertIs(JobState.QUEUED, self.state.state_of('a'))

    def test_repeated_failed_run_counts_once(self) -> None:
        self.apply(AcceptJobs((make_job(),)))
        self.assertEqual([], self.note_end(0, RunEnd.FAILED, run=1))
        self.assertEqual([], self.note_end(0, RunEnd.FAILED, run=1))
        self.assertEqual(
            [JobEnd('a', JobState.FAILED)],
            self.note_end(0, RunEnd.FAILED, run=2),
        )

    def test_cancelled_job_stays_cancelled(self) -> None:
        self.apply(AcceptJobs((make_job(tasks=1),)))
        self.apply(CancelAccepted(('a', 'unknown'), 150))
        self.assertEqual([], self.note_end(0, RunEnd.DONE))
        self.assertIs(JobState.CANCELLED, self.state.state_of('a'))
        self.assertIsNone(self.state.state_of('unknown'))

    def test_only_a_higher_version_becomes_active(self) -> None:
        versions: list[int] = []
        self.state.on_configuration = lambda active: versions.append(
            active.version
        )
        for version in (3, 2, 3, 7, 5):
            self.apply(PutConfiguration(configuration(version)))
        self.assertEqual([3, 7], versions)

    def test_ended_job_is_dropped_after_its_retention(self) -> None:
        self.apply(AcceptJobs((make_job(tasks=1),)))
        self.note_end(0, RunEnd.DONE, now_ms=200)
        self.apply(NoteEnds((), 200 + RETENTION_MS))
        self.assertIs(JobState.COMPLETED, self.state.state_of('a'))
        self.apply(NoteEnds((), 201 + RETENTION_MS))
        self.assertIsNone(self.state.state_of('a'))

    def test_members_are_kept_until_dismissed(self) -> None:
        self.apply(EnrolMembers(('agent/a', 'entry/b')))
        self.apply(DismissMembers(('agent/a',)))
        self.assertEqual({'entry/b'}, self.state.members)

    def test_snapshot_restores_everything(self) -> None:
        self.apply(PutConfiguration(configuration(4)))
        self.apply(EnrolMembers(('agent/a',)))
        self.apply(AcceptJobs((make_job(), make_job('b', 1))))
        self.note_end(0, RunEnd.DONE)
        self.note_end(1, RunEnd.FAILED, run=3)
        self.apply(CancelAccepted(('b',), 300))
        restored = AcceptedState(RETENTION_MS)
        versions: list[int] = []
        restored.on_configuration = lambda active: versions.append(
            active.version
        )
        restored.restore(self.index, self.state.snapshot())
        self.assertEqual(self.state.snapshot(), restored.snapshot())
        self.assertEqual([4], versions)
        self.assertEqual(
            {(0, 1): {3}}, restored.unfinished_by_id['a'].failed_runs_by_task
        )

    def test_cancelled_volatile_job_is_never_accepted(self) -> None:
        self.apply(CancelVolatile(('a',), 150))
        restored = AcceptedState(RETENTION_MS)
        restored.restore(1, self.state.snapshot())
        for state in (self.state, restored):
            self.assertIs(JobState.CANCELLED, state.state_of('a'))
        self.apply(AcceptJobs((make_job(),)))
        self.assertIs(JobState.CANCELLED, self.state.state_of('a'))


if __name__ == '__main__':
    unittest.main()
