"""Loads and validates settings files."""

from functools import cache
from pathlib import Path
from typing import Any
from typing import Final

from pydantic import TypeAdapter
from pydantic import ValidationError

from baobabgap._exceptions import SettingsError
from baobabgap.settings._model import Role
from baobabgap.settings._model import Settings
from baobabgap.settingsfile._explain import explain
from baobabgap.settingsfile._yaml import read_yaml

_MAX_CONTROL_HOSTS: Final = 7


@cache
def _settings_adapter() -> TypeAdapter[Settings]:
    """Return the validator of YAML documents, which few processes need."""
    return TypeAdapter(Settings)


def load_settings(path: str | Path) -> Settings:
    """Read and validate a YAML file.

    Raises `SettingsError` that names the file, each invalid key and what
    is allowed there.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
        document = read_yaml(text)
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}', step='settings') from error
    return settings_from_document(document, source=str(path))


def settings_from_document(document: Any, *, source: str) -> Settings:
    """Validate settings that were read from `source`.

    Raises `SettingsError` that names `source` and each invalid key.
    """
    try:
        settings = _settings_adapter().validate_python(document)
    except ValidationError as error:
        raise SettingsError(
            f'{source}: {explain(error, Settings)}', step='settings'
        ) from error
    problem = _find_contradiction(settings)
    if problem:
        raise SettingsError(f'{source}: {problem}', step='settings')
    return settings


def _find_contradiction(settings: Settings) -> str:
    """Describe the first inconsistency; return an empty text if none."""
    checks = (_check_timing, _check_ports, _check_control_hosts)
    for check in checks:
        problem = check(settings)
        if problem:
            return problem
    return ''


def _check_timing(settings: Settings) -> str:
    """Check that a silence limit spans at least two intervals.

    Otherwise one late heartbeat or check exceeds the limit.
    """
    links, agent, control = settings.links, settings.agent, settings.control
    pairs = (
        ('links.silence_s', links.silence_s, links.heartbeat_s),
        (
            'agent.upstream_silence_s',
            agent.upstream_silence_s,
            agent.upstream_check_s,
        ),
        (
            'control.member_silence_s',
            control.member_silence_s,
            control.member_heartbeat_s,
        ),
    )
    for key, silence_s, interval_s in pairs:
        if silence_s < 2 * interval_s:
            return (
                f'{key}: must be at least twice the interval of heartbeats '
                f'or checks, so {2 * interval_s} or more (got {silence_s})'
            )
    if agent.lease_s <= agent.upstream_silence_s:
        return (
            'agent.lease_s: must exceed agent.upstream_silence_s, '
            f'{agent.upstream_silence_s} (got {agent.lease_s})'
        )
    return ''


def _check_ports(settings: Settings) -> str:
    listen = settings.listen
    if listen.internal_port and listen.internal_port == listen.http_port:
        return (
            'listen.http_port: must differ from listen.internal_port '
            f'(both are {listen.http_port})'
        )
    return ''


def _check_control_hosts(settings: Settings) -> str:
    hosts = settings.control_hosts
    names = [host.name for host in hosts]
    addresses = [host.address for host in hosts]
    if len(set(names)) != len(names):
        return 'control_hosts: each host needs a name of its own'
    if len(set(addresses)) != len(addresses):
        return 'control_hosts: each host needs an address of its own'
    if len(names) > _MAX_CONTROL_HOSTS:
        return f'control_hosts: at most {_MAX_CONTROL_HOSTS}'
    needs_control = settings.role in (Role.ENTRY, Role.AGENT, Role.CONTROL)
    if needs_control and not names:
        return f'control_hosts: the role {settings.role} needs at least one'
    if settings.role is Role.CONTROL:
        return _check_own_control_host(settings)
    return ''


def _check_own_control_host(settings: Settings) -> str:
    """Check that a control host is listed and uses the listed port."""
    names = [host.name for host in settings.control_hosts]
    if settings.name not in names:
        return (
            f'control_hosts: must list this host, {settings.name!r} '
            f'(got {", ".join(names)})'
        )
    listed_port = settings.control_hosts[names.index(settings.name)].port
    listen_port = settings.listen.internal_port
    # If one of them is 0, the other one applies.
    if listed_port and listen_port and listed_port != listen_port:
        return (
            f'listen.internal_port: must be {listed_port} as in control_hosts '
            f'(got {listen_port})'
        )
    return ''
