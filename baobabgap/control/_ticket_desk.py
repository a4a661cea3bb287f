"""Validates change tickets and has them committed."""

from collections.abc import Callable
from concurrent.futures import Future
import time
from typing import Any
from typing import Final

from baobabgap.control._commands import Command
from baobabgap.control._commands import TicketCommand
from baobabgap.control._state import ControlState
from baobabgap.control._tickets import canonical_content
from baobabgap.control._tickets import find_fault
from baobabgap.control._tickets import MOVED_ON
from baobabgap.control._tickets import outcome_from_result
from baobabgap.messages import PutTicket
from baobabgap.messages import TicketOutcome
from baobabgap.messages import TicketStatus
from baobabgap.replication import NotLeader

# A number that no ticket has, so that nothing is accepted.
_NO_BASE: Final = -1
_PAUSE_S: Final = 0.01


class TicketDesk:
    """Takes tickets on one control host.

    A ticket is validated against the state that this host has applied.
    If another ticket got in between, the log refuses it without a trace
    and it is validated again, so that what is accepted is right together
    with all that was accepted before it.
    """

    def __init__(
        self,
        state: ControlState,
        submit: Callable[[Command], Future[Any]],
        largest_bytes: int,
        wait_s: float,
    ) -> None:
        self._state = state
        self._submit = submit
        self._largest_bytes = largest_bytes
        self._wait_s = wait_s

    def put(self, ticket: PutTicket) -> TicketOutcome:
        """Have a ticket decided; raises as `Gateway.submit` fails."""
        deadline = time.monotonic() + self._wait_s
        while time.monotonic() < deadline:
            outcome = self._put_once(ticket, deadline)
            if outcome is not None:
                return outcome
            time.sleep(_PAUSE_S)
        raise NotLeader('ticket', None)

    def _put_once(
        self, ticket: PutTicket, deadline: float
    ) -> TicketOutcome | None:
        """Return the outcome, or None to validate the ticket anew."""
        try:
            content = canonical_content(ticket.state_by_key)
        except (TypeError, ValueError) as error:
            return self._invalid(ticket, f'not JSON: {error}')
        if len(content) > self._largest_bytes:
            return self._invalid(
                ticket,
                f'{len(content)} bytes; at most {self._largest_bytes}',
            )
        with self._state.lock:
            base_number = self._state.tickets.newest_number
            merged = self._state.tickets.merged_state(ticket.state_by_key)
        fault = find_fault(ticket.number, ticket.state_by_key, merged)
        # A bad ticket is proposed too, on a base that is never in force:
        # the log tells whether it is an accepted one that was resent.
        command = TicketCommand(
            ticket.number, content, _NO_BASE if fault else base_number
        )
        wait_s = max(0.0, deadline - time.monotonic())
        result = self._submit(command).result(wait_s)
        if fault and result[0] in (MOVED_ON, TicketStatus.STALE):
            return self._invalid(ticket, fault)
        if result[0] == MOVED_ON:
            return None
        return outcome_from_result(ticket.request, result)

    def _invalid(self, ticket: PutTicket, fault: str) -> TicketOutcome:
        return TicketOutcome(
            ticket.request,
            TicketStatus.INVALID,
            self._state.tickets.newest_number,
            0,
            fault,
        )
