"""Requests of one process that the control group has not answered yet.

All requests are idempotent: each is sent again on every new link until it
is answered or its deadline passes.
"""

from collections.abc import Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import replace
import threading
import time
from typing import Any
from typing import Final

from baobabgap.control._client_errors import ControlUnavailableError
from baobabgap.messages import Claim
from baobabgap.messages import ClaimJobs
from baobabgap.messages import ClaimOutcome
from baobabgap.messages import ClaimOutcomes
from baobabgap.messages import ControlPage
from baobabgap.messages import ControlUnavailable
from baobabgap.messages import PutTicket
from baobabgap.messages import QueryControl
from baobabgap.messages import TicketOutcome
from baobabgap.telemetry import log_event

_MAX_BATCH_CLAIMS: Final = 512
# Further claims wait for an answer and are then sent in one batch.
_MAX_REQUESTS_IN_FLIGHT: Final = 4
_RETRY_DELAY_S: Final = 0.05


@dataclass(slots=True)
class _PendingRequest:
    """A claim or other request that waits for its answer."""

    # The claim, or the message to send with its number filled in.
    content: Claim | PutTicket | QueryControl
    # Completed with the answer or the error.
    future: Future[Any]
    # When it fails, on the monotonic clock.
    deadline: float
    # The step that an error names.
    step: str
    # True for a lookup.
    lookup_only: bool = False
    # False once an attempt may have changed something.
    unchanged: bool = True
    # Not sent before this time, on the monotonic clock.
    not_before: float = 0.0
    # Why the last attempt failed.
    reason: str = 'no control host can be reached'


@dataclass(frozen=True, slots=True)
class ClaimSender:
    """The process in whose name claims are sent."""

    # The process's name.
    name: str
    # The process's incarnation.
    incarnation: str
    # The process's address for internal links, as host:port.
    address: str


