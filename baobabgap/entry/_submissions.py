"""Handles submissions: joins, refuses, or claims and enqueues each job.

A job is claimed at the control group before any of its tasks can start.
A refusal is returned only after the control group has confirmed that no
other entry owns the job, since `not run` must hold for the job and not
only for this entry.
"""

from concurrent.futures import FIRST_COMPLETED
from concurrent.futures import Future
from concurrent.futures import wait
from itertools import count
import time
from typing import Any
from typing import Protocol

from returns.pipeline import is_successful

from baobabgap.entry._active_job import ActiveJob
from baobabgap.entry._admission import Admission
from baobabgap.entry._admission import Workload
from baobabgap.entry._dispatcher import Dispatcher
from baobabgap.entry._failures import cancelled
from baobabgap.entry._failures import configuration_unknown
from baobabgap.entry._failures import conflict
from baobabgap.entry._failures import control_unavailable
from baobabgap.entry._failures import draining
from baobabgap.entry._failures import unknown_job
from baobabgap.entry._failures import window_passed
from baobabgap.entry._job_log import JobLog
from baobabgap.entry._joins import Joins
from baobabgap.entry._kept_answers import KeptAnswers
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import JobSubmission
from baobabgap.jobs import Ran
from baobabgap.messages import CancelOwnedJob
from baobabgap.messages import Claim
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import ClaimStatus
from baobabgap.telemetry import Metrics


class ClaimClient(Protocol):
    """The interface of the control client that this module uses."""

    @property
    def is_superseded(self) -> bool:
        """Whether another process has taken this one's name."""

    def claim(self, claim: Claim) -> Future[ClaimOutcome]:
        """Claim a job."""

    def look_up(self, claim: Claim) -> Future[ClaimOutcome]:
        """Query which entry owns a job."""

    def release(self, jobs: list[str]) -> None:
        """Release the claims of jobs of which no task has started."""


