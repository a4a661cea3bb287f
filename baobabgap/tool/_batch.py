"""Submits many jobs concurrently and shows progress."""

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
from baobabgap.tool._submitter import JobReport
from baobabgap.tool._submitter import JobState
from baobabgap.tool._submitter import JobSubmitter

_PROGRESS_INTERVAL_S: Final = 1.0
# Most important for scripts first: the first that occurred is returned.
_EXIT_CODES_BY_SEVERITY: Final = (
    ExitCode.FAILED,
    ExitCode.UNREACHABLE,
    ExitCode.PENDING,
    ExitCode.REFUSED,
)


class Batch:
    """Jobs that a pool of worker threads submits."""

    def __init__(
        self,
        jobs: Sequence[dict[str, Any]],
        entries: str,
        on_report: Callable[[JobReport], None],
    ) -> None:
        self._entries = entries
        self._on_report = on_report
        self._remaining_jobs = iter(jobs)
        self._job_count = len(jobs)
        self._lock = threading.Lock()
        self._count_by_state: Counter[JobState] = Counter()
        self._exit_codes: set[ExitCode] = set()

    def run(self, concurrency: int) -> ExitCode:
        """Submit all jobs; return the most severe exit code of any."""
        worker_count = min(concurrency, self._job_count)
        ended = threading.Event()
        with ThreadPoolExecutor(worker_count + 1) as pool:
            progress = pool.submit(self._show_progress, ended)
            worker_numbers = itertools.islice(itertools.count(), worker_count)
            futures = [
                pool.submit(self._run_worker, n) for n in worker_numbers
            ]
            try:
                for future in futures:
                    future.result()
            finally:
                ended.set()
            progress.result()
        for code in _EXIT_CODES_BY_SEVERITY:
            if code in self._exit_codes:
                return code
        return ExitCode.DONE

    def _run_worker(self, number: int) -> None:
        """Submit jobs one after the other until none remain."""
        client = EntryClient.from_text(self._entries, first_entry=number)
        try:
            while (job := self._next_job()) is not None:
                report = JobSubmitter(client, job).run()
                with self._lock:
                    self._count_by_state[report.state] += 1
                    self._exit_codes.add(report.exit_code)
                    self._on_report(report)
        finally:
            client.close()

    def _next_job(self) -> dict[str, Any] | None:
        with self._lock:
            return next(self._remaining_jobs, None)

    def _show_progress(self, ended: threading.Event) -> None:
        if self._job_count == 1:
            return
        while not ended.wait(_PROGRESS_INTERVAL_S):
            self._print_progress()
        self._print_progress()

    def _print_progress(self) -> None:
        with self._lock:
            counts = dict(self._count_by_state)
        done = sum(counts.values())
        state_counts = [
            f'{count} {state}' for state, count in sorted(counts.items())
        ]
        text = ', '.join(
            [f'{done} of {self._job_count} jobs ended', *state_counts]
        )
        print(text, file=sys.stderr, flush=True)
