"""Forwarding of client calls to the leader."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import replace
import itertools
import threading
import time
from typing import Final

from baobabgap.leaderlink._begun_jobs import BegunJobs
from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import DropCall
from baobabgap.protocol import EntryReport
from baobabgap.protocol import LeaderReady
from baobabgap.protocol import ReadPath
from baobabgap.protocol import StartsAnnounced
from baobabgap.protocol import StartsDeferred
from baobabgap.protocol import StartsExpected
from baobabgap.protocol import SubmitJob
from baobabgap.queues import RequestLimits
from baobabgap.telemetry import log_event
from baobabgap.transport import Connection

Call = SubmitJob | ReadPath | CancelPath

# Seconds between tries of a call, with a link to a leader and without one.
_RETRY_INTERVAL_S: Final = 0.1
_NO_LEADER_RETRY_INTERVAL_S: Final = 0.02
# Seconds after the loss of a leader within which calls wait for the next one;
# slightly longer than an election.
_OUTAGE_WAIT_S: Final = 1.2
# Seconds for which a call waits for a leader if its job may have begun.
_BEGUN_WAIT_S: Final = 5.0
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
        # When the last link to a leader ended or the process started.
        self._unlinked_at = time.monotonic()
        self._begun_jobs = BegunJobs()
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
        self.largest_body_bytes = ready.largest_body_bytes
        with self._lock:
            # Sent before any call: the leader must know which jobs may have
            # begun.
            self._prune_begun_jobs(time.monotonic())
            connection.send(EntryReport(self._begun_jobs.job_ids()))
            self._connection = connection
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
                        self.largest_body_bytes = message.largest_body_bytes
        finally:
            self._handle_lost_link(connection)

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
        has disconnected or `wait_for_answer_s` seconds have passed.
        """
        now = time.monotonic()
        answer_by = now + wait_for_answer_s
        give_up_at: float | None = None
        may_have_begun = False
        while True:
            tried_at = time.monotonic()
            if isinstance(call, SubmitJob):
                call = replace(
                    call,
                    waited_ms=int(1000 * (time.monotonic() - now)),
                    patience_ms=int(1000 * wait_for_answer_s),
                    is_repeat=may_have_begun,
                )
            answer = self._forward_once(
                call, answer_by, is_caller_disconnected
            )
            if may_have_begun and answer.outcome in _NOT_BEGUN:
                # The outcome holds for this try only.
                answer = replace(answer, outcome=CallOutcome.UNKNOWN)
            if answer.outcome is CallOutcome.UNKNOWN and not may_have_begun:
                # Its runs continue without a leader and may be adopted by the
                # next one.
                may_have_begun = True
                give_up_at = time.monotonic() + _BEGUN_WAIT_S
            if self._is_stopped or not _is_retryable(call, answer):
                return answer
            has_waited = time.monotonic() - tried_at > _RETRY_INTERVAL_S
            if give_up_at is None or (has_waited and not may_have_begun):
                # A new outage, or the first one that this call meets.
                give_up_at = self._outage_ends_at(now, wait_for_leader_s)
            if time.monotonic() >= min(give_up_at, answer_by):
                return answer
            time.sleep(
                _RETRY_INTERVAL_S
                if self.is_linked
                else _NO_LEADER_RETRY_INTERVAL_S
            )

    def _outage_ends_at(
        self, arrived_at: float, wait_for_leader_s: float
    ) -> float:
        """Return the time after which waiting is unlikely to help."""
        since = time.monotonic() if self.is_linked else self._unlinked_at
        return min(
            max(arrived_at, since) + wait_for_leader_s, since + _OUTAGE_WAIT_S
        )

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
        if pending is not None:
            pending.future.set_result(answer)

    def _handle_lost_link(self, connection: Connection) -> None:
        """Resolve the calls of a link that has ended."""
        with self._lock:
            now = time.monotonic()
            if self._connection is connection:
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