class Submissions:
    """Accepts jobs from callers and gives each exactly one answer."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        admission: Admission,
        joins: Joins,
        kept: KeptAnswers,
        control: ClaimClient,
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._admission = admission
        self._joins = joins
        self._kept = kept
        self._control = control
        self._metrics = metrics
        self._fencing_tokens = count(time.time_ns())
        self.is_draining = False

    def submit(
        self, submission: JobSubmission, log_action: str
    ) -> Future[JobAnswer]:
        """Submit a job; refusals and failures are returned as its answer."""
        digest = submission.digest()
        with self._dispatcher.lock:
            known = self._find_known(submission.identifier, digest)
            if known is not None:
                return known
            now = time.monotonic()
            expected_ms = self._dispatcher.run_times.expected_all_ms(
                submission.client, submission.tasks
            )
            refusal = self._refusal(submission, expected_ms, now)
            if refusal is not None:
                return self._refuse(submission.identifier, digest, refusal)
            job = ActiveJob.from_submission(
                submission,
                digest,
                token=next(self._fencing_tokens),
                now=now,
                log=JobLog.from_serialised(log_action, submission.identifier),
                expected_ms=expected_ms,
            )
            self._dispatcher.add(job)
        return self._claim(job)

    def wait_for_claim(self, identifier: str, timeout_s: float) -> None:
        """Return once a job of this entry is claimed or has ended.

        Before that, another entry would find no owner and report that the
        job has not run.
        """
        with self._dispatcher.lock:
            job = self._dispatcher.find(identifier)
        if job is not None:
            known: list[Future[Any]] = [job.claim_settled, job.future]
            wait(known, timeout_s, FIRST_COMPLETED)

    def fetch(self, identifier: str) -> Future[JobAnswer]:
        """Return the answer of a job, once there is one."""
        future = self.find_owned(identifier)
        if future is not None:
            return future
        return self._look_up(Claim(identifier, b''), unknown_job())

    def cancel(self, identifier: str) -> Future[JobAnswer]:
        """Cancel a job, here or at its owner; running tasks are stopped."""
        future = self.cancel_owned(identifier)
        if future is not None:
            return future
        return self._look_up(
            Claim(identifier, b''), unknown_job(), cancel=True
        )

    def cancel_owned(self, identifier: str) -> Future[JobAnswer] | None:
        """Cancel a job of this entry; None if it isn't known here."""
        with self._dispatcher.lock:
            job = self._dispatcher.find(identifier)
            if job is None:
                return self.find_owned(identifier)
            if job.is_claimed:
                self._dispatcher.fail(job, cancelled(job))
                return job.future
            job.is_cancel_requested = True
        return self._cancel_once_settled(job)

    def _cancel_once_settled(self, job: ActiveJob) -> Future[JobAnswer]:
        """Answer a cancellation once the owner of the job is known."""
        future: Future[JobAnswer] = Future()

        def settle(done: Future[None]) -> None:
            if job.is_claimed:
                _forward(job.future, future)
            else:
                _forward(self.cancel(job.identifier), future)

        job.claim_settled.add_done_callback(settle)
        return future

    def find_owned(
        self, identifier: str, digest: bytes = b''
    ) -> Future[JobAnswer] | None:
        """Return the answer of a job that runs here or has ended here.

        With a digest, a job with other content under this identifier is
        not that job: it was submitted after that one was refused.
        """
        with self._dispatcher.lock:
            kept = self._kept.get(identifier)
            job = self._dispatcher.find(identifier)
            known = kept or job
            if known is None or digest not in (b'', known.digest):
                return None
            if kept is not None:
                return _completed(kept.answer)
            return None if job is None else job.future

    def end(self, job: ActiveJob, answer: JobAnswer) -> None:
        """Keep the answer of an ended job, unless the job may be retried.

        If no task of the job has started, its claim is released instead,
        so that the client can submit the job again.
        """
        failure = answer.failure
        has_run = failure is None or failure.ran is not Ran.NO
        if has_run and job.is_claimed:
            self._kept.keep(job.digest, answer)
        else:
            self._control.release([job.identifier])
        self._count_end(answer)

    def _find_known(
        self, identifier: str, digest: bytes
    ) -> Future[JobAnswer] | None:
        """Return the answer of a job that runs or has ended here."""
        known = self._kept.get(identifier) or self._dispatcher.find(identifier)
        if known is None:
            return None
        if known.digest != digest:
            return _failed(identifier, conflict(''))
        self._metrics.count('baobabgap_jobs_joined_total')
        return self.find_owned(identifier)

    def _refusal(
        self, submission: JobSubmission, expected_ms: list[float], now: float
    ) -> JobFailure | None:
        if self.is_draining or self._control.is_superseded:
            return draining()
        if not self._dispatcher.has_configuration:
            return configuration_unknown()
        decision = self._admission.decide(
            submission,
            self._workload(submission, expected_ms),
            self._dispatcher.configuration,
            now,
        )
        return None if is_successful(decision) else decision.failure()

    def _workload(
        self, submission: JobSubmission, expected_ms: list[float]
    ) -> Workload:
        dispatcher = self._dispatcher
        pool = dispatcher.pool
        sizes = {task.size for task in submission.tasks}
        return Workload(
            slots=pool.accepting_slots(),
            tasks_fit=all(pool.can_ever_hold(size) for size in sizes),
            has_agents=len(pool) > 0,
            wait_ms=dispatcher.expected_wait_ms(),
            job_ms=sum(expected_ms),
            longest_task_ms=max(expected_ms),
        )

    def _refuse(
        self, identifier: str, digest: bytes, refusal: JobFailure
    ) -> Future[JobAnswer]:
        self._metrics.count(
            f'baobabgap_refusals_total{{code="{refusal.code}"}}'
        )
        return self._look_up(Claim(identifier, digest), refusal)

    def _claim(self, job: ActiveJob) -> Future[JobAnswer]:
        claim = Claim(job.identifier, job.digest, job.token)
        claimed_at = time.monotonic()
        claimed = self._control.claim(claim)

        def settle(done: Future[ClaimOutcome]) -> None:
            self._metrics.observe_seconds(
                'baobabgap_claim_seconds', time.monotonic() - claimed_at
            )
            error = done.exception()
            if error is not None:
                self._abandon(job, error)
            elif done.result().status is ClaimStatus.GRANTED:
                self._begin(job)
            elif self._dispatcher.withdraw(job):
                _forward(
                    self._answer_unowned(done.result(), job.digest),
                    job.future,
                )
            job.claim_settled.set_result(None)

        claimed.add_done_callback(settle)
        return job.future

    def _begin(self, job: ActiveJob) -> None:
        """Enqueue a claimed job, unless it has ended or was cancelled."""
        with self._dispatcher.lock:
            job.is_claimed = True
            if job.is_cancel_requested:
                is_active = self._dispatcher.fail(job, cancelled(job))
            else:
                is_active = self._dispatcher.enqueue(job)
        if not is_active:
            self._control.release([job.identifier])

    def _abandon(self, job: ActiveJob, error: BaseException) -> None:
        """Answer a job whose claim may or may not have been committed.

        No task has been or will be started here, but another entry may
        own the job.
        """
        if self._dispatcher.withdraw(job):
            self._control.release([job.identifier])
            failure = control_unavailable(error)
            answer = JobAnswer.from_failure(job.identifier, failure)
            self._count_end(answer)
            job.future.set_result(answer)

    def _look_up(
        self, claim: Claim, refusal: JobFailure, *, cancel: bool = False
    ) -> Future[JobAnswer]:
        """Answer with the refusal if no entry owns the job."""
        future: Future[JobAnswer] = Future()

        def settle(done: Future[ClaimOutcome]) -> None:
            error = done.exception()
            if error is not None:
                failure = control_unavailable(error)
                future.set_result(JobAnswer.from_failure(claim.job, failure))
            elif done.result().status is ClaimStatus.UNCLAIMED:
                future.set_result(JobAnswer.from_failure(claim.job, refusal))
            else:
                if cancel:
                    self._cancel_at_owner(done.result())
                _forward(
                    self._answer_unowned(done.result(), claim.digest), future
                )

        self._control.look_up(claim).add_done_callback(settle)
        return future

    def _answer_unowned(
        self, outcome: ClaimOutcome, digest: bytes
    ) -> Future[JobAnswer]:
        """Answer a submission whose job it does not own."""
        match outcome.status:
            case ClaimStatus.CONFLICT:
                return _failed(outcome.job, conflict(outcome.owner))
            case ClaimStatus.WINDOW_PASSED:
                return _failed(outcome.job, window_passed())
            case _:
                self._metrics.count('baobabgap_jobs_joined_total')
                return self._join(outcome, digest)

    def _cancel_at_owner(self, outcome: ClaimOutcome) -> None:
        link = self._dispatcher.balancer.link_to(outcome.owner)
        if link is not None:
            link.send(CancelOwnedJob(outcome.job))

    def _join(self, outcome: ClaimOutcome, digest: bytes) -> Future[JobAnswer]:
        owned = self.find_owned(outcome.job, digest)
        if owned is not None:
            return owned
        link = self._dispatcher.balancer.link_to(outcome.owner)
        return self._joins.join(outcome, digest, link, time.monotonic())

    def _count_end(self, answer: JobAnswer) -> None:
        failure = answer.failure
        end = 'whole' if failure is None else str(failure.code)
        self._metrics.count(f'baobabgap_jobs_total{{end="{end}"}}')


def _completed(answer: JobAnswer) -> Future[JobAnswer]:
    future: Future[JobAnswer] = Future()
    future.set_result(answer)
    return future


def _forward(
    source: Future[JobAnswer], destination: Future[JobAnswer]
) -> None:
    source.add_done_callback(
        lambda done: destination.set_result(done.result())
    )


def _failed(identifier: str, failure: JobFailure) -> Future[JobAnswer]:
    return _completed(JobAnswer.from_failure(identifier, failure))
