"""Open-loop load generator: a slow response delays no later job."""

from collections.abc import Sequence
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
import heapq
import itertools
import queue
import statistics
import threading
import time
from typing import Final

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from tools.bench._answers import classify_response
from tools.bench._answers import End
from tools.bench._answers import Outcome
from tools.bench._answers import submission_document
from tools.bench._trace import TraceJob

_MAX_REQUEST_THREADS: Final = 1500
# Time after the deadline during which a response is still awaited.
_RESPONSE_GRACE_S: Final = 20.0
_CANCEL_LIMIT_S: Final = 10.0
_WARM_CONNECTIONS_PER_ENTRY: Final = 256
_WARM_UP_LIMIT_S: Final = 20.0
_EMPTY_ROUND_TRIPS: Final = 200


class LoadGenerator:
    """Sends the jobs of a trace over a pool of keep-alive connections."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = tuple(addresses)
        self._idle_by_address: dict[str, queue.LifoQueue[WebClient]] = {
            address: queue.LifoQueue() for address in addresses
        }
        self._pool = ThreadPoolExecutor(_MAX_REQUEST_THREADS, 'caller')
        self._started_at = 0.0

    def close(self) -> None:
        """Close all connections."""
        self._pool.shutdown()
        for idle in self._idle_by_address.values():
            while not idle.empty():
                idle.get_nowait().close()

    def measure_empty_round_trip_s(self) -> float:
        """Return the median round trip of a request that runs no task."""
        client = WebClient(self._addresses[0])
        durations = []
        for _ in range(_EMPTY_ROUND_TRIPS):
            before = time.perf_counter()
            client.request('GET', '/health', timeout_s=5.0)
            durations.append(time.perf_counter() - before)
        client.close()
        return statistics.median(durations)

    def run(self, jobs: Sequence[TraceJob], prefix: str) -> list[Outcome]:
        """Submit and cancel jobs by the trace; return once all have ended.

        The prefix makes the job identifiers unique to this run and may
        hold letters, digits and hyphens. Requests are distributed over
        the entries round-robin.
        """
        issued_ms = time.time_ns() // 1_000_000
        identifiers = [
            f'{job.client}.{issued_ms + int(job.arrival_s * 1000)}'
            f'.{prefix}-{job.number}'
            for job in jobs
        ]
        events = [
            (job.arrival_s, index, False) for index, job in enumerate(jobs)
        ] + [
            (job.cancel_s, index, True)
            for index, job in enumerate(jobs)
            if job.cancel_s is not None
        ]
        heapq.heapify(events)
        self._warm_up()
        addresses = itertools.cycle(self._addresses)
        futures: list[Future[Outcome]] = []
        self._started_at = time.perf_counter()
        while events:
            due_s, index, is_cancel = heapq.heappop(events)
            self._sleep_until(due_s)
            job, identifier = jobs[index], identifiers[index]
            if is_cancel:
                self._pool.submit(self._cancel, next(addresses), identifier)
                continue
            address = next(addresses)
            futures.append(
                self._pool.submit(self._submit, address, job, identifier)
            )
        return [future.result() for future in futures]

    def _warm_up(self) -> None:
        """Create threads and connections before the first job is sent."""
        connections = _WARM_CONNECTIONS_PER_ENTRY * len(self._addresses)
        barrier = threading.Barrier(connections)
        addresses = itertools.cycle(self._addresses)
        futures = [
            self._pool.submit(self._connect, next(addresses), barrier)
            for _ in range(connections)
        ]
        for future in futures:
            future.result()

    def _connect(self, address: str, barrier: threading.Barrier) -> None:
        client = WebClient(address)
        client.request('GET', '/health', timeout_s=_WARM_UP_LIMIT_S)
        self._idle_by_address[address].put(client)
        barrier.wait(_WARM_UP_LIMIT_S)

    def _sleep_until(self, due_s: float) -> None:
        pause_s = self._started_at + due_s - time.perf_counter()
        if pause_s > 0:
            time.sleep(pause_s)

    def _submit(self, address: str, job: TraceJob, identifier: str) -> Outcome:
        client = self._take_client(address)
        document = submission_document(job, identifier)
        timeout_s = job.deadline_ms / 1000.0 + _RESPONSE_GRACE_S
        sent_at = time.perf_counter()
        sent_s = sent_at - self._started_at
        try:
            response = client.request(
                'POST', '/v1/jobs', document, timeout_s=timeout_s
            )
        except ConnectionLost as error:
            client.close()
            response_s = time.perf_counter() - sent_at
            return Outcome(
                job, identifier, End.NO_ANSWER, sent_s, response_s, str(error)
            )
        response_s = time.perf_counter() - sent_at
        self._idle_by_address[address].put(client)
        return classify_response(job, identifier, response, sent_s, response_s)

    def _cancel(self, address: str, identifier: str) -> None:
        client = self._take_client(address)
        try:
            client.request(
                'DELETE', f'/v1/jobs/{identifier}', timeout_s=_CANCEL_LIMIT_S
            )
        except ConnectionLost:
            client.close()
            return
        self._idle_by_address[address].put(client)

    def _take_client(self, address: str) -> WebClient:
        try:
            return self._idle_by_address[address].get_nowait()
        except queue.Empty:
            return WebClient(address)
