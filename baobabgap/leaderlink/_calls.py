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

from baobabgap.protocol import CallAnswer
from baobabgap.protocol import CallOutcome
from baobabgap.protocol import CancelPath
from baobabgap.protocol import DropCall
from baobabgap.protocol import EntryReport
from baobabgap.protocol import LeaderReady
from baobabgap.protocol import ReadPath
from baobabgap.protocol import SubmitJob
from baobabgap.queues import RequestLimits
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
# Seconds for which a job that was sent counts as possibly begun; longer than
# any of its tasks can hold a lease after the loss of the leader.
_BEGUN_RETENTION_S: Final = 20.0
# Seconds between checks whether a caller still waits.
_CALLER_CHECK_INTERVAL_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """A call that waits for its answer."""

    # The link that it was sent on.
    connection: Connection
    future: Future[CallAnswer]


class LeaderCalls:
    """Forwards calls to the leader and matches its answers to them.

    `session` is the session of a `LeaderLink`. A call whose link ends is
    answered `UNKNOWN` unless it is safe to repeat; then it is sent to the
    next leader.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._pending_by_call: dict[int, _PendingCall] = {}
        self._connection: Connection | None = None
        self._is_stopped = False
        # When the last link to a leader ended or the process started.
        self._unlinked_at = time.monotonic()
        # The last time that each volatile job was sent to a leader.
        self._begun_at_by_id: dict[str, float] = {}
        self._next_prune_at = 0.0
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
            connection.send(EntryReport(self._begun_job_ids()))
            self._connection = connection
        try:
            for message in messages:
                match message:
                    case CallAnswer():
                        self._resolve(message)
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
        _resolve_unknown(pending, 'this entry stops')

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
        # After a longer outage, further waiting is unlikely to help.
        outage_since = now if self.is_linked else self._unlinked_at
        give_up_at = min(
            now + wait_for_leader_s, outage_since + _OUTAGE_WAIT_S
        )
        may_have_begun = False
        while True:
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
            if time.monotonic() >= min(give_up_at, answer_by):
                return answer
            time.sleep(
                _RETRY_INTERVAL_S
                if self.is_linked
                else _NO_LEADER_RETRY_INTERVAL_S
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
            self._pending_by_call[number] = _PendingCall(connection, future)
            if isinstance(call, SubmitJob) and call.is_volatile:
                self._begun_at_by_id[_job_id(call)] = time.monotonic()
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
        if isinstance(call, SubmitJob) and call.is_volatile:
            connection.send(DropCall(number))
        return CallAnswer(
            number, CallOutcome.UNKNOWN, detail='no answer in time'
        )

    def _begun_job_ids(self) -> tuple[str, ...]:
        """Return the jobs that a leader may have begun.

        The caller holds the lock.
        """
        oldest = time.monotonic() - _BEGUN_RETENTION_S
        for job_id, begun_at in list(self._begun_at_by_id.items()):
            if begun_at < oldest:
                del self._begun_at_by_id[job_id]
        return tuple(self._begun_at_by_id)

    def _prune_begun_jobs(self) -> None:
        """Remove old records of begun jobs; the caller holds the lock."""
        now = time.monotonic()
        if now >= self._next_prune_at:
            self._next_prune_at = now + _BEGUN_RETENTION_S / 4
            self._begun_job_ids()

    def _resolve(self, answer: CallAnswer) -> None:
        with self._lock:
            self._prune_begun_jobs()
            pending = self._pending_by_call.pop(answer.call, None)
        if pending is not None:
            pending.future.set_result(answer)

    def _handle_lost_link(self, connection: Connection) -> None:
        """Resolve the calls of a link that has ended."""
        with self._lock:
            if self._connection is connection:
                self._connection = None
                self._unlinked_at = time.monotonic()
            pending = self._pop_pending(connection)
        _resolve_unknown(pending, 'leader link lost')

    def _pop_pending(
        self, connection: Connection | None
    ) -> dict[int, Future[CallAnswer]]:
        """Remove and return the calls of one link, or all if None.

        The caller holds the lock.
        """
        taken = {
            number: call.future
            for number, call in self._pending_by_call.items()
            if connection is None or call.connection is connection
        }
        for number in taken:
            del self._pending_by_call[number]
        return taken


def _resolve_unknown(
    pending: dict[int, Future[CallAnswer]], detail: str
) -> None:
    for number, future in pending.items():
        future.set_result(
            CallAnswer(number, CallOutcome.UNKNOWN, detail=detail)
        )


def _job_id(call: SubmitJob) -> str:
    return call.path.rpartition('/')[2]


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
