"""Runs a control group under random faults and checks its history.

Three control hosts run as separate processes. Random ones are killed and
restarted, or frozen and thawed, while two entries claim the same jobs
and two tools put tickets with the same numbers. Prints one line for each
seed::

    python -m tools.control_history --seeds=50 --seconds=10
"""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait
from functools import partial
import json
import random
import tempfile
import threading
import time
from typing import Any
from typing import Final

import fire

from baobabgap.control import ControlClient
from baobabgap.control import ControlUnavailableError
from baobabgap.messages import Changes
from baobabgap.messages import Claim
from baobabgap.settings import ControlHost
from baobabgap.settings import ControlSettings
from baobabgap.settings import Links
from baobabgap.settings import Role
from baobabgap.settings import Settings
from tools._control_checker import check
from tools._control_checker import ClaimEvent
from tools._control_checker import FinalState
from tools._control_checker import History
from tools._control_checker import ReadEvent
from tools._control_checker import TicketEvent
from tools._local_control_group import LocalControlGroup

_KEY: Final = 'quota/rowing'
_HOSTS: Final = 3
_RECOVERY_WAIT_S: Final = 30.0
_CLAIM_PAUSE_S: Final = 0.01
_TICKET_PAUSE_S: Final = 0.05
_MAX_FAULT_PAUSE_S: Final = 1.0
# Seconds after which a run ends even if no read succeeded.
_MAX_RUN_S: Final = 60.0


