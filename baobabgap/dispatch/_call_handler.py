"""Handling of client calls: submit, read, count, cancel."""

from collections import defaultdict
import math
import time
from typing import Final

from baobabgap.accepted import AcceptedState
from baobabgap.accepted import AcceptJobs
from baobabgap.accepted import JobEnd
from baobabgap.dispatch._committer import Committer
from baobabgap.dispatch._evacuations import refuse_evacuated
from baobabgap.dispatch._events import CallArrived
from baobabgap.dispatch._events import CallDropped
from baobabgap.dispatch._events import JobsStored
from baobabgap.dispatch._events import PostEvent
from baobabgap.dispatch._job_canceller import JobCanceller
from baobabgap.dispatch._job_closer import JobCloser
from baobabgap.dispatch._replies import answer
from baobabgap.dispatch._replies import answer_unavailable
from baobabgap.dispatch._replies import call_fields
from baobabgap.dispatch._replies import reject
from baobabgap.dispatch._run_tracker import RunTracker
from baobabgap.dispatch._start_deferral import StartDeferral
from baobabgap.dispatch._term_state import TermState
from baobabgap.jobmodel import AcceptedJob
from baobabgap.jobmodel import JobState
from baobabgap.jobmodel import UPSTREAM_CRASHES
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import ReadPath
from baobabgap.protocol import SubmitJob
from baobabgap.queues import QueueMatch
from baobabgap.scheduling import AdmissionInput
from baobabgap.scheduling import admit
from baobabgap.scheduling import JobPlan
from baobabgap.scheduling import QueueShare
from baobabgap.scheduling import Refusal
from baobabgap.scheduling import retry_after
from baobabgap.scheduling import without_prospect
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Seconds of a term after which an agent without a link counts as cut off, and
# within which the others report: that an upstream has ended is known once its
# lease has lapsed.
_USUAL_RETURN_S: Final = 0.5
_USUAL_TAKEOVER_S: Final = 1.8
_NO_SUCH_QUEUE: Final = 'no such queue'


