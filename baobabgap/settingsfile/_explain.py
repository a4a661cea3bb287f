"""Error messages for invalid settings, with the allowed values."""

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
_MAX_INPUT_CHARACTERS: Final = 60


def explain(error: ValidationError, root: type) -> str:
    """Describe each invalid key of the data class `root`."""
    return '; '.join(
        _explain_one(detail, root)
        for detail in error.errors(include_url=False)
    )


def _explain_one(detail: Any, root: type) -> str:
    path = [str(part) for part in detail['loc']]
    key = '.'.join(path) or 'file'
    value = repr(detail['input'])[:_MAX_INPUT_CHARACTERS]
    match detail['type']:
        case 'unexpected_keyword_argument':
            return f'{key}: unknown key; {_allowed_keys(root, path)}'
        case 'missing' | 'missing_argument':
            return f'{key}: is missing and has no default'
        case 'dataclass_type':
            allowed = ', '.join(_field_names(_class_at(root, path)))
            return f'{key}: must be a map of {allowed} (got {value})'
        case _:
            return f'{key}: {detail["msg"]}{_unit_of(key)} (got {value})'


def _allowed_keys(root: type, path: list[str]) -> str:
    names = _field_names(_class_at(root, path[:-1]))
    close_matches = get_close_matches(path[-1], names, n=1)
    hint = f'did you mean {close_matches[0]}? ' if close_matches else ''
    return f'{hint}allowed are {", ".join(names)}'


def _class_at(root: type, path: list[str]) -> Any:
    """Resolve a path of field names to the class of the last field."""
    current: Any = root
    for name in path:
        if name.isdigit():
            # A tuple index; the element's class is the tuple's argument.
            current = getattr(current, '__args__', (current,))[0]
        elif is_dataclass(current):
            current = next(
                (
                    field.type
                    for field in fields(current)
                    if field.name == name
                ),
                None,
            )
    return current


def _field_names(field_type: Any) -> list[str]:
    return (
        [field.name for field in fields(field_type)]
        if is_dataclass(field_type)
        else []
    )


def _unit_of(key: str) -> str:
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if key.endswith(suffix):
            return f', a number of {unit}'
    return ''
