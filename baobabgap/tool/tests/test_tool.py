"""Tests of the command line against fake entries."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from contextlib import redirect_stderr
from contextlib import redirect_stdout
from io import StringIO
import json
from pathlib import Path
import socket
import tempfile
import threading
from typing import Any
import unittest

from baobabgap.api import create_application
from baobabgap.api.tests.fake_service import failed_answer
from baobabgap.api.tests.fake_service import FakeService
from baobabgap.api.tests.fake_service import JOB_ID
from baobabgap.api.tests.fake_service import WHOLE_ANSWER
from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran
from baobabgap.messages import TicketStatus
from baobabgap.tool import main
from baobabgap.web import WebServer

_LARGEST_BODY_BYTES = 1_000_000
_VALID_SETTINGS = """
role: stand-in
name: upstream-1
stand_in: {agent_address: '127.0.0.1:17031'}
"""
_DRAINING_ANSWER = failed_answer(FailureCode.DRAINING, Ran.NO, 60.0)
_OVERLOADED_ANSWER = failed_answer(FailureCode.OVERLOADED, Ran.NO, 0.01)
_NEVER_FITS_ANSWER = failed_answer(FailureCode.NEVER_FITS, Ran.NO)
_CONTROL_UNAVAILABLE_ANSWER = failed_answer(
    FailureCode.CONTROL_UNAVAILABLE, Ran.UNKNOWN, 0.01
)
_TASK_LOST_ANSWER = failed_answer(FailureCode.TASK_LOST, Ran.UNKNOWN)
_UNKNOWN_JOB_ANSWER = failed_answer(FailureCode.UNKNOWN_JOB, Ran.NO)


class _ScriptedService(FakeService):
    """Returns the scripted answers, then the configured one."""

    def __init__(self) -> None:
        super().__init__()
        self.script: list[JobAnswer] = []

    def submit(
        self, submission: JobSubmission, log_action: str
    ) -> Future[JobAnswer]:
        """Return the next scripted answer."""
        future = super().submit(submission, log_action)
        if not self.script:
            return future
        scripted: Future[JobAnswer] = Future()
        scripted.set_result(self.script.pop(0))
        return scripted


class _ToolTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.pool = ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown)
        self.service = _ScriptedService()
        self.address = self.serve(self.service)
        self.job = {
            'identifier': JOB_ID,
            'team': 'rowing',
            'deadline_ms': 5000,
            'tasks': [{'identifier': 't1', 'kind': 'seat'}],
        }

    def serve(self, service: FakeService) -> str:
        application = create_application(service, _LARGEST_BODY_BYTES)
        server = WebServer('127.0.0.1', 0, application, 4, _LARGEST_BODY_BYTES)
        server.start(self.pool)
        self.addCleanup(server.stop)
        return f'127.0.0.1:{server.port}'

    def write(self, name: str, document: Any) -> str:
        path = self.folder / name
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text)
        return str(path)

    def run_tool(self, *arguments: str) -> tuple[int, str, str]:
        """Run the tool; return exit code, output and error output."""
        output, errors = StringIO(), StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            try:
                code = main(list(arguments))
            except SystemExit as exit_:
                code = int(exit_.code or 0)
        return code, output.getvalue(), errors.getvalue()

    def submit(
        self, jobs: Any, *options: str, entries: str = ''
    ) -> tuple[int, list[Any]]:
        path = self.write('jobs.json', jobs)
        code, output, _ = self.run_tool(
            'submit',
            path,
            '--json',
            '--entries',
            entries or self.address,
            *options,
        )
        return code, [json.loads(line) for line in output.splitlines()]


class TestSubmit(_ToolTest):
    """Jobs are resubmitted under one identifier until the result is known."""

    def test_exit_codes(self) -> None:
        cases: dict[str, tuple[list[JobAnswer], int, str]] = {
            'whole': ([WHOLE_ANSWER], 0, 'whole'),
            'busy, then whole': (
                [_OVERLOADED_ANSWER, WHOLE_ANSWER],
                0,
                'whole',
            ),
            'unclaimed, then whole': (
                [_CONTROL_UNAVAILABLE_ANSWER, WHOLE_ANSWER],
                0,
                'whole',
            ),
            'refused for good': ([_NEVER_FITS_ANSWER], 4, 'refused'),
            'failed': ([_TASK_LOST_ANSWER], 1, 'failed'),
            'busy, then failed': (
                [_OVERLOADED_ANSWER, _TASK_LOST_ANSWER],
                1,
                'failed',
            ),
        }
        for name, (script, code, state) in cases.items():
            with self.subTest(name):
                self.service.script = list(script)
                exit_code, lines = self.submit(self.job)
                self.assertEqual((code, state), (exit_code, lines[0]['state']))
                self.assertEqual(len(script), lines[0]['attempts'])

    def test_resubmits_the_same_identifier(self) -> None:
        for _ in range(2):
            lost_entry = self._serve_lost_connection()
            _, lines = self.submit(
                self.job, entries=f'{lost_entry},{self.address}'
            )
            self.assertEqual(('whole', 2), _state_and_attempts(lines[0]))
        identifiers = {
            submission.identifier for submission in self.service.submissions
        }
        self.assertEqual({JOB_ID}, identifiers)

    def test_refusal_after_a_lost_request_is_not_final(self) -> None:
        """A job that may run isn't reported as refused.

        The first entry closes the connection after it has read the
        request, so the job may run there although the second entry
        refuses it.
        """
        entries = f'{self._serve_lost_connection()},{self.address}'
        self.job['deadline_ms'] = 600
        self.service.script = [_NEVER_FITS_ANSWER]
        self.service.answer = _UNKNOWN_JOB_ANSWER
        code, lines = self.submit(self.job, entries=entries)
        self.assertEqual((3, 'unknown'), (code, lines[0]['state']))
        self.service.script = [_NEVER_FITS_ANSWER]
        self.service.answer = WHOLE_ANSWER
        entries = f'{self._serve_lost_connection()},{self.address}'
        code, lines = self.submit(self.job, entries=entries)
        self.assertEqual((0, 'whole'), (code, lines[0]['state']))

    def test_refusal_after_an_unsent_request_is_final(self) -> None:
        """A refused connection leaves no job that may run."""
        self.service.script = [_NEVER_FITS_ANSWER]
        entries = f'127.0.0.1:{_free_port()},{self.address}'
        code, lines = self.submit(self.job, entries=entries)
        self.assertEqual((4, 'refused'), (code, lines[0]['state']))

    def test_draining_entry_is_left_at_once(self) -> None:
        """The Retry-After time of one entry doesn't delay the next entry."""
        draining_service = _ScriptedService()
        draining_service.script = [_DRAINING_ANSWER]
        self.job['deadline_ms'] = 90_000
        entries = f'{self.serve(draining_service)},{self.address}'
        code, lines = self.submit(self.job, entries=entries)
        self.assertEqual((0, 2), (code, lines[0]['attempts']))
        self.assertLess(lines[0]['took_ms'], 30_000)

    def test_unreachable(self) -> None:
        self.job['deadline_ms'] = 500
        entries = f'127.0.0.1:{_free_port()}'
        code, lines = self.submit(self.job, entries=entries)
        self.assertEqual((3, 'unreachable'), (code, lines[0]['state']))
        self.assertEqual('no', lines[0]['error']['ran'])

    def test_many_jobs(self) -> None:
        del self.job['identifier']
        jobs = [{**self.job, 'client': 'kurek'} for _ in range(40)]
        self.service.script = [_TASK_LOST_ANSWER, _NEVER_FITS_ANSWER]
        code, lines = self.submit(jobs, '--concurrency=4')
        self.assertEqual((1, 40), (code, len(lines)))
        identifiers = {
            submission.identifier for submission in self.service.submissions
        }
        self.assertEqual(40, len(identifiers))
        clients = {
            submission.client for submission in self.service.submissions
        }
        self.assertEqual({'kurek'}, clients)

    def test_prints_text_without_json(self) -> None:
        path = self.write('jobs.jsonl', json.dumps(self.job) + '\n\n')
        code, output, _ = self.run_tool(
            'submit', path, '--entries', self.address
        )
        self.assertEqual(0, code)
        self.assertIn('t1  {"seat": 3}', output)

    def test_bad_files(self) -> None:
        cases: dict[str, tuple[str, str, str]] = {
            'no task': ('a.yaml', '- {team: a, deadline_ms: 5}', 'job 1'),
            'broken YAML': ('a.yaml', '{', 'a.yaml'),
            'broken JSON': ('a.json', '{', 'a.json'),
            'broken line': ('a.jsonl', '{"a": 1}\n{', 'line 2'),
            'empty': ('a.json', '[]', 'no jobs'),
        }
        for name, (file, text, expected) in cases.items():
            with self.subTest(name):
                path = self.write(file, text)
                code, _, errors = self.run_tool('submit', path)
                self.assertEqual(2, code)
                self.assertIn(expected, errors)

    def _serve_lost_connection(self) -> str:
        """Accept one connection and close it once data has arrived."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def close_after_request() -> None:
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.close()
            listener.close()

        threading.Thread(target=close_after_request, daemon=True).start()
        return f'127.0.0.1:{listener.getsockname()[1]}'


class TestCommands(_ToolTest):
    """Each command runs its action, and nothing when mistyped."""

    def test_status_and_cancel(self) -> None:
        cancelled = failed_answer(FailureCode.CANCELLED, Ran.UNKNOWN)
        cases: dict[str, tuple[str, JobAnswer | None, int]] = {
            'whole': ('status', WHOLE_ANSWER, 0),
            'failed': ('status', _TASK_LOST_ANSWER, 1),
            'unknown': ('status', _UNKNOWN_JOB_ANSWER, 4),
            'pending': ('status', None, 5),
            'cancelled': ('cancel', cancelled, 0),
            'too late': ('cancel', WHOLE_ANSWER, 0),
            'cancelled before': ('status', cancelled, 1),
        }
        for name, (command, answer, code) in cases.items():
            with self.subTest(name):
                self.service.answer = answer
                options = ['--wait_ms=1'] if command == 'status' else []
                exit_code, output, _ = self.run_tool(
                    command, JOB_ID, '--entries', self.address, *options
                )
                self.assertEqual(code, exit_code)
                self.assertIn(JOB_ID, output)

    def test_ticket(self) -> None:
        state = {'quota/rowing': {'tasks_per_second': 5}}
        path = self.write('ticket.json', state)
        for status, code in (('accepted', 0), ('lost', 4), ('invalid', 4)):
            with self.subTest(status):
                self.service.ticket_status = TicketStatus(status)
                exit_code, output, _ = self._run_with_entries(
                    'ticket', 'put', path, '--number=3'
                )
                self.assertEqual(code, exit_code)
                self.assertIn(status, output)
        self.assertEqual((3, state), self.service.tickets[0])
        path = self.write('bad.yaml', 'quota/rowing: {tasks: 5}')
        code, _, errors = self._run_with_entries(
            'ticket', 'put', path, '--number=4'
        )
        self.assertEqual(2, code)
        self.assertIn('quota/rowing.tasks_per_second', errors)

    def test_pages(self) -> None:
        cases: Sequence[tuple[list[str], str]] = [
            (['members'], 'topic: members'),
            (['members', '--json'], '{"topic": "members"}'),
            (['ticket', 'show'], 'topic: configuration'),
            (['ticket', 'history'], 'topic: tickets'),
            (['control'], 'topic: status'),
        ]
        for arguments, expected in cases:
            with self.subTest(arguments):
                code, output, _ = self._run_with_entries(*arguments)
                self.assertEqual((0, expected), (code, output.strip()))

    def test_metrics_and_drain(self) -> None:
        self.service.metrics.count('baobabgap_jobs_total')
        code, output, _ = self.run_tool('metrics', self.address)
        self.assertIn('baobabgap_jobs_total 1', output)
        code, output, _ = self.run_tool('drain', self.address)
        self.assertEqual(0, code)
        self.assertFalse(self.service.accepting)

    def test_check_ticket(self) -> None:
        path = self.write('ticket.json', {'upstream/u9': {'slots': 2}})
        bad = self.write('bad.json', {'quota/rowing': {'tasks': 5}})
        cases: Sequence[tuple[list[str], int, str]] = [
            ([path, '--offline'], 0, 'upstream/u9: (none) -> {"slots": 2}'),
            ([path, '--offline', '--upstreams=u1'], 6, 'no upstream has'),
            ([bad, '--offline'], 2, 'error: quota/rowing'),
            ([path, '--entries=127.0.0.1:1'], 3, ''),
        ]
        for arguments, exit_code, expected in cases:
            with self.subTest(arguments):
                code, output, _ = self.run_tool('check-ticket', *arguments)
                self.assertEqual(exit_code, code)
                self.assertIn(expected, output)
        self.assertEqual([], self.service.tickets)

    def test_check_config(self) -> None:
        valid_file = self.write('good.yaml', _VALID_SETTINGS)
        invalid_file = self.write('bad.yaml', _VALID_SETTINGS + 'nmae: b\n')
        code, output, _ = self.run_tool('check-config', valid_file)
        self.assertEqual(0, code)
        self.assertIn('stand-in upstream-1', output)
        code, _, errors = self.run_tool(
            'check-config', valid_file, invalid_file
        )
        self.assertEqual(2, code)
        self.assertIn('nmae', errors)

    def test_wrong_usage_does_nothing(self) -> None:
        cases: dict[str, list[str]] = {
            'no command': [],
            'unknown command': ['frobnicate'],
            'unknown option': ['drain', self.address, '--entri', 'x'],
            'left over': ['drain', self.address, 'x'],
            'two to drain': ['drain', f'{self.address},{self.address}'],
            'no port': ['drain', 'localhost'],
            'no number': ['ticket', 'put', 'file'],
            'no whole number': ['ticket', 'put', 'file', '--number=1.5'],
            'bad job': ['status', '17.5', '--entries', self.address],
            'flag with value': ['members', '--json', 'maybe'],
        }
        for name, arguments in cases.items():
            with self.subTest(name):
                self.assertEqual(2, self.run_tool(*arguments)[0])
                self.assertTrue(self.service.accepting)

    def test_timeline(self) -> None:
        common = {'process': 'entry-1', 'role': 'entry', 'task_uuid': 'u'}
        lines = [
            {
                **common,
                'timestamp': 10.0 + number / 100,
                'task_level': [number],
                'action_type': 'job',
                'action_status': status,
                **fields,
            }
            for number, status, fields in (
                (1, 'started', {'job': JOB_ID}),
                (2, 'succeeded', {'state': 'deadline'}),
            )
        ]
        path = self.write('log', '\n'.join(map(json.dumps, lines)))
        checks: dict[str, Callable[[str], None]] = {
            JOB_ID: lambda text: self.assertIn('10.000', text),
            path: lambda text: self.assertIn('1 without answer', text),
        }
        for first, check in checks.items():
            code, output, _ = self.run_tool('timeline', first, path)
            self.assertEqual(0, code)
            check(output)
        self.assertEqual(2, self.run_tool('timeline', 'kurek.1.b', path)[0])

    def _run_with_entries(self, *arguments: str) -> tuple[int, str, str]:
        return self.run_tool(*arguments, '--entries', self.address)


def _state_and_attempts(line: dict[str, Any]) -> tuple[str, int]:
    return line['state'], line['attempts']


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return int(listener.getsockname()[1])
