"""Reads the counters of the deployed processes and the stand-ins."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
import re
from typing import Any
from typing import Final
from typing import Self

from baobabgap import ConnectionLost
from baobabgap.webclient import WebClient
from tools.launcher import Launcher
from tools.launcher import read_json

_READ_LIMIT_S: Final = 10.0
_COUNTED_ROLES: Final = ('control', 'entry', 'agent')
_MESSAGES_METRIC: Final = 'baobabgap_messages_received_total'
_WASTED_METRIC: Final = 'baobabgap_wasted_messages_total'
_HEARTBEAT_KIND: Final = 'Heartbeat'
_METRIC_LINE: Final = re.compile(r'(\w+)\{kind="([^"]*)"\} ([0-9.e+]+)')


@dataclass(frozen=True, slots=True)
class CounterSnapshot:
    """Counters of each running process, from the start of the process."""

    # Messages received, by process and kind, without heartbeats.
    messages_by_process: dict[str, Counter[str]]
    # Wasted messages received, by process and kind.
    wasted_by_process: dict[str, Counter[str]]
    # Processor time by process, in seconds.
    processor_s_by_process: dict[str, float]

    @classmethod
    def take(cls, launcher: Launcher) -> Self:
        """Read all running processes except the stand-ins."""
        messages: dict[str, Counter[str]] = {}
        wasted: dict[str, Counter[str]] = {}
        processor_s: dict[str, float] = {}
        for role in _COUNTED_ROLES:
            for name in launcher.names_with_role(role):
                text = _read_metrics(launcher, name)
                if text is None:
                    continue
                messages[name] = _counts_by_kind(text, _MESSAGES_METRIC)
                del messages[name][_HEARTBEAT_KIND]
                wasted[name] = _counts_by_kind(text, _WASTED_METRIC)
                processor_s[name] = launcher.usage(name).processor_s
        return cls(messages, wasted, processor_s)

    def since(self, earlier: 'CounterSnapshot') -> 'CounterSnapshot':
        """Return the increments, for the processes in both snapshots."""
        common = self.messages_by_process.keys() & (
            earlier.messages_by_process.keys()
        )
        return CounterSnapshot(
            {
                name: self.messages_by_process[name]
                - earlier.messages_by_process[name]
                for name in common
            },
            {
                name: self.wasted_by_process[name]
                - earlier.wasted_by_process[name]
                for name in common
            },
            {
                name: self.processor_s_by_process[name]
                - earlier.processor_s_by_process[name]
                for name in common
            },
        )

    def processor_s(self, names: Iterable[str]) -> float:
        """Return the processor time of these processes, in seconds."""
        return sum(
            self.processor_s_by_process.get(name, 0.0) for name in names
        )

    def messages_by_kind(self) -> Counter[str]:
        """Return the messages of all processes by kind."""
        return sum(self.messages_by_process.values(), Counter[str]())

    def wasted_by_kind(self) -> Counter[str]:
        """Return the wasted messages of all processes by kind."""
        return sum(self.wasted_by_process.values(), Counter[str]())


class StandInCounts:
    """Counts of the stand-ins, with the last ones of ended processes."""

    def __init__(self, launcher: Launcher) -> None:
        self._launcher = launcher
        # By name and process id: a restarted stand-in counts from zero.
        self._counts_by_process: dict[tuple[str, int], dict[str, Any]] = {}

    def refresh(self) -> None:
        """Read all running stand-ins."""
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
        """Return the sum of one count over all stand-ins."""
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


def _counts_by_kind(text: str, metric: str) -> Counter[str]:
    counts: Counter[str] = Counter()
    for name, kind, value in _METRIC_LINE.findall(text):
        if name == metric:
            counts[kind] += int(float(value))
    return counts
