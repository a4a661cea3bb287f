"""Forwarding of client calls to the leader."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import replace
import itertools
import math
import threading
import time
from typing import Final

from baobabgap.leaderlink._begun_jobs import BegunJobs
from baobabgap.leaderlink._outage import expected_run_s
from baobabgap.leaderlink._outage import find_objective
from baobabgap.leaderlink._outage import Outage
from baobabgap.leaderlink._outage import UsualOutage
from baobabgap.leaderlink._outage import WaitingCall
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import DropCall
from baobabgap.protocol import EntryReport
from baobabgap.protocol import LeaderReady
from baobabgap.protocol import QueueObjective
from baobabgap.protocol import ReadPath
from baobabgap.protocol import StartsAnnounced
from baobabgap.protocol import StartsDeferred
from baobabgap.protocol import StartsExpected
from baobabgap.protocol import SubmitJob
from baobabgap.queues import RequestLimits
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection

Call = SubmitJob | ReadPath | CancelPath

# Seconds between tries of a call with a link to a leader, and between checks
# whether to wait on without one.
_RETRY_INTERVAL_S: Final = 0.1
_NO_LEADER_CHECK_INTERVAL_S: Final = 0.1
# Outcomes which state that the call had no effect.
_NOT_BEGUN: Final = (CallOutcome.UNAVAILABLE, CallOutcome.OVERLOADED)
# Seconds between checks whether a caller still waits.
_CALLER_CHECK_INTERVAL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """A call that waits for its answer."""

    # The link that it was sent on.
    connection: Connection
    future: Future[CallAnswer]
    # The volatile job that it submits, or empty.
    job_id: str


class LeaderCalls:
    """Forwards calls to the leader and matches its answers to them.

    `session` is the session of a `LeaderLink`. A call whose link ends is
    answered `UNKNOWN` unless it is safe to repeat; then it is sent to the
    next leader. A job that the lost leader has certainly not begun is sent
    to the next one as a new job.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._pending_by_call: dict[int, _PendingCall] = {}
        self._connection: Connection | None = None
        self._is_stopped = False
        self._has_been_linked = False
        # When the last link to a leader ended or the process started.
        self._unlinked_at = time.monotonic()
        self._begun_jobs = BegunJobs()
        self._usual_outage = UsualOutage()
        # Set while there is a link to a leader.
        self._linked = threading.Event()
        self._objectives: tuple[QueueObjective, ...] = ()
        # The largest request body that the configuration allows.
        self.largest_body_bytes = RequestLimits().body_bytes

    @property
    def is_linked(self) -> bool:
        """Whether there is a link to a leader."""
        return self._connection is not None

    def session(
        self,
        connection: Connection,
        ready: LeaderReady,
        messages: Iterator[object],
    ) -> None:
        """Process answers until the link ends."""
        self._use_ready(ready)
        with self._lock:
            # Sent before any call: the leader must know which jobs may have
            # begun.
            self._prune_begun_jobs(time.monotonic())
            connection.send(EntryReport(self._begun_jobs.job_ids()))
            if self._has_been_linked:
                self._usual_outage.note(time.monotonic() - self._unlinked_at)
            self._has_been_linked = True
            self._connection = connection
            self._linked.set()
        try:
            for message in messages:
                match message:
                    case CallAnswer():
                        self._resolve(message)
                    case StartsDeferred(calls=calls):
                        self._note_deferred(connection, calls)
                    case StartsAnnounced(job_ids=job_ids):
                        self._note_announced(connection, job_ids)
                    case LeaderReady():
                        self._use_ready(message)
        finally:
            self._handle_lost_link(connection)

    def _use_ready(self, ready: LeaderReady) -> None:
        self.largest_body_bytes = ready.largest_body_bytes
        self._objectives = ready.objectives

    def stop(self) -> None:
        """Answer all present and future calls with `UNKNOWN`.

        Volatile jobs continue; their callers submit them again elsewhere.
        """
        self._is_stopped = True
        with self._lock:
            self._connection = None
            pending = self._pop_pending(None)
        for number, call in pending.items():
            _resolve_lost(number, call, 'this entry stops', is_waiting=False)

    @property
    def waiting(self) -> int:
        """The number of calls that wait for an answer."""
        return len(self._pending_by_call)

    def forward(
        self,
        call: Call,
        wait_for_leader_s: float,
        wait_for_answer_s: float,
        is_caller_disconnected: Callable[[], bool],
    ) -> CallAnswer:
        """Forward a call and wait for its answer.

        `UNAVAILABLE` means that nothing was done; `UNKNOWN` that the call
        may have taken effect. A volatile job is dropped when its caller
        has disconnected or `wait_for_answer_s` seconds have passed. Nothing
        is sent again for a caller that has disconnected.
        """
        now = time.monotonic()
        waiting = WaitingCall(now, now + wait_for_answer_s, wait_for_leader_s)
        outage: Outage | None = None
        while True:
            tried_at = time.monotonic()
            if isinstance(call, SubmitJob):
                call = replace(
                    call,
                    waited_ms=int(1000 * (tried_at - now)),
                    patience_ms=int(1000 * wait_for_answer_s),
                    is_repeat=waiting.begun_at is not None,
                )
            answer = self._forward_once(
                call, waiting.answer_by, is_caller_disconnected
            )
            if waiting.begun_at is not None:
                answer = _without_rejection(call, answer)
            if self._is_stopped or not _is_retryable(call, answer):
                return answer
            waiting = self._note_failed_try(waiting, call, answer)
            has_waited = time.monotonic() - tried_at > _RETRY_INTERVAL_S
            if outage is None or has_waited:
                # A new outage, or the first one that this call meets.
                outage = self._outage()
            reason = outage.reason_to_give_up(waiting, time.monotonic())
            if reason:
                return _give_up(call, answer, waiting, outage, reason)
            if self.is_linked:
                time.sleep(_RETRY_INTERVAL_S)
            else:
                self._linked.wait(_NO_LEADER_CHECK_INTERVAL_S)
            if is_caller_disconnected():
                return _give_up(
                    call, answer, waiting, outage, 'its caller has left'
                )

    def _note_failed_try(
        self, waiting: WaitingCall, call: Call, answer: CallAnswer
    ) -> WaitingCall:
        """Update a call after a try that left it unanswered."""
        if waiting.begun_at is None and answer.outcome is CallOutcome.UNKNOWN:
            # Its runs continue without a leader and may be adopted by the
            # next one.
            waiting = replace(waiting, begun_at=time.monotonic())
        if not isinstance(call, SubmitJob) or not call.is_volatile:
            return waiting
        objective = find_objective(self._objectives, call.host, call.path)
        if objective is None:
            return waiting
        run_s = expected_run_s(call.steps)
        useful_s = (
            objective.useful_stretch * run_s
            + objective.useful_allowance_ms / 1000
        )
        return replace(
            waiting, useful_until=waiting.arrived_at + useful_s, run_s=run_s
        )

    def _outage(self) -> Outage:
        since = time.monotonic() if self.is_linked else self._unlinked_at
        return Outage(since, self._usual_outage.usual_s)

    def _forward_once(
        self,
        call: Call,
        answer_by: float,
        is_caller_disconnected: Callable[[], bool],
    ) -> CallAnswer:
        number = next(self._numbers)
        future: Future[CallAnswer] = Future()
        with self._lock:
            connection = self._connection
            if connection is None:
                return CallAnswer(
                    number, CallOutcome.UNAVAILABLE, detail='no leader'
                )
            job_id = _volatile_job_id(call)
            self._pending_by_call[number] = _PendingCall(
                connection, future, job_id
            )
            if job_id:
                self._begun_jobs.note_sent(job_id, number, time.monotonic())
        connection.send(replace(call, call=number))
        while True:
            left_s = answer_by - time.monotonic()
            try:
                return future.result(
                    min(max(0.0, left_s), _CALLER_CHECK_INTERVAL_S)
                )
            except TimeoutError:
                if left_s > 0 and not is_caller_disconnected():
                    continue
            break
        with self._lock:
            self._pending_by_call.pop(number, None)
        if job_id:
            connection.send(DropCall(number))
        return CallAnswer(
            number, CallOutcome.UNKNOWN, detail='no answer in time'
        )

    def _prune_begun_jobs(self, now: float) -> None:
        """Remove old records of begun jobs; the caller holds the lock."""
        self._begun_jobs.keep(
            (pending.job_id for pending in self._pending_by_call.values()), now
        )
        self._begun_jobs.prune(now)

    def _note_deferred(
        self, connection: Connection, calls: tuple[int, ...]
    ) -> None:
        with self._lock:
            for number in calls:
                pending = self._pending_by_call.get(number)
                if pending is not None and pending.connection is connection:
                    self._begun_jobs.note_deferred(pending.job_id, number)

    def _note_announced(
        self, connection: Connection, job_ids: tuple[str, ...]
    ) -> None:
        with self._lock:
            self._begun_jobs.note_announced(job_ids, time.monotonic())
        # Only now may the leader begin them.
        connection.send(StartsExpected(job_ids))

    def _resolve(self, answer: CallAnswer) -> None:
        with self._lock:
            now = time.monotonic()
            if self._begun_jobs.is_prune_due(now):
                self._prune_begun_jobs(now)
            pending = self._pending_by_call.pop(answer.call, None)
            if pending is not None and answer.outcome.is_rejection:
                self._begun_jobs.note_deferred(pending.job_id, answer.call)
        if pending is not None:
            pending.future.set_result(answer)

    def _handle_lost_link(self, connection: Connection) -> None:
        """Resolve the calls of a link that has ended."""
        with self._lock:
            now = time.monotonic()
            if self._connection is connection:
                self._linked.clear()
                self._connection = None
                self._unlinked_at = now
            self._prune_begun_jobs(now)
            pending = self._pop_pending(connection)
            waiting = {
                number
                for number, call in pending.items()
                if call.job_id
                and not self._begun_jobs.may_have_begun(call.job_id)
            }
        if pending:
            log_event(
                'leader_calls_lost',
                calls=len(pending),
                certainly_not_begun=len(waiting),
            )
        for number, call in pending.items():
            _resolve_lost(
                number, call, 'leader link lost', is_waiting=number in waiting
            )

    def _pop_pending(
        self, connection: Connection | None
    ) -> dict[int, _PendingCall]:
        """Remove and return the calls of one link, or all if None.

        The caller holds the lock.
        """
        taken = {
            number: call
            for number, call in self._pending_by_call.items()
            if connection is None or call.connection is connection
        }
        for number in taken:
            del self._pending_by_call[number]
        return taken


