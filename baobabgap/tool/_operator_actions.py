"""Implements the operator commands."""

import json
import time
from typing import Any
from typing import Final

from baobabgap._exceptions import ConnectionLost
from baobabgap._exceptions import InvalidInput
from baobabgap.configuration import Configuration
from baobabgap.settingsfile import load_settings
from baobabgap.tool._client import document_of
from baobabgap.tool._client import EntryClient
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._exit import ToolError
from baobabgap.tool._jobs_file import read_document
from baobabgap.tool._tables import render_error
from baobabgap.tool._tables import render_page
from baobabgap.webclient import WebResponse

_TICKET_ATTEMPTS: Final = 10
_TICKET_RETRY_PAUSE_S: Final = 1.0
_DRAIN_TIMEOUT_S: Final = 10.0
_DRAIN_POLL_INTERVAL_S: Final = 0.1


def put_ticket(
    file: str, number: int, entries: str, as_json: bool
) -> ExitCode:
    """Put a change ticket and retry until its outcome is known.

    Retries are idempotent: an accepted ticket gets its first answer.
    """
    state = read_ticket(file)
    Configuration.from_state(number, state)
    ticket = {'number': number, 'state': state}
    client = EntryClient.from_text(entries)
    for _ in range(_TICKET_ATTEMPTS):
        try:
            response = client.request('POST', '/v1/tickets', ticket)
            document = document_of(response)
        except (ConnectionLost, ToolError) as error:
            tool_error = ToolError(
                str(error), ExitCode.UNREACHABLE, step='ticket'
            )
        else:
            if 'status' in document:
                return _print_outcome(document, number, as_json)
            tool_error = _unexpected_response(response)
            if response.status < 500:
                break
        client.use_next_entry()
        time.sleep(_TICKET_RETRY_PAUSE_S)
    raise tool_error


def read_ticket(file: str) -> dict[str, Any]:
    """Read the states that a ticket sets; raise `InvalidInput`."""
    state = read_document(file)
    if not isinstance(state, dict) or not state:
        raise InvalidInput(
            f'{file}: a ticket is a map of keys and their whole new state',
            step='ticket',
        )
    return state


def read_page(topic: str, client: EntryClient) -> Any:
    """Return a page of the control group."""
    response = client.request('GET', f'/v1/control/{topic}')
    if response.status != 200:
        raise _unexpected_response(response)
    return response.document()


def show_page(topic: str, entries: str, as_json: bool) -> ExitCode:
    """Print a page of the control group."""
    page = read_page(topic, EntryClient.from_text(entries))
    print(json.dumps(page) if as_json else render_page(page))
    return ExitCode.DONE


def drain(entry: str) -> ExitCode:
    """Drain one entry and wait until its health check fails."""
    client = EntryClient.from_text(entry)
    if client.entry_count != 1:
        raise InvalidInput('drains one host:port at a time', step='drain')
    response = client.request('POST', '/v1/drain')
    if response.status != 202:
        raise _unexpected_response(response)
    deadline_s = time.monotonic() + _DRAIN_TIMEOUT_S
    while _is_accepting(client):
        if time.monotonic() >= deadline_s:
            raise ToolError(
                'the balancer check is still green',
                ExitCode.FAILED,
                step='drain',
                peer=entry,
            )
        time.sleep(_DRAIN_POLL_INTERVAL_S)
    print(f'{entry} is draining: its check is red, running jobs go on')
    return ExitCode.DONE


def show_metrics(entry: str) -> ExitCode:
    """Print the metrics of the first entry that answers."""
    response = EntryClient.from_text(entry).request('GET', '/metrics')
    print(response.body.decode(), end='')
    return ExitCode.DONE


def check_config(files: tuple[str, ...]) -> ExitCode:
    """Validate settings files and print the process each describes."""
    if not files:
        raise InvalidInput('needs one file at least', step='settings')
    for file in files:
        settings = load_settings(file)
        place = settings.place
        print(
            f'{file}: good; {settings.role} {settings.name} '
            f'in {place.region}, {place.availability_zone}, {place.rack}'
        )
    return ExitCode.DONE


def _print_outcome(
    outcome: dict[str, Any], number: int, as_json: bool
) -> ExitCode:
    accepted = outcome['status'] == 'accepted'
    if as_json:
        print(json.dumps(outcome))
    else:
        print(f'ticket {number}')
        print(render_page(_without_nulls(outcome)))
    return ExitCode.DONE if accepted else ExitCode.REFUSED


def _without_nulls(document: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in document.items() if value is not None}


def _is_accepting(client: EntryClient) -> bool:
    try:
        response = client.send('GET', '/health', None, timeout_s=5.0)
    except ConnectionLost:
        return False
    return response.status == 200


def _unexpected_response(response: WebResponse) -> ToolError:
    """Build the error for a response without the expected result."""
    document = document_of(response)
    error = document.get('error', {})
    refused = document.get('state') == 'refused' and response.status < 500
    code = ExitCode.REFUSED if refused else ExitCode.UNREACHABLE
    return ToolError(render_error(error), code, step='answer')