class PendingRequests:
    """Batches and numbers requests, matches answers, enforces deadlines."""

    def __init__(self, sender: ClaimSender) -> None:
        self._sender = sender
        self._lock = threading.Lock()
        self._next_number = 1
        self._waiting: list[_PendingRequest] = []
        self._batch_by_request: dict[int, list[_PendingRequest]] = {}
        # The name of the control host at the other end of the link.
        self.peer = ''

    def add_claim(
        self, claim: Claim, wait_s: float, *, lookup_only: bool
    ) -> Future[ClaimOutcome]:
        """Queue a claim or a lookup."""
        step = 'lookup' if lookup_only else 'claim'
        return self._add(claim, wait_s, step, lookup_only)

    def add_request(
        self, message: PutTicket | QueryControl, wait_s: float, step: str
    ) -> Future[Any]:
        """Queue any other request."""
        return self._add(message, wait_s, step, False)

    def allocate_request_number(self) -> int:
        """Return a request number for a message that has no answer."""
        with self._lock:
            return self._allocate_number()

    def pop_messages(self) -> list[object]:
        """Return the messages to send now; call again after each answer."""
        messages: list[object] = []
        now = time.monotonic()
        with self._lock:
            while len(self._batch_by_request) < _MAX_REQUESTS_IN_FLIGHT:
                items = self._pop_batch(now)
                if not items:
                    break
                request = self._allocate_number()
                self._batch_by_request[request] = items
                messages.append(self._build_message(request, items))
        return messages

    def link_lost(self) -> None:
        """Queue all requests in flight for the next link."""
        with self._lock:
            for batch in self._batch_by_request.values():
                for item in batch:
                    item.unchanged = False
                    item.reason = f'the link to {self.peer} was lost'
                self._waiting.extend(batch)
            self._batch_by_request.clear()

    def handle_answer(self, message: object) -> bool:
        """Complete the request that `message` answers.

        Return False if the message is no answer.
        """
        match message:
            case ClaimOutcomes():
                self._complete(message.request, message.outcomes)
            case TicketOutcome():
                self._complete(message.request, [message])
            case ControlPage():
                self._complete(message.request, [message.document])
            case ControlUnavailable():
                self._requeue(message)
            case _:
                return False
        return True

    def expire(self) -> None:
        """Fail the requests whose deadline has passed."""
        now = time.monotonic()
        expired: list[_PendingRequest] = []
        with self._lock:
            for batch in self._batch_by_request.values():
                for item in batch:
                    if item.deadline <= now and not item.future.done():
                        item.unchanged = False
                        item.reason = f'no answer from {self.peer}'
                        expired.append(item)
            self._batch_by_request = {
                request: batch
                for request, batch in self._batch_by_request.items()
                if any(item.deadline > now for item in batch)
            }
            expired.extend(
                item for item in self._waiting if item.deadline <= now
            )
            self._waiting = [
                item for item in self._waiting if item.deadline > now
            ]
        for item in expired:
            self._fail(item)

    def fail_all(self, reason: str) -> None:
        """Fail all requests, as the process stops."""
        self.link_lost()
        with self._lock:
            items = self._waiting
            self._waiting = []
        for item in items:
            item.reason = reason
            self._fail(item)

    def _add(
        self,
        content: Claim | PutTicket | QueryControl,
        wait_s: float,
        step: str,
        lookup_only: bool,
    ) -> Future[Any]:
        future: Future[Any] = Future()
        deadline = time.monotonic() + wait_s
        item = _PendingRequest(content, future, deadline, step, lookup_only)
        with self._lock:
            self._waiting.append(item)
        return future

    def _allocate_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number

    def _pop_batch(self, now: float) -> list[_PendingRequest]:
        """Dequeue the requests that go into the next message."""
        first = next(
            (item for item in self._waiting if item.not_before <= now), None
        )
        if first is None:
            return []
        if not isinstance(first.content, Claim):
            self._waiting.remove(first)
            return [first]
        batch: list[_PendingRequest] = []
        rest: list[_PendingRequest] = []
        for item in self._waiting:
            fits_batch = (
                isinstance(item.content, Claim)
                and item.lookup_only == first.lookup_only
                and item.not_before <= now
                and len(batch) < _MAX_BATCH_CLAIMS
            )
            (batch if fits_batch else rest).append(item)
        self._waiting = rest
        return batch

    def _build_message(
        self, request: int, items: Sequence[_PendingRequest]
    ) -> object:
        match items[0].content:
            case PutTicket() | QueryControl() as message:
                return replace(message, request=request)
        return ClaimJobs(
            request,
            self._sender.name,
            self._sender.incarnation,
            self._sender.address,
            tuple(
                item.content
                for item in items
                if isinstance(item.content, Claim)
            ),
            items[0].lookup_only,
        )

    def _complete(self, request: int, answers: Sequence[Any]) -> None:
        with self._lock:
            batch = self._batch_by_request.pop(request, [])
        for item, answer in zip(batch, answers, strict=False):
            if not item.future.done():
                item.future.set_result(answer)
        unanswered = batch[len(answers) :]
        if unanswered:
            log_event(
                'answers_missing',
                peer=self.peer,
                requests=len(batch),
                answers=len(answers),
            )
            self._repeat(unanswered, 'no answer to this request')

    def _repeat(self, items: Sequence[_PendingRequest], reason: str) -> None:
        """Send requests again whose outcome is unknown."""
        not_before = time.monotonic() + _RETRY_DELAY_S
        with self._lock:
            for item in items:
                item.unchanged = False
                item.reason = reason
                item.not_before = not_before
                if not item.future.done():
                    self._waiting.append(item)

    def _requeue(self, message: ControlUnavailable) -> None:
        not_before = time.monotonic() + _RETRY_DELAY_S
        with self._lock:
            batch = self._batch_by_request.pop(message.request, [])
            for item in batch:
                item.unchanged = item.unchanged and message.unchanged
                item.reason = message.message
                item.not_before = not_before
                if not item.future.done():
                    self._waiting.append(item)

    def _fail(self, item: _PendingRequest) -> None:
        if item.future.done():
            return
        only_reads = item.lookup_only or isinstance(item.content, QueryControl)
        item.future.set_exception(
            ControlUnavailableError(
                item.reason,
                step=item.step,
                peer=self.peer,
                unchanged=item.unchanged or only_reads,
            )
        )
