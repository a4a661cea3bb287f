"""Measures the cost of agent links at one entry by number of links.

Starts a control host and an entry as processes and connects simulated
agents to the entry, at four sizes. Prints one JSON line for each size::

    python -m tools.slopes_links
"""

import json
import time
from typing import Final

import fire

from baobabgap.jobs import TaskSize
from baobabgap.messages import SlotGrant
from baobabgap.messages import UpstreamOffer
from baobabgap.settings import Links
from baobabgap.webclient import WebClient
from tools._simulated_members import SimulatedMembers
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher
from tools.slopes_members import rates
from tools.slopes_members import sample_usage

_SIZES: Final = (100, 250, 570, 1700)
_SETTLE_S: Final = 3.0
_SAMPLE_S: Final = 8.0
_READY_LIMIT_S: Final = 30.0
_SLOTS: Final = 8
_INITIAL_MESSAGES: Final = (
    UpstreamOffer('light', _SLOTS, TaskSize(32.0, 65536, 0), True),
    SlotGrant(1, _SLOTS),
)


def main(sizes: tuple[int, ...] = _SIZES) -> None:
    """Measure each number of links, in increasing order."""
    plan = DeploymentPlan(control_hosts=1, entries=1, agents=0)
    with Launcher.from_plan(plan) as launcher:
        launcher.start_all()
        deadline = time.monotonic() + _READY_LIMIT_S
        while 'internal_port' not in launcher.output('entry-1'):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'entry-1 did not log its port within {_READY_LIMIT_S} s: '
                    f'{launcher.output("entry-1")}'
                )
            time.sleep(0.1)
        port = _internal_port(launcher.output('entry-1'))
        web = WebClient(launcher.http_address('entry-1'))
        measure(launcher.pid('entry-1'), web, port, sizes)


def measure(
    pid: int, web: WebClient, port: int, sizes: tuple[int, ...]
) -> None:
    """Print one JSON line for each number of links."""
    members = SimulatedMembers(port, Links().heartbeat_s, _INITIAL_MESSAGES)
    connected = 0
    for size in sizes:
        members.add(size - connected)
        connected = size
        time.sleep(_SETTLE_S)
        before = sample_usage(pid, web)
        time.sleep(_SAMPLE_S)
        after = sample_usage(pid, web)
        print(json.dumps({'links': size, **rates(before, after)}), flush=True)
    members.close()


def _internal_port(output: str) -> int:
    for line in output.splitlines():
        if '"entry_started"' in line:
            return int(json.loads(line)['internal_port'])
    raise ValueError(f'no entry_started event in the output: {output}')


if __name__ == '__main__':
    fire.Fire(main)
