"""Brings a deployment to the step at which a fault is injected."""

from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
import random
import threading
import time
from typing import Final

from tools.matrix._cells import Step
from tools.matrix._deployment import Deployment
from tools.matrix._deployment import wait_until
from tools.matrix._deployment import WaitTimeout

_STEP_TIMEOUT_S: Final = 10.0
_POLL_INTERVAL_S: Final = 0.001
_MAX_TICKET_DELAY_S: Final = 0.012
_RESTART_TIMEOUT_S: Final = 20.0


class StepNotReached(Exception):
    """A step was not reached in time, so no fault was injected."""


class StepDriver:
    """Brings a deployment to a step and chooses the process to affect."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        # Threads that put tickets while the fault is injected.
        self._ticket_threads: list[threading.Thread] = []
        self.errors: list[str] = []

    def reach(self, step: Step) -> str:
        """Wait until a step is in progress; return the process to affect.

        Raises `StepNotReached` or `WaitTimeout` if that takes too long.
        """
        deployment = self._deployment
        match step:
            case Step.SUBMIT:
                target = self._rng.choice(deployment.entries)
                self._wait_for_log_line(
                    [target], '"action_type":"entry"', 'started'
                )
            case Step.CLAIM:
                target = deployment.wait_for_leader()
                entries = deployment.entries
                self._wait_for_log_line(
                    entries, '"action_type":"entry"', 'started'
                )
            case Step.PLACE:
                target = self._rng.choice(deployment.entries)
                self._wait_for_log_line([target], '"message_type":"claimed"')
            case Step.START:
                target = self._rng.choice(deployment.agents)
                self._wait_for_log_line([target], '"agent:run"', 'started')
            case Step.ANSWER:
                target = self._rng.choice(deployment.entries)
                agents = deployment.agents
                self._wait_for_log_line(agents, '"agent:run"', 'succeeded')
            case Step.TICKET:
                target = deployment.wait_for_leader()
                self.put_in_background()
                time.sleep(self._rng.uniform(0, _MAX_TICKET_DELAY_S))
            case Step.ELECTION:
                target = self._reach_election()
            case Step.SNAPSHOT:
                target = self._reach_snapshot()
            case Step.REPAIR:
                target = self._reach_repair()
        return target

    def put_in_background(self) -> None:
        """Put a ticket in a thread, for whose end `finish` waits."""
        thread = threading.Thread(target=self._put_ticket, daemon=True)
        self._ticket_threads.append(thread)
        thread.start()

    def finish(self) -> None:
        """Wait until all tickets put in the background have an outcome."""
        for thread in self._ticket_threads:
            thread.join()
        self._ticket_threads.clear()

    def _put_ticket(self) -> None:
        deployment = self._deployment
        quota = {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
        state = {f'quota/padding-{self._rng.randrange(9)}': quota}
        try:
            deployment.put_ticket(self._rng.choice(deployment.entries), state)
        except WaitTimeout as error:
            self.errors.append(str(error))

    def _reach_election(self) -> str:
        deployment = self._deployment
        leader = deployment.wait_for_leader()
        others = [name for name in deployment.controls if name != leader]
        sizes = self._output_sizes(others)
        deployment.kill(leader)
        return self._wait_for_new_line(
            others, sizes, ('"message_type":"election_sought"',)
        )

    def _reach_snapshot(self) -> str:
        """Wait for the temporary file that a snapshot is written to."""
        deployment = self._deployment
        target = self._rng.choice(deployment.controls)
        folder = deployment.data_folder(target)
        stopping = threading.Event()
        putter = threading.Thread(
            target=self._put_tickets_until, args=(stopping,), daemon=True
        )
        putter.start()
        self._ticket_threads.append(putter)
        try:
            _poll_until(
                lambda: any(
                    path.name.startswith('snapshot.')
                    for path in folder.iterdir()
                ),
                f'{target} writes a snapshot',
            )
        finally:
            stopping.set()
        return target

    def _put_tickets_until(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self._put_ticket()

    def _reach_repair(self) -> str:
        deployment = self._deployment
        target = self._rng.choice(deployment.controls)
        deployment.lose_disk(target)
        deployment.wait_for_leader()
        deployment.launcher.start(target)
        wait_until(
            lambda: bool(deployment.health(target)),
            f'{target} answers after its disk was lost',
            _RESTART_TIMEOUT_S,
        )
        time.sleep(self._rng.uniform(0, 0.3))
        return target

    def _wait_for_log_line(self, names: Iterable[str], *parts: str) -> str:
        """Wait for a log line with all parts; return the process's name."""
        names = list(names)
        return self._wait_for_new_line(names, self._output_sizes(names), parts)

    def _output_sizes(self, names: Iterable[str]) -> dict[str, int]:
        return {name: self._output_file(name).stat().st_size for name in names}

    def _output_file(self, name: str) -> Path:
        return self._deployment.output_file(name)

    def _wait_for_new_line(
        self,
        names: Iterable[str],
        size_by_name: dict[str, int],
        parts: tuple[str, ...],
    ) -> str:
        found: list[str] = []

        def line_is_logged() -> bool:
            for name in names:
                with self._output_file(name).open('rb') as file:
                    file.seek(size_by_name[name])
                    lines = file.read().decode(errors='replace').splitlines()
                if any(all(p in line for p in parts) for line in lines):
                    found.append(name)
                    return True
            return False

        _poll_until(line_is_logged, f'a line with {" ".join(parts)}')
        return found[0]


def _poll_until(condition: Callable[[], bool], what: str) -> None:
    """Poll more often than `wait_until`; raise `StepNotReached`."""
    give_up_at = time.monotonic() + _STEP_TIMEOUT_S
    while not condition():
        if time.monotonic() > give_up_at:
            raise StepNotReached(f'the step was not reached: {what}')
        time.sleep(_POLL_INTERVAL_S)
