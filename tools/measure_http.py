"""Measures werkzeug's own threaded server against cheroot.

Each server answers requests that wait, as a job does, and requests that
don't. The client runs in a process of its own::

    python -m tools.measure_http

It prints one JSON line for each server and load: milliseconds beyond the
wait at the median and the 99th percentile, requests a second, errors,
and the threads and memory of the server while all requests waited.
"""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from io import BytesIO
import json
import logging
import multiprocessing
from pathlib import Path
import threading
import time
from typing import Any
from typing import Final

import pycurl
from werkzeug import Request
from werkzeug import Response
from werkzeug.serving import make_server

from baobabgap.web import WebServer

_CONNECTIONS: Final = 256
_ROUNDS: Final = 8
_THREADS: Final = 288
_LARGEST_BODY_BYTES: Final = 1_000_000
_WAITS_MS: Final = (500, 0)
_JOB: Final = json.dumps({'tasks': [{'identifier': 't'}] * 8}).encode()


class _WaitingApplication:
    """Reads the body, waits as long as the path says, and answers."""

    def __init__(self) -> None:
        self.peak_threads = 0
        self.peak_memory_mb = 0.0

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        request = Request(environ)
        json.loads(request.get_data())
        wait_ms = int(request.path.strip('/'))
        if threading.active_count() > self.peak_threads:
            self.peak_threads = threading.active_count()
            self.peak_memory_mb = _resident_mb()
        time.sleep(wait_ms / 1000)
        response = Response(_JOB, mimetype='application/json')
        return response(environ, start_response)


def main() -> None:
    """Measure both servers and print the lines."""
    for name, serve in (('cheroot', _cheroot), ('werkzeug', _werkzeug)):
        for wait_ms in _WAITS_MS:
            context = multiprocessing.get_context('spawn')
            process = context.Process(target=_measure, args=(serve, wait_ms))
            print(json.dumps({'server': name, 'wait_ms': wait_ms}), end=' ')
            print(flush=True)
            process.start()
            process.join()


@dataclass(frozen=True, slots=True)
class _Serving:
    """A running server."""

    # The port that it listens on.
    port: int
    # Ends it.
    stop: Callable[[], None]


def _cheroot(application: Any) -> _Serving:
    server = WebServer(
        '127.0.0.1', 0, application, _THREADS, _LARGEST_BODY_BYTES
    )
    server.start(ThreadPoolExecutor(1))
    return _Serving(server.port, server.stop)


def _werkzeug(application: Any) -> _Serving:
    logging.getLogger('werkzeug').setLevel(logging.ERROR)
    server = make_server('127.0.0.1', 0, application, threaded=True)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return _Serving(server.port, server.shutdown)


def _measure(serve: Callable[[Any], _Serving], wait_ms: int) -> None:
    """Serve in this process, and run the client in another."""
    application = _WaitingApplication()
    serving = serve(application)
    context = multiprocessing.get_context('spawn')
    here, there = context.Pipe()
    client = context.Process(
        target=_run_client, args=(serving.port, wait_ms, there)
    )
    client.start()
    line: dict[str, Any] = here.recv()
    client.join()
    serving.stop()
    line['threads'] = application.peak_threads
    line['memory_mb'] = application.peak_memory_mb
    print(json.dumps(line), flush=True)


def _run_client(port: int, wait_ms: int, pipe: Any) -> None:
    """Send some rounds of requests, all connections at once."""
    handles = [_new_handle(port, wait_ms) for _ in range(_CONNECTIONS)]
    multi = pycurl.CurlMulti()
    multi.setopt(pycurl.M_MAXCONNECTS, 2 * _CONNECTIONS)
    beyond_ms: list[float] = []
    errors = 0
    started = time.monotonic()
    for _ in range(_ROUNDS):
        failed = _run_round(multi, handles)
        errors += len(failed)
        for handle in handles:
            if handle not in failed:
                total_ms = handle.getinfo(pycurl.TOTAL_TIME) * 1000
                beyond_ms.append(total_ms - wait_ms)
    took_s = time.monotonic() - started
    beyond_ms.sort()
    line = {
        'median_ms': round(beyond_ms[len(beyond_ms) // 2], 1),
        'p99_ms': round(beyond_ms[len(beyond_ms) * 99 // 100], 1),
        'per_second': round(len(beyond_ms) / took_s),
        'errors': errors,
    }
    pipe.send(line)


def _new_handle(port: int, wait_ms: int) -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f'http://127.0.0.1:{port}/{wait_ms}')
    handle.setopt(pycurl.NOPROXY, '*')
    handle.setopt(pycurl.POSTFIELDS, _JOB)
    handle.setopt(pycurl.TIMEOUT_MS, 20_000)
    return handle


def _run_round(
    multi: pycurl.CurlMulti, handles: list[pycurl.Curl]
) -> list[pycurl.Curl]:
    """Send one request on each handle at once; return the failed ones."""
    for handle in handles:
        handle.setopt(pycurl.WRITEDATA, BytesIO())
        multi.add_handle(handle)
    running = len(handles)
    while running:
        _, running = multi.perform()
        multi.select(0.1)
    _, _, failed = multi.info_read(len(handles))
    for handle in handles:
        multi.remove_handle(handle)
    return [handle for handle, _, _ in failed]


def _resident_mb() -> float:
    for line in Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


if __name__ == '__main__':
    main()
