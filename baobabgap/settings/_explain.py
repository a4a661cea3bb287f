"""Saying what is wrong with settings, and what is allowed."""

from dataclasses import fields
from dataclasses import is_dataclass
from difflib import get_close_matches
from typing import Any
from typing import Final

from pydantic import ValidationError

_UNIT_BY_SUFFIX: Final = {
    '_ms': 'milliseconds',
    '_s': 'seconds',
    '_mb': 'mebibytes',
    '_bytes': 'bytes',
}
_LONGEST_INPUT: Final = 60


def explain(error: ValidationError, root: type) -> str:
    """Name each wrong key of the data class `root` and what it may be."""
    return '; '.join(
        _explain_one(detail, root)
        for detail in error.errors(include_url=False)
    )


def _explain_one(detail: Any, root: type) -> str:
    path = [str(part) for part in detail['loc']]
    key = '.'.join(path) or 'file'
    found = repr(detail['input'])[:_LONGEST_INPUT]
    match detail['type']:
        case 'unexpected_keyword_argument':
            return f'{key}: unknown key; {_allowed_keys(root, path)}'
        case 'missing' | 'missing_argument':
            return f'{key}: is missing and has no default'
        case 'dataclass_type':
            allowed = ', '.join(_names(_class_at(root, path)))
            return f'{key}: must be a map of {allowed} (got {found})'
        case _:
            return f'{key}: {detail["msg"]}{_unit_of(key)} (got {found})'


def _allowed_keys(root: type, path: list[str]) -> str:
    names = _names(_class_at(root, path[:-1]))
    near = get_close_matches(path[-1], names, n=1)
    hint = f'did you mean {near[0]}? ' if near else ''
    return f'{hint}allowed are {", ".join(names)}'


def _class_at(root: type, path: list[str]) -> Any:
    """Follow field names from a data class to the one at the path."""
    found: Any = root
    for name in path:
        if name.isdigit():
            # An element of a tuple; its class is the tuple's argument.
            found = getattr(found, '__args__', (found,))[0]
        elif is_dataclass(found):
            found = next(
                (one.type for one in fields(found) if one.name == name), None
            )
    return found


def _names(found: Any) -> list[str]:
    return [one.name for one in fields(found)] if is_dataclass(found) else []


def _unit_of(key: str) -> str:
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if key.endswith(suffix):
            return f', a number of {unit}'
    return ''
