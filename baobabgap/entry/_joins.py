"""Fetches the answers of jobs that other entries own."""

from concurrent.futures import Future
from dataclasses import dataclass
from itertools import count
import threading

from baobabgap.jobs import FailureCode
from baobabgap.jobs import JobAnswer
from baobabgap.jobs import JobFailure
from baobabgap.jobs import Ran
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import JoinedAnswer
from baobabgap.messages import JoinJob
from baobabgap.transport import Connection


@dataclass(slots=True)
class _Join:
    """One pending request for the answer of a job."""

    # Completes with the answer.
    future: Future[JobAnswer]
    # The outcome of the claim, which names the owner.
    outcome: ClaimOutcome
    # Digest of the job's content; empty for any content.
    digest: bytes
    # Monotonic seconds at which the join fails if there is no link.
    reconnect_deadline_at: float
    # The link on which the request was sent, or None.
    link: Connection | None = None


class Joins:
    """The pending requests for answers of jobs that other entries own.

    A request is sent to the owner over the peer link, and again over the
    next link if that one is lost. If the owner stays unreachable or has
    restarted, the answer is lost: the join fails with an unknown outcome,
    and the job is not run again.
    """

    def __init__(self, owner_return_s: float) -> None:
        self._owner_return_s = owner_return_s
        self._lock = threading.Lock()
        self._request_numbers = count(1)
        self._join_by_request: dict[int, _Join] = {}

    def join(
        self,
        outcome: ClaimOutcome,
        digest: bytes,
        link: Connection | None,
        now: float,
    ) -> Future[JobAnswer]:
        """Request the job's answer from its owner."""
        future: Future[JobAnswer] = Future()
        join = _Join(future, outcome, digest, now + self._owner_return_s)
        with self._lock:
            request = next(self._request_numbers)
            self._join_by_request[request] = join
            if link is not None:
                self._ask(request, join, link)
        return future

    def link_up(self, link: Connection) -> None:
        """Repeat the requests to an owner over its new link."""
        with self._lock:
            for request, join in list(self._join_by_request.items()):
                if join.outcome.owner == link.peer.name:
                    self._ask(request, join, link)

    def link_down(self, link: Connection, now: float) -> None:
        """Start the time limit for the owner to reconnect."""
        with self._lock:
            for join in self._join_by_request.values():
                if join.link is link:
                    join.link = None
                    join.reconnect_deadline_at = now + self._owner_return_s

    def answer(self, message: JoinedAnswer) -> None:
        """Complete a join with the owner's answer."""
        with self._lock:
            join = self._join_by_request.pop(message.request, None)
        if join is None:
            return
        if message.answer is None:
            join.future.set_result(
                _owner_lost(join.outcome, 'the owner no longer knows this job')
            )
        else:
            join.future.set_result(message.answer)

    def expire(self, now: float) -> None:
        """Fail the joins whose owner has not reconnected in time."""
        with self._lock:
            expired = [
                request
                for request, join in self._join_by_request.items()
                if join.link is None and now >= join.reconnect_deadline_at
            ]
            joins = [self._join_by_request.pop(request) for request in expired]
        for join in joins:
            join.future.set_result(
                _owner_lost(
                    join.outcome, 'the owner of this job is out of reach'
                )
            )

    def _ask(self, request: int, join: _Join, link: Connection) -> None:
        if link.peer.incarnation != join.outcome.owner_incarnation:
            if join.link is None:
                join.reconnect_deadline_at = 0.0
            return
        join.link = link
        link.send(JoinJob(request, join.outcome.job, join.digest))


def _owner_lost(outcome: ClaimOutcome, message: str) -> JobAnswer:
    return JobAnswer.from_failure(
        outcome.job,
        JobFailure(
            code=FailureCode.OWNER_LOST,
            message=message,
            step='join',
            peer=outcome.owner,
            ran=Ran.UNKNOWN,
        ),
    )