class HistoryRun:
    """A run of clients and faults, derived from one seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._pool = ThreadPoolExecutor(128)
        self._stopping = threading.Event()
        self._clients: list[ControlClient] = []
        self._claims: list[ClaimEvent] = []
        self._tickets: list[TicketEvent] = []
        self._reads: list[ReadEvent] = []

    def run(self) -> History:
        """Run to the end and return the recorded events."""
        with tempfile.TemporaryDirectory() as folder:
            self._group = LocalControlGroup.start(folder, _HOSTS, 0.0)
            try:
                return self._run_on_group()
            finally:
                for client in self._clients:
                    client.stop()
                self._group.stop()
                self._pool.shutdown(wait=False)

    def _run_on_group(self) -> History:
        self._start_client('agent', 'watcher', self._record_changes)
        loops: list[Callable[[], None]] = []
        for number in (1, 2):
            entry = self._start_client('entry', f'entry-{number}')
            tool = self._start_client('tool', f'tool-{number}')
            reader = self._start_client('tool', f'reader-{number}')
            loops += [
                partial(self._claim_loop, entry, number),
                partial(self._ticket_loop, tool, number),
                partial(self._read_loop, reader, number),
            ]
        tasks: list[Future[None]] = [self._pool.submit(loop) for loop in loops]
        self._inject_faults()
        self._stopping.set()
        wait(tasks, _RECOVERY_WAIT_S)
        for task in tasks:
            task.result(0)
        return History(
            self._claims, self._tickets, self._reads, self._read_final()
        )

    def _start_client(
        self,
        role: str,
        name: str,
        on_changes: Callable[[Changes], None] = lambda _: None,
    ) -> ControlClient:
        settings = Settings(
            role=Role.ENTRY,
            name=name,
            control_hosts=tuple(
                ControlHost(host.name, '127.0.0.1', host.internal_port)
                for host in self._group.hosts
            ),
            links=Links(heartbeat_s=0.2, silence_s=1.0),
            control=ControlSettings(claim_wait_s=2.0, request_wait_s=2.0),
        )
        client = ControlClient.from_settings(
            settings, role, f'{name}-a', '', self._pool, on_changes, ()
        )
        client.start()
        self._clients.append(client)
        return client

    def _inject_faults(self) -> None:
        rng = self._rng
        began_at = time.monotonic()
        while self._should_continue(time.monotonic() - began_at):
            time.sleep(rng.uniform(0.1, _MAX_FAULT_PAUSE_S))
            targets = rng.sample(self._group.hosts, rng.choice((1, 1, 1, 2)))
            is_kill = rng.random() < 0.5
            for target in targets:
                if is_kill:
                    self._group.kill(target.name)
                else:
                    self._group.freeze(target.name)
            time.sleep(rng.uniform(0.05, 2.0))
            for target in targets:
                if is_kill:
                    self._group.restart(target.name)
                else:
                    self._group.thaw(target.name)

    def _should_continue(self, elapsed_s: float) -> bool:
        """Return whether to inject more faults.

        A run without any successful read checks nothing, so it is
        extended: on a busy machine hosts may need long to restart.
        """
        if elapsed_s < self._seconds:
            return True
        return not self._reads and elapsed_s < _MAX_RUN_S

    def _claim_loop(self, entry: ControlClient, number: int) -> None:
        job_number = 0
        while not self._stopping.is_set():
            job_number += 1
            job = f'client-{job_number % 3}.{job_number}.n'
            claim = Claim(job, b'digest', number)
            name = f'entry-{number}'
            try:
                outcome = entry.claim(claim).result(_RECOVERY_WAIT_S)
                event = ClaimEvent(
                    job, name, number, outcome.status, outcome.owner
                )
            except ControlUnavailableError as error:
                event = ClaimEvent(
                    job, name, number, None, unchanged=error.unchanged
                )
            self._claims.append(event)
            self._stopping.wait(_CLAIM_PAUSE_S)

    def _ticket_loop(self, tool: ControlClient, number: int) -> None:
        ticket = 0
        while not self._stopping.is_set():
            ticket += 1
            value = 1000 * ticket + number
            content = {_KEY: {'tasks_per_second': value}}
            try:
                outcome = tool.put_ticket(ticket, content).result(
                    _RECOVERY_WAIT_S
                )
                event = TicketEvent(
                    ticket, str(value), outcome.status, time.monotonic()
                )
            except ControlUnavailableError as error:
                event = TicketEvent(
                    ticket,
                    str(value),
                    None,
                    time.monotonic(),
                    error.unchanged,
                )
            self._tickets.append(event)
            self._stopping.wait(_TICKET_PAUSE_S)

    def _read_loop(self, reader: ControlClient, number: int) -> None:
        while not self._stopping.is_set():
            began_at = time.monotonic()
            try:
                page = reader.query('configuration').result(_RECOVERY_WAIT_S)
            except ControlUnavailableError:
                continue
            self._reads.append(
                ReadEvent(
                    f'reader-{number}', page['newest_number'], began_at, True
                )
            )
            self._stopping.wait(_TICKET_PAUSE_S)

    def _record_changes(self, changes: Changes) -> None:
        for entry in changes.configuration:
            self._reads.append(
                ReadEvent('watcher', entry.ticket, time.monotonic(), False)
            )

    def _read_final(self) -> FinalState:
        tool = self._start_client('tool', 'tool-9')
        page = self._retry(partial(tool.query, 'tickets'))
        lookups = {
            event.job: self._retry(
                partial(tool.look_up, Claim(event.job, b''))
            )
            for event in self._claims
        }
        return FinalState(
            {job: outcome.owner for job, outcome in lookups.items()},
            {
                ticket['number']: str(
                    ticket['state_by_key'][_KEY]['tasks_per_second']
                )
                for ticket in page['tickets']
            },
        )

    def _retry(self, send_request: Callable[[], Future[Any]]) -> Any:
        """Repeat a request until the group is available again."""
        deadline = time.monotonic() + _RECOVERY_WAIT_S
        while True:
            try:
                return send_request().result(_RECOVERY_WAIT_S)
            except ControlUnavailableError:
                if time.monotonic() > deadline:
                    raise


def main(seeds: int = 5, seconds: float = 10.0, first_seed: int = 1) -> None:
    """Run the seeds in sequence; exit with 1 if a guarantee is violated."""
    failed_seeds = 0
    for seed in range(first_seed, first_seed + seeds):
        history = HistoryRun(seed, seconds).run()
        violations = check(history)
        failed_seeds += bool(violations)
        line = {
            'seed': seed,
            'claims': len(history.claims),
            'tickets': len(history.tickets),
            'reads': len(history.reads),
            'failed_claims': sum(
                event.status is None for event in history.claims
            ),
            'problems': violations[:5],
        }
        print(json.dumps(line), flush=True)
    print(f'{seeds - failed_seeds} of {seeds} seeds held')
    if failed_seeds:
        raise SystemExit(1)


if __name__ == '__main__':
    fire.Fire(main)
