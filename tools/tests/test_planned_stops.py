"""Tests that planned stops lose no answer and repeat no task.

Starts real processes from settings files. Callers submit files of jobs
by the command-line tool, while an agent, both entries and two control
hosts are stopped by SIGTERM in turn and started again.
"""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
import json
import random
import subprocess
import sys
import threading
import time
from typing import Any
from typing import Final
import unittest

from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher
from tools.launcher import read_json

_CALLERS: Final = 2
# A caller submits files until all stops are done, and at least this many.
_MIN_FILES: Final = 4
_JOBS_PER_FILE: Final = 25
_STOP_LIMIT_S: Final = 60.0
_TOOL_LIMIT_S: Final = 180.0
_STOPPED_IN_TURN: Final = (
    'agent-1',
    'entry-1',
    'control-1',
    'entry-2',
    'control-2',
)
_TASKS_PER_JOB: Final = (1, 1, 2, 4, 8)
_KINDS: Final = (
    ('etnavapore', 'well-records', 'casing-check'),
    ('etnavapore', 'well-records', 'temperature-extract'),
    ('kurek', 'entry-desk', 'crew-registration'),
    ('kurek', 'entry-desk', 'seat-change'),
)


@dataclass(frozen=True, slots=True)
class _Submission:
    """A submitted file of jobs and the result of the tool."""

    jobs: list[dict[str, Any]]
    exit_code: int
    output: str


class TestPlannedStops(unittest.TestCase):
    """A planned stop of any role loses no answer and repeats no task."""

    def test_every_answer_is_correct(self) -> None:
        plan = DeploymentPlan(
            agents=4,
            added_sync_delay_ms=0.0,
            extra_settings={'entry': {'drain_grace_s': 0.5}},
        )
        with Launcher.from_plan(plan) as launcher:
            launcher.start_all()
            launcher.wait_until_ready()
            _run_tool(
                launcher, 'ticket', 'put', 'examples/ticket.yaml', '--number=1'
            )
            all_stopped = threading.Event()
            with ThreadPoolExecutor(_CALLERS) as pool:
                callers = [
                    pool.submit(_submit_files, launcher, number, all_stopped)
                    for number in range(_CALLERS)
                ]
                try:
                    self._stop_in_turn(launcher)
                finally:
                    all_stopped.set()
                submissions = [
                    submission
                    for caller in callers
                    for submission in caller.result()
                ]
            starts = _count_starts(launcher)
        for submission in submissions:
            self._assert_answers(submission)
        self.assertEqual(_count_tasks(submissions), starts)

    def _stop_in_turn(self, launcher: Launcher) -> None:
        for name in _STOPPED_IN_TURN:
            self.assertEqual(0, launcher.stop(name, _STOP_LIMIT_S), name)
            launcher.start(name)
            launcher.wait_until_ready([name])

    def _assert_answers(self, submission: _Submission) -> None:
        self.assertEqual(0, submission.exit_code, submission.output)
        answers = [json.loads(line) for line in submission.output.splitlines()]
        answer_by_job = {answer['identifier']: answer for answer in answers}
        self.assertEqual(len(submission.jobs), len(answers))
        for job in submission.jobs:
            answer = answer_by_job[job['identifier']]
            self.assertEqual('whole', answer['state'], answer)
            self.assertEqual(_expected_results(job), answer['results'])


def _submit_files(
    launcher: Launcher, number: int, all_stopped: threading.Event
) -> list[_Submission]:
    """Submit files in sequence until all stops are done."""
    submissions: list[_Submission] = []
    while len(submissions) < _MIN_FILES or not all_stopped.is_set():
        name = f'{number}-{len(submissions)}'
        jobs = list(_make_jobs(name))
        path = launcher.folder / f'jobs-{name}.jsonl'
        path.write_text('\n'.join(map(json.dumps, jobs)))
        completed = _run_tool(launcher, 'submit', str(path), '--concurrency=8')
        submissions.append(
            _Submission(jobs, completed.returncode, completed.stdout)
        )
    return submissions


def _run_tool(
    launcher: Launcher, *arguments: str
) -> subprocess.CompletedProcess[str]:
    entries = [
        launcher.http_address(name)
        for name in launcher.names_with_role('entry')
    ]
    options = ['--json', f'--entries={",".join(entries)}']
    return subprocess.run(
        [sys.executable, '-m', 'baobabgap.tool', *arguments, *options],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        timeout=_TOOL_LIMIT_S,
    )


def _make_jobs(name: str) -> Iterator[dict[str, Any]]:
    """Yield random jobs whose declared run times are often far off."""
    rng = random.Random(name)
    for number in range(_JOBS_PER_FILE):
        client, team, kind = rng.choice(_KINDS)
        tasks = [
            {
                'identifier': f't{n}',
                'kind': kind,
                'run_time_ms': rng.choice((50, 100, 300)),
                'payload': {'n': n, 'sleep_ms': rng.randrange(50, 600)},
            }
            for n in range(rng.choice(_TASKS_PER_JOB))
        ]
        issued_ms = time.time_ns() // 1_000_000
        yield {
            'identifier': f'{client}.{issued_ms}.{name}-{number}',
            'team': team,
            'deadline_ms': 60_000,
            'idempotent': number % 2 == 0,
            'tasks': tasks,
        }


def _expected_results(job: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the results of the stand-ins, which echo ids and payload."""
    return [
        {
            'task': task['identifier'],
            'value': {
                'job': job['identifier'],
                'task': task['identifier'],
                'echo': task['payload'],
            },
        }
        for task in job['tasks']
    ]


def _count_tasks(submissions: list[_Submission]) -> int:
    return sum(
        len(job['tasks'])
        for submission in submissions
        for job in submission.jobs
    )


def _count_starts(launcher: Launcher) -> int:
    """Return the starts at all stand-ins, including repeated ones."""
    return sum(
        int(
            read_json(launcher.http_address(name), '/stand-in/counts')[
                'starts'
            ]
        )
        for name in launcher.names_with_role('stand-in')
    )
