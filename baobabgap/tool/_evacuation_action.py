"""Implements the command that empties an availability zone of tasks."""

import json
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import InvalidInput
from baobabgap.configuration import EVACUATION_PREFIX
from baobabgap.messages import TicketStatus
from baobabgap.tool._client import document_of
from baobabgap.tool._client import EntryClient
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._exit import ToolError

_STEP: Final = 'evacuate'
# Attempts to put the ticket: others may take its number, or hosts may be away.
_ATTEMPTS: Final = 10
_RETRY_PAUSE_S: Final = 1.0
# Seconds to wait until all processes act on the ticket, and between checks.
_APPLY_TIMEOUT_S: Final = 10.0
_APPLY_POLL_S: Final = 0.1


def evacuate(zone: str, end: bool, entries: str, as_json: bool) -> ExitCode:
    """Put a ticket that begins or ends the evacuation of a zone.

    Returns once all entries and the zone's agents act on it. Raises
    `InvalidInput` for a zone without members; nothing is stored then.
    """
    client = EntryClient.from_text(entries)
    known = {row['availability_zone'] for row in _members(client)}
    if zone not in known:
        raise InvalidInput(
            f'no zone {zone!r}, but {", ".join(sorted(known))}', step=_STEP
        )
    state = {f'{EVACUATION_PREFIX}{zone}': {'evacuated': not end}}
    outcome = _put(client, state)
    late = _wait_until_applied(client, zone, outcome['version'])
    if late:
        raise ToolError(
            f'stored at version {outcome["version"]}, but not in force yet '
            f'at {", ".join(late)}',
            ExitCode.FAILED,
            step=_STEP,
        )
    if as_json:
        document = {'zone': zone, 'evacuated': not end}
        print(json.dumps(document | {'version': outcome['version']}))
    else:
        verb = 'taken back' if end else 'evacuated: nothing more starts there'
        print(f'{zone} is {verb} (version {outcome["version"]})')
    return ExitCode.DONE


def _put(client: EntryClient, state: dict[str, Any]) -> dict[str, Any]:
    """Put the ticket under the next free number; return the outcome.

    A number is tried again until its outcome is known, so that the order
    isn't given a second time after another operator's opposite one.
    """
    number = 0
    reason = ''
    for _ in range(_ATTEMPTS):
        try:
            if not number:
                number = 1 + _page(client, 'tickets')['newest_number']
            ticket = {'number': number, 'state': state}
            response = client.request('POST', '/v1/tickets', ticket)
            outcome = document_of(response)
        except (ConnectionLost, ToolError) as error:
            reason = str(error)
        else:
            match outcome.get('status'):
                case TicketStatus.ACCEPTED:
                    return outcome
                case TicketStatus.LOST | TicketStatus.STALE:
                    # Another ticket has the number, so this one isn't stored.
                    number = 0
                    continue
                case TicketStatus.INVALID:
                    raise InvalidInput(str(outcome['message']), step=_STEP)
            reason = f'status {response.status}'
        client.use_next_entry()
        time.sleep(_RETRY_PAUSE_S)
    raise ToolError(
        f'outcome unknown: {reason}', ExitCode.UNREACHABLE, step=_STEP
    )


def _wait_until_applied(
    client: EntryClient, zone: str, version: int
) -> list[str]:
    """Wait for all processes concerned; return those that are late."""
    give_up_at = time.monotonic() + _APPLY_TIMEOUT_S
    while True:
        late = [
            str(row['name'])
            for row in _members(client)
            if _is_concerned(row, zone)
            and (row['version_in_force'] or 0) < version
        ]
        if not late or time.monotonic() >= give_up_at:
            return late
        time.sleep(_APPLY_POLL_S)


def _is_concerned(row: dict[str, Any], zone: str) -> bool:
    if not row['alive']:
        return False
    if row['role'] == 'agent':
        return bool(row['availability_zone'] == zone)
    return bool(row['role'] == 'entry')


def _members(client: EntryClient) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = _page(client, 'members')['members']
    return rows


def _page(client: EntryClient, topic: str) -> dict[str, Any]:
    response = client.request('GET', f'/v1/control/{topic}')
    document = document_of(response)
    if response.status != 200:
        raise ToolError(
            f'status {response.status} for the page {topic}',
            ExitCode.UNREACHABLE,
            step=_STEP,
        )
    return document
