"""Compares cheroot with werkzeug's threaded server.

Each server answers requests that wait, as those for a job do, and
requests that don't. The client runs in a separate process::

    python -m tools.measure_http

Prints one JSON line for each server and wait: the response time beyond
the wait in milliseconds (median and 99th percentile), requests per
second, errors, and the server's peak thread count and its memory then.
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
_BODY: Final = json.dumps({'tasks': [{'identifier': 't'}] * 8}).encode()


class _WaitingApplication:
    """A WSGI application that waits for the milliseconds in the path."""

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
        response = Response(_BODY, mimetype='application/json')
        return response(environ, start_response)


def main() -> None:
    """Measure both servers and print the results."""
    for name, serve in (
        ('cheroot', _serve_cheroot),
        ('werkzeug', _serve_werkzeug),
    ):
        for wait_ms in _WAITS_MS:
            context = multiprocessing.get_context('spawn')
            process = context.Process(
                target=_measure_server, args=(serve, wait_ms)
            )
            print(json.dumps({'server': name, 'wait_ms': wait_ms}), end=' ')
            print(flush=True)
            process.start()
            process.join()


@dataclass(frozen=True, slots=True)
class _RunningServer:
    """A running server."""

    # The port that the server listens on.
    port: int
    # Stops the server.
    stop: Callable[[], None]


def _serve_cheroot(application: Any) -> _RunningServer:
    server = WebServer(
        '127.0.0.1', 0, application, _THREADS, _LARGEST_BODY_BYTES
    )
    server.start(ThreadPoolExecutor(1))
    return _RunningServer(server.port, server.stop)


def _serve_werkzeug(application: Any) -> _RunningServer:
    logging.getLogger('werkzeug').setLevel(logging.ERROR)
    server = make_server('127.0.0.1', 0, application, threaded=True)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return _RunningServer(server.port, server.shutdown)


def _measure_server(
    serve: Callable[[Any], _RunningServer], wait_ms: int
) -> None:
    """Serve in this process, run the client in another and print a line."""
    application = _WaitingApplication()
    server = serve(application)
    context = multiprocessing.get_context('spawn')
    parent_pipe, child_pipe = context.Pipe()
    client = context.Process(
        target=_run_client, args=(server.port, wait_ms, child_pipe)
    )
    client.start()
    line: dict[str, Any] = parent_pipe.recv()
    client.join()
    server.stop()
    line['threads'] = application.peak_threads
    line['memory_mb'] = application.peak_memory_mb
    print(json.dumps(line), flush=True)


def _run_client(port: int, wait_ms: int, pipe: Any) -> None:
    """Send rounds of concurrent requests, one on each connection."""
    handles = [_new_handle(port, wait_ms) for _ in range(_CONNECTIONS)]
    multi = pycurl.CurlMulti()
    multi.setopt(pycurl.M_MAXCONNECTS, 2 * _CONNECTIONS)
    overheads_ms: list[float] = []
    errors = 0
    started = time.monotonic()
    for _ in range(_ROUNDS):
        failed = _run_round(multi, handles)
        errors += len(failed)
        for handle in handles:
            if handle not in failed:
                total_ms = handle.getinfo(pycurl.TOTAL_TIME) * 1000
                overheads_ms.append(total_ms - wait_ms)
    elapsed_s = time.monotonic() - started
    overheads_ms.sort()
    line = {
        'median_ms': round(overheads_ms[len(overheads_ms) // 2], 1),
        'p99_ms': round(overheads_ms[len(overheads_ms) * 99 // 100], 1),
        'per_second': round(len(overheads_ms) / elapsed_s),
        'errors': errors,
    }
    pipe.send(line)


def _new_handle(port: int, wait_ms: int) -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f'http://127.0.0.1:{port}/{wait_ms}')
    handle.setopt(pycurl.NOPROXY, '*')
    handle.setopt(pycurl.POSTFIELDS, _BODY)
    handle.setopt(pycurl.TIMEOUT_MS, 20_000)
    return handle


def _run_round(
    multi: pycurl.CurlMulti, handles: list[pycurl.Curl]
) -> list[pycurl.Curl]:
    """Send one request on each handle concurrently; return failed handles."""
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
