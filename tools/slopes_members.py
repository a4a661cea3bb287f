"""What members cost one control host, as slopes over their number.

Starts one control host as a process of its own and connects light
members to it, at four sizes. Prints one JSON line for each size::

    python -m tools.slopes_members
"""

from concurrent.futures import ThreadPoolExecutor
import json
import os
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Final

from baobabgap.control import ControlHostProcess
from baobabgap.messages import Hello
from baobabgap.messages import PutTicket
from baobabgap.settings import ControlHost
from baobabgap.settings import ControlSettings
from baobabgap.settings import Role
from baobabgap.settings import Settings
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from baobabgap.web import WebClient
from tools._light_members import LightMembers

_SIZES: Final = (100, 400, 800, 1700)
_SETTLE_S: Final = 6.0
_SAMPLE_S: Final = 15.0
_TICKET_WAIT_S: Final = 30.0


def main() -> None:
    """Measure, or be the host that is measured."""
    if len(sys.argv) == 2:
        run_host(sys.argv[1])
        return
    with tempfile.TemporaryDirectory() as folder:
        child = subprocess.Popen(
            [sys.executable, '-m', 'tools.slopes_members', folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        try:
            measure(child)
        finally:
            child.communicate('stop\n', timeout=60)


def run_host(folder: str) -> None:
    """Serve until a line comes in."""
    host = ControlHostProcess.from_settings(
        Settings(
            role=Role.CONTROL,
            name='control-1',
            control_hosts=(ControlHost('control-1', '127.0.0.1', 0),),
            control=ControlSettings(data_folder=f'{folder}/control'),
        )
    )
    host.start()
    print(json.dumps([host.internal_port, host.http_port]), flush=True)
    sys.stdin.readline()
    host.stop()


def measure(child: subprocess.Popen[str]) -> None:
    """Print one line for each size."""
    assert child.stdout is not None
    internal_port, http_port = json.loads(child.stdout.readline())
    web = WebClient(f'127.0.0.1:{http_port}')
    members = LightMembers(internal_port, ControlSettings().member_heartbeat_s)
    connected = 0
    for number, size in enumerate(_SIZES, start=1):
        members.add(size - connected)
        connected = size
        time.sleep(_SETTLE_S)
        before = usage(child.pid, web)
        time.sleep(_SAMPLE_S)
        after = usage(child.pid, web)
        line = {
            'members': size,
            **slope(before, after),
            **spread_ticket(number, size, members, internal_port, web),
        }
        print(json.dumps(line), flush=True)
    members.close()


def usage(pid: int, web: WebClient) -> dict[str, float]:
    """Return what the host has used so far."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    with open(f'/proc/{pid}/statm', encoding='ascii') as file:
        resident_pages = int(file.read().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    metrics = _metrics(web)
    return {
        'at': time.monotonic(),
        'cpu_s': ticks / os.sysconf('SC_CLK_TCK'),
        'threads': int(fields[17]),
        'memory_mb': resident_pages * os.sysconf('SC_PAGE_SIZE') / 2**20,
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
    number: int, size: int, members: LightMembers, port: int, web: WebClient
) -> dict[str, Any]:
    """Put a ticket and time how long all members take to have it."""
    before = _metrics(web)
    begin = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        own = Hello('tool-1', 'tool', 'tool-1-a')
        link = dial(f'127.0.0.1:{port}', own, LinkTiming(), pool)
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
    main()
