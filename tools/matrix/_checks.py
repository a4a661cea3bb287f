"""Checks of a deployment after a fault has ended."""

from collections.abc import Iterator
from typing import Any
from typing import Final

from tools.bench._answers import End
from tools.bench._counters import StandInCounts
from tools.matrix._callers import SubmittedJob
from tools.matrix._deployment import Deployment
from tools.matrix._deployment import wait_until
from tools.matrix._deployment import WaitTimeout

_RECOVERY_TIMEOUT_S: Final = 30.0
_IN_FORCE_TIMEOUT_S: Final = 5.0
_VERSION_GAUGE: Final = 'baobabgap_configuration_version'
_VALID_ENDS: Final = (End.WHOLE, End.FAILED, End.REFUSED)


def wait_until_recovered(deployment: Deployment) -> None:
    """Wait until all processes are ready and all control hosts vote."""
    wait_until(
        lambda: all(map(deployment.launcher.is_ready, deployment.entries)),
        'both entries are ready',
        _RECOVERY_TIMEOUT_S,
    )
    wait_until(
        lambda: all(map(deployment.launcher.is_ready, deployment.agents)),
        'all agents are ready',
        _RECOVERY_TIMEOUT_S,
    )
    wait_until(
        lambda: _group_has_recovered(deployment),
        'three control hosts vote and have what is committed',
        _RECOVERY_TIMEOUT_S,
    )


def _group_has_recovered(deployment: Deployment) -> bool:
    pages = [deployment.health(name) for name in deployment.controls]
    if not all(pages):
        return False
    logs = [page['log'] for page in pages]
    leaders = [log for log in logs if log['role'] == 'leader']
    if len(leaders) != 1:
        return False
    members = leaders[0]['members']
    durable_index_by_name = {log['name']: log['durable'] for log in logs}
    return (
        len(members) == len(logs)
        and all(member['voter'] for member in members)
        and all(log['storage_ok'] for log in logs)
        # Entries that were in flight when the page was read may be missing.
        and all(
            durable_index_by_name[member['name']] >= leaders[0]['first_index']
            for member in members
        )
        and all(log['term'] == leaders[0]['term'] for log in logs)
        and len({page['newest_ticket'] for page in pages}) == 1
    )


def check_jobs(
    jobs: list[SubmittedJob], counts: StandInCounts
) -> Iterator[str]:
    """Yield problems with the ends and task starts of jobs."""
    counts.refresh()
    starts = counts.starts_by_task({job.identifier for job in jobs})
    for (identifier, task), number in starts.items():
        if number > 1:
            yield f'{identifier}/{task} was started {number} times'
    started_jobs = {job for job, _ in starts}
    for job in jobs:
        if job.end not in _VALID_ENDS:
            yield f'{job.identifier} ended as {job.end}'
        if any(
            one.end in (End.PARTIAL, End.WRONG_CALLER) for one in job.attempts
        ):
            yield f'{job.identifier} got a wrong answer'
        if job.never_admitted and job.identifier in started_jobs:
            yield f'{job.identifier} was refused as not run, yet started'


def check_tickets(deployment: Deployment) -> Iterator[str]:
    """Yield problems with the accepted tickets."""
    accepted = deployment.accepted_state_by_number
    expected: dict[str, tuple[int, Any]] = {}
    for number in sorted(accepted):
        for key, value in accepted[number].items():
            expected[key] = (number, value)
    for name in deployment.controls:
        newest = deployment.health(name).get('newest_ticket', 0)
        if newest < max(accepted):
            yield f'{name} is at ticket {newest}, not {max(accepted)}'
    for entry in deployment.entries:
        page = deployment.page(entry, 'configuration')
        found = {
            one['key']: (one['ticket'], one['value'])
            for one in page.get('entries', [])
        }
        for key, value in expected.items():
            if found.get(key) != value:
                yield f'{key} reads {found.get(key)} at {entry}, not {value}'
    yield from _check_in_force(deployment, max(accepted))


def _check_in_force(deployment: Deployment, newest: int) -> Iterator[str]:
    entry = deployment.entries[0]
    history = deployment.page(entry, 'tickets').get('tickets', [])
    versions = [one['version'] for one in history if one['number'] == newest]
    if not versions:
        yield f'ticket {newest} is not in the history'
        return
    for what, lagging in (
        ('is in force at', _lagging_entries),
        ('is shown by members at', _lagging_members),
    ):
        try:
            wait_until(
                lambda: not lagging(deployment, versions[0]),  # noqa: B023
                '',
                _IN_FORCE_TIMEOUT_S,
            )
        except WaitTimeout:
            found = lagging(deployment, versions[0])
            yield (
                f'not in {_IN_FORCE_TIMEOUT_S:g} s: ticket {newest}, version '
                f'{versions[0]}, {what} {found}'
            )


def _lagging_entries(deployment: Deployment, version: int) -> dict[str, Any]:
    """Return the entries whose version in force is older than `version`."""
    lagging = {}
    for name in deployment.entries:
        in_force = deployment.gauge(name, _VERSION_GAUGE)
        if in_force < version:
            lagging[name] = in_force
    return lagging


def _lagging_members(deployment: Deployment, version: int) -> dict[str, Any]:
    """Return the members that the members page shows with an older version."""
    page = deployment.page(deployment.entries[0], 'members')
    row_by_name = {row['name']: row for row in page.get('members', [])}
    lagging = {}
    for name in (*deployment.entries, *deployment.agents):
        row = row_by_name.get(name, {'alive': False, 'version_in_force': 0})
        in_force = row['version_in_force']
        if not row['alive'] or (in_force or 0) < version:
            lagging[name] = in_force if row['alive'] else 'not alive'
    return lagging
