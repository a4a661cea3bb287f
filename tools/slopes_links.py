"""What links to agents cost one entry, as slopes over their number.

Starts a control host and an entry as processes and connects light agents
to the entry, at four sizes. Prints one JSON line for each size::

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
from baobabgap.web import WebClient
from tools._light_members import LightMembers
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher
from tools.slopes_members import slope
from tools.slopes_members import usage

_SIZES: Final = (100, 250, 570, 1700)
_SETTLE_S: Final = 3.0
_SAMPLE_S: Final = 8.0
_READY_LIMIT_S: Final = 30.0
_SLOTS: Final = 8
_GREETING: Final = (
    UpstreamOffer('light', _SLOTS, TaskSize(32.0, 65536, 0), True),
    SlotGrant(1, _SLOTS),
)


def main(sizes: tuple[int, ...] = _SIZES) -> None:
    """Measure at each size, in growing order."""
    plan = DeploymentPlan(control_hosts=1, entries=1, agents=0)
    with Launcher.from_plan(plan) as launcher:
        launcher.start_all()
        limit_at = time.monotonic() + _READY_LIMIT_S
        while 'internal_port' not in launcher.output('entry-1'):
            if time.monotonic() > limit_at:
                raise TimeoutError(launcher.output('entry-1'))
            time.sleep(0.1)
        port = _internal_port(launcher.output('entry-1'))
        web = WebClient(launcher.http_address('entry-1'))
        measure(launcher.pid('entry-1'), web, port, sizes)


def measure(
    pid: int, web: WebClient, port: int, sizes: tuple[int, ...]
) -> None:
    """Print one line for each size."""
    members = LightMembers(port, Links().heartbeat_s, _GREETING)
    connected = 0
    for size in sizes:
        members.add(size - connected)
        connected = size
        time.sleep(_SETTLE_S)
        before = usage(pid, web)
        time.sleep(_SAMPLE_S)
        after = usage(pid, web)
        print(json.dumps({'links': size, **slope(before, after)}), flush=True)
    members.close()


def _internal_port(output: str) -> int:
    for line in output.splitlines():
        if '"entry_started"' in line:
            return int(json.loads(line)['internal_port'])
    raise ValueError(f'the entry did not start: {output}')


if __name__ == '__main__':
    fire.Fire(main)