def _give_up(
    call: Call,
    answer: CallAnswer,
    waiting: WaitingCall,
    outage: Outage,
    reason: str,
) -> CallAnswer:
    """Return the last answer of a call that waits no longer."""
    now = time.monotonic()
    retry_after_ms = answer.retry_after_ms
    if answer.outcome is CallOutcome.UNAVAILABLE:
        retry_after_ms = outage.retry_after_ms(now) or retry_after_ms
    log_event(
        'call_given_up',
        path=call.path,
        reason=reason,
        waited_ms=round(1000 * (now - waiting.arrived_at)),
        outage_ms=round(1000 * (now - outage.since)),
        usual_outage_ms=round(1000 * outage.usual_s),
        expected_run_ms=round(1000 * waiting.run_s),
        useful_ms=(
            round(1000 * (waiting.useful_until - now))
            if waiting.useful_until < math.inf
            else None
        ),
        may_have_begun=waiting.begun_at is not None,
        retry_after_ms=retry_after_ms,
    )
    return replace(answer, retry_after_ms=retry_after_ms)


def _without_rejection(call: Call, answer: CallAnswer) -> CallAnswer:
    """Return the answer to a call of which an earlier try may have begun.

    A rejection holds for the last try only.
    """
    if answer.outcome in _NOT_BEGUN:
        return replace(answer, outcome=CallOutcome.UNKNOWN)
    if isinstance(call, SubmitJob) and answer.outcome.is_rejection:
        return replace(answer, outcome=CallOutcome.UNKNOWN, is_final=True)
    return answer


def _resolve_lost(
    number: int, pending: _PendingCall, detail: str, *, is_waiting: bool
) -> None:
    """Answer a call that the leader won't answer.

    `is_waiting` states that its job has certainly not begun.
    """
    outcome = CallOutcome.UNAVAILABLE if is_waiting else CallOutcome.UNKNOWN
    pending.future.set_result(CallAnswer(number, outcome, detail=detail))


def _volatile_job_id(call: Call) -> str:
    """Return the volatile job that a call submits, or an empty string."""
    if isinstance(call, SubmitJob) and call.is_volatile:
        return call.path.rpartition('/')[2]
    return ''


def _is_retryable(call: Call, answer: CallAnswer) -> bool:
    """Return whether a call can safely be sent again."""
    match answer.outcome:
        case CallOutcome.UNAVAILABLE:
            return True
        case CallOutcome.UNKNOWN:
            return not answer.is_final and (
                not isinstance(call, SubmitJob) or call.is_volatile
            )
    return False
