"""Demonstrates a standalone process, a few jobs and a timeline.

`make demo` runs it. It starts `baobabgapd --role standalone` on a free
port, uses the command-line tool as an operator and a caller would, and
stops the process with SIGTERM. The process is killed after an error.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import json
from pathlib import Path
import subprocess
import sys
import tempfile
import time
from typing import Final

from baobabgap import ConnectionLost
from baobabgap.telemetry import read_records
from baobabgap.webclient import WebClient

_START_LIMIT_S: Final = 30.0
_STOP_LIMIT_S: Final = 30.0
_COMMAND_LIMIT_S: Final = 60.0
_POLL_PAUSE_S: Final = 0.05


class DemoError(Exception):
    """Raised if a step of the demonstration fails."""


def main() -> int:
    """Run the demonstration and return its exit status."""
    with tempfile.TemporaryDirectory(prefix='baobabgap-demo-') as name:
        folder = Path(name)
        try:
            with _standalone(folder) as address:
                _run_scenario(folder, address)
        except DemoError as error:
            print(f'demo: {error}', file=sys.stderr)
            return 1
    print('Stopped as planned; nothing is left running.')
    return 0


def _run_scenario(folder: Path, address: str) -> None:
    """Put a ticket, submit jobs and show the slowest job's timeline."""
    log_file = str(folder / 'log')
    entries = f'--entries={address}'
    _run_tool('ticket', 'put', 'examples/ticket.yaml', '--number=1', entries)
    _run_tool('submit', 'examples/jobs.yaml', entries)
    summaries = _run_tool(
        'timeline', log_file, '--json', quiet=True
    ).splitlines()
    slowest_job = json.loads(summaries[0])['job']
    print('The slowest of them, over all roles:', flush=True)
    _run_tool('timeline', slowest_job, log_file)


def _run_tool(*arguments: str, quiet: bool = False) -> str:
    """Run the command-line tool, print its output and return it.

    Raises `DemoError` if the tool fails.
    """
    if not quiet:
        print(f'$ baobabgap {" ".join(arguments)}', flush=True)
    completed = subprocess.run(
        [sys.executable, '-m', 'baobabgap.tool', *arguments],
        stdout=subprocess.PIPE,
        text=True,
        timeout=_COMMAND_LIMIT_S,
    )
    if not quiet:
        print(completed.stdout, flush=True)
    if completed.returncode != 0:
        raise DemoError(
            f'baobabgap {arguments[0]} exited with status '
            f'{completed.returncode}'
        )
    return completed.stdout


@contextmanager
def _standalone(folder: Path) -> Iterator[str]:
    """Run the daemon, yield its HTTP address and stop it by SIGTERM."""
    log_file = folder / 'log'
    print('$ baobabgapd --role standalone', flush=True)
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'baobabgap.daemon',
            '--role=standalone',
            '--http-port=0',
            f'--log-file={log_file}',
            f'--data-folder={folder / "data"}',
        ]
    )
    try:
        yield _wait_until_ready(process, log_file)
        process.terminate()
        status = process.wait(_STOP_LIMIT_S)
    except subprocess.TimeoutExpired as error:
        raise DemoError(str(error)) from error
    finally:
        process.kill()
        process.wait()
    if status != 0:
        raise DemoError(f'the daemon exited with status {status}')


def _wait_until_ready(process: subprocess.Popen[bytes], log_file: Path) -> str:
    """Return the entry's HTTP address once it is ready for jobs."""
    deadline = time.monotonic() + _START_LIMIT_S
    while time.monotonic() < deadline:
        if process.poll() is not None:
            raise DemoError(
                f'the daemon exited with status {process.returncode}'
            )
        address = _find_address(log_file)
        if address and _is_ready(address):
            return address
        time.sleep(_POLL_PAUSE_S)
    raise DemoError(f'the daemon is not ready after {_START_LIMIT_S} s')


def _find_address(log_file: Path) -> str:
    """Read the port from the log, or return empty if it isn't there yet."""
    if not log_file.exists():
        return ''
    for record in read_records([log_file], containing=['entry_started']):
        return f'127.0.0.1:{record.field_by_name["http_port"]}'
    return ''


def _is_ready(address: str) -> bool:
    client = WebClient(address)
    try:
        response = client.request('GET', '/ready', timeout_s=1.0)
    except ConnectionLost:
        return False
    finally:
        client.close()
    return response.status == 200


if __name__ == '__main__':
    sys.exit(main())
