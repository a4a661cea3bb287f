"""Tests the evacuation of a zone by the tool, with real processes.

Guards against tasks that start in a zone after the operator was told that it
gets none, also after all processes were lost and started anew.
"""

from contextlib import redirect_stderr
from contextlib import redirect_stdout
from io import StringIO
import json
import time
from typing import Any
from typing import Final
import unittest

from baobabgap.tool import main
from baobabgap.webclient import WebClient
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher

_AGENTS: Final = 2
_SLOTS: Final = 4
_JOBS: Final = 12
_REQUEST_LIMIT_S: Final = 30.0
_PLAN: Final = DeploymentPlan(
    control_hosts=1,
    entries=1,
    agents=_AGENTS,
    slots=_SLOTS,
    added_sync_delay_ms=0.0,
    extra_settings={'control': {'election_timeout_s': 0.5}},
)
_STATE: Final = {
    'policy': {
        'default_quota': {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
    }
}
_STARTED: Final = 'baobabgap_tasks_started_total '


class EvacuateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.launcher = Launcher.from_plan(_PLAN)
        self.enterContext(self.launcher)
        self.launcher.start_all()
        self.launcher.wait_until_ready()
        self.jobs = 0
        path = self.launcher.folder / 'ticket.json'
        path.write_text(json.dumps(_STATE))
        self.run_tool('ticket', 'put', str(path), '--number=1')
        self.wait_until_in_force()
        (self.zone,) = [
            str(row['availability_zone'])
            for row in self.members()['members']
            if row['name'] == 'agent-1'
        ]

    def run_tool(self, *arguments: str, code: int = 0) -> str:
        """Run the tool and check its exit code; return its output."""
        output = StringIO()
        entries = self.launcher.http_address('entry-1')
        with redirect_stdout(output), redirect_stderr(output):
            exit_code = main([*arguments, '--entries', entries])
        self.assertEqual(code, exit_code, output.getvalue())
        return output.getvalue()

    def members(self) -> dict[str, Any]:
        page: dict[str, Any] = json.loads(self.run_tool('members', '--json'))
        return page

    def wait_until_in_force(self) -> None:
        """Wait until all entries and agents act on the newest ticket."""
        give_up_at = time.monotonic() + _REQUEST_LIMIT_S
        while not self.is_in_force():
            self.assertLess(time.monotonic(), give_up_at)
            time.sleep(0.1)

    def is_in_force(self) -> bool:
        history = json.loads(self.run_tool('ticket', 'history', '--json'))
        versions = [
            row['version_in_force'] or 0
            for row in self.members()['members']
            if row['alive'] and row['role'] in ('entry', 'agent')
        ]
        newest = history['tickets'][0]['version']
        return len(versions) > _AGENTS and min(versions) >= newest

    def run_jobs(self) -> None:
        """Run jobs that each fill one upstream."""
        jobs = []
        for _ in range(_JOBS):
            self.jobs += 1
            tasks = [
                {'identifier': f't{n}', 'kind': 'seat'} for n in range(_SLOTS)
            ]
            jobs.append(
                {'team': 'rowing', 'deadline_ms': 20_000, 'tasks': tasks}
            )
        path = self.launcher.folder / f'jobs-{self.jobs}.json'
        path.write_text(json.dumps(jobs))
        self.run_tool('submit', str(path), '--json')

    def starts_of(self, agent: str) -> int:
        client = WebClient(self.launcher.http_address(agent))
        response = client.request(
            'GET', '/metrics', timeout_s=_REQUEST_LIMIT_S
        )
        client.close()
        for line in response.body.decode().splitlines():
            if line.startswith(_STARTED):
                return int(line.removeprefix(_STARTED))
        return 0

    def assert_zone_rests(self) -> None:
        before = self.starts_of('agent-1')
        self.run_jobs()
        self.assertEqual(before, self.starts_of('agent-1'))

    def assert_zone_is_used(self) -> None:
        before = self.starts_of('agent-1')
        self.run_jobs()
        self.assertLess(before, self.starts_of('agent-1'))

    def test_zone_rests_until_it_is_taken_back(self) -> None:
        self.assert_zone_is_used()
        for _ in range(2):
            self.run_tool('evacuate', self.zone)
            self.assert_zone_rests()
        self.assertEqual(
            {self.zone},
            {
                row['availability_zone']
                for row in self.members()['members']
                if row['evacuated']
            },
        )
        names = self.launcher.names
        for name in names:
            self.launcher.kill(name)
        for name in names:
            self.launcher.start(name)
        # An agent that takes no tasks is not ready.
        self.launcher.wait_until_ready([n for n in names if n != 'agent-1'])
        self.wait_until_in_force()
        self.assert_zone_rests()
        self.run_tool('evacuate', self.zone, '--end')
        self.assert_zone_is_used()

    def test_unknown_zone_stores_nothing(self) -> None:
        output = self.run_tool('evacuate', 'rome', code=2)
        self.assertIn(self.zone, output)
        page = json.loads(self.run_tool('ticket', 'history', '--json'))
        self.assertEqual(1, page['newest_number'])


if __name__ == '__main__':
    unittest.main()
