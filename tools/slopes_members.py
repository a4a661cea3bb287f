"""What members cost one control host, as slopes over their number.

Starts one control host as a process of its own and connects light
members to it, at four sizes. Prints one JSON line for each size::

    python -m tools.slopes_members
"""

from concurrent.futures import ThreadPoolExecutor
import json
import tempfile
import time
from typing import Any
from typing import Final

import fire

from baobabgap.messages import Hello
from baobabgap.messages import PutTicket
from baobabgap.settings import ControlSettings
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.web import WebClient
from tools._light_members import LightMembers
from tools._measured_group import MeasuredGroup
from tools._measured_group import MeasuredHost
from tools._measured_group import process_usage

_SIZES: Final = (100, 250, 570, 1700)
_SETTLE_S: Final = 6.0
_SAMPLE_S: Final = 20.0
_TICKET_WAIT_S: Final = 30.0


def main(sizes: tuple[int, ...] = _SIZES) -> None:
    """Measure at each size, in growing order."""
    with tempfile.TemporaryDirectory() as folder:
        group = MeasuredGroup.start(folder, hosts=1, added_sync_delay_ms=0.0)
        try:
            measure(group.hosts[0], sizes)
        finally:
            group.stop()


def measure(host: MeasuredHost, sizes: tuple[int, ...]) -> None:
    """Print one line for each size."""
    web = WebClient(f'127.0.0.1:{host.http_port}')
    members = LightMembers(
        host.internal_port, ControlSettings().member_heartbeat_s
    )
    connected = 0
    for number, size in enumerate(sizes, start=1):
        members.add(size - connected)
        connected = size
        time.sleep(_SETTLE_S)
        before = usage(host.pid, web)
        time.sleep(_SAMPLE_S)
        after = usage(host.pid, web)
        line = {
            'members': size,
            **slope(before, after),
            **spread_ticket(number, size, members, host, web),
        }
        print(json.dumps(line), flush=True)
    members.close()


def usage(pid: int, web: WebClient) -> dict[str, float]:
    """Return what the host has used so far."""
    used = process_usage(pid)
    metrics = _metrics(web)
    return {
        'at': time.monotonic(),
        'cpu_s': used.cpu_s,
        'threads': used.threads,
        'memory_mb': used.memory_mb,
        'sent': metrics['baobabgap_link_bytes_sent_total'],
        'received': metrics['baobabgap_link_bytes_received_total'],
    }


def slope(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    """Return rates between two samples, and the state at the second."""
    seconds = after['at'] - before['at']

    def rate(name: str) -> float:
        return (after[name] - before[name]) / seconds

    return {
        'sent_bytes_per_s': round(rate('sent'), 1),
        'received_bytes_per_s': round(rate('received'), 1),
        'cpu_percent_of_a_core': round(100 * rate('cpu_s'), 2),
        'memory_mb': round(after['memory_mb'], 1),
        'threads': after['threads'],
    }


def spread_ticket(
    number: int,
    size: int,
    members: LightMembers,
    host: MeasuredHost,
    web: WebClient,
) -> dict[str, Any]:
    """Put a ticket and time how long all members take to have it."""
    before = _metrics(web)
    begin = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        own = Hello('tool-1', 'tool', 'tool-1-a')
        link = dial(f'127.0.0.1:{host.internal_port}', own, LinkTiming(), pool)
        link.send(PutTicket(1, number, {'policy': {}}))
        outcome = next(iter(link.messages()))
        accepted = time.monotonic()
        link.close()
    deadline = accepted + _TICKET_WAIT_S
    while members.have_version(outcome.version) < size:
        if time.monotonic() > deadline:
            break
        time.sleep(0.005)
    done = time.monotonic()
    after = _metrics(web)
    sent = 'baobabgap_link_bytes_sent_total'
    return {
        'ticket_accepted_s': round(accepted - begin, 3),
        'ticket_everywhere_s': round(done - accepted, 3),
        'ticket_missing_at': size - members.have_version(outcome.version),
        'ticket_sent_bytes': after[sent] - before[sent],
    }


def _metrics(web: WebClient) -> dict[str, float]:
    text = web.request('GET', '/metrics', timeout_s=10.0).body.decode()
    pairs = (line.rpartition(' ') for line in text.splitlines())
    return {name: float(value) for name, _, value in pairs}


if __name__ == '__main__':
    fire.Fire(main)
