"""Measures the cost of claims at the control group by batch size.

Starts three control hosts as separate processes and claims jobs over one
link to the leader with four requests in flight, as the members' client
does. Prints one JSON line for each batch size::

    python -m tools.slopes_claims --sync-delay-ms=4
"""

from collections.abc import Iterator
from itertools import count
import json
import tempfile
import time
from typing import Any
from typing import Final

import fire

from baobabgap.messages import Claim
from baobabgap.messages import ClaimJobs
from baobabgap.messages import ClaimOutcomes
from baobabgap.messages import Hello
from baobabgap.messages import LeaderHint
from baobabgap.transport import Connection
from baobabgap.transport import dial
from baobabgap.transport import LinkTiming
from tools._local_control_group import LocalControlGroup
from tools._local_control_group import process_usage

_BATCH_SIZES: Final = (1, 8, 64, 512)
_REQUESTS_IN_FLIGHT: Final = 4
_SAMPLE_S: Final = 5.0
_FIRST_ISSUE_MS: Final = 1_764_800_000_000
_CLIENTS: Final = 40


def main(sync_delay_ms: float = 4.0) -> None:
    """Measure each batch size; the delay is added to each disk sync."""
    with tempfile.TemporaryDirectory() as folder:
        group = LocalControlGroup.start(folder, 3, sync_delay_ms)
        try:
            _measure(group, sync_delay_ms)
        finally:
            group.stop()


def _measure(group: LocalControlGroup, sync_delay_ms: float) -> None:
    link, leader = _dial_leader(group)
    messages = link.messages()
    sequence = count(1)
    for batch in _BATCH_SIZES:
        before = [process_usage(host.pid) for host in group.hosts]
        results = _measure_claims(link, messages, batch, sequence)
        after = [process_usage(host.pid) for host in group.hosts]
        cpu_us_by_host = {
            host.name: round(
                1e6 * (end.cpu_s - start.cpu_s) / results['claims'], 1
            )
            for host, start, end in zip(
                group.hosts, before, after, strict=True
            )
        }
        line = {
            'batch': batch,
            'sync_delay_ms': sync_delay_ms,
            **results,
            'leader': leader,
            'cpu_us_per_claim': cpu_us_by_host,
            'leader_memory_mb': round(
                max(usage.memory_mb for usage in after), 1
            ),
        }
        print(json.dumps(line), flush=True)
    link.close()


def _dial_leader(group: LocalControlGroup) -> tuple[Connection, str]:
    """Connect to any host and follow its `LeaderHint` to the leader.

    Returns the link and the leader's name.
    """
    own = Hello('entry-1', 'entry', 'entry-1-a', '127.0.0.1:4000')
    address = f'127.0.0.1:{group.hosts[0].internal_port}'
    link = dial(address, own, LinkTiming())
    for message in link.messages():
        if isinstance(message, LeaderHint):
            if message.leader == link.peer.name:
                return link, message.leader
            link.close()
            link = dial(message.address, own, LinkTiming())
            return link, message.leader
    raise AssertionError(f'{address} closed the link without a LeaderHint')


def _measure_claims(
    link: Connection,
    messages: Iterator[Any],
    batch: int,
    sequence: Iterator[int],
) -> dict[str, float]:
    sent_at_by_request: dict[int, float] = {}
    latencies: list[float] = []
    refused = 0

    def send() -> None:
        request = next(sequence)
        claims = tuple(_make_claim(next(sequence)) for _ in range(batch))
        sent_at_by_request[request] = time.monotonic()
        link.send(
            ClaimJobs(
                request, 'entry-1', 'entry-1-a', '127.0.0.1:4000', claims
            )
        )

    began_at = time.monotonic()
    for _ in range(_REQUESTS_IN_FLIGHT):
        send()
    while sent_at_by_request:
        message = next(messages)
        if not isinstance(message, ClaimOutcomes):
            refused += message.__class__.__name__ == 'ControlUnavailable'
            continue
        now = time.monotonic()
        latencies.append(now - sent_at_by_request.pop(message.request))
        if now - began_at < _SAMPLE_S:
            send()
    seconds = time.monotonic() - began_at
    latencies.sort()
    claims = len(latencies) * batch
    return {
        'claims': claims,
        'claims_per_s': round(claims / seconds),
        'latency_p50_ms': round(1000 * latencies[len(latencies) // 2], 2),
        'latency_p99_ms': round(
            1000 * latencies[len(latencies) * 99 // 100], 2
        ),
        'refused_requests': refused,
    }


def _make_claim(number: int) -> Claim:
    issued_ms = _FIRST_ISSUE_MS + number
    job = f'client-{number % _CLIENTS}.{issued_ms}.{number:08d}'
    return Claim(job, number.to_bytes(32, 'big'), number)


if __name__ == '__main__':
    fire.Fire(main)
