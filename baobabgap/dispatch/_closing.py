"""Ends of runs made durable, and jobs closed."""

import time
from typing import Final

from baobabgap.accepted import JobEnd
from baobabgap.accepted import NoteEnds
from baobabgap.accepted import TaskEnd
from baobabgap.dispatch._books import Books
from baobabgap.dispatch._books import EndedJob
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._events import Tell
from baobabgap.dispatch._messages import CallOutcome
from baobabgap.dispatch._messages import EndsNoted
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._run_book import RunBook
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class JobCloser:
    """Stores ends in batches, and lets go of jobs that have ended.

    An upstream may forget an end only after all ends up to it that belong
    to stored jobs are durable.
    """

    def __init__(
        self,
        books: Books,
        runs: RunBook,
        committer: Committer,
        tell: Tell,
        metrics: Metrics,
    ) -> None:
        self._books: Final = books
        self._runs: Final = runs
        self._committer: Final = committer
        self._tell: Final = tell
        self._metrics: Final = metrics
        self._last_batch = 0
        self.reset()

    def reset(self) -> None:
        """Forget what waits: a new term begins."""
        self._unstored: list[TaskEnd] = []
        # The highest end numbers that the next batch makes durable.
        self._noted_by_agent: dict[str, EndsNoted] = {}
        self._noted_by_batch: dict[int, dict[str, EndsNoted]] = {}

    def add_end(self, end: TaskEnd) -> None:
        """Have an end stored with the next batch."""
        self._unstored.append(end)

    def add_noted(self, agent: str, noted: EndsNoted) -> None:
        """Tell an agent once all ends added so far are durable."""
        self._noted_by_agent[agent] = noted

    def store(self) -> None:
        """Store what has been added; tell at once if nothing need be."""
        if not self._noted_by_agent:
            return
        noted = self._noted_by_agent
        self._noted_by_agent = {}
        if not self._unstored and not self._noted_by_batch:
            self._send(noted)
            return
        self._last_batch += 1
        batch, term = self._last_batch, self._books.term
        self._noted_by_batch[batch] = noted
        ends = tuple(self._unstored)
        self._unstored = []

        def stored(result: list[JobEnd] | None) -> None:
            if result is not None:
                self._tell(EndsStored(term, batch, tuple(result)))

        self._committer.propose(
            NoteEnds(ends, int(time.time() * 1000)), stored
        )

    def take_stored(self, event: EndsStored) -> None:
        """A batch is durable: tell the agents, and close jobs."""
        if event.term != self._books.term:
            return
        self._send(self._noted_by_batch.pop(event.batch))
        for job_end in event.job_ends:
            self.close(job_end)

    def close(self, job_end: JobEnd) -> None:
        """Answer who waits for a job's end, and stop what still runs."""
        books = self._books
        job_id, state = job_end.job_id, job_end.state
        now = time.monotonic()
        callers = books.callers_by_id.pop(job_id, [])
        if callers:
            books.ended_by_id[job_id] = EndedJob(state, now)
        for call in (*callers, *books.readers_by_id.pop(job_id, [])):
            answer(call, CallOutcome.FOUND, state=state)
        plan = books.plan_by_id.pop(job_id, None)
        if plan is None:
            return
        for task in plan.task_by_id.values():
            if task.upstream:
                self._runs.stop(books.view_by_name[task.upstream], task.task)
        taken_s = now - plan.arrived_at
        self._metrics.count(f'baobabgap_jobs_total{{end="{state}"}}')
        self._metrics.observe_seconds('baobabgap_job_seconds', taken_s)
        log_event(
            'job_ended',
            job=job_id,
            state=state,
            taken_ms=round(1000 * taken_s),
            objective_ms=round(1000 * plan.objective_s),
        )

    def _send(self, noted_by_agent: dict[str, EndsNoted]) -> None:
        for name, noted in noted_by_agent.items():
            view = self._books.view_by_name.get(name)
            if view is not None and view.connection is not None:
                view.connection.send(noted)
