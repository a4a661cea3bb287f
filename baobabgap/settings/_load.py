"""Reading settings files."""

from pathlib import Path
from typing import Any
from typing import Final

from pydantic import TypeAdapter
from pydantic import ValidationError
import yaml

from baobabgap._exceptions import SettingsError
from baobabgap.settings._model import Role
from baobabgap.settings._model import Settings

_SETTINGS: Final = TypeAdapter(Settings)


def load_settings(path: str | Path) -> Settings:
    """Read and validate a YAML file.

    Raises `SettingsError` that names the file, each wrong key and what
    is allowed there.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
        document = yaml.safe_load(text)
    except (OSError, UnicodeError, yaml.YAMLError) as error:
        raise SettingsError(f'{path}: {error}', step='settings') from error
    return settings_from_document(document, source=str(path))


def settings_from_document(document: Any, *, source: str) -> Settings:
    """Validate settings that were read from `source`."""
    try:
        settings = _SETTINGS.validate_python(document)
    except ValidationError as error:
        raise SettingsError(
            f'{source}: {_explain(error)}', step='settings'
        ) from error
    problem = _find_contradiction(settings)
    if problem:
        raise SettingsError(f'{source}: {problem}', step='settings')
    return settings


def _explain(error: ValidationError) -> str:
    reasons = []
    for detail in error.errors(include_url=False):
        key = '.'.join(str(part) for part in detail['loc']) or 'file'
        reasons.append(f'{key}: {detail["msg"]} (got {detail["input"]!r})')
    return '; '.join(reasons)


def _find_contradiction(settings: Settings) -> str:
    """Return what can't hold together, or an empty text."""
    links = settings.links
    if links.silence_s < 2 * links.heartbeat_s:
        return (
            'links.silence_s: must be at least twice links.heartbeat_s, '
            f'so {2 * links.heartbeat_s} or more (got {links.silence_s})'
        )
    agent = settings.agent
    if agent.lease_s <= agent.upstream_silence_s:
        return (
            'agent.lease_s: must exceed agent.upstream_silence_s, '
            f'{agent.upstream_silence_s} (got {agent.lease_s})'
        )
    names = [host.name for host in settings.control_hosts]
    if len(set(names)) != len(names):
        return 'control_hosts: each host needs a name of its own'
    needs_control = settings.role in (Role.ENTRY, Role.AGENT, Role.CONTROL)
    if needs_control and not names:
        return f'control_hosts: the role {settings.role} needs at least one'
    if settings.role is Role.CONTROL and settings.name not in names:
        return (
            f'control_hosts: must list this host, {settings.name!r} '
            f'(got {", ".join(names)})'
        )
    if len(names) > 7:
        return f'control_hosts: at most 7 (got {len(names)})'
    return ''
