"""Waiting for the answer of a job that another entry owns."""

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
    """One answer that is waited for."""

    # Where the answer goes.
    future: Future[JobAnswer]
    # Who owns the job.
    owner: ClaimOutcome
    # Monotonic seconds after which a missing link means failure.
    link_limit_at: float
    # The link on which the owner was asked, or None.
    link: Connection | None = None


class Joins:
    """The jobs of other entries whose answers are waited for here.

    The owner is asked over the peer link; if the link is lost, it is asked
    again over the next one. An owner that stays out of reach, or that has
    restarted, has taken the job's end with it: the answer is then that
    the outcome is unknown, and nothing is started again.
    """

    def __init__(self, owner_return_s: float) -> None:
        self._owner_return_s = owner_return_s
        self._lock = threading.Lock()
        self._request = count(1)
        self._join_by_request: dict[int, _Join] = {}

    def join(
        self, owner: ClaimOutcome, link: Connection | None, now: float
    ) -> Future[JobAnswer]:
        """Ask the owner for the job's answer."""
        future: Future[JobAnswer] = Future()
        join = _Join(future, owner, now + self._owner_return_s)
        with self._lock:
            request = next(self._request)
            self._join_by_request[request] = join
            if link is not None:
                self._ask(request, join, link)
        return future

    def link_up(self, link: Connection) -> None:
        """Ask again over a new link to an owner."""
        with self._lock:
            for request, join in list(self._join_by_request.items()):
                if join.owner.owner == link.peer.name:
                    self._ask(request, join, link)

    def link_down(self, link: Connection, now: float) -> None:
        """Wait a while for the owner's next link."""
        with self._lock:
            for join in self._join_by_request.values():
                if join.link is link:
                    join.link = None
                    join.link_limit_at = now + self._owner_return_s

    def answer(self, message: JoinedAnswer) -> None:
        """Hand on what the owner said."""
        with self._lock:
            join = self._join_by_request.pop(message.request, None)
        if join is None:
            return
        if message.answer is None:
            join.future.set_result(
                _unknown(join.owner, 'the owner no longer knows this job')
            )
        else:
            join.future.set_result(message.answer)

    def give_up(self, now: float) -> None:
        """Fail the joins whose owner has been out of reach for too long."""
        with self._lock:
            late = [
                request
                for request, join in self._join_by_request.items()
                if join.link is None and now >= join.link_limit_at
            ]
            joins = [self._join_by_request.pop(request) for request in late]
        for join in joins:
            join.future.set_result(
                _unknown(join.owner, 'the owner of this job is out of reach')
            )

    def _ask(self, request: int, join: _Join, link: Connection) -> None:
        if link.peer.incarnation != join.owner.owner_incarnation:
            join.link = None
            join.link_limit_at = 0.0
            return
        join.link = link
        link.send(JoinJob(request, join.owner.job))


def _unknown(owner: ClaimOutcome, message: str) -> JobAnswer:
    return JobAnswer.from_failure(
        owner.job,
        JobFailure(
            code=FailureCode.OWNER_LOST,
            message=message,
            step='join',
            peer=owner.owner,
            ran=Ran.UNKNOWN,
        ),
    )
