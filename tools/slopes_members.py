"""Measures the cost of members at one control host by their number.

Starts one control host as a separate process and connects simulated
members to it, at four sizes. Prints one JSON line for each size::

    python -m tools.slopes_members
"""

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
from baobabgap.webclient import WebClient
from tools._local_control_group import LocalControlGroup
from tools._local_control_group import LocalControlHost
from tools._local_control_group import process_usage
from tools._simulated_members import SimulatedMembers

_SIZES: Final = (100, 250, 570, 1700)
_SETTLE_S: Final = 6.0
_SAMPLE_S: Final = 20.0
_TICKET_WAIT_S: Final = 30.0


def main(sizes: tuple[int, ...] = _SIZES) -> None:
    """Measure each number of members, in increasing order."""
    with tempfile.TemporaryDirectory() as folder:
        group = LocalControlGroup.start(
            folder, hosts=1, added_sync_delay_ms=0.0
        )
        try:
            measure(group.hosts[0], sizes)
        finally:
            group.stop()


def measure(host: LocalControlHost, sizes: tuple[int, ...]) -> None:
    """Print one JSON line for each number of members."""
    web = WebClient(f'127.0.0.1:{host.http_port}')
    members = SimulatedMembers(
        host.internal_port, ControlSettings().member_heartbeat_s
    )
    connected = 0
    for number, size in enumerate(sizes, start=1):
        members.add(size - connected)
        connected = size
        time.sleep(_SETTLE_S)
        before = sample_usage(host.pid, web)
        time.sleep(_SAMPLE_S)
        after = sample_usage(host.pid, web)
        line = {
            'members': size,
            **rates(before, after),
            **measure_ticket_propagation(number, size, members, host, web),
        }
        print(json.dumps(line), flush=True)
    members.close()


def sample_usage(pid: int, web: WebClient) -> dict[str, float]:
    """Return a process's resource usage and the time of the sample."""
    usage = process_usage(pid)
    metrics = _metrics(web)
    return {
        'at': time.monotonic(),
        'cpu_s': usage.cpu_s,
        'threads': usage.threads,
        'memory_mb': usage.memory_mb,
        'sent': metrics['baobabgap_link_bytes_sent_total'],
        'received': metrics['baobabgap_link_bytes_received_total'],
    }


def rates(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    """Return rates between two samples and the later memory and threads."""
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


def measure_ticket_propagation(
    number: int,
    size: int,
    members: SimulatedMembers,
    host: LocalControlHost,
    web: WebClient,
) -> dict[str, Any]:
    """Put a ticket and measure the time until all members have received it."""
    before = _metrics(web)
    sent_at = time.monotonic()
    own = Hello('tool-1', 'tool', 'tool-1-a')
    link = dial(f'127.0.0.1:{host.internal_port}', own, LinkTiming())
    link.send(PutTicket(1, number, {'policy': {}}))
    outcome = next(iter(link.messages()))
    accepted_at = time.monotonic()
    link.close()
    deadline = accepted_at + _TICKET_WAIT_S
    while members.count_with_version(outcome.version) < size:
        if time.monotonic() > deadline:
            break
        time.sleep(0.005)
    received_at = time.monotonic()
    after = _metrics(web)
    sent = 'baobabgap_link_bytes_sent_total'
    return {
        'ticket_accepted_s': round(accepted_at - sent_at, 3),
        'ticket_everywhere_s': round(received_at - accepted_at, 3),
        'ticket_missing_at': size
        - members.count_with_version(outcome.version),
        'ticket_sent_bytes': after[sent] - before[sent],
    }


def _metrics(web: WebClient) -> dict[str, float]:
    text = web.request('GET', '/metrics', timeout_s=10.0).body.decode()
    pairs = (line.rpartition(' ') for line in text.splitlines())
    return {name: float(value) for name, _, value in pairs}


if __name__ == '__main__':
    fire.Fire(main)
