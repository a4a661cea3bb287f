"""Separate processes answer files of jobs while each role is stopped.

Real processes from settings files, the command-line tool as the callers,
and SIGTERM to an agent, both entries and two control hosts in turn.
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
# Each caller goes on until all stops are done, but sends this many files.
_LEAST_FILES: Final = 4
_JOBS_IN_A_FILE: Final = 25
_STOP_LIMIT_S: Final = 60.0
_TOOL_LIMIT_S: Final = 180.0
_STOPPED_IN_TURN: Final = (
    'agent-1',
    'entry-1',
    'control-1',
    'entry-2',
    'control-2',
)
_TASKS_OF_A_JOB: Final = (1, 1, 2, 4, 8)
_KINDS: Final = (
    ('etnavapore', 'well-records', 'casing-check'),
    ('etnavapore', 'well-records', 'temperature-extract'),
    ('kurek', 'entry-desk', 'crew-registration'),
    ('kurek', 'entry-desk', 'seat-change'),
)


@dataclass(frozen=True, slots=True)
class _Called:
    """One file of jobs and what the tool made of it."""

    jobs: list[dict[str, Any]]
    exit_code: int
    output: str


class TestPlannedStops(unittest.TestCase):
    """A planned stop of any role loses no answer and repeats no task."""

    def test_every_answer_is_right(self) -> None:
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
                    pool.submit(_call, launcher, number, all_stopped)
                    for number in range(_CALLERS)
                ]
                try:
                    self._stop_in_turn(launcher)
                finally:
                    all_stopped.set()
                called = [one for caller in callers for one in caller.result()]
            starts = _count_starts(launcher)
        for one in called:
            self._assert_answers(one)
        self.assertEqual(_count_tasks(called), starts)

    def _stop_in_turn(self, launcher: Launcher) -> None:
        for name in _STOPPED_IN_TURN:
            self.assertEqual(0, launcher.stop(name, _STOP_LIMIT_S), name)
            launcher.start(name)
            launcher.wait_until_ready([name])

    def _assert_answers(self, called: _Called) -> None:
        self.assertEqual(0, called.exit_code, called.output)
        answers = [json.loads(line) for line in called.output.splitlines()]
        answer_by_job = {answer['identifier']: answer for answer in answers}
        self.assertEqual(len(called.jobs), len(answers))
        for job in called.jobs:
            answer = answer_by_job[job['identifier']]
            self.assertEqual('whole', answer['state'], answer)
            self.assertEqual(_expected_results(job), answer['results'])


def _call(
    launcher: Launcher, number: int, all_stopped: threading.Event
) -> list[_Called]:
    """Submit one file after the other until all stops are done."""
    called: list[_Called] = []
    while len(called) < _LEAST_FILES or not all_stopped.is_set():
        name = f'{number}-{len(called)}'
        jobs = list(_make_jobs(name))
        path = launcher.folder / f'jobs-{name}.jsonl'
        path.write_text('\n'.join(map(json.dumps, jobs)))
        ended = _run_tool(launcher, 'submit', str(path), '--concurrency=8')
        called.append(_Called(jobs, ended.returncode, ended.stdout))
    return called


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
    """Make mixed jobs; the declared run times are often far off."""
    chance = random.Random(name)
    for number in range(_JOBS_IN_A_FILE):
        client, team, kind = chance.choice(_KINDS)
        tasks = [
            {
                'identifier': f't{n}',
                'kind': kind,
                'run_time_ms': chance.choice((50, 100, 300)),
                'payload': {'n': n, 'sleep_ms': chance.randrange(50, 600)},
            }
            for n in range(chance.choice(_TASKS_OF_A_JOB))
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
    """Return what the stand-ins answer: who asked, and the payload."""
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


def _count_tasks(called: list[_Called]) -> int:
    return sum(len(job['tasks']) for one in called for job in one.jobs)


def _count_starts(launcher: Launcher) -> int:
    """Sum all starts, also repeated ones, that the stand-ins counted."""
    return sum(
        int(
            read_json(launcher.http_address(name), '/stand-in/counts')[
                'starts'
            ]
        )
        for name in launcher.names_with_role('stand-in')
    )
