"""Handles the requests of members and tools on one control host."""

from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import Future
import threading
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap._exceptions import ProtocolMismatch
from baobabgap.control._claims import outcome_from_row
from baobabgap.control._commands import ClaimCommand
from baobabgap.control._commands import Command
from baobabgap.control._commands import LookupQuery
from baobabgap.control._commands import PageQuery
from baobabgap.control._commands import ReleaseCommand
from baobabgap.control._ticket_submitter import TicketSubmitter
from baobabgap.jobs import JobIdentifier
from baobabgap.messages import ClaimJobs
from baobabgap.messages import ClaimOutcomes
from baobabgap.messages import ControlPage
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import PutTicket
from baobabgap.messages import QueryControl
from baobabgap.messages import ReleaseClaims
from baobabgap.replication import NotLeader
from baobabgap.telemetry import log_event
from baobabgap.telemetry import Metrics

# Answered by the host that receives the query, also without a leader.
_LOCAL_TOPIC: Final = 'status'
_MAX_TOKEN: Final = 2**63 - 1

Send = Callable[[object], None]


class RequestHandler:
    """Sends exactly one answer to each request but `ReleaseClaims`.

    The answer to a request that fails is `ControlUnavailable`.
    """

    def __init__(
        self,
        submit: Callable[[Command], Future[Any]],
        ticket_submitter: TicketSubmitter,
        status_page: Callable[[], Any],
        metrics: Metrics,
        pool: Executor,
    ) -> None:
        self._submit = submit
        self._ticket_submitter = ticket_submitter
        self._status_page = status_page
        self._metrics = metrics
        self._pool = pool
        self._condition = threading.Condition()
        self._in_progress = 0
        self._is_closed = False

    def handle_request(self, message: object, send: Send) -> bool:
        """Start a request; return False if the message is none.

        `send` is called with the answer once the request has ended.
        """
        match message:
            case ClaimJobs() if message.lookup_only:
                self._start(message.request, send, self._look_up, message)
            case ClaimJobs():
                self._start(message.request, send, self._claim, message)
            case ReleaseClaims():
                self._release(message)
            case PutTicket():
                self._start(message.request, send, self._put, message)
            case QueryControl():
                self._start(message.request, send, self._query, message)
            case _:
                return False
        return True

    def close(self, timeout_s: float) -> None:
        """Refuse new requests and wait for those in progress.

        Return after `timeout_s` seconds at the latest.
        """
        with self._condition:
            self._is_closed = True
            self._condition.wait_for(lambda: self._in_progress == 0, timeout_s)

    def _start(
        self,
        request: int,
        send: Send,
        carry_out: Callable[[Any], Future[Any]],
        message: object,
    ) -> None:
        with self._condition:
            if self._is_closed:
                send(ControlUnavailable(request, 'host is stopping', True))
                return
            self._in_progress += 1
        try:
            future = carry_out(message)
        except Exception:
            self._end()
            raise
        future.add_done_callback(
            lambda done: self._finish(request, send, message, done)
        )

    def _finish(
        self, request: int, send: Send, message: object, done: Future[Any]
    ) -> None:
        error = done.exception()
        if error is None:
            send(done.result())
        else:
            unchanged = isinstance(error, NotLeader) or _only_reads(message)
            self._metrics.count('baobabgap_control_unavailable_total')
            log_event(
                'control:unavailable',
                request=type(message).__name__,
                error=str(error),
                unchanged=unchanged,
            )
            send(ControlUnavailable(request, str(error), unchanged))
        self._end()

    def _end(self) -> None:
        with self._condition:
            self._in_progress -= 1
            self._condition.notify_all()

    def _claim(self, message: ClaimJobs) -> Future[Any]:
        command = ClaimCommand(
            message.owner,
            message.owner_incarnation,
            message.owner_address,
            message.request,
            _claim_rows(message),
        )
        started_at = time.monotonic()
        future = self._submit(command)
        future.add_done_callback(
            lambda _: self._metrics.observe_seconds(
                'baobabgap_control_claim_seconds',
                time.monotonic() - started_at,
            )
        )
        return _map(future, lambda rows: self._outcomes(message, rows))

    def _release(self, message: ReleaseClaims) -> None:
        for job in message.jobs:
            _check_job(job, message.owner)
        self._submit(
            ReleaseCommand(
                message.owner_incarnation, message.request, list(message.jobs)
            )
        )

    def _look_up(self, message: ClaimJobs) -> Future[Any]:
        query = LookupQuery(message.owner_incarnation, _claim_rows(message))
        return _map(
            self._submit(query), lambda rows: self._outcomes(message, rows)
        )

    def _outcomes(self, message: ClaimJobs, rows: Any) -> ClaimOutcomes:
        outcomes = tuple(outcome_from_row(row) for row in rows)
        for outcome in outcomes:
            self._metrics.count(
                f'baobabgap_control_claims_total{{status="{outcome.status}"}}'
            )
        return ClaimOutcomes(message.request, outcomes)

    def _put(self, message: PutTicket) -> Future[Any]:
        return self._pool.submit(self._put_and_count, message)

    def _put_and_count(self, message: PutTicket) -> Any:
        outcome = self._ticket_submitter.put(message)
        self._metrics.count(
            f'baobabgap_control_tickets_total{{status="{outcome.status}"}}'
        )
        log_event(
            'control:ticket',
            number=message.number,
            status=outcome.status.value,
            version=outcome.version,
        )
        return outcome

    def _query(self, message: QueryControl) -> Future[Any]:
        if message.topic == _LOCAL_TOPIC:
            future: Future[Any] = Future()
            future.set_result(self._status_page())
        else:
            future = self._submit(PageQuery(message.topic))
        return _map(future, lambda page: ControlPage(message.request, page))


def _only_reads(message: object) -> bool:
    match message:
        case ClaimJobs():
            return message.lookup_only
        case QueryControl():
            return True
        case _:
            return False


def _claim_rows(message: ClaimJobs) -> list[tuple[str, bytes, int]]:
    for claim in message.claims:
        _check_job(claim.job, message.owner)
        if not 0 <= claim.token <= _MAX_TOKEN:
            raise ProtocolMismatch(
                f'token {claim.token} of {claim.job} is out of range',
                step='claim',
                peer=message.owner,
            )
    return [(claim.job, claim.digest, claim.token) for claim in message.claims]


def _check_job(job: str, owner: str) -> None:
    try:
        JobIdentifier.from_text(job)
    except InvalidInput as error:
        raise ProtocolMismatch(
            error.message, step='claim', peer=owner
        ) from error


def _map(source: Future[Any], convert: Callable[[Any], object]) -> Future[Any]:
    """Return a future of the converted result, or of the same error."""
    target: Future[Any] = Future()

    def finish(done: Future[Any]) -> None:
        error = done.exception()
        if error is not None:
            target.set_exception(error)
            return
        try:
            target.set_result(convert(done.result()))
        except Exception as failure:
            target.set_exception(failure)

    source.add_done_callback(finish)
    return target
