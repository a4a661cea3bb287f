"""The requests of one process that the control group has not answered.

A request is sent again after each new link, since all of them are
idempotent, until it is answered or its time is over.
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

_LARGEST_BATCH: Final = 512
# Requests on the way at once; further claims wait and travel together.
_REQUESTS_ON_THE_WAY: Final = 4
_PAUSE_S: Final = 0.05


@dataclass(slots=True)
class _Pending:
    """One claim or other request, from the call to its answer."""

    # The claim, or the message to send with its number filled in.
    content: Claim | PutTicket | QueryControl
    # What the caller waits for.
    future: Future[Any]
    # When it is given up, on the monotonic clock.
    deadline: float
    # The step that an error names.
    step: str
    # True for a lookup.
    lookup_only: bool = False
    # False once it was sent and not answered that nothing was changed.
    unchanged: bool = True
    # Not sent again before this time.
    not_before: float = 0.0
    # Why the last attempt was not carried out.
    reason: str = 'no control host can be reached'


@dataclass(frozen=True, slots=True)
class ClaimSender:
    """Who claims."""

    # The process's name.
    name: str
    # The process's incarnation.
    incarnation: str
    # Where it listens for internal links, as host:port.
    address: str


class PendingRequests:
    """Batches, numbers, matches and expires requests."""

    def __init__(self, sender: ClaimSender) -> None:
        self._sender = sender
        self._lock = threading.Lock()
        self._next_request = 1
        self._waiting: list[_Pending] = []
        self._batch_by_request: dict[int, list[_Pending]] = {}
        # Answers come from the peer with this name.
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

    def next_request(self) -> int:
        """Return a number for a message that has no answer."""
        with self._lock:
            return self._take_number()

    def take_messages(self) -> list[object]:
        """Return what may be sent now; call again after each answer."""
        messages: list[object] = []
        now = time.monotonic()
        with self._lock:
            while len(self._batch_by_request) < _REQUESTS_ON_THE_WAY:
                items = self._take_batch(now)
                if not items:
                    break
                request = self._take_number()
                self._batch_by_request[request] = items
                messages.append(self._message(request, items))
        return messages

    def link_lost(self) -> None:
        """Queue everything on the way for sending on the next link."""
        with self._lock:
            for batch in self._batch_by_request.values():
                for item in batch:
                    item.unchanged = False
                    item.reason = f'the link to {self.peer} was lost'
                self._waiting.extend(batch)
            self._batch_by_request.clear()

    def take_answer(self, message: object) -> bool:
        """Complete what a message answers; tell whether it is an answer."""
        match message:
            case ClaimOutcomes():
                self._complete(message.request, message.outcomes)
            case TicketOutcome():
                self._complete(message.request, [message])
            case ControlPage():
                self._complete(message.request, [message.document])
            case ControlUnavailable():
                self._try_again(message)
            case _:
                return False
        return True

    def expire(self) -> None:
        """Fail what has waited for too long."""
        now = time.monotonic()
        expired: list[_Pending] = []
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
        """Fail everything: the process stops."""
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
        item = _Pending(content, future, deadline, step, lookup_only)
        with self._lock:
            self._waiting.append(item)
        return future

    def _take_number(self) -> int:
        number = self._next_request
        self._next_request += 1
        return number

    def _take_batch(self, now: float) -> list[_Pending]:
        """Take what is due and goes into one message together."""
        first = next(
            (item for item in self._waiting if item.not_before <= now), None
        )
        if first is None:
            return []
        if not isinstance(first.content, Claim):
            self._waiting.remove(first)
            return [first]
        batch: list[_Pending] = []
        rest: list[_Pending] = []
        for item in self._waiting:
            belongs = (
                isinstance(item.content, Claim)
                and item.lookup_only == first.lookup_only
                and item.not_before <= now
                and len(batch) < _LARGEST_BATCH
            )
            (batch if belongs else rest).append(item)
        self._waiting = rest
        return batch

    def _message(self, request: int, items: Sequence[_Pending]) -> object:
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

    def _try_again(self, message: ControlUnavailable) -> None:
        not_before = time.monotonic() + _PAUSE_S
        with self._lock:
            batch = self._batch_by_request.pop(message.request, [])
            for item in batch:
                item.unchanged = item.unchanged and message.unchanged
                item.reason = message.message
                item.not_before = not_before
                if not item.future.done():
                    self._waiting.append(item)

    def _fail(self, item: _Pending) -> None:
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
