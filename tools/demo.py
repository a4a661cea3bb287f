"""`make demo`: one process, a few jobs, every answer and a time line.

Starts `baobabgapd --role standalone` on a free port, uses the
command-line tool as an operator and a caller would, and stops the
process with SIGTERM. Whatever happens, nothing is left running.
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
from baobabgap.web import WebClient

_START_LIMIT_S: Final = 30.0
_STOP_LIMIT_S: Final = 30.0
_COMMAND_LIMIT_S: Final = 60.0
_POLL_PAUSE_S: Final = 0.05


class DemoError(Exception):
    """A step of the demonstration that went wrong."""


def main() -> int:
    """Run the demonstration and return its exit status."""
    with tempfile.TemporaryDirectory(prefix='baobabgap-demo-') as name:
        folder = Path(name)
        try:
            with _standalone(folder) as address:
                _show(folder, address)
        except DemoError as error:
            print(f'demo: {error}', file=sys.stderr)
            return 1
    print('Stopped as planned; nothing is left running.')
    return 0


def _show(folder: Path, address: str) -> None:
    """Put the ticket, submit the jobs, and show one job's time line."""
    log = str(folder / 'log')
    entries = f'--entries={address}'
    _run('ticket', 'put', 'examples/ticket.yaml', '--number=1', entries)
    _run('submit', 'examples/jobs.yaml', entries)
    summaries = _run('timeline', log, '--json', quiet=True).splitlines()
    slowest = json.loads(summaries[0])['job']
    print('The slowest of them, over all roles:', flush=True)
    _run('timeline', slowest, log)


def _run(*arguments: str, quiet: bool = False) -> str:
    """Run the tool, show its output, and return it."""
    if not quiet:
        print(f'$ baobabgap {" ".join(arguments)}', flush=True)
    ended = subprocess.run(
        [sys.executable, '-m', 'baobabgap.tool', *arguments],
        stdout=subprocess.PIPE,
        text=True,
        timeout=_COMMAND_LIMIT_S,
    )
    if not quiet:
        print(ended.stdout, flush=True)
    if ended.returncode != 0:
        raise DemoError(f'{arguments[0]} ended with {ended.returncode}')
    return ended.stdout


@contextmanager
def _standalone(folder: Path) -> Iterator[str]:
    """Run the daemon, yield its address, and stop it by SIGTERM."""
    log = folder / 'log'
    print('$ baobabgapd --role standalone', flush=True)
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'baobabgap.daemon',
            '--role=standalone',
            '--http-port=0',
            f'--log-file={log}',
            f'--data-folder={folder / "data"}',
        ]
    )
    try:
        yield _wait_until_ready(process, log)
        process.terminate()
        status = process.wait(_STOP_LIMIT_S)
    except subprocess.TimeoutExpired as error:
        raise DemoError(str(error)) from error
    finally:
        process.kill()
        process.wait()
    if status != 0:
        raise DemoError(f'the daemon ended with {status}')


def _wait_until_ready(process: subprocess.Popen[bytes], log: Path) -> str:
    """Return the entry's address once it is ready for jobs."""
    give_up_at = time.monotonic() + _START_LIMIT_S
    while time.monotonic() < give_up_at:
        if process.poll() is not None:
            raise DemoError(f'the daemon ended with {process.returncode}')
        address = _find_address(log)
        if address and _is_ready(address):
            return address
        time.sleep(_POLL_PAUSE_S)
    raise DemoError(f'the daemon is not ready after {_START_LIMIT_S} s')


def _find_address(log: Path) -> str:
    """Read the port, which was chosen freely, from the log."""
    if not log.exists():
        return ''
    for record in read_records([log], containing=['entry_started']):
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
