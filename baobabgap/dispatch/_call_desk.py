"""Calls of clients: submit, read, count, cancel."""

import math
import time
from typing import Final

from baobabgap.accepted import AcceptedJob
from baobabgap.accepted import AcceptedState
from baobabgap.accepted import AcceptJobs
from baobabgap.accepted import CancelAccepted
from baobabgap.accepted import JobEnd
from baobabgap.accepted import JobState
from baobabgap.dispatch._books import Books
from baobabgap.dispatch._closing import JobCloser
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import CancelStored
from baobabgap.dispatch._events import JobsStored
from baobabgap.dispatch._events import Tell
from baobabgap.dispatch._messages import CallOutcome
from baobabgap.dispatch._messages import CancelPath
from baobabgap.dispatch._messages import ReadPath
from baobabgap.dispatch._messages import SubmitJob
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._replies import answer_unavailable
from baobabgap.dispatch._run_book import RunBook
from baobabgap.queues import QueueMatch
from baobabgap.scheduling import AdmissionInput
from baobabgap.scheduling import admit
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import retry_after
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics


class CallDesk:
    """Answers calls, as the confirmed leader."""

    def __init__(
        self,
        books: Books,
        runs: RunBook,
        closer: JobCloser,
        state: AcceptedState,
        committer: Committer,
        tell: Tell,
        metrics: Metrics,
    ) -> None:
        self._books: Final = books
        self._runs: Final = runs
        self._closer: Final = closer
        # Read here by single look-ups only, which don't interleave.
        self._state: Final = state
        self._committer: Final = committer
        self._tell: Final = tell
        self._metrics: Final = metrics

    def take(self, arrived: CallArrived) -> None:
        """Answer a call, now or later."""
        table = self._books.table
        if table is None:
            answer_unavailable(arrived, 'no configuration yet')
            return
        call = arrived.call
        match = table.find(call.host, call.path)
        if match is None:
            answer(arrived, CallOutcome.NO_SUCH_QUEUE)
            return
        match call:
            case SubmitJob():
                self._submit(arrived, call, match)
            case ReadPath():
                self._read(arrived, match)
            case CancelPath():
                self._cancel(arrived, match.rest)

    def take_dropped(self, event: CallDropped) -> None:
        """Cancel a volatile job that nobody waits for any more."""
        for job_id, calls in self._books.callers_by_id.items():
            left = [
                call
                for call in calls
                if call.connection is not event.connection
                or call.call.call != event.call
            ]
            if len(left) == len(calls):
                continue
            self._books.callers_by_id[job_id] = left
            if not left:
                self._closer.close(JobEnd(job_id, JobState.CANCELLED))
            return

    def take_stored_jobs(self, event: JobsStored) -> None:
        """Jobs are durable, or their outcome is unknown."""
        if event.term != self._books.term:
            return
        for job_id in event.job_ids:
            plan, calls = self._books.storing_by_id.pop(job_id)
            if event.succeeded:
                self._begin(plan)
            for call in calls:
                if event.succeeded:
                    answer(call, CallOutcome.ACCEPTED)
                else:
                    answer(call, CallOutcome.UNKNOWN, detail='not stored')

    def take_stored_cancel(self, event: CancelStored) -> None:
        """A cancel is durable, or its outcome is unknown."""
        if event.term != self._books.term:
            return
        calls = self._books.cancelling_by_id.pop(event.job_id, [])
        state = self._state.state_of(event.job_id)
        is_cancelled = event.succeeded and state is JobState.CANCELLED
        for call in calls:
            if is_cancelled:
                answer(call, CallOutcome.CANCELLED)
            elif event.succeeded:
                answer(call, CallOutcome.NO_SUCH_JOB)
            else:
                answer(call, CallOutcome.UNKNOWN, detail='not stored')
        if is_cancelled:
            self._closer.close(JobEnd(event.job_id, JobState.CANCELLED))

    def give_up_worthless(self, now: float) -> None:
        """Refuse volatile jobs that wait and can't be served in time.

        None of their tasks has been started, so that is what they are told.
        """
        books = self._books
        for job_id, calls in list(books.callers_by_id.items()):
            plan = books.plan_by_id[job_id]
            if plan.has_started or plan.may_have_begun:
                continue
            if not books.takeover.may_start(plan.job):
                continue
            if now <= plan.latest_useful_start(0):
                continue
            backlog_core_s = books.backlog(plan.job.service, now).total_core_s
            retry_after_ms = retry_after(
                books.targets_of(plan.job.service),
                backlog_core_s,
                returning=books.returning_upstreams(plan.job.service, now),
            )
            del books.callers_by_id[job_id]
            del books.plan_by_id[job_id]
            log_event(
                'job_given_up',
                job=job_id,
                queue=plan.job.queue,
                waited_ms=round(1000 * (now - plan.arrived_at)),
                objective_ms=round(1000 * plan.objective_s),
                backlog_core_s=round(backlog_core_s, 2),
                retry_after_ms=retry_after_ms,
            )
            self._metrics.count('baobabgap_jobs_total{end="given_up"}')
            for call in calls:
                answer(
                    call,
                    CallOutcome.OVERLOADED,
                    retry_after_ms=retry_after_ms,
                    detail='waited in vain',
                )

    def _submit(
        self, arrived: CallArrived, call: SubmitJob, match: QueueMatch
    ) -> None:
        job_id = match.rest
        if self._join(arrived, call, job_id):
            return
        job = self._job_from(call, match)
        arrived_at = time.monotonic() - call.waited_ms / 1000
        plan = JobPlan(job, arrived_at, self._books.run_times)
        if job.is_volatile:
            plan.awaited_until = _awaited_until(call)
        # Then a refusal, which says that nothing has run, may be untrue.
        plan.may_have_begun = call.is_repeat or (
            self._books.takeover.may_have_begun(job_id)
        )
        if not plan.may_have_begun and not self._admit(arrived, plan):
            return
        if job.is_volatile:
            self._take_in(plan, arrived)
            return
        self._books.storing_by_id[job_id] = (plan, [arrived])
        term = self._books.term
        self._committer.propose(
            AcceptJobs((job,)),
            lambda result: self._tell(
                JobsStored(term, (job_id,), result is not None)
            ),
        )

    def _job_from(self, call: SubmitJob, match: QueueMatch) -> AcceptedJob:
        queue = match.queue
        return AcceptedJob(
            match.rest,
            queue.name,
            queue.service,
            queue.priority,
            queue.attempts,
            queue.stretch,
            queue.latency_allowance_ms,
            call.payload,
            call.steps,
            int(time.time() * 1000),
            self._books.term,
            call.is_volatile,
        )

    def _join(
        self, arrived: CallArrived, call: SubmitJob, job_id: str
    ) -> bool:
        """Answer for a job that is known already; tell whether it is."""
        books = self._books
        if job_id in books.callers_by_id:
            books.callers_by_id[job_id].append(arrived)
            plan = books.plan_by_id[job_id]
            plan.awaited_until = max(plan.awaited_until, _awaited_until(call))
        elif job_id in books.ended_by_id:
            state = books.ended_by_id[job_id].state
            answer(arrived, CallOutcome.FOUND, state=state)
        elif job_id in books.storing_by_id:
            books.storing_by_id[job_id][1].append(arrived)
        elif self._state.state_of(job_id) is not None:
            answer(arrived, CallOutcome.ACCEPTED)
        else:
            return False
        return True

    def _admit(self, arrived: CallArrived, plan: JobPlan) -> bool:
        """Refuse a job that would be worthless; tell whether it is taken."""
        job = plan.job
        now = time.monotonic()
        targets = self._books.targets_of(job.service)
        backlog = self._books.backlog(job.service, now)
        admission_input = AdmissionInput.from_backlog(backlog, plan, now)
        returning = self._books.returning_upstreams(job.service, now)
        refusal = admit(targets, job.steps, admission_input, returning)
        if refusal is None:
            backlog.add(plan)
            return True
        self._metrics.count('baobabgap_jobs_total{end="refused"}')
        log_event(
            'job_refused',
            job=job.job_id,
            queue=job.queue,
            reason=refusal.reason,
            ahead_core_s=round(admission_input.ahead_core_s, 2),
            backlog_core_s=round(admission_input.total_core_s, 2),
            backlog_age_ms=round(1000 * (now - backlog.observed_at)),
            on_time_patience_s=round(admission_input.on_time_patience_s, 3),
            patience_s=round(admission_input.late_patience_s, 3),
            upstreams=len(targets),
            returning_upstreams=returning,
            retry_after_ms=refusal.retry_after_ms,
        )
        answer(
            arrived,
            CallOutcome.OVERLOADED,
            retry_after_ms=refusal.retry_after_ms,
            detail=refusal.reason,
        )
        return False

    def _take_in(self, plan: JobPlan, arrived: CallArrived) -> None:
        """Begin with a volatile job, where an earlier leader left off."""
        job_id = plan.job.job_id
        self._books.callers_by_id[job_id] = [arrived]
        orphans = self._books.orphans.take(job_id)
        for task_id in orphans.done:
            plan.note_done(task_id)
        self._begin(plan)
        for agent, row in orphans.runs:
            view = self._books.view_by_name.get(agent)
            run = view.run_by_task.get(row.task) if view else None
            if view is None or run is None or run.number != row.run:
                continue
            found = self._books.find(row.task)
            if found is None or found[1].upstream:
                self._runs.stop(view, row.task)
            else:
                self._runs.remove(view, row.task)
                self._runs.add(view, *found, row.run, was_found=True)
        if plan.is_done:
            self._closer.close(JobEnd(job_id, JobState.COMPLETED))

    def _begin(self, plan: JobPlan) -> None:
        """Let a job's tasks wait for their starts."""
        job = plan.job
        is_open = job.is_volatile or (
            self._state.state_of(job.job_id) is JobState.QUEUED
        )
        if is_open:
            self._books.plan_by_id[job.job_id] = plan
        self._metrics.observe_seconds(
            'baobabgap_accept_seconds', time.monotonic() - plan.arrived_at
        )
        log_event(
            'job_accepted',
            job=job.job_id,
            queue=job.queue,
            volatile=job.is_volatile,
            tasks=len(plan.task_by_id),
            objective_ms=round(1000 * plan.objective_s),
            term=self._books.term,
        )

    def _read(self, arrived: CallArrived, match: QueueMatch) -> None:
        job_id = match.rest
        plan = self._books.plan_by_id.get(job_id)
        if not job_id:
            waiting = self._count_waiting(match.queue.name)
            answer(arrived, CallOutcome.COUNTED, waiting=waiting)
        elif plan is None:
            self._answer_ended(arrived, job_id)
        elif plan.is_done:
            self._books.readers_by_id[job_id].append(arrived)
        else:
            state = JobState.RUNNING if plan.has_started else JobState.QUEUED
            answer(arrived, CallOutcome.FOUND, state=state)

    def _answer_ended(self, arrived: CallArrived, job_id: str) -> None:
        if job_id in self._books.storing_by_id:
            answer_unavailable(arrived, 'the job is being stored')
            return
        state = self._state.state_of(job_id)
        if state is None:
            answer(arrived, CallOutcome.NO_SUCH_JOB)
        else:
            answer(arrived, CallOutcome.FOUND, state=state)

    def _count_waiting(self, queue: str) -> int:
        return sum(
            1
            for plan in self._books.plan_by_id.values()
            if plan.job.queue == queue and not plan.has_started
        )

    def _cancel(self, arrived: CallArrived, job_id: str) -> None:
        books = self._books
        if job_id not in books.plan_by_id and (
            job_id not in books.storing_by_id
        ):
            is_cancelled = self._state.state_of(job_id) is JobState.CANCELLED
            answer(
                arrived,
                CallOutcome.CANCELLED
                if is_cancelled
                else CallOutcome.NO_SUCH_JOB,
            )
            return
        if job_id in books.callers_by_id:
            self._closer.close(JobEnd(job_id, JobState.CANCELLED))
            answer(arrived, CallOutcome.CANCELLED)
            return
        waiting = books.cancelling_by_id.setdefault(job_id, [])
        waiting.append(arrived)
        if len(waiting) > 1:
            return
        term = books.term
        self._committer.propose(
            CancelAccepted((job_id,), int(time.time() * 1000)),
            lambda result: self._tell(
                CancelStored(term, job_id, result is not None)
            ),
        )


def _awaited_until(call: SubmitJob) -> float:
    """Return when the caller stops waiting, on the scheduler's clock."""
    if not call.patience_ms:
        return math.inf
    return time.monotonic() + (call.patience_ms - call.waited_ms) / 1000
