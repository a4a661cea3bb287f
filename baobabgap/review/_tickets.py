"""Review of a change ticket."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from baobabgap._exceptions import InvalidInput
from baobabgap.configuration import Policy
from baobabgap.configuration import TeamQuota
from baobabgap.configuration import UpstreamLimit
from baobabgap.configuration import validate_state
from baobabgap.configuration import ZoneEvacuation
from baobabgap.review._findings import differences_of
from baobabgap.review._findings import Finding
from baobabgap.review._findings import Review

_UPSTREAM_PREFIX = 'upstream/'
KeyState = Policy | TeamQuota | UpstreamLimit | ZoneEvacuation


@dataclass(frozen=True, slots=True)
class TicketContext:
    """What is known of the deployment that the ticket is meant for."""

    # The state in force, by key.
    state_by_key: Mapping[str, Any]
    # The names of its upstreams; None if they are not known.
    upstreams: Collection[str] | None = None


def review_ticket(
    state_by_key: Mapping[str, Any], context: TicketContext
) -> Review:
    """Review the states that a ticket sets.

    The server validates the same way; the review goes on after the first
    error.
    """
    findings: list[Finding] = []
    state_after: dict[str, KeyState] = {}
    for key, value in {**context.state_by_key, **state_by_key}.items():
        try:
            state_after[key] = validate_state(key, value)
        except InvalidInput as error:
            if key in state_by_key:
                # The message begins with the path of the value.
                text = error.message.removeprefix(key).lstrip('.: ')
                findings.append(Finding.error(key, text))
    findings.extend(_review_names(state_by_key, context))
    findings.extend(_review_limits(state_after, context))
    before = {
        key: value
        for key, value in context.state_by_key.items()
        if key in state_by_key
    }
    return Review(tuple(findings), differences_of(before, state_by_key))


def _review_names(
    state_by_key: Mapping[str, Any], context: TicketContext
) -> Iterator[Finding]:
    """Yield keys that no upstream matches."""
    if context.upstreams is None:
        return
    for key in state_by_key:
        name = key.removeprefix(_UPSTREAM_PREFIX)
        if key.startswith(_UPSTREAM_PREFIX) and (
            name not in context.upstreams
        ):
            yield Finding.warning(key, 'no upstream has this name')


def _review_limits(
    state_after: Mapping[str, KeyState],
    context: TicketContext,
) -> Iterator[Finding]:
    """Yield limits that contradict each other once the ticket is in force."""
    closed = {
        key.removeprefix(_UPSTREAM_PREFIX)
        for key, state in state_after.items()
        if isinstance(state, UpstreamLimit) and not state.slots
    }
    if context.upstreams and closed.issuperset(context.upstreams):
        yield Finding.warning(
            'upstream', 'every upstream is out of use: no task can start'
        )
    default = None
    for state in state_after.values():
        if isinstance(state, Policy):
            default = state.default_quota
    for key, state in state_after.items():
        if not isinstance(state, TeamQuota):
            continue
        if default is not None and (
            state.tasks_per_second < default.tasks_per_second
            and state.burst_tasks < default.burst_tasks
        ):
            yield Finding.warning(
                key, 'allows less than teams without a quota of their own get'
            )
