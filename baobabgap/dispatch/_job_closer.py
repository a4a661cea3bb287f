"""Storage of run ends and closing of ended jobs."""

import time
from typing import Final

from baobabgap.accepted import JobEnd
from baobabgap.accepted import NoteEnds
from baobabgap.accepted import TaskEnd
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._events import PostEvent
from baobabgap.dispatch._messages import CallOutcome
from baobabgap.dispatch._messages import EndsNoted
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._term_state import EndedJob
from baobabgap.dispatch._term_state import TermState
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class JobCloser:
    """Stores run ends in batches and closes jobs that have ended.

    An upstream may discard an end only after that end and all earlier ones
    that belong to stored jobs are durable.
    """

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        committer: Committer,
        post_event: PostEvent,
        metrics: Metrics,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        self._committer: Final = committer
        self._post_event: Final = post_event
        self._metrics: Final = metrics
        self._last_batch = 0
        self.reset()

    def reset(self) -> None:
        """Discard pending ends for a new term."""
        self._unstored: list[TaskEnd] = []
        # The highest end number of each agent in the next batch.
        self._noted_by_agent: dict[str, EndsNoted] = {}
        self._noted_by_batch: dict[int, dict[str, EndsNoted]] = {}

    def add_end(self, end: TaskEnd) -> None:
        """Add an end to the next batch."""
        self._unstored.append(end)

    def add_noted(self, agent: str, noted: EndsNoted) -> None:
        """Notify an agent once all ends added so far are durable."""
        self._noted_by_agent[agent] = noted

    def store(self) -> None:
        """Store the next batch; notify at once if nothing is to be stored."""
        if not self._noted_by_agent:
            return
        noted = self._noted_by_agent
        self._noted_by_agent = {}
        if not self._unstored and not self._noted_by_batch:
            self._send(noted)
            return
        self._last_batch += 1
        batch, term = self._last_batch, self._term_state.term
        self._noted_by_batch[batch] = noted
        ends = tuple(self._unstored)
        self._unstored = []

        def stored(result: list[JobEnd] | None) -> None:
            if result is not None:
                self._post_event(EndsStored(term, batch, tuple(result)))

        self._committer.propose(
            NoteEnds(ends, int(time.time() * 1000)), stored
        )

    def handle_stored(self, event: EndsStored) -> None:
        """Notify agents of a durable batch and close the jobs it ended."""
        if event.term != self._term_state.term:
            return
        self._send(self._noted_by_batch.pop(event.batch))
        for job_end in event.job_ends:
            self.close(job_end)

    def close(self, job_end: JobEnd) -> None:
        """Answer calls that wait for a job's end; stop its remaining runs."""
        term_state = self._term_state
        job_id, state = job_end.job_id, job_end.state
        now = time.monotonic()
        callers = term_state.callers_by_id.pop(job_id, [])
        if callers:
            term_state.ended_by_id[job_id] = EndedJob(state, now)
        for call in (*callers, *term_state.readers_by_id.pop(job_id, [])):
            answer(call, CallOutcome.FOUND, state=state)
        plan = term_state.pop_plan(job_id)
        if plan is None:
            return
        for task in plan.task_by_id.values():
            if task.upstream:
                self._runs.stop(
                    term_state.view_by_name[task.upstream], task.task
                )
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
            view = self._term_state.view_by_name.get(name)
            if view is not None and view.connection is not None:
                view.connection.send(noted)
