"""Change tickets and the configuration that results from them."""

from dataclasses import dataclass
from itertools import islice
import json
from typing import Any
from typing import Final

from baobabgap._exceptions import InvalidInput
from baobabgap.configuration import Configuration
from baobabgap.control._commands import TicketCommand
from baobabgap.messages import ConfigurationEntry
from baobabgap.messages import TicketOutcome
from baobabgap.messages import TicketStatus

# The result for a ticket that was validated against an outdated state: the
# submitting host validates it again and proposes it once more.
BASE_CHANGED: Final = 'moved_on'
# For all kept tickets together, in bytes of JSON.
_MAX_KEPT_BYTES: Final = 16 * 1024 * 1024
# Tickets on the page for operators.
_MAX_SHOWN_TICKETS: Final = 500


@dataclass(frozen=True, slots=True)
class _KeptTicket:
    """An accepted ticket."""

    # The state by key as canonical JSON.
    content: str
    # The version from which it is in force.
    version: int


class Tickets:
    """The accepted tickets and the configuration that they have set."""

    def __init__(self, max_kept_tickets: int) -> None:
        self._max_kept_tickets = max_kept_tickets
        self._ticket_by_number: dict[int, _KeptTicket] = {}
        self._kept_bytes = 0
        self._newest_number = 0
        # Pairs of version and entry, by key.
        self._entry_by_key: dict[str, tuple[int, ConfigurationEntry]] = {}

    @property
    def newest_number(self) -> int:
        """The number of the newest accepted ticket; 0 if there is none."""
        return self._newest_number

    def put(self, command: TicketCommand, index: int) -> list[Any]:
        """Accept or refuse the ticket; return a list.

        Its elements are the status, the newest number after the command,
        the version, a message, and the content of the accepted ticket with
        the same number or None.
        """
        kept = self._ticket_by_number.get(command.number)
        if kept is not None and kept.content == command.content:
            return _accepted(command.number, kept.version)
        if kept is not None:
            return [
                TicketStatus.LOST.value,
                self._newest_number,
                0,
                f'another ticket was accepted as number {command.number}',
                json.loads(kept.content),
            ]
        if command.number <= self._newest_number:
            return [
                TicketStatus.STALE.value,
                self._newest_number,
                0,
                f'number {command.number} is behind the newest ticket, '
                f'number {self._newest_number}',
                None,
            ]
        if command.base_number != self._newest_number:
            return [BASE_CHANGED, self._newest_number, 0, '', None]
        self._accept(command, index)
        return _accepted(command.number, index)

    def merged_state(self, state_by_key: dict[str, Any]) -> dict[str, Any]:
        """Return the state of all keys with those of a ticket replaced."""
        merged = {
            key: entry.value for key, (_, entry) in self._entry_by_key.items()
        }
        return merged | state_by_key

    def entries_after(self, version: int) -> tuple[ConfigurationEntry, ...]:
        """Return the entries of keys that were set after a version."""
        return tuple(
            entry
            for changed, entry in self._entry_by_key.values()
            if changed > version
        )

    def history(self) -> list[dict[str, Any]]:
        """Return the kept tickets for operators, newest first."""
        return [
            {
                'number': number,
                'version': kept.version,
                'state_by_key': json.loads(kept.content),
            }
            for number, kept in islice(
                reversed(self._ticket_by_number.items()), _MAX_SHOWN_TICKETS
            )
        ]

    def _accept(self, command: TicketCommand, index: int) -> None:
        self._newest_number = command.number
        self._keep(command.number, _KeptTicket(command.content, index))
        for key, value in json.loads(command.content).items():
            entry = ConfigurationEntry(key, command.number, value)
            self._entry_by_key[key] = (index, entry)

    def _keep(self, number: int, ticket: _KeptTicket) -> None:
        self._ticket_by_number[number] = ticket
        self._kept_bytes += len(ticket.content)
        while len(self._ticket_by_number) > 1 and (
            len(self._ticket_by_number) > self._max_kept_tickets
            or self._kept_bytes > _MAX_KEPT_BYTES
        ):
            oldest = next(iter(self._ticket_by_number))
            dropped = self._ticket_by_number.pop(oldest)
            self._kept_bytes -= len(dropped.content)

    def to_document(self) -> list[Any]:
        """Return all tickets as plain values for a snapshot."""
        return [
            self._newest_number,
            [
                [number, kept.content, kept.version]
                for number, kept in self._ticket_by_number.items()
            ],
            [
                [version, entry.key, entry.ticket, entry.value]
                for version, entry in self._entry_by_key.values()
            ],
        ]

    def restore(self, document: list[Any]) -> None:
        """Replace all tickets by a result of `to_document`."""
        self._newest_number, tickets, entries = document
        self._ticket_by_number = {}
        self._kept_bytes = 0
        for number, content, version in tickets:
            self._keep(number, _KeptTicket(content, version))
        self._entry_by_key = {
            key: (version, ConfigurationEntry(key, ticket, value))
            for version, key, ticket, value in entries
        }


def canonical_content(state_by_key: dict[str, Any]) -> str:
    """Return JSON that doesn't depend on the order of the keys."""
    return json.dumps(
        state_by_key, sort_keys=True, separators=(',', ':'), allow_nan=False
    )


def find_validation_error(
    number: int, state_by_key: dict[str, Any], merged: dict[str, Any]
) -> str:
    """Return the key and the error of an invalid ticket, or empty text.

    `merged` is the state of all keys with those of the ticket replaced.
    Both the ticket's own keys and the merged state must be valid.
    """
    if number < 1:
        return f'number: must be 1 or more (got {number})'
    if not state_by_key:
        return 'the ticket touches no key'
    try:
        Configuration.from_state(0, state_by_key)
        Configuration.from_state(0, merged)
    except InvalidInput as error:
        return error.message
    return ''


def outcome_from_result(request: int, result: list[Any]) -> TicketOutcome:
    """Convert a result of `Tickets.put` to a message."""
    status, newest_number, version, message, winner = result
    return TicketOutcome(
        request,
        TicketStatus(status),
        newest_number,
        version,
        message,
        winner,
    )


def _accepted(number: int, version: int) -> list[Any]:
    message = f'accepted as number {number}, in force from version {version}'
    return [TicketStatus.ACCEPTED.value, number, version, message, None]
