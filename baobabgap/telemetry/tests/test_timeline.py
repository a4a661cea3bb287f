"""Tests of timelines on small generated log files."""

import json
from pathlib import Path
import tempfile
from typing import Any
import unittest

from eliot import Action
from eliot import FileDestination
from eliot import log_message
from eliot import Logger
from eliot import start_action

from baobabgap.telemetry import read_records
from baobabgap.telemetry import summarize_jobs
from baobabgap.telemetry import Timeline

_JOB = 'kurek.1764800000000.heat-4'


def _line(
    process: str, at_s: float, level: list[int], **fields: Any
) -> dict[str, Any]:
    return {
        'timestamp': 1000.0 + at_s,
        'process': process,
        'role': process.partition('-')[0],
        'task_uuid': 'tree-1',
        'task_level': level,
        **fields,
    }


_STARTED = {'action_type': 'job', 'action_status': 'started', 'job': _JOB}
_ENDED = {'action_type': 'job', 'action_status': 'succeeded'}


class TestTimeline(unittest.TestCase):
    """Events of all processes are put in causal order despite clock skew."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = Path(folder.name)

    def test_merges_files(self) -> None:
        entry = [
            _line('entry-1', 0.000, [1], **_STARTED),
            _line('entry-1', 0.001, [2], message_type='claimed', version=7),
            _line('entry-1', 0.090, [4], **_ENDED, state='whole'),
            _line('entry-1', 0.002, [1], message_type='x', task_uuid='tree-2'),
        ]
        agent = [
            _line('agent-1', 0.003, [3, 1], message_type='started', task='t1'),
            _line('agent-1', 0.080, [3, 2], message_type='ended', task='t1'),
        ]
        paths = [self._write('a', agent, 'cut {"off'), self._write('e', entry)]
        timeline = Timeline.from_files(_JOB, paths)
        events = [event.record.event for event in timeline.events]
        expected = ['job started', 'claimed', 'started', 'ended']
        self.assertEqual([*expected, 'job succeeded'], events)
        self.assertEqual({}, timeline.shift_ms_by_process)
        self.assertAlmostEqual(90.0, timeline.events[-1].offset_ms, places=3)
        self.assertEqual(
            {'version': 7}, timeline.events[1].record.field_by_name
        )

    def test_shifts_clocks_that_are_behind(self) -> None:
        records = [
            _line('agent-1', -4.9, [3, 2, 1], message_type='ended'),
            _line('agent-1', -5.0, [3, 1], message_type='started'),
            _line('entry-1', 0.000, [1], **_STARTED),
            _line('entry-1', 0.002, [2], message_type='placed'),
            _line('entry-1', 0.150, [4], **_ENDED),
        ]
        timeline = Timeline.from_files(_JOB, [self._write('l', records)])
        events = [event.record.event for event in timeline.events]
        expected = ['job started', 'placed', 'started', 'ended']
        self.assertEqual([*expected, 'job succeeded'], events)
        shift_ms = timeline.shift_ms_by_process
        self.assertEqual(['agent-1'], list(shift_ms))
        self.assertAlmostEqual(5002.0, shift_ms['agent-1'], places=3)

    def test_resubmission_joins_both_trees(self) -> None:
        second_tree = {'task_uuid': 'tree-2'}
        records = [
            _line('entry-1', 0.0, [1], **_STARTED),
            _line('entry-2', 0.5, [1], **_STARTED | second_tree),
        ]
        timeline = Timeline.from_files(_JOB, [self._write('l', records)])
        processes = [event.record.process for event in timeline.events]
        self.assertEqual(['entry-1', 'entry-2'], processes)
        empty = Timeline.from_files('kurek.1.b', [self._folder / 'l'])
        self.assertEqual((), empty.events)

    def test_reads_eliot_output(self) -> None:
        path = self._folder / 'log'
        with path.open('wb') as stream:
            destination = FileDestination(file=stream)
            Logger._destinations.add(destination)
            self.addCleanup(Logger._destinations.remove, destination)
            with start_action(action_type='job', job=_JOB) as action:
                serialized_task_id = action.serialize_task_id()
                with Action.continue_task(task_id=serialized_task_id):
                    log_message(message_type='started', task='t1')
                action.add_success_fields(state='whole')
        timeline = Timeline.from_files(_JOB, [path])
        events = [event.record.event for event in timeline.events]
        self.assertEqual('job started', events[0])
        self.assertIn('started', events)
        self.assertEqual('job succeeded', events[-1])

    def test_summary_lists_the_slowest_first(self) -> None:
        slow_tree = {'task_uuid': 'tree-2'}
        records = [
            _line('entry-1', 0.0, [1], **_STARTED),
            _line('entry-1', 0.0, [1], **_STARTED | slow_tree),
            _line('entry-1', 0.1, [2], **_ENDED, state='whole'),
            _line('entry-1', 0.4, [2], **_ENDED | slow_tree, state='deadline'),
        ]
        path = self._write('l', records)
        summaries = summarize_jobs(read_records([path]))
        self.assertEqual(
            ['deadline', 'whole'], [summary.state for summary in summaries]
        )
        self.assertAlmostEqual(400.0, summaries[0].duration_ms, places=3)

    def _write(
        self, name: str, records: list[dict[str, Any]], *broken_lines: str
    ) -> Path:
        path = self._folder / name
        lines = [json.dumps(record) for record in records]
        path.write_text('\n'.join([*lines, *broken_lines]) + '\n')
        return path
