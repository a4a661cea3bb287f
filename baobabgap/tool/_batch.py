"""Submitting many jobs at once, with progress for people."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
import itertools
import sys
import threading
from typing import Any
from typing import Final

from baobabgap.tool._client import EntryClient
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._submitting import JobReport
from baobabgap.tool._submitting import JobState
from baobabgap.tool._submitting import Submitting

_PROGRESS_PAUSE_S: Final = 1.0
# What a script most needs to hear of comes first.
_GRAVEST_FIRST: Final = (
    ExitCode.FAILED,
    ExitCode.UNREACHABLE,
    ExitCode.PENDING,
    ExitCode.REFUSED,
)


class Batch:
    """Jobs that are submitted together by a few tasks."""

    def __init__(
        self,
        jobs: Sequence[dict[str, Any]],
        entries: str,
        on_report: Callable[[JobReport], None],
    ) -> None:
        self._entries = entries
        self._on_report = on_report
        self._waiting = iter(jobs)
        self._total = len(jobs)
        self._lock = threading.Lock()
        self._count_by_state: Counter[JobState] = Counter()
        self._exit_codes: set[ExitCode] = set()

    def run(self, concurrency: int) -> ExitCode:
        """Submit all jobs; return the gravest exit code among them."""
        tasks = min(concurrency, self._total)
        ended = threading.Event()
        with ThreadPoolExecutor(tasks + 1) as pool:
            progress = pool.submit(self._show_progress, ended)
            numbers = itertools.islice(itertools.count(), tasks)
            futures = [pool.submit(self._work, n) for n in numbers]
            try:
                for future in futures:
                    future.result()
            finally:
                ended.set()
            progress.result()
        for code in _GRAVEST_FIRST:
            if code in self._exit_codes:
                return code
        return ExitCode.DONE

    def _work(self, number: int) -> None:
        """Submit jobs, one after the other, until none is left."""
        client = EntryClient.from_text(self._entries, first=number)
        try:
            while (job := self._take()) is not None:
                report = Submitting(client, job).run()
                with self._lock:
                    self._count_by_state[report.state] += 1
                    self._exit_codes.add(report.exit_code)
                    self._on_report(report)
        finally:
            client.close()

    def _take(self) -> dict[str, Any] | None:
        with self._lock:
            return next(self._waiting, None)

    def _show_progress(self, ended: threading.Event) -> None:
        if self._total == 1:
            return
        while not ended.wait(_PROGRESS_PAUSE_S):
            self._print_progress()
        self._print_progress()

    def _print_progress(self) -> None:
        with self._lock:
            counts = dict(self._count_by_state)
        done = sum(counts.values())
        parts = [f'{count} {state}' for state, count in sorted(counts.items())]
        text = ', '.join([f'{done} of {self._total} jobs ended', *parts])
        print(text, file=sys.stderr, flush=True)
