"""Implements the check of a change ticket before it is put."""

from dataclasses import asdict
import json
from typing import Any

from baobabgap.review import render_review
from baobabgap.review import review_ticket
from baobabgap.review import TicketContext
from baobabgap.tool._client import EntryClient
from baobabgap.tool._exit import ExitCode
from baobabgap.tool._operator_actions import read_page
from baobabgap.tool._operator_actions import read_ticket


def check_ticket(
    file: str, entries: str, upstreams: str, as_json: bool
) -> ExitCode:
    """Print findings on a ticket, and what it would change.

    Without entries, nothing is in force; without names of upstreams, they
    are not checked.
    """
    state_by_key = read_ticket(file)
    context = TicketContext(
        _read_state(entries) if entries else {},
        frozenset(upstreams.split(',')) if upstreams else None,
    )
    review = review_ticket(state_by_key, context)
    print(json.dumps(asdict(review)) if as_json else render_review(review))
    if review.has_errors:
        return ExitCode.USAGE
    return ExitCode.WARNINGS if review.findings else ExitCode.DONE


def _read_state(entries: str) -> dict[str, Any]:
    """Read the state in force, by key."""
    page = read_page('configuration', EntryClient.from_text(entries))
    return {entry['key']: entry['value'] for entry in page['entries']}
