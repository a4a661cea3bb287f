"""What the processes and the stand-ins have counted at one moment."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
import re
from typing import Any
from typing import Final
from typing import Self

from baobabgap import ConnectionLost
from baobabgap.web import WebClient
from tools.launcher import Launcher
from tools.launcher import read_json

_READ_LIMIT_S: Final = 10.0
_COUNTED_ROLES: Final = ('control', 'entry', 'agent')
_MESSAGES: Final = 'baobabgap_messages_received_total'
_WASTED: Final = 'baobabgap_wasted_messages_total'
_HEARTBEAT: Final = 'Heartbeat'
_LINE: Final = re.compile(r'(\w+)\{kind="([^"]*)"\} ([0-9.e+]+)')


@dataclass(frozen=True, slots=True)
class Reading:
    """Counts since the start of each process that runs."""

    # Messages received, by process and kind, heartbeats left out.
    messages_by_process: dict[str, Counter[str]]
    # Wasted messages received, by process and kind.
    wasted_by_process: dict[str, Counter[str]]
    # Seconds of processor time by process.
    processor_s_by_process: dict[str, float]

    @classmethod
    def take(cls, launcher: Launcher) -> Self:
        """Read all processes of the product that run."""
        messages: dict[str, Counter[str]] = {}
        wasted: dict[str, Counter[str]] = {}
        processor_s: dict[str, float] = {}
        for role in _COUNTED_ROLES:
            for name in launcher.names_with_role(role):
                text = _read_metrics(launcher, name)
                if text is None:
                    continue
                messages[name] = _counts(text, _MESSAGES)
                del messages[name][_HEARTBEAT]
                wasted[name] = _counts(text, _WASTED)
                processor_s[name] = launcher.usage(name).processor_s
        return cls(messages, wasted, processor_s)

    def since(self, earlier: 'Reading') -> 'Reading':
        """Return what was added since, by processes read both times."""
        both = self.messages_by_process.keys() & (
            earlier.messages_by_process.keys()
        )
        return Reading(
            {
                name: self.messages_by_process[name]
                - earlier.messages_by_process[name]
                for name in both
            },
            {
                name: self.wasted_by_process[name]
                - earlier.wasted_by_process[name]
                for name in both
            },
            {
                name: self.processor_s_by_process[name]
                - earlier.processor_s_by_process[name]
                for name in both
            },
        )

    def processor_s(self, names: Iterable[str]) -> float:
        """Add up the processor time of these processes."""
        return sum(
            self.processor_s_by_process.get(name, 0.0) for name in names
        )

    def messages_by_kind(self) -> Counter[str]:
        """Add up the messages of all processes."""
        return sum(self.messages_by_process.values(), Counter[str]())

    def wasted_by_kind(self) -> Counter[str]:
        """Add up the wasted messages of all processes."""
        return sum(self.wasted_by_process.values(), Counter[str]())


class StandInCounts:
    """What the stand-ins counted; remembers those that are gone."""

    def __init__(self, launcher: Launcher) -> None:
        self._launcher = launcher
        # By name and process id, since a restarted one counts anew.
        self._counts_by_process: dict[tuple[str, int], dict[str, Any]] = {}

    def refresh(self) -> None:
        """Read all stand-ins that run."""
        for name in self._launcher.names_with_role('stand-in'):
            if self._launcher.is_running(name):
                self.refresh_one(name)

    def refresh_one(self, name: str) -> int:
        """Read one stand-in; return how many tasks it has started."""
        process = (name, self._launcher.pid(name))
        address = self._launcher.http_address(name)
        try:
            counts = read_json(address, '/stand-in/counts', _READ_LIMIT_S)
        except ConnectionLost:
            counts = self._counts_by_process.get(process, {'starts': 0})
        else:
            self._counts_by_process[process] = counts
        return int(counts['starts'])

    def starts_by_task(self, jobs: set[str]) -> Counter[tuple[str, str]]:
        """Return how often each task of these jobs was started."""
        starts: Counter[tuple[str, str]] = Counter()
        for counts in self._counts_by_process.values():
            for job, task in counts['started']:
                if job in jobs:
                    starts[job, task] += 1
        return starts

    def total(self, key: str) -> int:
        """Add up one of the stand-ins' own counts."""
        return sum(
            int(counts[key]) for counts in self._counts_by_process.values()
        )


def _read_metrics(launcher: Launcher, name: str) -> str | None:
    client = WebClient(launcher.http_address(name))
    try:
        response = client.request('GET', '/metrics', timeout_s=_READ_LIMIT_S)
    except ConnectionLost:
        return None
    finally:
        client.close()
    return response.body.decode()


def _counts(text: str, wanted: str) -> Counter[str]:
    counts: Counter[str] = Counter()
    for name, kind, value in _LINE.findall(text):
        if name == wanted:
            counts[kind] += int(float(value))
    return counts
