"""Storage of run ends and closing of ended jobs."""

from dataclasses import dataclass
import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import JobEnd
from baobabgap.accepted import NoteEnds
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import EndsStored
from baobabgap.dispatch._events import PostEvent
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._replies import call_fields
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._term_state import EndedJob
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import JobState
from baobabgap.jobmodel import TaskEnd
from baobabgap.jobmodel import UPSTREAM_CRASHES
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import EndsNoted
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds until a batch of unknown outcome is proposed again.
_REPEAT_PAUSE_S: Final = 0.05


_ENDED_STATES: Final = (JobState.COMPLETED, JobState.FAILED)


@dataclass(slots=True)
class _Batch:
    """Ends that are stored together."""

    ends: tuple[TaskEnd, ...]
    # What to tell each agent once the ends are durable.
    noted_by_agent: dict[str, EndsNoted]
    # Whether the outcome of a proposal is awaited.
    is_proposed: bool = False
    is_durable: bool = False
    was_repeated: bool = False


class JobCloser:
    """Stores run ends in batches and closes jobs that have ended.

    An upstream may discard an end only after that end and all earlier ones
    that belong to stored jobs are durable.
    """

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        state: AcceptedState,
        committer: Committer,
        post_event: PostEvent,
        metrics: Metrics,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        # Only read by single look-ups, which are safe against concurrent
        # updates.
        self._state: Final = state
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
        # Proposed batches whose ends aren't known to be durable, or that
        # follow such a batch, by number and so in order.
        self._batches: dict[int, _Batch] = {}
        self._repeat_at = 0.0

    def add_end(self, end: TaskEnd) -> None:
        """Add an end to the next batch."""
        self._unstored.append(end)

    def add_noted(self, agent: str, noted: EndsNoted) -> None:
        """Notify an agent once all ends added so far are durable."""
        self._noted_by_agent[agent] = noted

    def store(self) -> None:
        """Store the next batch; notify at once if nothing is to be stored."""
        self._repeat_batches(time.monotonic())
        if not self._noted_by_agent and not self._unstored:
            return
        noted = self._noted_by_agent
        self._noted_by_agent = {}
        if not self._unstored and not self._batches:
            self._send(noted)
            return
        self._last_batch += 1
        self._batches[self._last_batch] = _Batch(tuple(self._unstored), noted)
        self._unstored = []
        self._propose(self._last_batch)

    def handle_stored(self, event: EndsStored) -> None:
        """Notify agents of durable batches and close the jobs that ended.

        A batch of unknown outcome is proposed again. Until it is durable, no
        later batch is confirmed, as that would confirm its ends, too.
        """
        if event.term != self._term_state.term:
            return
        batch = self._batches[event.batch]
        batch.is_proposed = False
        batch.is_durable = event.succeeded
        if not event.succeeded:
            self._repeat_at = time.monotonic() + _REPEAT_PAUSE_S
        while self._batches:
            number, oldest = next(iter(self._batches.items()))
            if not oldest.is_durable:
                break
            del self._batches[number]
            self._send(oldest.noted_by_agent)
        for job_end in event.job_ends:
            self.close(job_end)
        if event.succeeded and batch.was_repeated:
            self._close_ended_before(batch)

    def _close_ended_before(self, batch: _Batch) -> None:
        """Close the jobs that an earlier proposal of a batch has ended."""
        for job_id in {end.task.job_id for end in batch.ends}:
            state = self._state.state_of(job_id)
            if (
                state in _ENDED_STATES
                and job_id in self._term_state.plan_by_id
            ):
                reason = self._state.failure_reason(job_id)
                self.close(JobEnd(job_id, state, reason))

    def _repeat_batches(self, now: float) -> None:
        if now < self._repeat_at:
            return
        for number, batch in self._batches.items():
            if not batch.is_proposed and not batch.is_durable:
                batch.was_repeated = True
                self._propose(number)

    def _propose(self, number: int) -> None:
        batch, term = self._batches[number], self._term_state.term
        batch.is_proposed = True

        def stored(result: list[JobEnd] | None) -> None:
            self._post_event(
                EndsStored(
                    term, number, tuple(result or ()), result is not None
                )
            )

        self._committer.propose(
            NoteEnds(batch.ends, int(time.time() * 1000)), stored
        )

    def close(
        self, job_end: JobEnd, *, dropped: CallArrived | None = None
    ) -> None:
        """Answer calls that wait for a job's end; stop its remaining runs.

        `dropped` is the call that nobody waits for any longer, if that ends
        the job.
        """
        term_state = self._term_state
        job_id, state = job_end.job_id, job_end.state
        now = time.monotonic()
        callers = term_state.callers_by_id.pop(job_id, [])
        if callers:
            term_state.ended_by_id[job_id] = EndedJob(
                state, now, job_end.reason
            )
        for call in (*callers, *term_state.readers_by_id.pop(job_id, [])):
            answer(call, CallOutcome.FOUND, state=state, detail=job_end.reason)
        plan = term_state.pop_plan(job_id)
        if plan is None:
            return
        for task_id in plan.task_by_id:
            self._runs.stop_all(task_id)
        taken_s = now - plan.arrived_at
        self._metrics.count(f'baobabgap_jobs_total{{end="{state}"}}')
        if job_end.reason == UPSTREAM_CRASHES:
            self._metrics.count('baobabgap_jobs_failed_by_crashes_total')
        self._metrics.observe_seconds('baobabgap_job_seconds', taken_s)
        log_event(
            'job_ended',
            job=job_id,
            state=state,
            reason=job_end.reason,
            taken_ms=round(1000 * taken_s),
            objective_ms=round(1000 * plan.objective_s),
            **({} if dropped is None else call_fields(dropped)),
        )

    def _send(self, noted_by_agent: dict[str, EndsNoted]) -> None:
        for name, noted in noted_by_agent.items():
            view = self._term_state.view_by_name.get(name)
            if view is not None and view.connection is not None:
                view.connection.send(noted)
