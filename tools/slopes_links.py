"""What links to agents cost one entry, as slopes over their number.

Starts a control host and an entry as processes and connects light agents
to the entry, at four sizes. Prints one JSON line for each size::

    python -m tools.slopes_links
"""

import json
import time
from typing import Any
from typing import Final

import fire

from baobabgap.jobs import TaskSize
from baobabgap.messages import SlotGrant
from baobabgap.messages import UpstreamOffer
from baobabgap.settings import Links
from tools._light_members import LightMembers
from tools._measured_group import process_usage
from tools.deployment_plan import DeploymentPlan
from tools.launcher import Launcher
from tools.launcher import read_text

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
        address = launcher.http_address('entry-1')
        limit_at = time.monotonic() + _READY_LIMIT_S
        while 'internal_port' not in launcher.output('entry-1'):
            if time.monotonic() > limit_at:
                raise TimeoutError(launcher.output('entry-1'))
            time.sleep(0.1)
        port = _internal_port(launcher.output('entry-1'))
        measure(launcher.pid('entry-1'), address, port, sizes)


def measure(pid: int, address: str, port: int, sizes: tuple[int, ...]) -> None:
    """Print one line for each size."""
    members = LightMembers(port, Links().heartbeat_s, _GREETING)
    connected = 0
    for size in sizes:
        members.add(size - connected)
        connected = size
        time.sleep(_SETTLE_S)
        before = _sample(pid, address)
        time.sleep(_SAMPLE_S)
        after = _sample(pid, address)
        print(json.dumps({'links': size, **_slope(before, after)}), flush=True)
    members.close()


def _sample(pid: int, address: str) -> dict[str, float]:
    used = process_usage(pid)
    value_by_name = {
        name: float(value)
        for name, _, value in (
            line.rpartition(' ')
            for line in read_text(address, '/metrics').splitlines()
        )
    }
    return {
        'at': time.monotonic(),
        'cpu_s': used.cpu_s,
        'threads': used.threads,
        'memory_mb': used.memory_mb,
        'sent': value_by_name.get('baobabgap_link_bytes_sent_total', 0.0),
        'received': value_by_name.get(
            'baobabgap_link_bytes_received_total', 0.0
        ),
    }


def _slope(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, Any]:
    seconds = after['at'] - before['at']

    def rate(key: str) -> float:
        return (after[key] - before[key]) / seconds

    return {
        'cpu_percent_of_core': round(100 * rate('cpu_s'), 2),
        'threads': int(after['threads']),
        'memory_mb': round(after['memory_mb'], 1),
        'sent_bytes_per_s': round(rate('sent')),
        'received_bytes_per_s': round(rate('received')),
    }


def _internal_port(output: str) -> int:
    for line in output.splitlines():
        if '"entry_started"' in line:
            return int(json.loads(line)['internal_port'])
    raise ValueError(f'the entry did not start: {output}')


if __name__ == '__main__':
    fire.Fire(main)