class CallHandler:
    """Answers client calls; used by the confirmed leader."""

    def __init__(
        self,
        term_state: TermState,
        runs: RunTracker,
        closer: JobCloser,
        canceller: JobCanceller,
        deferral: StartDeferral,
        state: AcceptedState,
        committer: Committer,
        post_event: PostEvent,
        metrics: Metrics,
    ) -> None:
        self._term_state: Final = term_state
        self._runs: Final = runs
        self._closer: Final = closer
        self._canceller: Final = canceller
        self._deferral: Final = deferral
        # Only read by single look-ups, which are safe against concurrent
        # updates.
        self._state: Final = state
        self._committer: Final = committer
        self._post_event: Final = post_event
        self._metrics: Final = metrics

    def handle(self, arrived: CallArrived) -> None:
        """Answer a call, at once or when its result is known."""
        table = self._term_state.queue_table
        if table is None:
            answer_unavailable(arrived, 'no configuration yet')
            return
        call = arrived.call
        match = table.find(call.host, call.path)
        if match is None:
            removed = table.find_removed(call.host, call.path)
            self._handle_without_queue(arrived, removed)
            return
        match call:
            case SubmitJob():
                self._submit(arrived, call, match)
            case ReadPath():
                self._read(arrived, match)
            case CancelPath():
                self._canceller.cancel(arrived, match.rest)

    def _handle_without_queue(
        self, arrived: CallArrived, removed: QueueMatch | None
    ) -> None:
        """Answer a call for a path that has no queue, or has none any more.

        A job that was accepted under an earlier configuration is still that
        job. `removed` is the queue that the path had, if it is remembered.
        """
        call = arrived.call
        job_id = removed.rest if removed else call.path.rpartition('/')[2]
        match call:
            case SubmitJob():
                self._submit_without_queue(arrived, call, job_id, removed)
            case ReadPath() if self._is_known(job_id):
                self._read_job(arrived, job_id)
            case CancelPath() if self._is_known(job_id) or (
                removed is not None
                and self._canceller.may_be_handed_over(job_id)
            ):
                self._canceller.cancel(arrived, job_id)
            case _:
                answer(arrived, CallOutcome.NO_SUCH_QUEUE)

    def _submit_without_queue(
        self,
        arrived: CallArrived,
        call: SubmitJob,
        job_id: str,
        removed: QueueMatch | None,
    ) -> None:
        """Continue a job of a removed queue, or reject it."""
        if self._answer_known_job(arrived, call, job_id):
            return
        may_have_begun = self._may_have_begun(call, job_id)
        if may_have_begun and removed is not None and call.is_volatile:
            self._submit_new(arrived, call, removed, is_queue_removed=True)
            return
        self._runs.stop_orphans(job_id)
        reject(
            arrived,
            CallOutcome.NO_SUCH_QUEUE,
            may_have_begun=may_have_begun,
            detail=_NO_SUCH_QUEUE,
        )

    def _is_known(self, job_id: str) -> bool:
        """Return whether a job is accepted, or is being stored."""
        return (
            job_id in self._term_state.plan_by_id
            or job_id in self._term_state.storing_by_id
            or self._state.state_of(job_id) is not None
        )

    def _may_have_begun(self, call: SubmitJob, job_id: str) -> bool:
        """Return whether a leader may have begun tasks of a new submission.

        All rejections depend on it: they state that nothing has run.
        """
        term_state = self._term_state
        if not call.is_volatile:
            # All that earlier leaders accepted is known by now.
            return call.is_repeat
        return (
            call.is_repeat
            or term_state.takeover.may_have_begun(job_id)
            or term_state.orphans.has_job(job_id)
            or bool(term_state.crash_history.of_job(job_id))
        )

    def handle_dropped_call(self, event: CallDropped) -> None:
        """Remove a dropped call; cancel its job if no call is left."""
        for job_id, calls in self._term_state.callers_by_id.items():
            remaining = [
                call
                for call in calls
                if call.connection is not event.connection
                or call.call.call != event.call
            ]
            if len(remaining) == len(calls):
                continue
            self._term_state.callers_by_id[job_id] = remaining
            if not remaining:
                self._closer.close(
                    JobEnd(job_id, JobState.CANCELLED), dropped=calls[-1]
                )
            return

    def drop_unawaited_jobs(self, now: float) -> None:
        """Cancel volatile jobs for which no caller waits any longer.

        The notice that a caller has left may have been lost with the link
        of its entry. No answer could reach a caller after its time.
        """
        for job_id, calls in list(self._term_state.callers_by_id.items()):
            plan = self._term_state.plan_by_id[job_id]
            if now <= plan.awaited_until:
                continue
            self._term_state.callers_by_id[job_id] = []
            for call in calls:
                answer(call, CallOutcome.UNKNOWN, detail='no answer in time')
            log_event(
                'job_unawaited',
                job=job_id,
                calls=len(calls),
                overdue_ms=round(1000 * (now - plan.awaited_until)),
                begun=plan.has_started,
            )
            self._closer.close(
                JobEnd(job_id, JobState.CANCELLED), dropped=calls[-1]
            )

    def handle_stored_jobs(self, event: JobsStored) -> None:
        """Activate jobs that became durable and answer their callers."""
        if event.term != self._term_state.term:
            return
        for job_id in event.job_ids:
            plan, calls = self._term_state.pop_storing(job_id)
            if event.succeeded:
                self._activate(plan, calls[0])
                self._await_earlier_runs(plan)
            for call in calls:
                if event.succeeded:
                    answer(call, CallOutcome.ACCEPTED)
                else:
                    answer(call, CallOutcome.UNKNOWN, detail='not stored')

    def calls_not_begun(self) -> list[CallArrived]:
        """Return the calls for volatile jobs that certainly have not begun.

        They don't begin either once the term has ended.
        """
        term_state = self._term_state
        return [
            call
            for job_id, calls in term_state.callers_by_id.items()
            if self._has_not_begun(term_state.plan_by_id[job_id])
            for call in calls
        ]

    def _has_not_begun(self, plan: JobPlan) -> bool:
        return (
            not plan.has_started
            and not plan.may_have_begun
            and self._term_state.takeover.may_start(plan.job)
        )

    def give_up_late_jobs(self, now: float) -> None:
        """Answer waiting volatile jobs that can't be served in time.

        A job of which certainly no task has started is refused, as a refusal
        states that. The outcome of any other one is unknown.
        """
        term_state = self._term_state
        usual_takeover_s = (
            _USUAL_RETURN_S
            if term_state.has_cut_off_agents
            else _USUAL_TAKEOVER_S
        )
        hopeless_ids = self._hopeless_ids(now)
        for job_id, calls in list(term_state.callers_by_id.items()):
            plan = term_state.plan_by_id[job_id]
            if plan.has_started:
                continue
            if job_id in hopeless_ids:
                self._give_up(plan, calls, now, plan.may_have_begun)
            elif (
                not term_state.takeover.may_start(plan.job)
                and now > plan.latest_useful_end
                and term_state.age_s(now) > usual_takeover_s
            ):
                # A run that an agent has yet to report would end too late,
                # and some agent may not report for long.
                self._give_up(plan, calls, now, may_have_begun=True)

    def _give_up(
        self,
        plan: JobPlan,
        calls: list[CallArrived],
        now: float,
        may_have_begun: bool,
    ) -> None:
        """Remove a waiting volatile job and answer its callers."""
        term_state, job = self._term_state, plan.job
        backlog_core_s = term_state.queue_by_service[job.service].total_core_s
        retry_after_ms = retry_after(
            term_state.pool_by_service[job.service],
            backlog_core_s,
            returning=term_state.returning_upstreams(job.service, now),
        )
        term_state.shares_by_service[job.service].note_withdrawn(
            plan, term_state.usable_cores(job.service, now)
        )
        del term_state.callers_by_id[job.job_id]
        term_state.pop_plan(job.job_id)
        log_event(
            'job_given_up',
            job=job.job_id,
            queue=job.queue,
            waited_ms=round(1000 * (now - plan.arrived_at)),
            objective_ms=round(1000 * plan.objective_s),
            backlog_core_s=round(backlog_core_s, 2),
            retry_after_ms=retry_after_ms,
            may_have_begun=may_have_begun,
            takeover=not term_state.takeover.is_over,
        )
        self._metrics.count('baobabgap_jobs_total{end="given_up"}')
        self._count_refusal(job.queue, 'waited')
        for call in calls:
            reject(
                call,
                CallOutcome.OVERLOADED,
                may_have_begun=may_have_begun,
                detail='waited in vain',
                retry_after_ms=retry_after_ms,
            )

    def _hopeless_ids(self, now: float) -> set[str]:
        """Return the volatile jobs that can't be served usefully any more.

        None of them has a known start.
        """
        term_state = self._term_state
        plans_by_service: dict[str, list[JobPlan]] = defaultdict(list)
        for job_id in term_state.callers_by_id:
            plan = term_state.plan_by_id[job_id]
            if plan.has_started:
                continue
            if term_state.takeover.may_start(plan.job):
                plans_by_service[plan.job.service].append(plan)
        return {
            plan.job.job_id
            for service, plans in plans_by_service.items()
            for plan in without_prospect(
                plans,
                term_state.queue_by_service[service],
                term_state.shares_by_service[service],
                term_state.usable_cores(service, now),
                now,
            )
        }

    def _count_refusal(self, queue: str, reason: str) -> None:
        self._metrics.count(
            'baobabgap_queue_refused_total'
            f'{{queue="{queue}",reason="{reason}"}}'
        )

    def _submit(
        self, arrived: CallArrived, call: SubmitJob, match: QueueMatch
    ) -> None:
        if not self._answer_known_job(arrived, call, match.rest):
            self._submit_new(arrived, call, match)

    def _submit_new(
        self,
        arrived: CallArrived,
        call: SubmitJob,
        match: QueueMatch,
        *,
        is_queue_removed: bool = False,
    ) -> None:
        """Accept or reject a job that this leader doesn't know."""
        job_id = match.rest
        may_have_begun = self._may_have_begun(call, job_id)
        job = self._job_from(call, match)
        try:
            arrived_at = time.monotonic() - call.waited_ms / 1000
            plan = JobPlan(job, arrived_at, self._term_state.run_times)
        except ArithmeticError as error:
            # A sender must not be able to end the term with its numbers.
            log_event('job_not_plannable', job=job_id, error=repr(error))
            reject(
                arrived,
                CallOutcome.INVALID,
                may_have_begun=may_have_begun,
                detail='numbers too large',
            )
            return
        if job.is_volatile:
            plan.awaited_until = _awaited_until(call)
        plan.is_queue_removed = is_queue_removed
        plan.may_have_begun = may_have_begun
        self._note_earlier_crashes(plan)
        if any(task.is_given_up for task in plan.task_by_id.values()):
            answer(
                arrived,
                CallOutcome.FOUND,
                state=JobState.FAILED,
                detail=UPSTREAM_CRASHES,
            )
            return
        if self._is_admissible(plan):
            if is_queue_removed:
                self._reject_without_queue(plan, arrived)
                return
            refusal = self._find_refusal(plan)
            if refusal is not None:
                self._answer_refused(plan, refusal, arrived)
                return
        if job.is_volatile:
            self._accept_volatile(plan, arrived)
            return
        self._term_state.add_storing(plan, arrived)
        term = self._term_state.term
        self._committer.propose(
            AcceptJobs((job,)),
            lambda result: self._post_event(
                JobsStored(term, (job_id,), result is not None)
            ),
        )

    def _note_earlier_crashes(self, plan: JobPlan) -> None:
        """Apply the crashes under an earlier submission."""
        if not plan.job.is_volatile:
            return
        history = self._term_state.crash_history.of_job(plan.job.job_id)
        for (task_id, run), evidence in history.items():
            task = plan.task_by_id.get(task_id)
            if task is not None:
                plan.note_crash(task, run, evidence)

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
            self._term_state.term,
            call.is_volatile,
        )

    def _answer_known_job(
        self, arrived: CallArrived, call: SubmitJob, job_id: str
    ) -> bool:
        """Answer or queue a call if its job is known; return whether it is."""
        term_state = self._term_state
        if job_id in term_state.callers_by_id:
            term_state.callers_by_id[job_id].append(arrived)
            self._deferral.release(job_id)
            plan = term_state.plan_by_id[job_id]
            plan.await_until(_awaited_until(call))
        elif job_id in term_state.ended_by_id:
            ended = term_state.ended_by_id[job_id]
            answer(
                arrived,
                CallOutcome.FOUND,
                state=ended.state,
                detail=ended.reason,
            )
        elif job_id in term_state.storing_by_id:
            term_state.storing_by_id[job_id][1].append(arrived)
        else:
            return self._answer_stored_job(arrived, call, job_id)
        return True

    def _answer_stored_job(
        self, arrived: CallArrived, call: SubmitJob, job_id: str
    ) -> bool:
        """Answer a submission of a job in the log; return whether it is."""
        state = self._state.state_of(job_id)
        if state is None:
            return False
        if call.is_volatile and state is JobState.CANCELLED:
            answer(arrived, CallOutcome.FOUND, state=state)
        else:
            answer(arrived, CallOutcome.ACCEPTED)
        return True

    def admit_released(self, plan: JobPlan) -> bool:
        """Admit a job that a takeover no longer holds, or give it up.

        What waits was not known when it was submitted. Returns whether it
        is admitted.
        """
        job_id = plan.job.job_id
        calls = self._term_state.callers_by_id.get(job_id)
        if not calls or plan.has_started:
            return True
        if plan.is_queue_removed:
            # No run of it was found.
            self._reject_without_queue(plan, *calls)
            del self._term_state.callers_by_id[job_id]
            self._term_state.pop_plan(job_id)
            return False
        # A job that may have begun was not judged when it was submitted.
        refusal = self._find_refusal(plan, is_new=plan.may_have_begun)
        if refusal is None:
            return True
        del self._term_state.callers_by_id[job_id]
        self._term_state.pop_plan(job_id)
        self._answer_refused(plan, refusal, *calls)
        return False

    def _is_admissible(self, plan: JobPlan) -> bool:
        """Return whether a new submission may be refused at once.

        Not if runs of it may be found, or it is decided at its release.
        """
        if not plan.may_have_begun:
            return True
        return (
            plan.job.is_volatile
            and not plan.has_started
            and not self._term_state.orphans.has_job(plan.job.job_id)
            and self._term_state.takeover.may_start(plan.job)
        )

    def _find_refusal(
        self, plan: JobPlan, *, is_new: bool = True
    ) -> Refusal | None:
        """Return why a job can't be served, or None if it is admitted.

        A job that is judged again doesn't count twice in its queue's share.
        """
        job = plan.job
        now = time.monotonic()
        pool = self._term_state.pool_by_service[job.service]
        queue = self._term_state.queue_by_service[job.service]
        shares = self._term_state.shares_by_service[job.service]
        cores = self._term_state.usable_cores(job.service, now)
        if is_new:
            shares.note_asked(plan, cores, now)
        admission_input = AdmissionInput.from_queue(
            queue, plan, now
        ).with_shares(queue, shares, plan, cores)
        returning = self._term_state.returning_upstreams(job.service, now)
        refusal = refuse_evacuated(
            self._term_state, job.service, admission_input.late_patience_s
        ) or admit(pool, job.steps, admission_input, returning)
        if refusal is None:
            if is_new:
                shares.note_admitted(plan, cores)
            return None
        if not is_new:
            shares.note_withdrawn(plan, cores)
        self._metrics.count('baobabgap_jobs_total{end="refused"}')
        self._count_refusal(job.queue, refusal.kind.value)
        log_event(
            'job_refused',
            job=job.job_id,
            queue=job.queue,
            reason=refusal.reason,
            ahead_core_s=round(admission_input.ahead_core_s, 2),
            backlog_core_s=round(admission_input.total_core_s, 2),
            on_time_patience_s=round(admission_input.on_time_patience_s, 3),
            patience_s=round(admission_input.late_patience_s, 3),
            upstreams=len(pool.target_by_name),
            returning_upstreams=returning,
            retry_after_ms=refusal.retry_after_ms,
            may_have_begun=plan.may_have_begun,
            overrun_s=round(max(admission_input.overrun_s, 0.0), 3),
            usable_cores=round(cores, 1),
            **_share_fields(shares.share_by_queue(cores, now).get(job.queue)),
        )
        return refusal

    def _answer_refused(
        self, plan: JobPlan, refusal: Refusal, *calls: CallArrived
    ) -> None:
        for call in calls:
            reject(
                call,
                CallOutcome.OVERLOADED,
                may_have_begun=plan.may_have_begun,
                detail=refusal.reason,
                retry_after_ms=refusal.retry_after_ms,
            )

    def _reject_without_queue(
        self, plan: JobPlan, *calls: CallArrived
    ) -> None:
        for call in calls:
            reject(
                call,
                CallOutcome.NO_SUCH_QUEUE,
                may_have_begun=plan.may_have_begun,
                detail=_NO_SUCH_QUEUE,
            )

    def _accept_volatile(self, plan: JobPlan, arrived: CallArrived) -> None:
        """Accept a volatile job with its runs of an earlier leader, if any."""
        job_id = plan.job.job_id
        self._term_state.callers_by_id[job_id] = [arrived]
        orphans = self._term_state.orphans.pop(job_id)
        for task_id in orphans.done:
            plan.note_done(task_id)
        self._activate(plan, arrived)
        for agent, row in orphans.runs:
            view = self._term_state.view_by_name.get(agent)
            run = view.run_by_task.get(row.task) if view else None
            if view is None or run is None or run.number != row.run:
                continue
            found = self._term_state.find(row.task)
            if run.plan is plan:
                # It was lost and found again, and is claimed by now.
                continue
            if found is None or found[1].upstream:
                self._runs.stop(view, row.task)
            else:
                self._runs.remove(view, row.task)
                self._runs.add(view, *found, row.run, was_found=True)
                view.run_by_task[
                    row.task
                ].agent_incarnation = run.agent_incarnation
        self._await_earlier_runs(plan)
        if plan.is_done:
            self._closer.close(JobEnd(job_id, JobState.COMPLETED))

    def _await_earlier_runs(self, plan: JobPlan) -> None:
        """Start no task whose run of an earlier submission still stops.

        The end of the last one lets the task start.
        """
        for task in plan.task_by_id.values():
            if not task.upstream:
                self._runs.await_tracked_run(plan, task)

    def _activate(self, plan: JobPlan, arrived: CallArrived) -> None:
        """Make a job's tasks available for starts."""
        job = plan.job
        is_open = job.is_volatile or (
            self._state.state_of(job.job_id) is JobState.QUEUED
        )
        if is_open:
            self._term_state.add_plan(plan)
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
            term=self._term_state.term,
            **call_fields(arrived),
        )

    def _read(self, arrived: CallArrived, match: QueueMatch) -> None:
        if match.rest:
            self._read_job(arrived, match.rest)
        else:
            waiting = self._count_waiting(match.queue.name)
            answer(arrived, CallOutcome.COUNTED, waiting=waiting)

    def _read_job(self, arrived: CallArrived, job_id: str) -> None:
        plan = self._term_state.plan_by_id.get(job_id)
        if plan is None:
            self._answer_ended(arrived, job_id)
        elif plan.is_done:
            self._term_state.readers_by_id[job_id].append(arrived)
        else:
            state = JobState.RUNNING if plan.has_started else JobState.QUEUED
            answer(arrived, CallOutcome.FOUND, state=state)

    def _answer_ended(self, arrived: CallArrived, job_id: str) -> None:
        if job_id in self._term_state.storing_by_id:
            answer_unavailable(arrived, 'the job is being stored')
            return
        state = self._state.state_of(job_id)
        if state is None:
            answer(arrived, CallOutcome.NO_SUCH_JOB)
        else:
            answer(
                arrived,
                CallOutcome.FOUND,
                state=state,
                detail=self._state.failure_reason(job_id),
            )

    def _count_waiting(self, queue: str) -> int:
        return sum(
            1
            for plan in self._term_state.plan_by_id.values()
            if plan.job.queue == queue and not plan.has_started
        )


def _share_fields(share: QueueShare | None) -> dict[str, float]:
    """Return the log fields of a share; none if the queue is forgotten."""
    if share is None:
        return {}
    return {
        'queue_asked_cores': round(share.asked_cores, 1),
        'queue_due_cores': round(share.due_cores, 1),
        'queue_had_cores': round(share.had_cores, 1),
    }


def _awaited_until(call: SubmitJob) -> float:
    """Return when the caller stops waiting, on the monotonic clock."""
    if not call.patience_ms:
        return math.inf
    return time.monotonic() + (call.patience_ms - call.waited_ms) / 1000
