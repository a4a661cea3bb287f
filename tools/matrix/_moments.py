"""Waits for the moment at which a step is under way."""

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
from tools.matrix._deployment import WaitedInVain

_MOMENT_LIMIT_S: Final = 10.0
_WATCH_PAUSE_S: Final = 0.001
_LONGEST_TICKET_DELAY_S: Final = 0.012
_REPAIR_LIMIT_S: Final = 20.0


class StepNotReached(Exception):
    """The moment of a step was missed, so no fault was injected."""


class Moments:
    """Brings a deployment to a step and names the process to hit."""

    def __init__(self, deployment: Deployment, chance: random.Random) -> None:
        self._deployment = deployment
        self._chance = chance
        # Puts a ticket that is under way while the fault strikes.
        self._putting: list[threading.Thread] = []
        self.errors: list[str] = []

    def reach(self, step: Step) -> str:
        """Return, the moment the step is under way, whom to hit."""
        deployment = self._deployment
        match step:
            case Step.SUBMIT:
                victim = self._chance.choice(deployment.entries)
                self._await_line([victim], '"action_type":"entry"', 'started')
            case Step.CLAIM:
                victim = deployment.leader()
                entries = deployment.entries
                self._await_line(entries, '"action_type":"entry"', 'started')
            case Step.PLACE:
                victim = self._chance.choice(deployment.entries)
                self._await_line([victim], '"message_type":"claimed"')
            case Step.START:
                victim = self._chance.choice(deployment.agents)
                self._await_line([victim], '"agent:run"', 'started')
            case Step.ANSWER:
                victim = self._chance.choice(deployment.entries)
                agents = deployment.agents
                self._await_line(agents, '"agent:run"', 'succeeded')
            case Step.TICKET:
                victim = deployment.leader()
                self.put_in_background()
                time.sleep(self._chance.uniform(0, _LONGEST_TICKET_DELAY_S))
            case Step.ELECTION:
                victim = self._reach_election()
            case Step.SNAPSHOT:
                victim = self._reach_snapshot()
            case Step.REPAIR:
                victim = self._reach_repair()
        return victim

    def put_in_background(self) -> None:
        """Put a ticket while the fault strikes; `finish` awaits its end."""
        thread = threading.Thread(target=self._put, daemon=True)
        self._putting.append(thread)
        thread.start()

    def finish(self) -> None:
        """Wait until the tickets under way have an outcome."""
        for thread in self._putting:
            thread.join()
        self._putting.clear()

    def _put(self) -> None:
        deployment = self._deployment
        quota = {'tasks_per_second': 1e5, 'burst_tasks': 10_000}
        state = {f'quota/padding-{self._chance.randrange(9)}': quota}
        try:
            deployment.put_ticket(
                self._chance.choice(deployment.entries), state
            )
        except WaitedInVain as error:
            self.errors.append(str(error))

    def _reach_election(self) -> str:
        deployment = self._deployment
        leader = deployment.leader()
        others = [name for name in deployment.controls if name != leader]
        sizes = self._sizes(others)
        deployment.kill(leader)
        return self._await_growth(
            others, sizes, ('"message_type":"election_sought"',)
        )

    def _reach_snapshot(self) -> str:
        """Watch for the temporary file that a snapshot is written to."""
        deployment = self._deployment
        victim = self._chance.choice(deployment.controls)
        folder = deployment.data_folder(victim)
        over = threading.Event()
        putter = threading.Thread(
            target=self._put_until, args=(over,), daemon=True
        )
        putter.start()
        self._putting.append(putter)
        try:
            _watch(
                lambda: any(
                    path.name.startswith('snapshot.')
                    for path in folder.iterdir()
                ),
                f'{victim} writes a snapshot',
            )
        finally:
            over.set()
        return victim

    def _put_until(self, over: threading.Event) -> None:
        while not over.is_set():
            self._put()

    def _reach_repair(self) -> str:
        deployment = self._deployment
        victim = self._chance.choice(deployment.controls)
        deployment.lose_disk(victim)
        deployment.leader()
        deployment.launcher.start(victim)
        wait_until(
            lambda: bool(deployment.health(victim)),
            f'{victim} answers after its disk was lost',
            _REPAIR_LIMIT_S,
        )
        time.sleep(self._chance.uniform(0, 0.3))
        return victim

    def _await_line(self, names: Iterable[str], *parts: str) -> str:
        """Wait until one of the processes logs a line with these parts."""
        names = list(names)
        return self._await_growth(names, self._sizes(names), parts)

    def _sizes(self, names: Iterable[str]) -> dict[str, int]:
        return {name: self._printed(name).stat().st_size for name in names}

    def _printed(self, name: str) -> Path:
        return self._deployment.printed(name)

    def _await_growth(
        self,
        names: Iterable[str],
        size_by_name: dict[str, int],
        parts: tuple[str, ...],
    ) -> str:
        found: list[str] = []

        def is_there() -> bool:
            for name in names:
                with self._printed(name).open('rb') as file:
                    file.seek(size_by_name[name])
                    lines = file.read().decode(errors='replace').splitlines()
                if any(all(p in line for p in parts) for line in lines):
                    found.append(name)
                    return True
            return False

        _watch(is_there, f'a line with {" ".join(parts)}')
        return found[0]


def _watch(condition: Callable[[], bool], what: str) -> None:
    """Wait as `wait_until` does, but look more often."""
    give_up_at = time.monotonic() + _MOMENT_LIMIT_S
    while not condition():
        if time.monotonic() > give_up_at:
            raise StepNotReached(f'the step was not reached: {what}')
        time.sleep(_WATCH_PAUSE_S)
