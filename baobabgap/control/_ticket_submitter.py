"""Validates change tickets and submits them to the log."""

from collections.abc import Callable
from concurrent.futures import Future
import time
from typing import Any
from typing import Final

from baobabgap.control._commands import Command
from baobabgap.control._commands import TicketCommand
from baobabgap.control._state import ControlState
from baobabgap.control._tickets import BASE_CHANGED
from baobabgap.control._tickets import canonical_content
from baobabgap.control._tickets import find_validation_error
from baobabgap.control._tickets import outcome_from_result
from baobabgap.messages import PutTicket
from baobabgap.messages import TicketOutcome
from baobabgap.messages import TicketStatus
from baobabgap.replication import NotLeader

# No ticket has this number, so that the log never accepts on this base.
_NO_BASE: Final = -1
_RETRY_DELAY_S: Final = 0.01


class TicketSubmitter:
    """Validates and submits tickets on one control host.

    A ticket is validated against the state that this host has applied.
    If another ticket is committed first, the log refuses this one without
    an effect and it is validated again (optimistic concurrency control).
    An accepted ticket is therefore valid together with all earlier ones.
    """

    def __init__(
        self,
        state: ControlState,
        submit: Callable[[Command], Future[Any]],
        max_bytes: int,
        wait_s: float,
    ) -> None:
        self._state = state
        self._submit = submit
        self._max_bytes = max_bytes
        self._wait_s = wait_s

    def put(self, ticket: PutTicket) -> TicketOutcome:
        """Submit a ticket and return its outcome.

        Raises `NotLeader` if other tickets are committed first until the
        time limit, `TimeoutError` if a command isn't answered by then, and
        the errors of the futures of `CommandRouter.submit`.
        """
        deadline = time.monotonic() + self._wait_s
        while time.monotonic() < deadline:
            outcome = self._put_once(ticket, deadline)
            if outcome is not None:
                return outcome
            time.sleep(_RETRY_DELAY_S)
        raise NotLeader('ticket', None)

    def _put_once(
        self, ticket: PutTicket, deadline: float
    ) -> TicketOutcome | None:
        """Return the outcome, or None if the base was outdated."""
        try:
            content = canonical_content(ticket.state_by_key)
        except (TypeError, ValueError) as error:
            return self._invalid(ticket, f'not JSON: {error}')
        if len(content) > self._max_bytes:
            return self._invalid(
                ticket,
                f'{len(content)} bytes; at most {self._max_bytes}',
            )
        with self._state.lock:
            base_number = self._state.tickets.newest_number
            merged = self._state.tickets.merged_state(ticket.state_by_key)
        reason = find_validation_error(
            ticket.number, ticket.state_by_key, merged
        )
        # An invalid ticket is proposed too, on a base that never matches: it
        # may be a resent ticket that was accepted before, which only the log
        # can tell.
        command = TicketCommand(
            ticket.number, content, _NO_BASE if reason else base_number
        )
        wait_s = max(0.0, deadline - time.monotonic())
        result = self._submit(command).result(wait_s)
        if reason and result[0] in (BASE_CHANGED, TicketStatus.STALE):
            return self._invalid(ticket, reason)
        if result[0] == BASE_CHANGED:
            return None
        return outcome_from_result(ticket.request, result)

    def _invalid(self, ticket: PutTicket, reason: str) -> TicketOutcome:
        return TicketOutcome(
            ticket.request,
            TicketStatus.INVALID,
            self._state.tickets.newest_number,
            0,
            reason,
        )
